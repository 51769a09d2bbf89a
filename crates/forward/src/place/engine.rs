//! Model engines.

use std::time::Duration;

use super::admission::{account_factor, full_bound, is_above_share, is_let_in};
use super::rendezvous::distance;
use super::shortlist::Shortlist;
use super::target::{Candidate, Placement};
use super::{Ask, Pace, Refusal, RefusalReason};
use crate::load::Sent;

/// Share of an engine's memory that running requests may fill: cached parts need the rest, and
/// answers turn out longer than their callers expect.
const MEMORY_SHARE: f64 = 0.70;

/// What reading parts again that another engine keeps weighs against the same time of waiting. It
/// takes the engine's time from everybody behind it, and pushes other parts out of the memory.
const REREAD_WEIGHT: f64 = 3.0;

/// Share of the bound of an account below its fair share that reading again counts at most. It counts
/// towards the bound, so a request whose home is full is read elsewhere only at an engine that has nearly
/// nothing to do, however long its prompt. Without that, every account that the bound keeps away from its
/// home would spread its subjects over all engines. Without the limit, a subject that many ask for at once
/// would be refused at its home while other engines idle.
const REREAD_SHARE: f64 = 0.75;

/// Milliseconds by which the home of a prompt that nobody keeps is preferred, so that entries which
/// meet a new subject at the same moment read it at one engine and not at several.
const HOME_MS: f64 = 80.0;

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
/// [`Refusal`] when no engine would begin it in time, or its account has its share.
pub fn place_engine<'a>(
    now: Duration,
    ask: &Ask<'_>,
    pace: Pace,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Result<Placement, Refusal> {
    let usable = |c: &Candidate<'_>| !ask.avoid.contains(c.id) && c.load.standing().takes_work(now);
    let usable: Vec<_> = candidates.into_iter().filter(usable).collect();
    let shortlist = Shortlist::new(ask, pace, &usable);
    let mut choice = Choice::new(now, ask, pace, shortlist.most_kept);
    shortlist.iter(ask).for_each(|c| choice.compare(c));
    if choice.best.is_none() && ask.fraction >= 1.0 {
        // An account with no more than its share is refused only if there is no room anywhere.
        usable.iter().for_each(|c| choice.compare(c));
    }
    choice.end()
}

/// The engines compared so far.
struct Choice<'a, 'b> {
    now: Duration,
    ask: &'a Ask<'b>,
    pace: Pace,
    /// By how much the bound of an engine is multiplied for the request's account.
    factor: f64,
    most_kept: u64,
    best: Option<(f64, Placement)>,
    /// By how much the least crowded engine is beyond its bound.
    least_beyond_ms: Option<f64>,
}

impl<'a, 'b> Choice<'a, 'b> {
    fn new(now: Duration, ask: &'a Ask<'b>, pace: Pace, most_kept: u64) -> Self {
        Self {
            now,
            ask,
            pace,
            factor: account_factor(ask),
            most_kept,
            best: None,
            least_beyond_ms: None,
        }
    }

    fn compare(&mut self, candidate: &Candidate<'_>) {
        let offer = Offer::new(self.now, self.ask, self.pace, self.most_kept, candidate);
        let beyond_ms = offer.burden_ms - offer.bound_ms * self.factor;
        let least = self.least_beyond_ms.unwrap_or(f64::INFINITY);
        self.least_beyond_ms = Some(least.min(beyond_ms));
        if beyond_ms > 0.0 || !fits(candidate, offer.sent.held_tokens) {
            return;
        }
        if self
            .best
            .as_ref()
            .is_none_or(|(cost, _)| offer.cost < *cost)
        {
            let placement = Placement {
                id: candidate.id.clone(),
                sent: offer.sent,
                wait: Duration::from_secs_f64(offer.wait_ms / 1e3),
                bound: Duration::from_secs_f64(offer.bound_ms / 1e3),
            };
            self.best = Some((offer.cost, placement));
        }
    }

    fn end(self) -> Result<Placement, Refusal> {
        let Some((_, placement)) = self.best else {
            return Err(refusal(self.ask, self.least_beyond_ms, true));
        };
        if is_let_in(self.ask, placement.wait, placement.bound) {
            return Ok(placement);
        }
        Err(refusal(self.ask, self.least_beyond_ms, false))
    }
}

/// What sending the request to one engine means.
struct Offer {
    /// What waits there to be read.
    wait_ms: f64,
    /// The same, with the time in which it reads again what another engine keeps.
    burden_ms: f64,
    /// What of both may be there for an account with its fair share.
    bound_ms: f64,
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
        let bound_ms = full_bound(ask, load);
        Self {
            wait_ms: queue_ms * slowness,
            burden_ms: queue_ms * slowness + again_ms.min(bound_ms * REREAD_SHARE),
            bound_ms,
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

fn refusal(ask: &Ask<'_>, least_beyond_ms: Option<f64>, is_crowded: bool) -> Refusal {
    let reason = match least_beyond_ms {
        None => RefusalReason::NoUpstream,
        Some(_) if is_above_share(ask) => RefusalReason::OverShare,
        Some(_) => RefusalReason::Full,
    };
    let beyond = least_beyond_ms.unwrap_or(0.0).max(0.0);
    let mut retry_after = MIN_RETRY_AFTER + Duration::from_secs_f64(beyond / 1e3);
    let pressure = ask.pressure.unwrap_or(0.0);
    if pressure > 1.0 {
        // Its use fades to its share in this time, if nothing more of it is let in meanwhile.
        retry_after = retry_after.max(crate::share::MEMORY.mul_f64(pressure.ln()));
    }
    Refusal {
        reason,
        retry_after,
        is_crowded: is_crowded && least_beyond_ms.is_some(),
    }
}
