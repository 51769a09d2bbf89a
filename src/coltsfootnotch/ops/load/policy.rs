//! Scheduling policies, by the names that the command line takes.

use std::str::FromStr;

use coltsfootnotch_decide::fair::ChoicePolicy;
use derive_more::{Display, Error};

/// Policy by which an embedded fleet selects the next account.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Policy {
    /// The account with the least service per weight across the fleet.
    #[default]
    #[display("fair")]
    Fair,
    /// First come, first served.
    #[display("fifo")]
    Fifo,
    /// The account with the least service per weight on each host.
    #[display("per-host")]
    PerHost,
}

/// An unknown policy name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("unknown policy {name:?}; expected fair, fifo or per-host")]
pub struct UnknownPolicy {
    name: String,
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        let all = [Self::Fair, Self::Fifo, Self::PerHost];
        let has_name = |policy: &Self| policy.to_string() == name;
        all.into_iter().find(has_name).ok_or_else(|| UnknownPolicy {
            name: name.to_owned(),
        })
    }
}

impl From<Policy> for ChoicePolicy {
    fn from(policy: Policy) -> Self {
        match policy {
            Policy::Fair => Self::Fair,
            Policy::Fifo => Self::Fifo,
            Policy::PerHost => Self::PerHost,
        }
    }
}
