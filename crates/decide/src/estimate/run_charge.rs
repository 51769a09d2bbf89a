//! The charge of one run, from its start to its settlement.

use coltsfootnotch_types::{AccountName, ServiceUnits, Weight};

/// What one run has been charged and what it has used.
///
/// The weight is that of the start, so that what is given back at the end is worth what was taken.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct RunCharge {
    account: AccountName,
    weight: Weight,
    hint: Option<ServiceUnits>,
    charged: ServiceUnits,
    used: ServiceUnits,
}

/// What a run has used since the last time, and what of it its estimate had not covered.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Used {
    /// Used since the last time.
    pub more: ServiceUnits,
    /// The part of it that must be charged now.
    pub beyond: ServiceUnits,
}

impl RunCharge {
    /// Opens the charge of a run with its estimate; `hint` is what the caller said of its cost.
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

    /// The weight in force when the run started.
    #[must_use]
    pub fn weight(&self) -> Weight {
        self.weight
    }

    /// What has been charged so far.
    #[must_use]
    pub fn charged(&self) -> ServiceUnits {
        self.charged
    }

    /// What has been used so far.
    #[must_use]
    pub fn used(&self) -> ServiceUnits {
        self.used
    }

    /// Notes that the run has used `total` since its start. A total that is older than one noted
    /// before changes nothing.
    pub fn use_total(&mut self, total: ServiceUnits) -> Used {
        let more = ServiceUnits(total.0.saturating_sub(self.used.0));
        self.used += more;
        let beyond = ServiceUnits(self.used.0.saturating_sub(self.charged.0));
        self.charged += beyond;
        Used { more, beyond }
    }

    /// Ends the run; consumes the charge, so that a run can't be settled twice.
    #[must_use]
    pub fn end(self) -> Settlement {
        Settlement {
            unused: ServiceUnits(self.charged.0 - self.used.0),
            account: self.account,
            weight: self.weight,
            hint: self.hint,
            used: self.used,
        }
    }
}

/// The account of a run that has ended.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Settlement {
    /// Who was charged.
    pub account: AccountName,
    /// The weight by which the run was charged.
    pub weight: Weight,
    /// What the caller said of the run's cost.
    pub hint: Option<ServiceUnits>,
    /// What the run used.
    pub used: ServiceUnits,
    /// What it was charged beyond that, to be given back.
    pub unused: ServiceUnits,
}
