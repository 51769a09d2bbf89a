//! Model engines.

use std::time::Duration;

use super::rendezvous::distance;
use super::target::{Candidate, Placement};
use super::{Ask, Pace, Refusal, RefusalReason};
use crate::load::Sent;

/// Share of the tightest target that may wait at an engine for an account below its fair share. The
/// rest is for the request's own prompt, the way, and what other entries sent meanwhile.
const WAIT_BELOW_SHARE: f64 = 0.75;
/// The same for an account far below its fair share, while the fleet is short. Entries learn of each
/// other late, so in the first second of a flood engines are filled beyond the bound of the others; a
/// small account that stopped at the same bound was refused most of what it asked, though it asked for
/// a tenth of its share.
const WAIT_FAR_BELOW_SHARE: f64 = 1.15;
/// Pressure up to which an account counts as far below its share.
const FAR_BELOW: f64 = 0.5;
/// The same for an account above its fair share. An engine that reads in steps of some 30 ms stays
/// busy with about three of them waiting; more would only make the others wait.
const WAIT_ABOVE_SHARE: f64 = 0.30;
/// Pressure up to which an account counts as below its share, and from which as above it. Between
/// them the bound falls in a line, so that a large request does not flip its account.
const SHARE_BAND: (f64, f64) = (0.90, 1.15);

/// Power by which the bound falls with pressure beyond the band. Two accounts that both flood are told
/// apart by it: with one bound for all, each got in proportion to what it sent. At twice its share an
/// account is let in only where an engine is about to idle.
const BEYOND_POWER: i32 = 3;

/// Share of an engine's memory that running requests may fill: cached parts need the rest, and
/// answers turn out longer than their callers expect.
const MEMORY_SHARE: f64 = 0.70;

/// What reading parts again that another engine keeps weighs against the same time of waiting. It
/// takes the engine's time from everybody behind it, and pushes other parts out of the memory.
const REREAD_WEIGHT: f64 = 3.0;

/// Share of the bound of an account below its fair share that reading again counts at most. It counts towards the bound, so a request
/// whose home is full is read elsewhere only at an engine that has nearly nothing to do, however long
/// its prompt. Without that, every account that was kept away from its home by the bound spread its
/// subjects over all engines: each was kept by three on average, and a fifth of all tokens read on a
/// calm day were shared parts read again. Without the limit, a subject that many ask for at once was
/// refused at its home while other engines idled.
const REREAD_SHARE: f64 = 0.75;

/// Milliseconds by which the home of a prompt that nobody keeps is preferred, so that entries which
/// meet a new subject at the same moment read it at one engine and not at several.
const HOME_MS: f64 = 80.0;

/// Milliseconds by which equal engines are told apart, differently for each request. Entries see each
/// other's requests some 200 ms late; if all sent what has no home to the engine with the least to do,
/// it would be the fullest before they knew. Less than reading a short shared part again costs.
const TURN_MS: f64 = 30.0;

/// Milliseconds by which another failure domain is worse: the way there and back, and the bytes that
/// go over the links between domains.
const FAR_MS: f64 = 6.0;

/// Milliseconds that a failure costs its caller, by which the rate of failures of an upstream weighs.
const FAILURE_MS: f64 = 1_500.0;

/// When trying again is of use, at least. An engine works off what is beyond the bound in that time and
/// this much of it more; a caller whose target is some hundred milliseconds can still be served in it.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Finds the engine for a request.
///
/// # Errors
/// [`Refusal`] when no engine would begin it in time.
pub fn place_engine<'a>(
    now: Duration,
    ask: &Ask<'_>,
    pace: Pace,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Result<Placement, Refusal> {
    let bound = wait_bound(ask);
    let usable = |c: &Candidate<'_>| !ask.avoid.contains(c.id) && c.load.standing().takes_work(now);
    let candidates: Vec<_> = candidates.into_iter().filter(usable).collect();
    let kept = candidates
        .iter()
        .map(|c| c.load.kept.tokens_of(&ask.prompt.shared));
    let most_kept = kept.max().unwrap_or(0);
    let most_again_ms = full_bound(ask) * REREAD_SHARE;
    let mut best: Option<(f64, Placement)> = None;
    let mut least_wait: Option<f64> = None;
    for candidate in &candidates {
        let offer = Offer::new(now, ask, pace, most_kept, most_again_ms, candidate);
        least_wait = Some(least_wait.map_or(offer.burden_ms, |w| w.min(offer.burden_ms)));
        if offer.burden_ms > bound || !fits(candidate, offer.sent.held_tokens) {
            continue;
        }
        if best.as_ref().is_none_or(|(cost, _)| offer.cost < *cost) {
            let placement = Placement {
                id: candidate.id.clone(),
                sent: offer.sent,
                wait: Duration::from_secs_f64(offer.wait_ms / 1e3),
            };
            best = Some((offer.cost, placement));
        }
    }
    match best {
        Some((_, placement)) => Ok(placement),
        None => Err(refusal(ask, bound, least_wait)),
    }
}

