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
    /// Weight in the sharing of contended capacity.
    pub weight: Weight,
    /// Name of its class.
    pub class: Option<String>,
    /// Limits of this account.
    pub limits: AccountLimits,
}

/// Limits of one account at one entry host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountLimits {
    /// Most queued requests.
    pub queue: usize,
    /// Most running requests.
    pub in_flight: Option<usize>,
    /// Most requests admitted per second.
    pub requests_per_s: Option<u32>,
}
