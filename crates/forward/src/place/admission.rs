//! Admission of requests at an engine with a backlog.

use std::time::Duration;

use super::PlacementRequest;
use super::rendezvous::distance;
use crate::load::UpstreamLoad;

/// Share of the shortest target that may wait at an engine for an account within its fair share.
/// The rest covers the request's own prompt, network time, and requests of other entries not yet
/// reported.
const MAX_WAIT_SHARE: f64 = 0.75;
/// Multiple of that for an account far below its fair share while the fleet is saturated. Reports
/// are late, so a new flood fills engines beyond the bound; with the same bound a small account is
/// refused as well.
const FAR_BELOW_FACTOR: f64 = 1.5;
/// Multiple of that for a request that resumes a stream: its version may have few upstreams left, while new
/// streams may begin at any.
const RESUMED_FACTOR: f64 = 1.5;
/// Pressure up to which an account counts as far below its share.
const FAR_BELOW_PRESSURE: f64 = 0.5;
/// Pressure up to which an account counts as below its share, and from which as above it. The gap
/// keeps a single large request from reclassifying its account.
const SHARE_BAND: (f64, f64) = (0.90, 1.15);

/// Exponent by which the bound falls with pressure above the band.
const ABOVE_POWER: i32 = 3;

/// Multiple of the engines' throughput that entries admit when nothing waits. Reports are one or
/// two periods old; a greater gain makes load oscillate between idle and overfilled engines, a
/// smaller one fills an idle fleet more slowly.
const GAIN_WHEN_EMPTY: f64 = 1.4;

/// Key of the admission draw, distinct from engine identities.
const ADMISSION_KEY: &str = "admission";

/// Longest wait at an engine for an account within its fair share, in milliseconds: what leaves
/// room for the target, and what the engine's streams tolerate.
pub(super) fn wait_bound_ms(request: &PlacementRequest<'_>, load: &UpstreamLoad) -> f64 {
    let target_limit = request.shortest_target.mul_f64(MAX_WAIT_SHARE);
    let stall_limit = request.shortest_gap.map(|gap| load.backlog.get(gap));
    let bound = stall_limit.map_or(target_limit, |limit| limit.min(target_limit));
    bound.as_secs_f64() * 1e3
}

/// Multiple of the wait bound for the request's account.
pub(super) fn account_factor(request: &PlacementRequest<'_>) -> f64 {
    let least = if request.is_resumed {
        RESUMED_FACTOR
    } else {
        1.0
    };
    let Some(pressure) = request.pressure else {
        return least;
    };
    let (from, to) = SHARE_BAND;
    let below_ratio = ((from - pressure) / (from - FAR_BELOW_PRESSURE)).clamp(0.0, 1.0);
    let below_factor = 1.0 + (FAR_BELOW_FACTOR - 1.0) * below_ratio;
    let above_factor = (to / pressure.max(to)).powi(ABOVE_POWER);
    below_factor.max(least) * above_factor
}

/// Whether a request of an account above its fair share is admitted at an engine where `wait` of at
/// most `bound` is ahead of it. The probability follows the account's share: at a full bound as
/// much is admitted as the engines serve.
///
/// A bound alone admits every request at an engine that looks idle, which it does to all entries
/// for a whole reporting period; each of them then overfills it.
pub(super) fn is_admitted(request: &PlacementRequest<'_>, wait: Duration, bound: Duration) -> bool {
    if request.fair_fraction >= 1.0 {
        return true;
    }
    let fill_ratio = wait.as_secs_f64() / bound.as_secs_f64();
    let gain = GAIN_WHEN_EMPTY - (GAIN_WHEN_EMPTY - 1.0) * fill_ratio;
    distance(request.tie_breaker, ADMISSION_KEY) < request.fair_fraction * gain
}
