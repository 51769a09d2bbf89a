//! Reading and writing of frames on QUIC streams.

use coltsfootnotch_wire::{CodecError, MAX_FRAME_BYTES, decode, encode};
use derive_more::{Display, Error, From};
use quinn::{ReadExactError, RecvStream, SendStream, WriteError};
use serde::Serialize;
use serde::de::DeserializeOwned;

/// An error in reading or writing a frame.
#[derive(Debug, Display, Error, From)]
pub enum FrameError {
    /// The frame is invalid or too large.
    #[display("invalid frame")]
    Codec(CodecError),
    /// The stream ended or the connection was lost.
    #[display("the stream can't be read")]
    Read(ReadExactError),
    /// The stream was stopped or the connection was lost.
    #[display("the stream can't be written")]
    Write(WriteError),
}

impl FrameError {
    /// Whether the peer has dropped its end of the stream, over a connection that is not lost.
    #[must_use]
    pub fn is_stopped(&self) -> bool {
        matches!(self, Self::Write(WriteError::Stopped(_)))
    }
}

/// Reads one frame, checking its size before buffering the body.
///
/// # Errors
/// Returns an error when the stream ends or the frame is invalid.
pub async fn read_frame<T: DeserializeOwned>(recv: &mut RecvStream) -> Result<T, FrameError> {
    let mut prefix = [0; 4];
    recv.read_exact(&mut prefix).await?;
    let len = u32::from_be_bytes(prefix) as usize;
    if len > MAX_FRAME_BYTES {
        return Err(CodecError::TooLarge { len }.into());
    }
    let mut body = vec![0; len];
    recv.read_exact(&mut body).await?;
    Ok(decode(&body)?)
}

/// Writes one frame.
///
/// # Errors
/// Returns an error when the value is too large or the stream can't be written.
pub async fn write_frame(send: &mut SendStream, value: &impl Serialize) -> Result<(), FrameError> {
    let frame = encode(value)?;
    send.write_all(&frame).await?;
    Ok(())
}
