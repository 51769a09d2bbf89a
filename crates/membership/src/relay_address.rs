//! Addresses of relays, and the order in which a host tries them.

use std::net::SocketAddr;

use coltsfootnotch_types::{DomainName, HostName};

/// The address of a relay.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayAddress {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Addresses at which to reach it.
    pub addresses: Vec<SocketAddr>,
}

/// Sorts relays by the preference of `host`: those of its failure domain first, then the others,
/// rotated by its name so that hosts spread over them.
pub(crate) fn sort_by_preference(
    host: &HostName,
    domain: &DomainName,
    relays: Vec<RelayAddress>,
) -> Vec<RelayAddress> {
    let (mut local, mut other): (Vec<_>, Vec<_>) =
        relays.into_iter().partition(|r| r.domain == *domain);
    if !other.is_empty() {
        let sum: usize = host.as_str().bytes().map(usize::from).sum();
        let start = sum % other.len();
        other.rotate_left(start);
    }
    local.append(&mut other);
    local
}
