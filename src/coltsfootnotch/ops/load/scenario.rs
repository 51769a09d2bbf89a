//! Load scenarios, by the names that the command line takes.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::Serialize;

/// A load scenario.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Every few seconds many callers of half the accounts send requests at once.
    #[display("burst")]
    Burst,
    /// One account sends requests for several times the capacity.
    #[display("flood")]
    Flood,
    /// A few accounts and one entry carry most of the load.
    #[display("skew")]
    Skew,
    /// One engine is eight times slower for half of the run.
    #[display("slow-upstream")]
    SlowUpstream,
    /// One account requests long answers, the others short ones.
    #[display("long-among-short")]
    LongAmongShort,
    /// Every account continuously sends more than its share.
    #[display("saturation")]
    Saturation,
    /// One caller repeats a request that crashes every engine that runs it.
    #[display("crashing-request")]
    CrashingRequest,
    /// Orders that must be booked once, with lost answers and callers that retry.
    #[display("bookings")]
    Bookings,
}

/// An unknown scenario name.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("unknown scenario {name:?}; expected one of {}", Scenario::names())]
pub struct UnknownScenario {
    name: String,
}

impl Scenario {
    /// All scenarios, in the order in which the help lists them.
    pub const ALL: [Self; 8] = [
        Self::Burst,
        Self::Flood,
        Self::Skew,
        Self::SlowUpstream,
        Self::LongAmongShort,
        Self::Saturation,
        Self::CrashingRequest,
        Self::Bookings,
    ];

    fn names() -> String {
        let names: Vec<String> = Self::ALL.iter().map(ToString::to_string).collect();
        names.join(", ")
    }
}

impl FromStr for Scenario {
    type Err = UnknownScenario;

    /// Parses a scenario name.
    ///
    /// ```
    /// use coltsfootnotch::ops::load::Scenario;
    /// assert_eq!("flood".parse(), Ok(Scenario::Flood));
    /// ```
    fn from_str(name: &str) -> Result<Self, UnknownScenario> {
        let has_name = |scenario: &Self| scenario.to_string() == name;
        Self::ALL
            .into_iter()
            .find(has_name)
            .ok_or_else(|| UnknownScenario {
                name: name.to_owned(),
            })
    }
}
