//! What one pool's queue keeps of one account.

use std::time::Duration;

use coltsfootnotch_types::AccountName;

use super::{ChoicePolicy, Waiting};
use crate::service::{Offset, VirtualService};

/// An account in the queue of one pool.
#[derive(Debug, Clone)]
pub(super) struct Account {
    pub(super) name: AccountName,
    /// Service per weight that this host gave.
    pub(super) own: VirtualService,
    /// The same of all other hosts; `None` until the first word of it.
    pub(super) elsewhere: Option<VirtualService>,
    pub(super) offset: Offset,
    /// Correction that holds on this host only, until `elsewhere` is known.
    pub(super) provisional: VirtualService,
    pub(super) waiting: Waiting,
    /// Whether it began to wait before its service was known, on a host that knew of others.
    pub(super) lift_when_heard: bool,
    /// When it last stopped waiting, and how far it then stood below the others.
    pub(super) left: Option<Left>,
}

/// How an account stood when it stopped waiting.
#[derive(Debug, Clone, Copy)]
pub(super) struct Left {
    pub(super) at: Duration,
    pub(super) behind: VirtualService,
}

impl Account {
    pub(super) fn new(name: AccountName) -> Self {
        Self {
            name,
            own: VirtualService::ZERO,
            elsewhere: None,
            offset: Offset::default(),
            provisional: VirtualService::ZERO,
            waiting: Waiting::default(),
            lift_when_heard: false,
            left: None,
        }
    }

    pub(super) fn is_waiting(&self) -> bool {
        self.waiting.count > 0
    }

    pub(super) fn is_known(&self) -> bool {
        self.elsewhere.is_some()
    }

    /// Virtual service: where the account stands among the waiting ones.
    pub(super) fn place(&self, policy: ChoicePolicy) -> VirtualService {
        match policy {
            ChoicePolicy::Fair => {
                let elsewhere = self.elsewhere.unwrap_or_default();
                self.own + elsewhere + self.offset.value + self.provisional
            }
            ChoicePolicy::PerHost => self.own + self.provisional,
            ChoicePolicy::Fifo => {
                let micros = i64::try_from(self.waiting.oldest.as_micros());
                VirtualService(micros.unwrap_or(i64::MAX))
            }
        }
    }
}
