//! Frames from an entry to the neighbour that serves a connection: a kind, a length and as many bytes.

/// Bytes of a frame's header.
pub(super) const HEADER_BYTES: usize = 3;

/// Kind of a frame with bytes of the caller.
const DATA: u8 = 0;
/// Kind of a frame without bytes that asks to close the connection after the response in progress.
const CLOSE: u8 = 1;

/// A decoded header.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Header {
    /// As many bytes of the caller follow.
    Data(usize),
    /// The connection is to be closed after the response in progress.
    Close,
}

impl Header {
    /// Encodes the header; `len` of more than 65,535 bytes can't be encoded.
    pub(super) fn encode(self) -> [u8; HEADER_BYTES] {
        let (kind, len) = match self {
            Self::Data(len) => (DATA, u16::try_from(len).expect("a frame of one read fits")),
            Self::Close => (CLOSE, 0),
        };
        let [high, low] = len.to_be_bytes();
        [kind, high, low]
    }

    /// Decodes a header; `None` if the kind is not known.
    pub(super) fn decode([kind, high, low]: [u8; HEADER_BYTES]) -> Option<Self> {
        match kind {
            DATA => Some(Self::Data(u16::from_be_bytes([high, low]).into())),
            CLOSE => Some(Self::Close),
            _ => None,
        }
    }
}
