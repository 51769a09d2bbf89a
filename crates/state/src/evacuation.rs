//! Failure domains whose upstreams get no requests, on an operator's order.
//!
//! Orders carry no number: one that is sent again after its withdrawal was acknowledged would take
//! effect again. A domain therefore follows the last committed order, and hosts drop an order whose
//! caller has left before it was proposed.

use std::collections::BTreeSet;

use coltsfootnotch_types::DomainName;
use serde::{Deserialize, Serialize};

/// Most evacuated domains; bounds the state against forged names.
const MAX_DOMAINS: usize = 256;

/// Starts or ends the evacuation of a failure domain.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SetEvacuation {
    /// The failure domain.
    pub domain: DomainName,
    /// Whether its upstreams get no requests.
    pub evacuated: bool,
}

/// The reply to a [`SetEvacuation`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum EvacuationReply {
    /// The domain is as ordered, by this command or an earlier one.
    Done {
        /// Revision of the evacuated domains.
        revision: u64,
    },
    /// Too many domains are evacuated; nothing was changed.
    TooMany,
}

/// The evacuated failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Evacuations {
    pub(crate) revision: u64,
    pub(crate) domains: BTreeSet<DomainName>,
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

    pub(crate) fn apply(&mut self, index: u64, req: &SetEvacuation) -> EvacuationReply {
        let is_changed = req.evacuated != self.domains.contains(&req.domain);
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
        EvacuationReply::Done {
            revision: self.revision,
        }
    }
}
