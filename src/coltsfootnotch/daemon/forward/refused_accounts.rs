//! Refusals per client account whose own lines are held back.

use std::collections::BTreeMap;
use std::sync::{Arc, Mutex, PoisonError};

/// Most accounts and reasons counted between two reports; further refusals are counted together.
const MAX_COUNTED: usize = 64;

/// Account of refusals beyond [`MAX_COUNTED`].
const OTHERS: &str = "others";

/// Refusals of one account for one reason.
#[derive(Debug, Clone, PartialEq, Eq)]
pub(super) struct RefusedCount {
    /// The account; `-` for requests without one.
    pub(super) account: Arc<str>,
    /// The reason.
    pub(super) reason: String,
    /// Number of refusals since the last report.
    pub(super) refused: u64,
}

/// Counts refusals that are not logged one by one. In a flood they are most, and the flood's accounts
/// can't be told from the lines that are logged.
#[derive(Debug, Default)]
pub(super) struct RefusedAccounts {
    counts: Mutex<BTreeMap<(Arc<str>, String), u64>>,
}

impl RefusedAccounts {
    /// Counts a refusal.
    pub(super) fn record(&self, account: Option<&Arc<str>>, reason: &str) {
        let account = account.cloned().unwrap_or_else(|| "-".into());
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let mut key = (account, reason.to_owned());
        if counts.len() >= MAX_COUNTED && !counts.contains_key(&key) {
            key.0 = OTHERS.into();
        }
        *counts.entry(key).or_default() += 1;
    }

    /// Takes the counts since the last call.
    pub(super) fn take(&self) -> Vec<RefusedCount> {
        let mut counts = self.counts.lock().unwrap_or_else(PoisonError::into_inner);
        let taken = std::mem::take(&mut *counts).into_iter();
        taken
            .map(|((account, reason), refused)| RefusedCount {
                account,
                reason,
                refused,
            })
            .collect()
    }
}

#[cfg(test)]
#[path = "refused_accounts_tests.rs"]
mod tests;
