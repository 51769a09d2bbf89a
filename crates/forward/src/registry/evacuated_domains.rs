//! Failure domains whose upstreams get no requests.

use std::collections::BTreeSet;
use std::sync::Arc;

/// Domains that one report changed.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct EvacuationChange {
    /// Domains that are evacuated from now on.
    pub started: Vec<Arc<str>>,
    /// Domains that are evacuated no more. Their upstreams may be cold.
    pub ended: Vec<Arc<str>>,
}

/// The evacuated domains, as control hosts report them.
///
/// Reports come over several connections, so that one may arrive after a later one; the highest
/// revision counts.
///
/// ```
/// use coltsfootnotch_forward::registry::EvacuatedDomains;
/// let mut evacuated = EvacuatedDomains::default();
/// evacuated.apply(7, ["colombo".into()]);
/// assert!(evacuated.contains("colombo"));
/// assert_eq!(evacuated.apply(5, []), None, "out of date");
/// let change = evacuated.apply(9, []).unwrap();
/// assert_eq!(change.ended, ["colombo".into()]);
/// assert!(!evacuated.contains("colombo"));
/// ```
#[derive(Debug, Clone, Default)]
pub struct EvacuatedDomains {
    revision: u64,
    domains: BTreeSet<Arc<str>>,
}

impl EvacuatedDomains {
    /// Applies a report of all evacuated domains. None if it is not newer than the current one.
    pub fn apply(
        &mut self,
        revision: u64,
        domains: impl IntoIterator<Item = Arc<str>>,
    ) -> Option<EvacuationChange> {
        if revision <= self.revision {
            return None;
        }
        let domains: BTreeSet<_> = domains.into_iter().collect();
        let change = EvacuationChange {
            started: domains.difference(&self.domains).cloned().collect(),
            ended: self.domains.difference(&domains).cloned().collect(),
        };
        self.revision = revision;
        self.domains = domains;
        Some(change)
    }

    /// Whether no domain is evacuated.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.domains.is_empty()
    }

    /// Whether the domain is evacuated.
    #[must_use]
    pub fn contains(&self, domain: &str) -> bool {
        self.domains.contains(domain)
    }

    /// The evacuated domains.
    pub fn iter(&self) -> impl Iterator<Item = &str> {
        self.domains.iter().map(|domain| &**domain)
    }
}
