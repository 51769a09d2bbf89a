//! The hash that identifies a bearer key in a manifest.

use std::fmt;

use derive_more::{Debug, Display, Error};
use serde::{Deserialize, Serialize};

use crate::Digest;

/// An error from parsing a key hash.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("a key hash must be 64 lower-case hex digits")]
pub struct KeyHashError;

/// The SHA-256 hash of a bearer key; a manifest never contains the key itself.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
#[debug("{self}")]
pub struct KeyHash(pub [u8; 32]);

impl KeyHash {
    /// Hashes a bearer key.
    ///
    /// ```
    /// use coltsfootnotch_manifest::KeyHash;
    /// let hash = KeyHash::of_key("kelani-demo-floorline");
    /// assert_eq!(KeyHash::parse(&hash.to_string())?, hash);
    /// # Ok::<(), coltsfootnotch_manifest::KeyHashError>(())
    /// ```
    #[must_use]
    pub fn of_key(key: &str) -> Self {
        Self(Digest::of(key.as_bytes()).0)
    }

    /// Parses 64 lower-case hex digits.
    ///
    /// # Errors
    /// Returns a [`KeyHashError`] for any other text.
    pub fn parse(text: &str) -> Result<Self, KeyHashError> {
        if text.len() != 64
            || !text
                .bytes()
                .all(|byte| matches!(byte, b'0'..=b'9' | b'a'..=b'f'))
        {
            return Err(KeyHashError);
        }
        let mut hash = [0; 32];
        for (index, byte) in hash.iter_mut().enumerate() {
            let digits = &text[index * 2..index * 2 + 2];
            *byte = u8::from_str_radix(digits, 16).map_err(|_| KeyHashError)?;
        }
        Ok(Self(hash))
    }
}

impl fmt::Display for KeyHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        Digest(self.0).fmt(f)
    }
}

impl TryFrom<String> for KeyHash {
    type Error = KeyHashError;

    fn try_from(text: String) -> Result<Self, KeyHashError> {
        Self::parse(&text)
    }
}

impl From<KeyHash> for String {
    fn from(hash: KeyHash) -> Self {
        hash.to_string()
    }
}
