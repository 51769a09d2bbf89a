//! Encoding of frames: a four-byte big-endian length followed by a `postcard` body.

use derive_more::{Display, Error, From};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// Maximum length of a frame's body in bytes: a request body of 8 MiB and its metadata.
pub const MAX_FRAME_BYTES: usize = 9 * 1024 * 1024;

const LENGTH_BYTES: usize = 4;

/// A frame's body and the bytes that follow it; `None` while the frame is incomplete.
pub type SplitFrame<'a> = Option<(&'a [u8], &'a [u8])>;

/// Error of encoding or decoding a frame.
#[derive(Debug, Display, Error, From)]
pub enum CodecError {
    /// The body is longer than [`MAX_FRAME_BYTES`].
    #[display("a frame of {len} bytes exceeds the limit of {MAX_FRAME_BYTES}")]
    #[from(skip)]
    TooLarge {
        /// Length of the body, in bytes.
        len: usize,
    },
    /// The body can't be encoded or decoded.
    #[display("can't encode or decode the body of a frame")]
    Body(postcard::Error),
    /// The value is followed by more bytes.
    #[display("a frame has {len} trailing bytes")]
    #[from(skip)]
    TrailingBytes {
        /// Number of trailing bytes.
        len: usize,
    },
}

/// Encodes a value as one frame, including its length prefix.
///
/// # Errors
/// Returns [`CodecError::TooLarge`] if the body exceeds [`MAX_FRAME_BYTES`], or
/// [`CodecError::Body`] if the value can't be encoded.
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

/// Splits the body of the first frame off `buf`; `None` while it is incomplete.
///
/// # Errors
/// Returns [`CodecError::TooLarge`] as soon as the length is known, before the body is buffered.
pub fn split_frame(buf: &[u8]) -> Result<SplitFrame<'_>, CodecError> {
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
/// Returns [`CodecError::Body`] if the bytes are no value of the type, or
/// [`CodecError::TrailingBytes`] if more bytes follow the value.
pub fn decode<T: DeserializeOwned>(body: &[u8]) -> Result<T, CodecError> {
    let (value, rest) = postcard::take_from_bytes(body)?;
    if rest.is_empty() {
        Ok(value)
    } else {
        Err(CodecError::TrailingBytes { len: rest.len() })
    }
}
