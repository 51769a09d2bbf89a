//! A request that waits for a slot.

use std::time::Duration;

use coltsfootnotch_decide::route::PrefixKey;
use coltsfootnotch_types::prelude::*;

/// A request that waits for a slot.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Waiting {
    /// Number of the request within the entry's run.
    pub request: u64,
    /// Number of its next attempt.
    pub attempt: u32,
    /// Whose it is.
    pub account: AccountName,
    /// Where it waits.
    pub pool: PoolName,
    /// When it arrived.
    pub arrived: Duration,
    /// When its caller no longer wants the answer.
    pub deadline: Duration,
    /// Estimated service.
    pub estimate: ServiceUnits,
    /// Digest of its prompt's beginning, for cache affinity; zero for none.
    pub prefix: u64,
    /// Whether it may run more than once.
    pub repeatable: bool,
    /// Sidecars that failed it before; a retry goes elsewhere while there is an elsewhere.
    pub avoid: Vec<HostName>,
}

impl Waiting {
    /// Its prefix, if its prompt has one.
    #[must_use]
    pub fn prefix_key(&self) -> Option<PrefixKey> {
        (self.prefix != 0).then_some(PrefixKey(self.prefix))
    }
}
