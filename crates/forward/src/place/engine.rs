//! Placement on model engines.

use std::sync::Arc;
use std::time::Duration;

use super::admission::{account_factor, is_admitted, wait_bound_ms};
use super::rendezvous::distance;
use super::shortlist::{Listed, SharedCache, Shortlist};
use super::target::{Candidate, Placement, usable};
use super::{PlacementRequest, PrefillRate, Refusal, RefusalReason};
use crate::load::{SentRequest, UpstreamLoad};
use crate::share::FairShares;

/// Share of an engine's memory for running requests. Cached segments need the rest, and answers can
/// be longer than stated.
const MEMORY_SHARE: f64 = 0.70;

/// Weight of prefilling segments that another engine has cached, relative to the same time of
/// waiting: it delays all requests behind it and evicts other segments.
const REPEATED_PREFILL_WEIGHT: f64 = 3.0;

/// Greatest share of the bound that repeated prefill is charged with. Charged in full, it refuses
/// requests for a subject in high demand at its saturated preferred engine while others idle; not
/// charged at all, it spreads each subject over all engines.
const MAX_REPEATED_PREFILL_SHARE: f64 = 0.75;

/// Cost in milliseconds of each rank among the homes of a subject that is cached nowhere, so that
/// entries which receive a new subject at the same time prefill it at one engine.
const HOME_RANK_MS: f64 = 80.0;

/// Slowness of most engines up to which it counts in full. When all look slower than that, requests
/// waited behind others that their entry did not know of yet; counted as slowness, it makes idle
/// engines look saturated.
const PLAUSIBLE_SLOWNESS: f64 = 1.5;
/// Greatest factor that is taken off the slowness of all engines for it.
const MAX_COMMON_SLOWNESS: f64 = 2.0;

/// Cost in milliseconds of another failure domain: network time and cross-domain traffic.
const CROSS_DOMAIN_MS: f64 = 6.0;

/// Mean wait at all engines, as a share of the bound, up to which a prompt may leave its saturated homes.
/// Under more load engines would displace each other's subjects by copies.
const MAX_IDLE_FILL: f64 = 0.15;

/// Cost in milliseconds of a failure, by which an upstream's failure rate is weighted.
const FAILURE_COST_MS: f64 = 1_500.0;

/// Least retry delay, beyond the time in which an engine works off its excess backlog.
const MIN_RETRY_AFTER: Duration = Duration::from_millis(100);

/// Chooses the engine for a request.
///
/// # Errors
/// [`Refusal`] when no engine would start it in time, or its account has used its share.
pub fn place_engine<'a>(
    now: Duration,
    request: &PlacementRequest<'_>,
    prefill_rate: PrefillRate,
    candidates: impl IntoIterator<Item = Candidate<'a>>,
) -> Result<Placement, Refusal> {
    let usable = usable(now, request.avoid, candidates);
    let shortlist = Shortlist::new(request, prefill_rate, &usable);
    let fleet = FleetView {
        prefill_rate,
        common_slowness: common_slowness(now, &usable),
        cache: shortlist.cache,
    };
    let placement = compare_engines(now, request, fleet, &shortlist)?;
    let copy_from = copy_source(request, prefill_rate, &usable, &placement.id).cloned();
    Ok(Placement {
        copy_from,
        ..placement
    })
}

/// Compares the homes of the prompt's subject, and other engines if none of them starts it in time.
fn compare_engines(
    now: Duration,
    request: &PlacementRequest<'_>,
    fleet: FleetView,
    shortlist: &Shortlist<'_, '_>,
) -> Result<Placement, Refusal> {
    let mut comparison = Comparison::new(now, request, fleet);
    shortlist
        .preferred(request)
        .for_each(|l| comparison.compare(&l));
    let is_limited_to_homes = shortlist.is_kept_at_homes() && !request.is_resumed;
    if is_limited_to_homes {
        if comparison.best.is_none() && may_leave_homes(now, request, fleet, shortlist) {
            shortlist.sampled().for_each(|l| comparison.compare(&l));
        }
        return comparison.finish(false);
    }
    if comparison.best.is_none() {
        shortlist.sampled().for_each(|l| comparison.compare(&l));
    }
    if comparison.best.is_none() && (request.is_resumed || request.fair_fraction >= 1.0) {
        // A resumed stream, or one of an account within its share, is refused only if all engines are saturated.
        shortlist.all().for_each(|l| comparison.compare(&l));
    }
    comparison.finish(true)
}

/// Whether a prompt whose homes are saturated may go to other engines: most of them are idle, and its account is
/// within its share.
fn may_leave_homes(
    now: Duration,
    request: &PlacementRequest<'_>,
    fleet: FleetView,
    shortlist: &Shortlist<'_, '_>,
) -> bool {
    if request.fair_fraction < 1.0 {
        return false;
    }
    let (mut fill, mut engines) = (0.0, 0.0);
    for listed in shortlist.all() {
        let load = listed.candidate.load;
        let wait_ms = fleet.queue_ms(load) * fleet.slowness(now, load);
        fill += (wait_ms / wait_bound_ms(request, load).max(1.0)).min(1.0);
        engines += 1.0;
    }
    fill <= engines * MAX_IDLE_FILL
}

