//! Which engines are compared for a request.
//!
//! **Pattern of load.** Many entries place at the same time, each by what it heard 100 to 200 ms ago.
//!
//! **Without it** all of them see the same engine as the one with the least to do, and fill it before
//! they hear of each other, while the one beside it idles: most of what is served is late.
//!
//! **The rule.** Only a few engines are compared for each request: those where it need not read what
//! others have read for it, and two drawn by lot. So no engine gets more than twice its even part before
//! the entries hear of it, and an engine with much to do still gets less.

use super::target::Candidate;
use super::{Ask, Pace};
use crate::place::rendezvous::distance;

/// Reading of shared parts, in milliseconds, from which an engine that keeps them is always compared.
/// Below it the parts are read again sooner than they are worth a queue at the engines that keep them.
const WORTH_KEEPING_MS: f64 = 3.0;

/// The engines that are compared for a request.
pub(super) struct Shortlist<'a, 'b> {
    usable: &'b [Candidate<'a>],
    drawn: [usize; 2],
    /// Index of the engine that is to keep a subject which none keeps yet.
    home: Option<usize>,
    /// Tokens of the request's shared parts that the engine with most of them keeps.
    pub(super) most_kept: u64,
    compares_kept: bool,
}

impl<'a, 'b> Shortlist<'a, 'b> {
    pub(super) fn new(ask: &Ask<'_>, pace: Pace, usable: &'b [Candidate<'a>]) -> Self {
        let kept = |c: &Candidate<'_>| c.load.kept.tokens_of(&ask.prompt.shared);
        let most_kept = usable.iter().map(kept).max().unwrap_or(0);
        let subject = ask.prompt.shared.last().filter(|_| most_kept == 0);
        let home = subject.and_then(|subject| {
            let far = |c: &Candidate<'_>| distance(subject.id, c.id);
            let nearest = |a: &usize, b: &usize| far(&usable[*a]).total_cmp(&far(&usable[*b]));
            (0..usable.len()).min_by(nearest)
        });
        Self {
            drawn: draw_two(ask.turn, usable.len()),
            compares_kept: most_kept as f64 / pace.tokens_per_ms >= WORTH_KEEPING_MS,
            usable,
            home,
            most_kept,
        }
    }

    /// The engines to compare.
    pub(super) fn iter(&self, ask: &Ask<'_>) -> impl Iterator<Item = &'b Candidate<'a>> {
        let is_listed = move |(index, candidate): &(usize, &Candidate<'_>)| {
            let keeps_most = || candidate.load.kept.tokens_of(&ask.prompt.shared) == self.most_kept;
            self.drawn.contains(index)
                || self.home == Some(*index)
                || self.compares_kept && keeps_most()
        };
        let all = self.usable.iter().enumerate();
        all.filter(is_listed).map(|(_, candidate)| candidate)
    }
}

/// Two different numbers below `len`, or as many as there are.
fn draw_two(turn: u64, len: usize) -> [usize; 2] {
    let len = len.max(1) as u64;
    let first = turn % len;
    let step = 1 + (turn >> 32) % (len - 1).max(1);
    [first as usize, ((first + step) % len) as usize]
}
