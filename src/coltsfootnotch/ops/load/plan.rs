//! Plans the callers of a scenario: the account, entry, kind of request and arrival pattern of
//! each.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::scenario::Scenario;
use super::target::LoadAccount;

/// Maximum number of callers of a run; each has a thread and a connection.
pub const MAX_CALLERS: usize = 320;

/// Tokens of prompts and answers; a typical request takes a stand-in engine a few hundred
/// milliseconds.
const TYPICAL_ANSWER: RangeInclusive<u32> = 16..=96;
const SHORT_ANSWER: RangeInclusive<u32> = 4..=12;
const LONG_ANSWER: RangeInclusive<u32> = 384..=512;
const TYPICAL_PROMPT: RangeInclusive<u32> = 80..=200;

/// Interval between the starts of bursts, and the length of a burst.
const BURST_INTERVAL: Duration = Duration::from_secs(3);
const BURST_LENGTH: Duration = Duration::from_millis(600);
/// Pause of interactive callers between two requests.
const INTERACTIVE_PAUSE: Duration = Duration::from_millis(300);
/// Pause between two requests that crash their engine.
const CRASH_PAUSE: Duration = Duration::from_millis(500);

/// Kind of request that a caller sends.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RequestKind {
    /// Chat completions.
    Chat,
    /// The same chat completion each time, which crashes the engine that runs it.
    CrashingChat,
    /// Orders, each with its own idempotency key.
    Booking,
}

/// When a caller sends requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum ArrivalPattern {
    /// Closed loop: after each answer and a pause.
    Closed {
        /// Time between an answer and the next request.
        pause: Duration,
    },
    /// Closed loop without a pause, only during bursts.
    Bursts {
        /// Time between the starts of two bursts.
        every: Duration,
        /// Length of a burst.
        length: Duration,
    },
}

/// Plan of one caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerPlan {
    /// Index of its account in [`Target::accounts`](super::Target::accounts).
    pub account: usize,
    /// Index of the entry that it calls.
    pub entry: usize,
    /// Kind of request.
    pub kind: RequestKind,
    /// Arrival pattern.
    pub pattern: ArrivalPattern,
    /// Range of the tokens of its prompts.
    pub prompt_tokens: RangeInclusive<u32>,
    /// Range of the tokens of its answers.
    pub answer_tokens: RangeInclusive<u32>,
}

/// Dimensions of the fleet that callers are planned for.
#[derive(Debug, Clone, Copy)]
pub struct FleetShape {
    /// Number of entries that callers are spread over.
    pub entries: usize,
    /// Slots of all engines.
    pub slots: usize,
}

/// Plans the callers of `scenario`, at most [`MAX_CALLERS`].
#[must_use]
pub fn plan_callers(
    scenario: Scenario,
    accounts: &[LoadAccount],
    shape: FleetShape,
) -> Vec<CallerPlan> {
    let mut callers = Vec::new();
    for account in 0..accounts.len() {
        let count = caller_count(scenario, accounts, account, shape.slots);
        for _ in 0..count {
            let mut caller = default_caller(account, callers.len() % shape.entries.max(1));
            apply_scenario(scenario, accounts, &mut caller);
            callers.push(caller);
        }
    }
    if scenario == Scenario::CrashingRequest {
        let mut caller = default_caller(0, 0);
        caller.kind = RequestKind::CrashingChat;
        caller.pattern = ArrivalPattern::Closed { pause: CRASH_PAUSE };
        callers.insert(0, caller);
    }
    callers.truncate(MAX_CALLERS);
    callers
}

fn default_caller(account: usize, entry: usize) -> CallerPlan {
    CallerPlan {
        account,
        entry,
        kind: RequestKind::Chat,
        pattern: ArrivalPattern::Closed {
            pause: Duration::ZERO,
        },
        prompt_tokens: TYPICAL_PROMPT,
        answer_tokens: TYPICAL_ANSWER,
    }
}

/// Number of callers of one account, relative to the slots of the fleet.
fn caller_count(
    scenario: Scenario,
    accounts: &[LoadAccount],
    account: usize,
    slots: usize,
) -> usize {
    let slots_per_account = slots.div_ceil(accounts.len().max(1));
    let is_large = accounts[account].large;
    match scenario {
        // Four times the slots during a burst.
        Scenario::Burst => 4 * slots_per_account,
        // The flooding account alone has three times as many callers as there are slots.
        Scenario::Flood if account == 0 => 3 * slots,
        Scenario::Flood => slots_per_account.max(2),
        // Each account has half the callers of the previous one.
        Scenario::Skew => (slots >> account.min(16)).max(2),
        Scenario::LongAmongShort if account == 0 => 2 * slots,
        Scenario::LongAmongShort => 2 * slots_per_account,
        // About three times the slots in total.
        Scenario::Saturation | Scenario::SlowUpstream if is_large => 6 * slots_per_account,
        Scenario::Saturation | Scenario::SlowUpstream => 2 * slots_per_account,
        Scenario::CrashingRequest => slots_per_account,
        Scenario::Bookings => slots_per_account.max(2),
    }
}

fn apply_scenario(scenario: Scenario, accounts: &[LoadAccount], caller: &mut CallerPlan) {
    match scenario {
        Scenario::Burst if caller.account.is_multiple_of(2) => {
            caller.pattern = ArrivalPattern::Bursts {
                every: BURST_INTERVAL,
                length: BURST_LENGTH,
            };
        }
        Scenario::Burst => {
            caller.pattern = ArrivalPattern::Closed {
                pause: INTERACTIVE_PAUSE * 4,
            }
        }
        Scenario::Flood if caller.account > 0 => {
            caller.pattern = ArrivalPattern::Closed {
                pause: INTERACTIVE_PAUSE,
            };
        }
        // The account with the most callers uses a single entry.
        Scenario::Skew if caller.account == 0 => caller.entry = 0,
        Scenario::LongAmongShort if caller.account == 0 => caller.answer_tokens = LONG_ANSWER,
        Scenario::LongAmongShort => caller.answer_tokens = SHORT_ANSWER,
        Scenario::Bookings if !accounts[caller.account].large || caller.account == 0 => {
            caller.kind = RequestKind::Booking;
        }
        _ => {}
    }
}
