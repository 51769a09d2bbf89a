//! The patterns of load that a run can play.

use std::str::FromStr;

use derive_more::{Display, Error};
use serde::Serialize;

/// One pattern of load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize)]
#[serde(rename_all = "kebab-case")]
pub enum Scenario {
    /// Every few seconds many callers of half the accounts ask at once.
    #[display("burst")]
    Burst,
    /// One account asks for several times the capacity.
    #[display("flood")]
    Flood,
    /// A few accounts and one entry carry most of the load.
    #[display("skew")]
    Skew,
    /// One engine works eight times slower for half the run.
    #[display("slow-upstream")]
    SlowUpstream,
    /// One account asks for long answers, the others for short ones.
    #[display("long-among-short")]
    LongAmongShort,
    /// Every account asks for more than its share, all the time.
    #[display("saturation")]
    Saturation,
    /// One caller sends a request that crashes every engine that runs it, again and again.
    #[display("crashing-request")]
    CrashingRequest,
    /// Orders that must not repeat, with lost answers and callers that ask again.
    #[display("bookings")]
    Bookings,
}

/// The name of no scenario.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("no scenario is called {name:?}; there are {}", Scenario::names())]
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

    /// Finds a scenario by its name.
    ///
    /// ```
    /// use coltsfootnotch::ops::load::Scenario;
    /// assert_eq!("flood".parse(), Ok(Scenario::Flood));
    /// ```
    fn from_str(name: &str) -> Result<Self, UnknownScenario> {
        let named = |scenario: &Self| scenario.to_string() == name;
        Self::ALL
            .into_iter()
            .find(named)
            .ok_or_else(|| UnknownScenario {
                name: name.to_owned(),
            })
    }
}
