//! Client accounts.

use coltsfootnotch_types::{AccountName, Weight};
use serde::{Deserialize, Serialize};

use crate::KeyHash;

/// One client account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Account {
    /// Name of the account.
    pub name: AccountName,
    /// Hashes of its bearer keys.
    pub key_hashes: Vec<KeyHash>,
    /// Share of contended capacity.
    pub weight: Weight,
    /// Name of its class.
    pub class: Option<String>,
    /// Bounds on this account alone.
    pub limits: AccountLimits,
}

/// Bounds on one account at one entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLimits {
    /// Requests that wait at once.
    pub queue: usize,
    /// Requests that run at once.
    pub in_flight: Option<usize>,
    /// Requests admitted a second.
    pub requests_per_s: Option<u32>,
}
