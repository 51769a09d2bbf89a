//! Where relays are, and in which order a host tries them.

use std::net::SocketAddr;

use coltsfootnotch_types::{DomainName, HostName};

/// Where a relay is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RelayAddress {
    /// Its host.
    pub host: HostName,
    /// Its failure domain.
    pub domain: DomainName,
    /// Where to reach it.
    pub addresses: Vec<SocketAddr>,
}

/// The relays in the order of trial: the own failure domain's first, then the others beginning at a
/// place that depends on the host.
pub(crate) fn ranked(
    host: &HostName,
    domain: &DomainName,
    relays: Vec<RelayAddress>,
) -> Vec<RelayAddress> {
    let (mut own, mut other): (Vec<_>, Vec<_>) =
        relays.into_iter().partition(|r| r.domain == *domain);
    if !other.is_empty() {
        let sum: usize = host.as_str().bytes().map(usize::from).sum();
        let start = sum % other.len();
        other.rotate_left(start);
    }
    own.append(&mut other);
    own
}
