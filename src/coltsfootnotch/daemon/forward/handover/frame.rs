//! Frames from an entry to the neighbour that serves a connection: a kind, a length and as many bytes.

use std::time::Duration;

/// Bytes of a frame's header.
pub(super) const HEADER_BYTES: usize = 3;

/// Kind of a frame with bytes of the caller.
const DATA: u8 = 0;
/// Kind of a frame without bytes that asks to close the connection after the response in progress. Its
/// length is a time in units of [`CLOSE_UNIT`], zero for no limit.
const CLOSE: u8 = 1;
/// Unit of the time in a frame that asks to close the connection.
const CLOSE_UNIT: Duration = Duration::from_millis(10);

/// A decoded header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Header {
    /// As many bytes of the caller follow.
    Data(usize),
    /// The connection is to be closed after the response in progress. If the sender stops, it breaks the
    /// connection off after this time.
    Close(Option<Duration>),
}

impl Header {
    /// Encodes the header; `len` of more than 65,535 bytes can't be encoded.
    pub(super) fn encode(self) -> [u8; HEADER_BYTES] {
        let (kind, len) = match self {
            Self::Data(len) => (DATA, u16::try_from(len).expect("a frame of one read fits")),
            Self::Close(None) => (CLOSE, 0),
            Self::Close(Some(time)) => {
                let units = time.as_millis() / CLOSE_UNIT.as_millis();
                (CLOSE, u16::try_from(units).unwrap_or(u16::MAX).max(1))
            }
        };
        let [high, low] = len.to_be_bytes();
        [kind, high, low]
    }

    /// Decodes a header; `None` if the kind is not known.
    pub(super) fn decode([kind, high, low]: [u8; HEADER_BYTES]) -> Option<Self> {
        let len = u16::from_be_bytes([high, low]);
        match kind {
            DATA => Some(Self::Data(len.into())),
            CLOSE if len == 0 => Some(Self::Close(None)),
            CLOSE => Some(Self::Close(Some(CLOSE_UNIT * len.into()))),
            _ => None,
        }
    }
}
