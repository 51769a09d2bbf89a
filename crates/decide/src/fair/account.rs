//! State of one account in the queue of one pool.

use std::time::Duration;

use coltsfootnotch_types::AccountName;

use super::{Backlog, ChoicePolicy, VirtualService};

/// An account in the queue of one pool.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) name: AccountName,
    /// Service per weight since the account was first seen, with all corrections.
    pub(super) virtual_service: VirtualService,
    pub(super) backlog: Backlog,
    /// Set when the account last stopped waiting.
    pub(super) idle: Option<Idle>,
    /// How far the account was raised when it last returned from idle; zero after the next update
    /// of remote service.
    pub(super) raised: VirtualService,
}

/// When an account stopped waiting, and how far it was behind the others.
#[derive(Debug, Clone, Copy)]
pub(super) struct Idle {
    pub(super) since: Duration,
    pub(super) behind: VirtualService,
}

impl Account {
    pub(super) fn new(name: AccountName, virtual_service: VirtualService) -> Self {
        Self {
            name,
            virtual_service,
            backlog: Backlog::default(),
            idle: None,
            raised: VirtualService::ZERO,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.backlog.count > 0
    }

    /// Sort key among the waiting accounts; the lowest is served first.
    pub(super) fn sort_key(&self, policy: ChoicePolicy) -> VirtualService {
        match policy {
            ChoicePolicy::Fair | ChoicePolicy::PerHost => self.virtual_service,
            ChoicePolicy::Fifo => {
                let micros = i64::try_from(self.backlog.oldest.as_micros());
                VirtualService(micros.unwrap_or(i64::MAX))
            }
        }
    }
}
