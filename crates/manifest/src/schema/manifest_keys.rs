//! The keys of a manifest, in the order of the reference page.

use super::Key;
use super::account_keys::ACCOUNT_KEYS;
use super::model_keys::MODEL_KEYS;
use super::service_keys::SERVICE_KEYS;

/// Longest deadline: one day, in milliseconds.
pub(super) const MAX_DEADLINE_MS: u64 = 86_400_000;

/// Every key of a manifest, grouped by subject.
pub const MANIFEST_KEYS: &[&[Key]] = &[ACCOUNT_KEYS, MODEL_KEYS, SERVICE_KEYS];
