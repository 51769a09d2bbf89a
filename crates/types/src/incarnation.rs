//! Identification of the runs of a process.

use derive_more::Display;
use serde::{Deserialize, Serialize};

/// Random identifier of a run of a process, drawn at its start.
///
/// Distinguishes a restarted process from its predecessor: it ignores messages to the earlier run,
/// and its counters, which restart at zero, are not compared with the earlier ones.
#[derive(
    Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize,
)]
#[display("{_0:016x}")]
pub struct Incarnation(pub u64);
