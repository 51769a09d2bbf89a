//! The first frame on a control stream, in both directions.

use coltsfootnotch_types::Incarnation;
use serde::{Deserialize, Serialize};

/// Version of the protocol; processes of different versions don't communicate.
pub const WIRE_VERSION: u16 = 8;

/// Opens a control stream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Hello {
    /// The sender's [`WIRE_VERSION`].
    pub version: u16,
    /// The sender's incarnation.
    pub incarnation: Incarnation,
}
