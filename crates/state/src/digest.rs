//! Digests of bodies and idempotency keys.

use derive_more::{Debug, Display};
use serde::{Deserialize, Serialize};
use sha2::{Digest, Sha256};

/// SHA-256 of a manifest, request or answer.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[debug("{self}")]
#[display("{}", hex(_0))]
pub struct BodyDigest(pub [u8; 32]);

impl BodyDigest {
    /// Computes the digest of `body`.
    ///
    /// ```
    /// use coltsfootnotch_state::BodyDigest;
    /// assert!(BodyDigest::of(b"").to_string().starts_with("e3b0c442"));
    /// ```
    #[must_use]
    pub fn of(body: &[u8]) -> Self {
        Self(Sha256::digest(body).into())
    }
}

/// The first 128 bits of SHA-256 of an idempotency key.
///
/// The ledger stores the digest instead of the key, so that records have a fixed size. If two keys
/// of one account collide, the second is refused as a mismatch.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[debug("{self}")]
#[display("{}", hex(_0))]
pub struct KeyDigest(pub [u8; 16]);

impl KeyDigest {
    /// Computes the digest of the text of a key.
    #[must_use]
    pub fn of(key: &str) -> Self {
        let whole: [u8; 32] = Sha256::digest(key.as_bytes()).into();
        let mut first = [0; 16];
        first.copy_from_slice(&whole[..16]);
        Self(first)
    }

    /// The 64 bits stored for a key after its record has expired.
    pub(crate) fn tombstone(self) -> u64 {
        let mut first = [0; 8];
        first.copy_from_slice(&self.0[..8]);
        u64::from_be_bytes(first)
    }
}

fn hex(bytes: &[u8]) -> String {
    bytes.iter().map(|b| format!("{b:02x}")).collect()
}
