//! How many requests of an account run at once through this entry.

use std::collections::HashMap;

use coltsfootnotch_types::prelude::*;

/// Running requests of the accounts that a limit is stated for.
#[derive(Debug, Default)]
pub(super) struct Concurrency {
    limits: HashMap<AccountName, u32>,
    running: HashMap<AccountName, u32>,
}

impl Concurrency {
    pub(super) fn set_limits(&mut self, limits: HashMap<AccountName, u32>) {
        self.limits = limits;
    }

    /// How many more may start.
    pub(super) fn room(&self, account: &AccountName) -> usize {
        let Some(limit) = self.limits.get(account) else {
            return usize::MAX;
        };
        let running = self.running.get(account).copied().unwrap_or(0);
        limit.saturating_sub(running) as usize
    }

    pub(super) fn began(&mut self, account: &AccountName) {
        *self.running.entry(account.clone()).or_insert(0) += 1;
    }

    /// Notes an end; whether more may start than before.
    pub(super) fn ended(&mut self, account: &AccountName) -> bool {
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
