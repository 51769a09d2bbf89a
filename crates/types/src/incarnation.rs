//! The number that tells a restarted process from the one before it.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// One run of one process.
///
/// Drawn at random when the process starts. Without it a message addressed to the earlier run of a
/// host would be taken by the later one, and counters that restart at zero would look like a loss.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);
