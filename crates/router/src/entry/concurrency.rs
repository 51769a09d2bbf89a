//! Limits on concurrent requests of an account through this entry.

use std::collections::HashMap;

use coltsfootnotch_types::prelude::*;

/// Running requests per account, and the configured limits.
#[derive(Debug, Default)]
pub(super) struct Concurrency {
    limits: HashMap<AccountName, u32>,
    running: HashMap<AccountName, u32>,
}

impl Concurrency {
    pub(super) fn set_limits(&mut self, limits: HashMap<AccountName, u32>) {
        self.limits = limits;
    }

    /// How many more requests of the account may start.
    pub(super) fn headroom(&self, account: &AccountName) -> usize {
        let Some(limit) = self.limits.get(account) else {
            return usize::MAX;
        };
        let running = self.running.get(account).copied().unwrap_or(0);
        limit.saturating_sub(running) as usize
    }

    pub(super) fn on_started(&mut self, account: &AccountName) {
        *self.running.entry(account.clone()).or_insert(0) += 1;
    }

    /// Counts a finished run. Returns whether the account has a limit, so that more may now start.
    pub(super) fn on_ended(&mut self, account: &AccountName) -> bool {
        let Some(running) = self.running.get_mut(account) else {
            return false;
        };
        *running -= 1;
        if *running == 0 {
            self.running.remove(account);
        }
        self.limits.contains_key(account)
    }
}
