//! What each caller of a scenario does: whose it is, where it calls, what it asks and when.

use std::ops::RangeInclusive;
use std::time::Duration;

use super::scenario::Scenario;
use super::target::LoadAccount;

/// Most callers of a run; each is a thread that holds a connection.
pub const MAX_CALLERS: usize = 320;

/// Tokens of prompt and answer that keep a small engine busy for a few hundred milliseconds.
const USUAL_TOKENS: RangeInclusive<u32> = 16..=96;
const SHORT_TOKENS: RangeInclusive<u32> = 4..=12;
const LONG_TOKENS: RangeInclusive<u32> = 384..=512;
const USUAL_PROMPT: RangeInclusive<u32> = 80..=200;

/// Time between bursts and how long one lasts.
const BURST_EVERY: Duration = Duration::from_secs(3);
const BURST_LENGTH: Duration = Duration::from_millis(600);
/// Pause of callers that don't hurry, as a person reading an answer.
const READING: Duration = Duration::from_millis(300);
/// Pause of a caller between two requests that crashed.
const CRASH_PAUSE: Duration = Duration::from_millis(500);

/// What a caller asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Ask {
    /// Chat completions.
    Chat,
    /// The same chat completion each time; it crashes the engine that runs it.
    CrashingChat,
    /// Orders, each with a key of its own.
    Booking,
}

/// When a caller asks.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Pattern {
    /// After each answer and a pause.
    Closed {
        /// The pause.
        pause: Duration,
    },
    /// As closed without a pause, but only during bursts.
    Bursts {
        /// Time from the start of one burst to that of the next.
        every: Duration,
        /// Length of a burst.
        length: Duration,
    },
}

/// One caller.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct CallerPlan {
    /// Index of its account.
    pub account: usize,
    /// Index of the entry that it calls.
    pub entry: usize,
    /// What it asks.
    pub ask: Ask,
    /// When it asks.
    pub pattern: Pattern,
    /// Tokens of its prompts.
    pub prompt_tokens: RangeInclusive<u32>,
    /// Tokens of its answers.
    pub answer_tokens: RangeInclusive<u32>,
}

/// The shape of the fleet that a plan is made for.
#[derive(Debug, Clone, Copy)]
pub struct Shape {
    /// Entries that callers are spread over.
    pub entries: usize,
    /// Slots of all engines.
    pub slots: usize,
}

/// The callers of `scenario` against a fleet of `shape`; at most [`MAX_CALLERS`].
#[must_use]
pub fn callers(scenario: Scenario, accounts: &[LoadAccount], shape: Shape) -> Vec<CallerPlan> {
    let mut callers = Vec::new();
    for account in 0..accounts.len() {
        let count = count_of(scenario, accounts, account, shape.slots);
        for _ in 0..count {
            let mut caller = usual(account, callers.len() % shape.entries.max(1));
            adjust(scenario, accounts, &mut caller);
            callers.push(caller);
        }
    }
    if scenario == Scenario::CrashingRequest {
        let mut caller = usual(0, 0);
        caller.ask = Ask::CrashingChat;
        caller.pattern = Pattern::Closed { pause: CRASH_PAUSE };
        callers.insert(0, caller);
    }
    callers.truncate(MAX_CALLERS);
    callers
}

fn usual(account: usize, entry: usize) -> CallerPlan {
    CallerPlan {
        account,
        entry,
        ask: Ask::Chat,
        pattern: Pattern::Closed {
            pause: Duration::ZERO,
        },
        prompt_tokens: USUAL_PROMPT,
        answer_tokens: USUAL_TOKENS,
    }
}

/// Callers of one account; the sums are stated against the slots of the fleet.
fn count_of(scenario: Scenario, accounts: &[LoadAccount], account: usize, slots: usize) -> usize {
    let each = slots.div_ceil(accounts.len().max(1));
    let large = accounts[account].large;
    match scenario {
        // Four times the slots while a burst lasts.
        Scenario::Burst => 4 * each,
        // The flooding account alone asks for three times the slots.
        Scenario::Flood if account == 0 => 3 * slots,
        Scenario::Flood => each.max(2),
        // Halves from account to account: the first has as many callers as all others together.
        Scenario::Skew => (slots >> account.min(16)).max(2),
        Scenario::LongAmongShort if account == 0 => 2 * slots,
        Scenario::LongAmongShort => 2 * each,
        // About three times the slots, the large accounts with more callers than the small.
        Scenario::Saturation | Scenario::SlowUpstream if large => 6 * each,
        Scenario::Saturation | Scenario::SlowUpstream => 2 * each,
        Scenario::CrashingRequest => each,
        Scenario::Bookings => each.max(2),
    }
}

fn adjust(scenario: Scenario, accounts: &[LoadAccount], caller: &mut CallerPlan) {
    match scenario {
        Scenario::Burst if caller.account.is_multiple_of(2) => {
            caller.pattern = Pattern::Bursts {
                every: BURST_EVERY,
                length: BURST_LENGTH,
            };
        }
        Scenario::Burst => caller.pattern = Pattern::Closed { pause: READING * 4 },
        Scenario::Flood if caller.account > 0 => {
            caller.pattern = Pattern::Closed { pause: READING };
        }
        // The heaviest account calls one entry alone.
        Scenario::Skew if caller.account == 0 => caller.entry = 0,
        Scenario::LongAmongShort if caller.account == 0 => caller.answer_tokens = LONG_TOKENS,
        Scenario::LongAmongShort => caller.answer_tokens = SHORT_TOKENS,
        Scenario::Bookings if !accounts[caller.account].large || caller.account == 0 => {
            caller.ask = Ask::Booking;
        }
        _ => {}
    }
}
