//! Failure domains whose upstreams get no requests, on an operator's order.
//!
//! Orders carry no number. A domain follows the last committed order, unless another order for it was
//! committed which the control host that received this one did not know yet: a cut or a pause may have held
//! it back, and its caller may have given it up and sent others since.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_types::DomainName;
use serde::{Deserialize, Serialize};

/// Most evacuated domains, and most domains whose last order is known; bounds the state against forged
/// names.
const MAX_DOMAINS: usize = 256;

/// An order to start or end the evacuation of a failure domain, as operators send it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetEvacuation {
    /// The failure domain.
    pub domain: DomainName,
    /// Whether its upstreams get no requests.
    pub evacuated: bool,
}

/// An order as a control host passes it on.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct EvacuationOrder {
    /// The order.
    pub order: SetEvacuation,
    /// The log index that the control host had applied while the caller waited for its response.
    pub known: u64,
}

/// The reply to a [`SetEvacuation`] or an [`EvacuationOrder`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationReply {
    /// The domain is as ordered, by this command or an earlier one.
    Done {
        /// Revision of the evacuated domains.
        revision: u64,
    },
    /// Too many domains are evacuated; nothing was changed.
    TooMany,
    /// Another order for the domain was committed that the receiving control host did not know; nothing
    /// was changed. A caller that still waits can send its order again.
    Superseded {
        /// Log index of the other order.
        by: u64,
    },
}

/// The evacuated failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    pub(crate) revision: u64,
    pub(crate) domains: BTreeSet<DomainName>,
    /// Log index of the last order for each domain.
    pub(crate) last_orders: BTreeMap<DomainName, u64>,
    /// The same for the domains that are not in `last_orders`, at the latest.
    pub(crate) forgotten_orders: u64,
}

impl Evacuations {
    /// Log index of the last change; zero before the first. Hosts that receive the domains over
    /// several connections keep those with the highest revision.
    #[must_use]
    pub fn revision(&self) -> u64 {
        self.revision
    }

    /// The evacuated domains.
    #[must_use]
    pub fn domains(&self) -> &BTreeSet<DomainName> {
        &self.domains
    }

    /// Applies an order unless another one for its domain was committed after the index `known`. Orders of
    /// earlier programs state none.
    pub(crate) fn apply(
        &mut self,
        index: u64,
        req: &SetEvacuation,
        known: Option<u64>,
    ) -> EvacuationReply {
        let is_changed = req.evacuated != self.domains.contains(&req.domain);
        let last = self.last_order(&req.domain);
        if is_changed && known.is_some_and(|known| known < last) {
            return EvacuationReply::Superseded { by: last };
        }
        if is_changed && req.evacuated && self.domains.len() >= MAX_DOMAINS {
            return EvacuationReply::TooMany;
        }
        if is_changed {
            assert!(
                index > self.revision,
                "revision {} of the evacuations decreases to {index}",
                self.revision
            );
            self.revision = index;
            if req.evacuated {
                self.domains.insert(req.domain.clone());
            } else {
                self.domains.remove(&req.domain);
            }
        }
        self.record_order(&req.domain, index);
        EvacuationReply::Done {
            revision: self.revision,
        }
    }

    fn last_order(&self, domain: &DomainName) -> u64 {
        let last = self.last_orders.get(domain);
        last.copied().unwrap_or(self.forgotten_orders)
    }

    /// Records an acknowledged order, also one that changes nothing: an earlier one that is held back must
    /// not undo it.
    fn record_order(&mut self, domain: &DomainName, index: u64) {
        self.last_orders.insert(domain.clone(), index);
        if self.last_orders.len() <= MAX_DOMAINS {
            return;
        }
        let earliest = self.last_orders.iter().min_by_key(|(_, index)| **index);
        if let Some((domain, index)) = earliest.map(|(d, i)| (d.clone(), *i)) {
            self.last_orders.remove(&domain);
            self.forgotten_orders = index;
        }
    }
}
