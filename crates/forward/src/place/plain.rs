//! Plain services, whose upstreams work on a few requests at once.

use std::sync::Arc;
use std::time::Duration;

use super::rendezvous::distance;
use super::target::{Candidate, Placement};
use super::{Refusal, RefusalReason};
use crate::load::Sent;

/// Requests that may wait at an upstream, as a multiple of its slots. A plain call takes tens of
/// milliseconds, so as many again as it works on wait about as long as a call takes.
const QUEUE_PER_SLOT: u32 = 2;

/// What a failure weighs, in requests ahead of this one.
const FAILURE_REQUESTS: f64 = 20.0;

/// What another failure domain weighs, in requests ahead of this one.
const FAR_REQUESTS: f64 = 0.5;

/// By how much equal upstreams are told apart, in requests ahead: by less than one. Entries see each
/// other's requests some 200 ms late; if all broke ties alike, they would all send to the same upstream
/// meanwhile.
const TURN_REQUESTS: f64 = 0.9;

/// Time to a first event that is expected of a plain call, in milliseconds.
const EXPECTED_MS: f64 = 50.0;

/// When trying again is of use: a queue of calls is gone by then.
const RETRY_AFTER: Duration = Duration::from_millis(150);

/// Finds the upstream of a plain service for a request: the one with the least ahead of it. `turn`
/// differs from request to request and breaks ties.
///
/// # Errors
/// [`Refusal`] when every upstream has as much as it may hold.
pub fn place_plain<'a>(
    now: Duration,
    domain: &str,
    avoid: &[Arc<str>],
    turn: u64,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Result<Placement, Refusal> {
    let mut best: Option<(f64, &Arc<str>)> = None;
    let mut any = false;
    for candidate in candidates {
        let standing = candidate.load.standing();
        if avoid.contains(candidate.id) || !standing.takes_work(now) {
            continue;
        }
        any = true;
        let running = candidate.load.held().running;
        if running >= candidate.slots.max(1) * (1 + QUEUE_PER_SLOT) {
            continue;
        }
        let mut cost = f64::from(running) * candidate.load.slowness(now);
        cost += standing.failure_rate(now) * FAILURE_REQUESTS;
        cost += distance(turn, candidate.id) * TURN_REQUESTS;
        if candidate.domain != domain {
            cost += FAR_REQUESTS;
        }
        if best.is_none_or(|(least, _)| cost < least) {
            best = Some((cost, candidate.id));
        }
    }
    let Some((_, id)) = best else {
        let reason = if any {
            RefusalReason::Full
        } else {
            RefusalReason::NoUpstream
        };
        return Err(Refusal {
            reason,
            retry_after: RETRY_AFTER,
            is_crowded: any,
        });
    };
    Ok(Placement {
        id: id.clone(),
        sent: Sent {
            unread_tokens: 0,
            held_tokens: 0,
            expected_ms: EXPECTED_MS,
            at: now,
        },
        wait: Duration::ZERO,
        bound: Duration::ZERO,
    })
}
