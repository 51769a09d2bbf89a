//! What is to be placed.

use std::time::Duration;

use crate::load::Part;

/// A prompt, as the caller describes it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// All its tokens.
    pub tokens: u64,
    /// Most tokens of the answer.
    pub output_tokens: u64,
    /// Its parts in order, but for the last, which is the request's own.
    pub shared: Vec<Part>,
}

impl Prompt {
    /// Service units of the request: tokens that can't be shared, read once, and tokens made, which
    /// cost an engine about twice as much.
    #[must_use]
    pub fn units(&self) -> u64 {
        let shared: u64 = self.shared.iter().map(|p| u64::from(p.tokens)).sum();
        self.tokens.saturating_sub(shared) + 2 * self.output_tokens
    }

    /// How long the answer may take once it has begun.
    #[must_use]
    pub fn longest_run(&self) -> Duration {
        let tokens = u32::try_from(self.output_tokens).unwrap_or(u32::MAX);
        TOKEN_TIME.saturating_mul(tokens)
    }
}

/// Time for a token of an answer at an engine under load, by which it is judged whether an answer can
/// still be given by a host that stops. Engines with some hundred streams make one each 20 to 25 ms.
const TOKEN_TIME: Duration = Duration::from_millis(25);

/// How fast an engine of the service reads when nothing is wrong with it.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Pace {
    /// Prompt tokens a millisecond.
    pub tokens_per_ms: f64,
    /// Time to the first event of a prompt that need not be read, in milliseconds.
    pub base_ms: f64,
}

/// A request that is to be placed.
#[derive(Debug, Clone, Copy)]
pub struct Ask<'a> {
    /// Its prompt.
    pub prompt: &'a Prompt,
    /// What its account got against its fair share, while the fleet is short; see
    /// [`crate::share::FairShares::pressure`].
    pub pressure: Option<f64>,
    /// Part of what its account asks that is its fair share; see
    /// [`crate::share::FairShares::fraction`].
    pub fraction: f64,
    /// The shortest target of the service's routes: what waits at an engine must leave room for it.
    pub tightest: Duration,
    /// The shortest pause that a route of the service aims at: what waits at an engine must not make its
    /// streams pause for longer. None where no route states one.
    pub gap: Option<Duration>,
    /// The failure domain of this entry.
    pub domain: &'a str,
    /// Differs from request to request, and breaks ties.
    pub turn: u64,
    /// Upstreams on which the request has failed.
    pub avoid: &'a [std::sync::Arc<str>],
}
