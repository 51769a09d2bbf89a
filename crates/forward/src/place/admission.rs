//! Who is let in at an engine where others wait.

use std::time::Duration;

use super::Ask;
use super::rendezvous::distance;
use crate::load::UpstreamLoad;

/// Share of the tightest target that may wait at an engine for an account that has no more than its fair
/// share. The rest is for the request's own prompt, the way, and what other entries sent meanwhile.
const WAIT: f64 = 0.75;
/// The multiple of that for an account far below its fair share, while the fleet is short. Entries learn
/// of each other late, so in the first second of a flood engines are filled beyond the bound of the
/// others; a small account that stopped at the same bound would be refused most of the little it asks.
const RISE_FAR_BELOW: f64 = 1.5;
/// Pressure up to which an account counts as far below its share.
const FAR_BELOW: f64 = 0.5;
/// Pressure up to which an account counts as below its share, and from which as above it. The space
/// between is for a large request, which must not flip its account.
const SHARE_BAND: (f64, f64) = (0.90, 1.15);

/// Power by which the bound falls with pressure above the band. An account that got much more than its
/// share while nobody else asked is let in only where an engine is about to idle, once others ask.
const ABOVE_POWER: i32 = 3;

/// By how much more than the engines do entries let in when nothing waits. Entries act on what waited
/// one or two reports ago; with a steeper answer to it the fleet swings between engines that idle and
/// engines where everybody is late. Less is steadier, but a fleet that idled fills up more slowly.
const GAIN_AT_NOTHING: f64 = 1.5;

/// Name under which a request's admission is drawn, apart from the draws for engines.
const ADMISSION: &str = "admission";

/// Longest wait at an engine for an account with its fair share, in milliseconds: what leaves room for
/// the target, and what the engine's streams bear.
pub(super) fn full_bound(ask: &Ask<'_>, load: &UpstreamLoad) -> f64 {
    let in_time = ask.tightest.mul_f64(WAIT);
    let without_stall = ask.gap.map(|gap| load.backlog.get(gap));
    let bound = without_stall.map_or(in_time, |most| most.min(in_time));
    bound.as_secs_f64() * 1e3
}

/// The multiple of the full bound that holds for the request's account.
pub(super) fn account_factor(ask: &Ask<'_>) -> f64 {
    let Some(pressure) = ask.pressure else {
        return 1.0;
    };
    let (from, to) = SHARE_BAND;
    let below = ((from - pressure) / (from - FAR_BELOW)).clamp(0.0, 1.0);
    let rise = 1.0 + (RISE_FAR_BELOW - 1.0) * below;
    let above = (to / pressure.max(to)).powi(ABOVE_POWER);
    rise * above
}

/// Whether the account has more than its fair share.
pub(super) fn is_above_share(ask: &Ask<'_>) -> bool {
    let (_, above) = SHARE_BAND;
    ask.fraction < 1.0 || ask.pressure.is_some_and(|p| p >= above)
}

/// Whether a request whose account asks for more than its share is let in at an engine where `wait` is
/// before it and `bound` may be: about as many are as the account's share has room for. Just what the
/// engines do is let in where `bound` waits, which keeps them busy through the time in which entries know
/// nothing of each other.
///
/// A bound alone lets everybody in at an engine that looks idle. It looks so to all entries for a whole
/// period of their reports, and each of them fills it, so most of what is served in a flood is late while
/// other engines idle.
pub(super) fn is_let_in(ask: &Ask<'_>, wait: Duration, bound: Duration) -> bool {
    if ask.fraction >= 1.0 {
        return true;
    }
    let fullness = wait.as_secs_f64() / bound.as_secs_f64();
    let gain = GAIN_AT_NOTHING - (GAIN_AT_NOTHING - 1.0) * fullness;
    distance(ask.turn, ADMISSION) < ask.fraction * gain
}
