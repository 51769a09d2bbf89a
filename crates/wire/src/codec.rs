//! Frames: a four-byte length, big-endian, and a `postcard` body.

use derive_more::{Display, Error, From};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Largest body of one frame in bytes: a request body of 8 MiB and what describes it.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// A frame's body and the bytes that follow it; none while the frame is not whole.
pub type Split<'a> = Option<(&'a [u8], &'a [u8])>;

/// Why bytes are not a frame, or a value can't be one.
#[derive(Debug, Display, Error, From)]
pub enum CodecError {
    /// The frame is larger than [`MAX_FRAME_BYTES`].
    #[display("a frame of {len} bytes is larger than {MAX_FRAME_BYTES}")]
    #[from(skip)]
    TooLarge {
        /// Length found or needed, in bytes.
        len: usize,
    },
    /// The body does not decode.
    #[display("a frame does not decode")]
    Body(postcard::Error),
    /// The body is followed by bytes that belong to nothing.
    #[display("a frame has {len} bytes left over")]
    #[from(skip)]
    LeftOver {
        /// Bytes left, in bytes.
        len: usize,
    },
}

/// Encodes a value as one frame, its length first.
///
/// # Errors
/// Returns [`CodecError::TooLarge`] for a value that no receiver would take.
///
/// ```
/// use coltsfootnotch_wire::{decode, encode, split_frame};
/// let frame = encode(&("pool", 7_u32))?;
/// let (body, rest) = split_frame(&frame)?.unwrap();
/// assert_eq!(decode::<(String, u32)>(body)?, ("pool".to_owned(), 7));
/// assert!(rest.is_empty());
/// # Ok::<(), coltsfootnotch_wire::CodecError>(())
/// ```
pub fn encode(value: &impl Serialize) -> Result<Vec<u8>, CodecError> {
    let mut frame = postcard::to_extend(value, vec![0; LENGTH_BYTES])?;
    let len = frame.len() - LENGTH_BYTES;
    if len > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge { len });
    }
    let prefix = u32::try_from(len).map_err(|_| CodecError::TooLarge { len })?;
    frame[..LENGTH_BYTES].copy_from_slice(&prefix.to_be_bytes());
    Ok(frame)
}

/// Splits the first whole frame's body off `buf`; none while it is not whole.
///
/// # Errors
/// Returns [`CodecError::TooLarge`] as soon as the length is known, before anything is buffered.
pub fn split_frame(buf: &[u8]) -> Result<Split<'_>, CodecError> {
    let Some((prefix, rest)) = buf.split_first_chunk::<LENGTH_BYTES>() else {
        return Ok(None);
    };
    let len = u32::from_be_bytes(*prefix) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge { len });
    }
    Ok(rest.split_at_checked(len))
}

/// Decodes the body of one frame.
///
/// # Errors
/// Returns an error for bytes that are not a value of the type, or hold more than one.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    let (value, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(CodecError::LeftOver { len: rest.len() })
    }
}
