//! Charge of one run, from its start to its settlement.

use coltsfootnotch_types::{AccountName, ServiceUnits, Weight};

/// Charged and used service of one run.
///
/// Keeps the weight from the start of the run, so that a refund has the same value per weight as
/// the charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunCharge {
    account: AccountName,
    weight: Weight,
    hint: Option<ServiceUnits>,
    charged: ServiceUnits,
    used: ServiceUnits,
}

/// Usage added by an update of a run.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Usage {
    /// Used since the previous update.
    pub added: ServiceUnits,
    /// The part above the charge so far, which is charged now.
    pub over_estimate: ServiceUnits,
}

impl RunCharge {
    /// The charge of a run that starts with `estimate`; `hint` is the caller's estimate.
    #[must_use]
    pub fn new(
        account: AccountName,
        weight: Weight,
        hint: Option<ServiceUnits>,
        estimate: ServiceUnits,
    ) -> Self {
        Self {
            account,
            weight,
            hint,
            charged: estimate,
            used: ServiceUnits(0),
        }
    }

    /// The account that is charged.
    #[must_use]
    pub fn account(&self) -> &AccountName {
        &self.account
    }

    /// Weight of the account when the run started.
    #[must_use]
    pub fn weight(&self) -> Weight {
        self.weight
    }

    /// Service charged so far.
    #[must_use]
    pub fn charged(&self) -> ServiceUnits {
        self.charged
    }

    /// Service used so far.
    #[must_use]
    pub fn used(&self) -> ServiceUnits {
        self.used
    }

    /// Records that the run has used `total` since its start. A total below an earlier one is
    /// ignored.
    pub fn record_usage(&mut self, total: ServiceUnits) -> Usage {
        let added = ServiceUnits(total.0.saturating_sub(self.used.0));
        self.used += added;
        let over_estimate = ServiceUnits(self.used.0.saturating_sub(self.charged.0));
        self.charged += over_estimate;
        Usage {
            added,
            over_estimate,
        }
    }

    /// Ends the run; consumes the charge, so that a run can't be settled twice.
    #[must_use]
    pub fn settle(self) -> Settlement {
        Settlement {
            unused: ServiceUnits(self.charged.0 - self.used.0),
            account: self.account,
            weight: self.weight,
            hint: self.hint,
            used: self.used,
        }
    }
}

/// Final usage of a run and the unused part of its charge.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settlement {
    /// The account that was charged.
    pub account: AccountName,
    /// Weight of the account when the run started.
    pub weight: Weight,
    /// The caller's estimate of the cost.
    pub hint: Option<ServiceUnits>,
    /// Service that the run used.
    pub used: ServiceUnits,
    /// Service that was charged but not used, to be refunded.
    pub unused: ServiceUnits,
}
