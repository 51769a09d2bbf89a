//! Which parts of prompts an engine keeps, by what was sent to it.
//!
//! An engine does not read a part again that it keeps, if it keeps all parts before it. What it keeps
//! is known from what was sent: it keeps the parts used last, as many as its memory holds. Only parts
//! that requests share are noted, since the last part of a prompt is its own.

use std::collections::HashMap;
use std::time::Duration;

/// A part of a prompt.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Part {
    /// Identity of its text.
    pub id: u64,
    /// Its size in tokens.
    pub tokens: u32,
}

/// A part that is kept.
#[derive(Debug, Clone, Copy)]
struct Kept {
    tokens: u32,
    used: Duration,
}

/// The shared parts that one engine keeps.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::load::{KeptParts, Part};
/// let (a, b) = (Part { id: 1, tokens: 100 }, Part { id: 2, tokens: 300 });
/// let mut kept = KeptParts::default();
/// kept.note(Duration::ZERO, b, 1_000);
/// assert_eq!(kept.tokens_of(&[a, b]), 0, "the part before it is missing");
/// kept.note(Duration::ZERO, a, 1_000);
/// assert_eq!(kept.tokens_of(&[a, b]), 400);
/// ```
#[derive(Debug, Clone, Default)]
pub struct KeptParts {
    parts: HashMap<u64, Kept>,
    tokens: u64,
}

impl KeptParts {
    /// Notes that a part was sent; parts used longest ago give way beyond `room` tokens. Whether the
    /// part is new here.
    pub fn note(&mut self, now: Duration, part: Part, room: u64) -> bool {
        let kept = Kept {
            tokens: part.tokens,
            used: now,
        };
        let earlier = self.parts.insert(part.id, kept);
        self.tokens += u64::from(part.tokens);
        self.tokens -= earlier.map_or(0, |e| u64::from(e.tokens));
        while self.tokens > room && self.parts.len() > 1 {
            self.drop_oldest();
        }
        earlier.is_none()
    }

    /// Tokens of `parts`, in order, that need not be read again.
    #[must_use]
    pub fn tokens_of(&self, parts: &[Part]) -> u64 {
        let kept = parts.iter().take_while(|p| self.parts.contains_key(&p.id));
        kept.map(|p| u64::from(p.tokens)).sum()
    }

    /// Whether the part is kept.
    #[must_use]
    pub fn holds(&self, id: u64) -> bool {
        self.parts.contains_key(&id)
    }

    fn drop_oldest(&mut self) {
        let oldest = self.parts.iter().min_by_key(|(id, kept)| (kept.used, **id));
        let Some(id) = oldest.map(|(id, _)| *id) else {
            return;
        };
        let gone = self.parts.remove(&id);
        self.tokens -= gone.map_or(0, |g| u64::from(g.tokens));
    }
}