/// The engine from which `target` copies the shared segments of the prompt that it lacks: one that has
/// most of them, in its own failure domain if there is one.
fn copy_source<'a>(
    request: &PlacementRequest<'_>,
    prefill_rate: PrefillRate,
    usable: &[Candidate<'a>],
    target: &Arc<str>,
) -> Option<&'a Arc<str>> {
    let rate = request.copy_rate?;
    let shared = &request.prompt.shared;
    let cached = |c: &Candidate<'_>| c.load.cached.cached_prefix_tokens(shared);
    // Named also if the target is believed to have as much: it may have displaced it since.
    let target = usable.iter().find(|c| c.id == target)?;
    let others = usable.iter().filter(|c| c.id != target.id);
    let source = others.max_by(|a, b| {
        let key = |c: &Candidate<'_>| (cached(c), c.domain == target.domain);
        let tie = |c: &Candidate<'_>| distance(request.tie_breaker, c.id);
        key(a).cmp(&key(b)).then_with(|| tie(a).total_cmp(&tie(b)))
    })?;
    rate.copy_ms(cached(source), prefill_rate)
        .map(|_| source.id)
}

/// Factor of the engines' slowness that is due to late reports, at least 1.
fn common_slowness(now: Duration, usable: &[Candidate<'_>]) -> f64 {
    let mut factors: Vec<f64> = usable.iter().map(|c| c.load.slowness(now)).collect();
    if factors.is_empty() {
        return 1.0;
    }
    let middle = factors.len() / 2;
    let (_, median, _) = factors.select_nth_unstable_by(middle, f64::total_cmp);
    (*median / PLAUSIBLE_SLOWNESS).clamp(1.0, MAX_COMMON_SLOWNESS)
}

/// What is the same for all engines that a request is compared at.
#[derive(Clone, Copy)]
struct FleetView {
    prefill_rate: PrefillRate,
    common_slowness: f64,
    cache: SharedCache,
}

impl FleetView {
    /// Time that an engine takes for `tokens` of a prompt.
    fn prefill_ms(&self, tokens: u64) -> f64 {
        tokens as f64 / self.prefill_rate.tokens_per_ms
    }

    /// Time that a healthy engine takes for what waits at this one.
    fn queue_ms(&self, load: &UpstreamLoad) -> f64 {
        self.prefill_ms(load.in_flight().waiting_tokens)
    }

    /// Slowness of an engine beyond that of all.
    fn slowness(&self, now: Duration, load: &UpstreamLoad) -> f64 {
        load.slowness(now) / self.common_slowness
    }
}

/// The result of the comparison so far.
struct Comparison<'a, 'b> {
    now: Duration,
    request: &'a PlacementRequest<'b>,
    fleet: FleetView,
    /// Multiple of the wait bound for the request's account.
    factor: f64,
    /// The best placement with its cost and tie-breaker.
    best: Option<((f64, f64), Placement)>,
    /// The least saturated engine.
    least: Option<LeastSaturated>,
}

/// The least saturated engine that a request was compared at.
#[derive(Debug, Clone, Copy)]
struct LeastSaturated {
    /// Excess of its wait over the account's bound.
    excess_ms: f64,
    wait_ms: f64,
    /// Bound for an account within its fair share.
    bound_ms: f64,
}

impl<'a, 'b> Comparison<'a, 'b> {
    fn new(now: Duration, request: &'a PlacementRequest<'b>, fleet: FleetView) -> Self {
        Self {
            now,
            request,
            fleet,
            factor: account_factor(request),
            best: None,
            least: None,
        }
    }

    fn compare(&mut self, listed: &Listed<'_, '_>) {
        let candidate = listed.candidate;
        let estimate = Estimate::new(self.now, self.request, self.fleet, listed);
        let excess_ms = estimate.charged_wait_ms - estimate.bound_ms * self.factor;
        if self.least.is_none_or(|least| excess_ms < least.excess_ms) {
            self.least = Some(LeastSaturated {
                excess_ms,
                wait_ms: estimate.charged_wait_ms,
                bound_ms: estimate.bound_ms,
            });
        }
        if excess_ms > 0.0 || !has_capacity(candidate, estimate.sent.held_tokens) {
            return;
        }
        // Of equal engines each request prefers another one: entries that all choose the first overfill it.
        let order = (
            estimate.cost,
            distance(self.request.tie_breaker, candidate.id),
        );
        if self.best.as_ref().is_none_or(|(best, _)| order < *best) {
            let placement = Placement {
                id: candidate.id.clone(),
                copy_from: None,
                sent: estimate.sent,
                wait: Duration::from_secs_f64(estimate.wait_ms / 1e3),
                bound: Duration::from_secs_f64(estimate.bound_ms / 1e3),
            };
            self.best = Some((order, placement));
        }
    }

    /// The result; `compared_all` tells whether any engine would have been taken.
    fn finish(self, compared_all: bool) -> Result<Placement, Refusal> {
        let Some((_, placement)) = self.best else {
            let is_within = |least: LeastSaturated| least.wait_ms <= least.bound_ms;
            let reason = match self.least {
                None => RefusalReason::NoUpstream,
                Some(least) if self.factor < 1.0 && is_within(least) => RefusalReason::OverShare,
                Some(_) if compared_all => RefusalReason::Saturated,
                Some(_) => RefusalReason::HomesSaturated,
            };
            return Err(refusal(self.request, reason, self.least, compared_all));
        };
        if is_admitted(self.request, placement.wait, placement.bound) {
            return Ok(placement);
        }
        let reason = RefusalReason::OverShare;
        Err(refusal(self.request, reason, self.least, false))
    }
}

/// Estimated cost of sending the request to one engine.
struct Estimate {
    /// Prefill time of its backlog.
    wait_ms: f64,
    /// `wait_ms` plus the charge for prefilling what another engine has cached.
    charged_wait_ms: f64,
    /// Limit on `charged_wait_ms` for an account within its fair share.
    bound_ms: f64,
    /// Cost by which engines are compared.
    cost: f64,
    sent: SentRequest,
}

impl Estimate {
    fn new(
        now: Duration,
        request: &PlacementRequest<'_>,
        fleet: FleetView,
        listed: &Listed<'_, '_>,
    ) -> Self {
        let candidate = listed.candidate;
        let FleetView {
            prefill_rate,
            cache,
            ..
        } = fleet;
        let load = candidate.load;
        let slowness = fleet.slowness(now, load);
        let cached = load.cached.cached_prefix_tokens(&request.prompt.shared);
        let uncached = u64::from(request.prompt.tokens).saturating_sub(cached);
        let to_ms = |tokens| fleet.prefill_ms(tokens);
        let queue_ms = fleet.queue_ms(load);
        let missing = cache.most - cached;
        let copy_ms = request
            .copy_rate
            .and_then(|rate| rate.copy_ms(missing, prefill_rate));
        let (prompt_ms, repeated_ms) = match copy_ms {
            Some(copy_ms) => (to_ms(uncached.saturating_sub(missing)) + copy_ms, 0.0),
            None => {
                let repeated = cache.expected.saturating_sub(cached);
                (to_ms(uncached), to_ms(repeated) * REPEATED_PREFILL_WEIGHT)
            }
        };
        let expected_ms = queue_ms + prefill_rate.base_ms + prompt_ms;
        let mut cost = expected_ms * slowness + repeated_ms;
        cost += load.health().failure_rate(now) * FAILURE_COST_MS;
        if candidate.domain != request.domain {
            cost += CROSS_DOMAIN_MS;
        }
        if let Some(rank) = listed.home_rank.filter(|_| !cache.has_subject) {
            cost += rank as f64 * HOME_RANK_MS;
        }
        let sent = SentRequest {
            // Counts what is copied as prefilled: the source may have displaced it.
            uncached_tokens: uncached,
            held_tokens: uncached + u64::from(request.prompt.output_tokens),
            expected_ms,
            at: now,
        };
        let bound_ms = wait_bound_ms(request, load);
        Self {
            wait_ms: queue_ms * slowness,
            charged_wait_ms: queue_ms * slowness
                + repeated_ms.min(bound_ms * MAX_REPEATED_PREFILL_SHARE),
            bound_ms,
            cost,
            sent,
        }
    }
}

/// Whether the engine has a slot and memory for the request. A request larger than [`MEMORY_SHARE`] fits an idle
/// engine only, which decides itself; one larger than the memory is refused before, see
/// [`Engine::can_hold`](crate::config::Engine::can_hold).
fn has_capacity(candidate: &Candidate<'_>, tokens: u64) -> bool {
    let in_flight = candidate.load.in_flight();
    let capacity = (candidate.memory_tokens as f64 * MEMORY_SHARE) as u64;
    in_flight.running < candidate.slots
        && (in_flight.running == 0 || in_flight.held_tokens.saturating_add(tokens) <= capacity)
}

fn refusal(
    request: &PlacementRequest<'_>,
    reason: RefusalReason,
    least: Option<LeastSaturated>,
    is_saturated: bool,
) -> Refusal {
    let excess_ms = least.map_or(0.0, |least| least.excess_ms.max(0.0));
    let mut retry_after = MIN_RETRY_AFTER + Duration::from_secs_f64(excess_ms / 1e3);
    let pressure = request.pressure.unwrap_or(0.0);
    retry_after = retry_after.max(FairShares::recovery_time(pressure));
    let time = |ms: f64| Duration::from_secs_f64(ms.max(0.0) / 1e3);
    Refusal {
        reason,
        retry_after,
        is_saturated: is_saturated && least.is_some(),
        wait: least.map(|least| (time(least.wait_ms), time(least.bound_ms))),
    }
}