/// What sending the request to one engine means.
struct Offer {
    /// What waits there to be read.
    wait_ms: f64,
    /// The same, with the time in which it reads again what another engine keeps.
    burden_ms: f64,
    /// By which engines are compared.
    cost: f64,
    sent: Sent,
}

impl Offer {
    fn new(
        now: Duration,
        ask: &Ask<'_>,
        pace: Pace,
        most_kept: u64,
        most_again_ms: f64,
        candidate: &Candidate<'_>,
    ) -> Self {
        let load = candidate.load;
        let held = load.held();
        let slowness = load.slowness(now);
        let kept = load.kept.tokens_of(&ask.prompt.shared);
        let unread = ask.prompt.tokens.saturating_sub(kept);
        let to_ms = |tokens: u64| tokens as f64 / pace.tokens_per_ms;
        let queue_ms = to_ms(held.waiting_tokens);
        let again_ms = to_ms(most_kept - kept) * REREAD_WEIGHT;
        let expected_ms = queue_ms + pace.base_ms + to_ms(unread);
        let mut cost = expected_ms * slowness + again_ms;
        cost += load.standing().failure_rate(now) * FAILURE_MS;
        cost += distance(ask.turn, candidate.id) * TURN_MS;
        if candidate.domain != ask.domain {
            cost += FAR_MS;
        }
        if let Some(last) = ask.prompt.shared.last().filter(|_| most_kept == 0) {
            cost += distance(last.id, candidate.id) * HOME_MS;
        }
        let sent = Sent {
            unread_tokens: unread,
            held_tokens: unread + ask.prompt.output_tokens,
            expected_ms,
            at: now,
        };
        Self {
            wait_ms: queue_ms * slowness,
            burden_ms: queue_ms * slowness + again_ms.min(most_again_ms),
            cost,
            sent,
        }
    }
}

/// Whether the engine has a slot and memory for the request. One larger than the memory goes to an
/// engine that is empty, which decides itself.
fn fits(candidate: &Candidate<'_>, tokens: u64) -> bool {
    let held = candidate.load.held();
    let room = (candidate.memory_tokens as f64 * MEMORY_SHARE) as u64;
    held.running < candidate.slots && (held.running == 0 || held.held_tokens + tokens <= room)
}

/// Longest wait at an engine for an account below its fair share, in milliseconds.
fn full_bound(ask: &Ask<'_>) -> f64 {
    ask.tightest.as_secs_f64() * 1e3 * WAIT_BELOW_SHARE
}

/// Longest wait at an engine for the request's account, in milliseconds.
fn wait_bound(ask: &Ask<'_>) -> f64 {
    let Some(pressure) = ask.pressure else {
        return full_bound(ask);
    };
    let (from, to) = SHARE_BAND;
    let below = ((from - pressure) / (from - FAR_BELOW)).clamp(0.0, 1.0);
    let rise = 1.0 + (WAIT_FAR_BELOW_SHARE / WAIT_BELOW_SHARE - 1.0) * below;
    let above = ((pressure - from) / (to - from)).clamp(0.0, 1.0);
    let fall = 1.0 + (WAIT_ABOVE_SHARE / WAIT_BELOW_SHARE - 1.0) * above;
    let beyond = (to / pressure.max(to)).powi(BEYOND_POWER);
    full_bound(ask) * rise * fall * beyond
}

fn refusal(ask: &Ask<'_>, bound: f64, least_wait: Option<f64>) -> Refusal {
    let (_, above) = SHARE_BAND;
    let pressure = ask.pressure.unwrap_or(0.0);
    let reason = match least_wait {
        None => RefusalReason::NoUpstream,
        Some(_) if pressure >= above => RefusalReason::OverShare,
        Some(_) => RefusalReason::Full,
    };
    let beyond = (least_wait.unwrap_or(bound) - bound).max(0.0);
    let mut retry_after = MIN_RETRY_AFTER + Duration::from_secs_f64(beyond / 1e3);
    if pressure > above {
        // Its use fades to its share in this time, if nothing more of it is let in meanwhile.
        retry_after = retry_after.max(crate::share::MEMORY.mul_f64(pressure.ln()));
    }
    Refusal {
        reason,
        retry_after,
    }
}
