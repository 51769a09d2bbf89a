//! Compares what callers were told with what the stand-ins really did.

use std::collections::{BTreeMap, HashMap};

use super::recorder::KeyFate;
use super::target::Target;

/// Claims that turned out false.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub(super) struct Verdict {
    pub(super) doubled_bookings: u64,
    pub(super) lost_bookings: u64,
    /// Requests and bookings that ran though the caller was told that they had not.
    pub(super) refused_but_run: u64,
}

/// Checks every claim of a run against the stand-ins of the target.
pub(super) fn verify(
    target: &Target<'_>,
    keys: &HashMap<String, KeyFate>,
    not_run: &[String],
) -> Verdict {
    let mut booked: BTreeMap<String, usize> = BTreeMap::new();
    for service in target.services {
        for (key, count) in service.bookings() {
            *booked.entry(key).or_default() += count;
        }
    }
    let mut verdict = Verdict::default();
    if !target.services.is_empty() {
        for (key, fate) in keys {
            let count = booked.get(key).copied().unwrap_or(0);
            verdict.doubled_bookings += u64::from(count > 1);
            verdict.lost_bookings += u64::from(fate.acknowledged && count == 0);
            verdict.refused_but_run += u64::from(fate.only_not_run && count > 0);
        }
    }
    let ran = |prompt: &&String| target.engines.iter().any(|engine| engine.runs(prompt) > 0);
    verdict.refused_but_run += not_run.iter().filter(ran).count() as u64;
    verdict
}
