//! Fencing numbers, and what an engine that checks them does.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// The index of the log at which a lease was granted: unique, and higher than that of every lease
/// granted before, whatever its name.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
pub struct FencingNumber(pub u64);

/// What an engine that refuses old numbers does; also run by the sidecar in front of an engine.
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
    /// Whether an order under `number` may be carried out.
    pub fn accept(&mut self, number: FencingNumber) -> bool {
        let is_current = Some(number) >= self.highest;
        if is_current {
            self.highest = Some(number);
        }
        is_current
    }
}
