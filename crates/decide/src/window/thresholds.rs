//! The numbers by which the limit moves, and why they are what they are.

/// Where the search starts: what the smallest engine holds.
pub(super) const FIRST_LIMIT: u32 = 4;

/// At least one request goes through, or a limit that fell could never be found again.
pub(super) const MIN_LIMIT: u32 = 1;

/// Beyond what any engine batches; bounds the damage of an upstream that always answers at once.
pub(super) const MAX_LIMIT: u32 = 1_024;

/// First tokens that end a round. Eight give a median that one or two outliers don't decide; a
/// saturated engine of 32 slots with 10 s requests yields them in under three seconds.
pub(super) const ROUND_FIRSTS: usize = 8;

/// A round may end while one part in this many of its judged runs is still open.
pub(super) const OPEN_PARTS: usize = 4;

/// Growth stops at this share of a target. The band up to the target is where the limit rests:
/// without it, it would step over the target and back for ever.
pub(super) const GROW_BELOW: f64 = 0.85;

/// Above this multiple of a target the engine is in trouble, and the limit falls quickly.
pub(super) const TROUBLE_ABOVE: f64 = 2.0;

/// Growth is at most one part in this many of the limit: a step that fails leaves at most that many
/// requests waiting inside the engine, for the time of one round.
pub(super) const GROWTH_PARTS: u32 = 4;

/// One part in this many is a step down: 3%, so that a step too many costs no more than that.
pub(super) const STEP_PARTS: u32 = 32;

/// Rounds to rest after a first step up that failed; each further failure doubles them. Without the
/// rest the limit would step up and back all the time, and every other round miss its target.
pub(super) const FIRST_REST: u32 = 2;

/// Longest rest, in rounds: about half a minute on a saturated engine of 32 slots, after which an
/// engine that has more room than before is found out.
pub(super) const MAX_REST: u32 = 16;

/// Fewest failures in a round that count as trouble: a single one may be the request's own fault.
pub(super) const MIN_FAILURES: u32 = 2;

/// Failures of one part in this many of the runs in flight are trouble. One request in a hundred
/// that fails by itself must not halve the limit every hundred requests.
pub(super) const FAILURE_PARTS: u32 = 8;
