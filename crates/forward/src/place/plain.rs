//! Placement on upstreams of plain services, which process a few requests at once.

use std::sync::Arc;
use std::time::Duration;

use super::rendezvous::distance;
use super::target::{Candidate, Placement, usable};
use super::{Refusal, RefusalReason};
use crate::load::SentRequest;

/// Most requests queued at an upstream, as a multiple of its slots.
const QUEUE_PER_SLOT: u32 = 2;

/// Cost of a failure, in requests ahead in the queue.
const FAILURE_COST_REQUESTS: f64 = 20.0;

/// Cost of another failure domain, in requests ahead in the queue.
const CROSS_DOMAIN_REQUESTS: f64 = 0.5;

/// Range of the tie-breaker, in requests ahead in the queue: less than one. Entries see each
/// other's requests some 200 ms late; with the same order at all of them they would all choose the
/// same upstream.
const TIE_BREAK_REQUESTS: f64 = 0.9;

/// Expected time to the first event of a plain call, in milliseconds.
const EXPECTED_MS: f64 = 50.0;

/// Retry delay; a queue is worked off in this time.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Chooses the upstream of a plain service with the fewest requests ahead in its queue.
/// `tie_breaker` differs between requests.
///
/// # Errors
/// [`Refusal`] when every upstream is saturated.
pub fn place_plain<'a>(
    now: Duration,
    domain: &str,
    avoid: &[Arc<str>],
    tie_breaker: u64,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Result<Placement, Refusal> {
    let mut best: Option<(f64, &Arc<str>)> = None;
    let candidates = usable(now, avoid, candidates);
    let has_candidates = !candidates.is_empty();
    for candidate in &candidates {
        let health = candidate.load.health();
        let running = candidate.load.in_flight().running;
        let limit = u64::from(candidate.slots.max(1)) * u64::from(1 + QUEUE_PER_SLOT);
        if u64::from(running) >= limit {
            continue;
        }
        let mut cost = f64::from(running) * candidate.load.slowness(now);
        cost += health.failure_rate(now) * FAILURE_COST_REQUESTS;
        cost += distance(tie_breaker, candidate.id) * TIE_BREAK_REQUESTS;
        if candidate.domain != domain {
            cost += CROSS_DOMAIN_REQUESTS;
        }
        if best.is_none_or(|(least_cost, _)| cost < least_cost) {
            best = Some((cost, candidate.id));
        }
    }
    let Some((_, id)) = best else {
        let reason = if has_candidates {
            RefusalReason::Saturated
        } else {
            RefusalReason::NoUpstream
        };
        return Err(Refusal {
            reason,
            retry_after: RETRY_AFTER,
            is_saturated: has_candidates,
            wait: None,
        });
    };
    Ok(Placement {
        id: id.clone(),
        copy_from: None,
        sent: SentRequest {
            uncached_tokens: 0,
            held_tokens: 0,
            expected_ms: EXPECTED_MS,
            at: now,
        },
        wait: Duration::ZERO,
        bound: Duration::ZERO,
    })
}
