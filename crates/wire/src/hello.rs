//! The first frame on a control stream, in both directions.

use coltsfootnotch_types::Incarnation;
use serde::{Deserialize, Serialize};

/// Version of the messages; processes of different versions don't talk.
pub const WIRE_VERSION: u16 = 1;

/// Opens a control stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// [`WIRE_VERSION`] of the sender.
    pub version: u16,
    /// The run of the sender's process.
    pub incarnation: Incarnation,
}
