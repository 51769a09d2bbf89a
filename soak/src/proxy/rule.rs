//! What happens on which path.

use std::collections::HashMap;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use derive_more::Display;

/// What happens to the bytes on a path.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display)]
pub enum Rule {
    /// They pass.
    #[default]
    #[display("passes")]
    Pass,
    /// They pass later.
    #[display("is late by {_0:?}")]
    Delay(Duration),
    /// Nothing passes, and nobody is told.
    #[display("is silent")]
    Silent,
    /// Nothing gets there; answers come back.
    #[display("is cut on the way there")]
    NotThere,
    /// Nothing comes back.
    #[display("is cut on the way back")]
    NotBack,
    /// Connections are reset, new ones as well. Datagrams are lost.
    #[display("is reset")]
    Reset,
}

impl Rule {
    /// How late bytes pass, or that they do not; `there` is the way from who connected.
    #[must_use]
    pub fn passes(self, there: bool) -> Option<Duration> {
        match self {
            Self::Pass => Some(Duration::ZERO),
            Self::Delay(time) => Some(time),
            Self::NotThere => (!there).then_some(Duration::ZERO),
            Self::NotBack => there.then_some(Duration::ZERO),
            Self::Silent | Self::Reset => None,
        }
    }
}

/// One end of a path.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub enum Place {
    /// A control host.
    Control(usize),
    /// A router.
    Router(usize),
    /// An upstream.
    Upstream(usize),
    /// Clients, operators and upstreams as callers.
    Outside,
}

/// From whom to whom.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash)]
pub struct Path {
    /// Who connects.
    pub from: Place,
    /// To whom.
    pub to: Place,
}

/// The rules in force, shared by all proxies.
#[derive(Debug, Clone, Default)]
pub struct Rules {
    by_path: Arc<Mutex<HashMap<Path, Rule>>>,
}

impl Rules {
    /// What happens on a path now.
    ///
    /// ```
    /// use coltsfootnotch_soak::proxy::{Path, Place, Rule, Rules};
    /// let rules = Rules::default();
    /// let path = Path { from: Place::Outside, to: Place::Router(1) };
    /// assert_eq!(rules.get(path), Rule::Pass);
    /// rules.set(path, Rule::Silent);
    /// assert_eq!(rules.get(path), Rule::Silent);
    /// ```
    #[must_use]
    pub fn get(&self, path: Path) -> Rule {
        let by_path = self.by_path.lock().unwrap_or_else(PoisonError::into_inner);
        by_path.get(&path).copied().unwrap_or_default()
    }

    /// Puts a rule in force.
    pub fn set(&self, path: Path, rule: Rule) {
        let mut by_path = self.by_path.lock().unwrap_or_else(PoisonError::into_inner);
        by_path.insert(path, rule);
    }
}
