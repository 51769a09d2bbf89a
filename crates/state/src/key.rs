//! Idempotency keys and their issue times.
//!
//! A *plain* key whose record has expired cannot be distinguished from a new one without a
//! tombstone. A *dated* key contains the log time of its issue, which the fleet states in its
//! answers, so that the ledger can refuse it as too old without a tombstone. The date is part of
//! the key and is compared with log time only, never with a clock of the caller.

use derive_more::{Display, Error};

use crate::{KeyDigest, LogTime};

/// Prefix of a dated key, followed by decimal seconds of log time, a dot and the caller's text.
const DATED_PREFIX: &str = "ledger-";

/// Maximum length of a key in bytes.
const MAX_KEY_BYTES: usize = 255;

/// Errors in parsing an idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum KeyError {
    /// The key is empty.
    #[display("an idempotency key is empty")]
    Empty,
    /// The key is too long.
    #[display("an idempotency key has {len} bytes, more than {MAX_KEY_BYTES}")]
    TooLong {
        /// Length in bytes.
        len: usize,
    },
}

/// A parsed idempotency key.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct IdempotencyKey {
    /// Digest of the whole text.
    pub digest: KeyDigest,
    /// Issue time of a dated key; `None` for a plain key.
    pub issued: Option<LogTime>,
}

impl IdempotencyKey {
    /// Parses the value of an `Idempotency-Key` header.
    ///
    /// # Errors
    /// Returns a [`KeyError`] if the value is empty or too long.
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
            issued: issue_time(text),
        })
    }
}

fn issue_time(text: &str) -> Option<LogTime> {
    let (seconds, _) = text.strip_prefix(DATED_PREFIX)?.split_once('.')?;
    if !seconds.bytes().all(|b| b.is_ascii_digit()) {
        return None;
    }
    let seconds: u64 = seconds.parse().ok()?;
    Some(LogTime(seconds.checked_mul(1_000)?))
}
