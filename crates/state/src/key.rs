//! Idempotency keys, and when a key was issued.
//!
//! After its record has expired nothing in a plain key tells it from a new one. A *dated* key carries
//! the log time at which it was made (which the fleet states in its answers) in its own text, so the
//! ledger can refuse it as too old without remembering it. The date is part of the key and cannot
//! be changed without making another key; it is compared with log time alone, so no clock of a
//! caller takes part.

use derive_more::{Display, Error};

use crate::{KeyDigest, LogTime};

/// What a dated key starts with; then decimal seconds of log time, a dot and the caller's text.
const DATED_PREFIX: &str = "ledger-";

/// Longest accepted key in bytes; longer ones would only cost memory in the entry.
const MAX_KEY_BYTES: usize = 255;

/// Why a text is not an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum KeyError {
    /// The key has no characters.
    #[display("an idempotency key is empty")]
    Empty,
    /// The key is too long.
    #[display("an idempotency key has {len} bytes, more than {MAX_KEY_BYTES}")]
    TooLong {
        /// Length found, in bytes.
        len: usize,
    },
}

/// An idempotency key as the ledger sees it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Digest of the whole text.
    pub digest: KeyDigest,
    /// When a dated key was made; `None` for a plain key.
    pub issued: Option<LogTime>,
}

impl IdempotencyKey {
    /// Reads the text of an `Idempotency-Key` header.
    ///
    /// # Errors
    /// Returns a [`KeyError`] for a text that is empty or too long.
    ///
    /// ```
    /// use coltsfootnotch_state::{IdempotencyKey, LogTime};
    /// assert_eq!(IdempotencyKey::parse("order-17")?.issued, None);
    /// let dated = IdempotencyKey::parse("ledger-86400.order-17")?;
    /// assert_eq!(dated.issued, Some(LogTime(86_400_000)));
    /// # Ok::<(), coltsfootnotch_state::KeyError>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, KeyError> {
        if text.is_empty() {
            return Err(KeyError::Empty);
        }
        if text.len() > MAX_KEY_BYTES {
            return Err(KeyError::TooLong { len: text.len() });
        }
        Ok(Self {
            digest: KeyDigest::of(text),
            issued: issued(text),
        })
    }
}

fn issued(text: &str) -> Option<LogTime> {
    let (seconds, _) = text.strip_prefix(DATED_PREFIX)?.split_once('.')?;
    if !seconds.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let seconds: u64 = seconds.parse().ok()?;
    Some(LogTime(seconds.checked_mul(1_000)?))
}
