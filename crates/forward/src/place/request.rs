//! A request to be placed.

use std::time::Duration;

use crate::load::PromptSegment;

/// A prompt as described by the caller.
///
/// Its sizes are of 32 bits, far beyond the memory of any engine, so that the sums over all requests in progress
/// fit 64 bits whatever callers state.
///
/// ```
/// use coltsfootnotch_forward::place::Prompt;
/// let prompt = Prompt { tokens: u32::MAX, output_tokens: 2, shared: Vec::new() };
/// assert_eq!(prompt.memory_tokens(), 4_294_967_297);
/// ```
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Prompt {
    /// All its tokens.
    pub tokens: u32,
    /// Most tokens of the answer.
    pub output_tokens: u32,
    /// Its segments in order, except the last, which is unique to the request.
    pub shared: Vec<PromptSegment>,
}

impl Prompt {
    /// The last of its shared segments, which says what the prompt is about.
    #[must_use]
    pub fn subject(&self) -> Option<PromptSegment> {
        self.shared.last().copied()
    }

    /// Tokens of its shared segments.
    #[must_use]
    pub fn shared_tokens(&self) -> u64 {
        self.shared.iter().map(|p| u64::from(p.tokens)).sum()
    }

    /// Most tokens of an engine's memory that it occupies with its answer.
    #[must_use]
    pub fn memory_tokens(&self) -> u64 {
        u64::from(self.tokens) + u64::from(self.output_tokens)
    }

    /// Its tokens that are not of shared segments.
    #[must_use]
    pub fn own_tokens(&self) -> u64 {
        u64::from(self.tokens).saturating_sub(self.shared_tokens())
    }

    /// Service units of the request: prompt tokens that are not shared, plus twice the answer's
    /// tokens, which cost an engine about twice as much.
    #[must_use]
    pub fn service_units(&self) -> u64 {
        self.own_tokens() + 2 * u64::from(self.output_tokens)
    }

    /// Estimated longest time from the first event of the answer to its end.
    #[must_use]
    pub fn max_answer_time(&self) -> Duration {
        TIME_PER_TOKEN * self.output_tokens
    }
}

/// Time per answer token at a loaded engine, which takes 20 to 25 ms with some hundred streams.
/// Decides whether a host that shuts down can still finish an answer.
const TIME_PER_TOKEN: Duration = Duration::from_millis(25);

/// Prefill performance of a healthy engine of the service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct PrefillRate {
    /// Prompt tokens per millisecond.
    pub tokens_per_ms: f64,
    /// Time to the first event of a fully cached prompt, in milliseconds.
    pub base_ms: f64,
}

/// Time until an engine starts to copy a cached prompt, in milliseconds.
const COPY_SETUP_MS: f64 = 5.0;

/// Least prefill time worth a copy, in milliseconds. Copies wait for each other on the engines' links, so
/// many small ones delay the large ones.
const MIN_COPIED_MS: f64 = 30.0;

/// How fast an engine copies cached prompts from another.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct CopyRate {
    /// Prompt tokens per millisecond.
    pub tokens_per_ms: f64,
}

impl CopyRate {
    /// Time to copy `tokens`, in milliseconds; none if an engine had better prefill them.
    #[must_use]
    pub fn copy_ms(&self, tokens: u64, prefill_rate: PrefillRate) -> Option<f64> {
        let tokens = tokens as f64;
        let is_worthwhile = tokens / prefill_rate.tokens_per_ms >= MIN_COPIED_MS;
        is_worthwhile.then(|| COPY_SETUP_MS + tokens / self.tokens_per_ms)
    }
}

/// A request to be placed.
#[derive(Debug, Clone, Copy)]
pub struct PlacementRequest<'a> {
    /// Its prompt.
    pub prompt: &'a Prompt,
    /// Usage of its account relative to its fair share, while the fleet is saturated; see
    /// [`crate::share::FairShares::pressure`].
    pub pressure: Option<f64>,
    /// Fraction of its account's demand that is within its fair share; see
    /// [`crate::share::FairShares::fair_fraction`].
    pub fair_fraction: f64,
    /// The shortest target of the service's routes, which limits the wait at an engine.
    pub shortest_target: Duration,
    /// The shortest target of the service's routes for pauses of a stream, which limits the backlog
    /// of an engine. None where no route states one.
    pub shortest_gap: Option<Duration>,
    /// Estimated requests per second about the prompt's subject at all entries; zero for a subject
    /// that is not in high demand. See [`crate::load::SubjectDemand`].
    pub subject_per_s: f64,
    /// Whether the request resumes a stream. Losing it loses what its caller has of the stream, so it may
    /// wait longer and prefill its prompt anywhere.
    pub is_resumed: bool,
    /// How fast engines copy cached prompts from each other; none if they can't.
    pub copy_rate: Option<CopyRate>,
    /// The failure domain of this entry.
    pub domain: &'a str,
    /// Differs between requests; breaks ties.
    pub tie_breaker: u64,
    /// Upstreams at which the request has failed.
    pub avoid: &'a [std::sync::Arc<str>],
}
