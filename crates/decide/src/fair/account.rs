//! What one pool's queue keeps of one account.

use std::time::Duration;

use coltsfootnotch_types::AccountName;

use super::{ChoicePolicy, VirtualService, Waiting};

/// An account in the queue of one pool.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) name: AccountName,
    /// Where it stands: service per weight since it was first seen here, lifts and drawing together
    /// included.
    pub(super) place: VirtualService,
    pub(super) waiting: Waiting,
    /// When it last stopped waiting, and how far it then stood below the others.
    pub(super) left: Option<Left>,
    /// How far it was lifted when it last returned, until service elsewhere is next heard of.
    pub(super) lifted: VirtualService,
}

/// How an account stood when it stopped waiting.
#[derive(Debug, Clone, Copy)]
pub(super) struct Left {
    pub(super) at: Duration,
    pub(super) behind: VirtualService,
}

impl Account {
    pub(super) fn new(name: AccountName, place: VirtualService) -> Self {
        Self {
            name,
            place,
            waiting: Waiting::default(),
            left: None,
            lifted: VirtualService::ZERO,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting.count > 0
    }

    /// What the waiting accounts are ordered by, lowest first.
    pub(super) fn key(&self, policy: ChoicePolicy) -> VirtualService {
        match policy {
            ChoicePolicy::Fair | ChoicePolicy::PerHost => self.place,
            ChoicePolicy::Fifo => {
                let micros = i64::try_from(self.waiting.oldest.as_micros());
                VirtualService(micros.unwrap_or(i64::MAX))
            }
        }
    }
}
