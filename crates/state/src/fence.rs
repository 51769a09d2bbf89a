//! Fencing numbers and their check.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The log index at which a lease was granted: unique, and higher than that of every lease granted
/// before, regardless of its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct FencingNumber(pub u64);

/// Refuses orders with a fencing number lower than the highest seen, as engines and sidecars do.
///
/// ```
/// use coltsfootnotch_state::{FenceCheck, FencingNumber};
/// let mut check = FenceCheck::default();
/// assert!(check.accept(FencingNumber(7)));
/// assert!(check.accept(FencingNumber(7)));
/// assert!(!check.accept(FencingNumber(6)));
/// ```
#[derive(Debug, Clone, Copy, Default)]
pub struct FenceCheck {
    highest: Option<FencingNumber>,
}

impl FenceCheck {
    /// Records `number` and returns whether an order under it may be executed.
    pub fn accept(&mut self, number: FencingNumber) -> bool {
        let is_current = Some(number) >= self.highest;
        if is_current {
            self.highest = Some(number);
        }
        is_current
    }
}
