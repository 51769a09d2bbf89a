//! What crashes and suspects are known by.

use coltsfootnotch_types::AccountName;
use derive_more::Display;

use super::Origin;

/// Digest of a request's method, path and body.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct ContentDigest(pub [u8; 32]);

/// A request as whoever sends it again would send it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash)]
pub struct SuspectKey {
    /// The account that sends it.
    pub account: AccountName,
    /// What it says.
    pub content: ContentDigest,
}

/// One crash, numbered by the host that noticed it.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display)]
#[display("{origin}#{number}")]
pub struct CrashId {
    /// Who noticed it.
    pub origin: Origin,
    /// The how-manieth crash it noticed.
    pub number: u64,
}

/// How far a receiver has followed what a watch has learned.
///
/// It advances only when the receiver has acknowledged the delta, so a lost delta is sent again as
/// part of the next one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor(pub u64);
