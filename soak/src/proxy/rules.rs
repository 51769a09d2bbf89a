//! Fault rules of the paths between processes.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::Display;

/// What a proxy does with the traffic on a path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Rule {
    /// Forwards it.
    #[default]
    #[display("passes")]
    Pass,
    /// Forwards it after a delay.
    #[display("is delayed by {_0:?}")]
    Delay(Duration),
    /// Drops both directions without closing connections.
    #[display("is blocked")]
    DropAll,
    /// Drops traffic to the target only.
    #[display("is blocked towards the target")]
    DropForward,
    /// Drops traffic from the target only.
    #[display("is blocked from the target")]
    DropBackward,
    /// Resets open and new connections and drops datagrams.
    #[display("is reset")]
    Reset,
}

impl Rule {
    /// Returns the delay of traffic in one direction, or `None` if it is dropped. `forward` is the direction
    /// from the connecting side to the target.
    #[must_use]
    pub fn delay(self, forward: bool) -> Option<Duration> {
        match self {
            Self::Pass => Some(Duration::ZERO),
            Self::Delay(time) => Some(time),
            Self::DropForward => (!forward).then_some(Duration::ZERO),
            Self::DropBackward => forward.then_some(Duration::ZERO),
            Self::DropAll | Self::Reset => None,
        }
    }
}

/// One end of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Endpoint {
    /// A control host.
    Control(usize),
    /// A router.
    Router(usize),
    /// An upstream.
    Upstream(usize),
    /// Clients, operators and upstreams as callers of the fleet.
    Outside,
}

/// A direction between two endpoints.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Path {
    /// The connecting endpoint.
    pub from: Endpoint,
    /// The target.
    pub to: Endpoint,
}

/// The current rules, shared by all proxies.
#[derive(Debug, Clone, Default)]
pub struct Rules {
    by_path: Arc<Mutex<HashMap<Path, Rule>>>,
}

impl Rules {
    /// Returns the current rule of a path.
    ///
    /// ```
    /// use coltsfootnotch_soak::proxy::{Path, Endpoint, Rule, Rules};
    /// let rules = Rules::default();
    /// let path = Path { from: Endpoint::Outside, to: Endpoint::Router(1) };
    /// assert_eq!(rules.get(path), Rule::Pass);
    /// rules.set(path, Rule::DropAll);
    /// assert_eq!(rules.get(path), Rule::DropAll);
    /// ```
    #[must_use]
    pub fn get(&self, path: Path) -> Rule {
        let by_path = self.by_path.lock().unwrap_or_else(PoisonError::into_inner);
        by_path.get(&path).copied().unwrap_or_default()
    }

    /// Sets the rule of a path.
    pub fn set(&self, path: Path, rule: Rule) {
        let mut by_path = self.by_path.lock().unwrap_or_else(PoisonError::into_inner);
        by_path.insert(path, rule);
    }
}
