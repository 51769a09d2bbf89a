//! Identifiers of crashes and suspects.

use coltsfootnotch_types::AccountName;
use derive_more::Display;

use super::Origin;

/// Digest of a request's method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest(pub [u8; 32]);

/// Identifies a request across resends.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspectKey {
    /// The account that sends it.
    pub account: AccountName,
    /// Digest of its content.
    pub content: ContentDigest,
}

/// Identifies a crash by the host that detected it and a sequence number.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{origin}#{number}")]
pub struct CrashId {
    /// The host process that detected it.
    pub origin: Origin,
    /// Sequence number within the process, from 1.
    pub number: u64,
}

/// Position of a receiver in the log of a [`CrashTracker`](super::CrashTracker).
///
/// It advances only when the receiver acknowledges a delta, so the next delta includes a lost one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor(pub u64);
