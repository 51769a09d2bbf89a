//! What accounts asked for and got over all entries, for the log.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_forward::load::add_account;
use coltsfootnotch_wire::AccountDemand;

/// Interval of the log lines.
const INTERVAL: Duration = Duration::from_secs(1);
/// Share of its demand from which an account counts as served in full. Reports of requests and of their
/// admission can come one period apart.
const SERVED_SHARE: f64 = 0.97;
/// Most accounts logged at a time, those that asked for most.
const MAX_LOGGED: usize = 16;

/// Sums what accounts asked for and got. An operator can't tell from the refusals of single entries
/// whether one account gets less than another over the whole fleet.
#[derive(Debug, Default)]
pub(super) struct AccountUsage {
    by_account: BTreeMap<String, AccountDemand>,
    due: Duration,
}

impl AccountUsage {
    /// Adds what accounts asked for and got in a period.
    pub(super) fn record<'a>(&mut self, accounts: impl Iterator<Item = &'a AccountDemand>) {
        for used in accounts {
            add_account(&mut self.by_account, used);
        }
    }

    /// The accounts that got less than they asked for since the last ones were returned, if that is
    /// due; those that asked for most come first.
    pub(super) fn take_limited(&mut self, now: Duration) -> Vec<AccountDemand> {
        if now < self.due {
            return Vec::new();
        }
        self.due = now + INTERVAL;
        let sums = std::mem::take(&mut self.by_account).into_values();
        let is_limited =
            |used: &AccountDemand| (used.admitted as f64) < used.requested as f64 * SERVED_SHARE;
        let mut limited: Vec<_> = sums.filter(is_limited).collect();
        limited.sort_by_key(|used| std::cmp::Reverse(used.requested));
        limited.truncate(MAX_LOGGED);
        limited
    }
}

#[cfg(test)]
#[path = "account_usage_tests.rs"]
mod tests;
