//! The policies that a run can compare, by the names that the command line takes.

use std::str::FromStr;

use coltsfootnotch_decide::fair::ChoicePolicy;
use derive_more::{Display, Error};

/// How an embedded fleet chooses whose work is served.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Policy {
    /// The account furthest behind over the whole fleet.
    #[default]
    #[display("fair")]
    Fair,
    /// First come, first served.
    #[display("fifo")]
    Fifo,
    /// The account furthest behind on each host alone.
    #[display("per-host")]
    PerHost,
}

/// The name of no policy.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("no policy is called {name:?}; there are fair, fifo and per-host")]
pub struct UnknownPolicy {
    name: String,
}

impl FromStr for Policy {
    type Err = UnknownPolicy;

    fn from_str(name: &str) -> Result<Self, UnknownPolicy> {
        let all = [Self::Fair, Self::Fifo, Self::PerHost];
        let named = |policy: &Self| policy.to_string() == name;
        all.into_iter().find(named).ok_or_else(|| UnknownPolicy {
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
