//! Checks the answers that callers received against what the stand-ins recorded.

use std::collections::{BTreeMap, HashMap};

use super::recorder::KeyOutcome;
use super::target::Target;

/// Numbers of false answers.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Violations {
    pub(super) doubled_bookings: u64,
    pub(super) lost_bookings: u64,
    /// Requests and bookings that ran although the caller received `"run":"no"`.
    pub(super) refused_but_run: u64,
}

/// Checks the keys and refused prompts of a run against the stand-ins of the target.
pub(super) fn verify(
    target: &Target<'_>,
    keys: &HashMap<String, KeyOutcome>,
    not_run: &[String],
) -> Violations {
    let mut booked: BTreeMap<String, usize> = BTreeMap::new();
    for service in target.services {
        for (key, count) in service.bookings() {
            *booked.entry(key).or_default() += count;
        }
    }
    let mut violations = Violations::default();
    if !target.services.is_empty() {
        for (key, outcome) in keys {
            let count = booked.get(key).copied().unwrap_or(0);
            violations.doubled_bookings += u64::from(count > 1);
            violations.lost_bookings += u64::from(outcome.acknowledged && count == 0);
            violations.refused_but_run += u64::from(outcome.only_not_run && count > 0);
        }
    }
    let was_run = |prompt: &&String| target.engines.iter().any(|engine| engine.runs(prompt) > 0);
    violations.refused_but_run += not_run.iter().filter(was_run).count() as u64;
    violations
}
