//! Memory for frames that an endpoint receives.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{CodecError, MAX_FRAME_BYTES, decode};
use derive_more::{Display, Error, From};
use quinn::{ReadExactError, RecvStream};
use serde::de::DeserializeOwned;
use tokio::sync::{OwnedSemaphorePermit, Semaphore};
use tokio::time::timeout;

use crate::FrameError;

/// Longest frame that takes none of the memory, in bytes, so that heartbeats and votes are read whatever other peers
/// hold. Those of a connection that are not handled are limited by its own.
const SHORT_FRAME_BYTES: usize = 4 * 1024;
/// Part of a frame that has to arrive within [`STALL_TIMEOUT`], in bytes.
const PART_BYTES: usize = 64 * 1024;
/// Time for a part of a frame that has begun: a peer that sends nothing for as long has lost its connection.
const STALL_TIMEOUT: Duration = Duration::from_secs(2);
/// Time for which a frame waits for memory that other frames hold. They are given up within [`STALL_TIMEOUT`] if
/// their peers stop short of their end.
const MEMORY_TIMEOUT: Duration = Duration::from_secs(5);
/// Copies of a frame: its bytes, and what is decoded from them.
const COPIES: usize = 2;
/// Bytes of a permit.
const PERMIT_BYTES: usize = 1024;

/// Why a frame was not received.
#[derive(Debug, Display, Error, From)]
pub enum ReceiveError {
    /// The frame is invalid, or the stream can't be read.
    #[display("the frame can't be read")]
    Frame(FrameError),
    /// The peer has sent nothing more of a frame for too long.
    #[display("the frame stops short of its end")]
    #[from(skip)]
    Stalled,
    /// Other frames take all memory.
    #[display("there is no memory for the frame")]
    #[from(skip)]
    NoMemory,
}

impl From<ReadExactError> for ReceiveError {
    fn from(e: ReadExactError) -> Self {
        Self::Frame(e.into())
    }
}

impl From<CodecError> for ReceiveError {
    fn from(e: CodecError) -> Self {
        Self::Frame(e.into())
    }
}

/// Memory that the frames of all peers share, and that one of the longest always fits in. Clones share it.
#[derive(Debug, Clone)]
pub struct FrameMemory {
    permits: Arc<Semaphore>,
}

/// Memory of one frame, until it is dropped.
#[derive(Debug)]
pub struct FrameHold {
    frame_bytes: usize,
    _permits: Option<OwnedSemaphorePermit>,
}

impl FrameHold {
    /// Length of the frame, in bytes.
    pub(crate) fn frame_bytes(&self) -> usize {
        self.frame_bytes
    }
}

impl FrameMemory {
    /// Memory of `bytes`, or that of one of the longest frames if that is more.
    #[must_use]
    pub fn new(bytes: u64) -> Self {
        let least = permits(MAX_FRAME_BYTES) as usize;
        let bytes = usize::try_from(bytes).unwrap_or(usize::MAX);
        let count = (bytes / PERMIT_BYTES).clamp(least, Semaphore::MAX_PERMITS);
        Self {
            permits: Arc::new(Semaphore::new(count)),
        }
    }

    /// Receives a frame, with the memory that it takes until the value is handled.
    ///
    /// # Errors
    /// Returns an error if the frame is invalid, the stream ends, the frame stops short of its end, or other frames
    /// take the memory for it.
    pub async fn receive<T: DeserializeOwned>(
        &self,
        recv: &mut RecvStream,
    ) -> Result<(T, FrameHold), ReceiveError> {
        let len = read_length(recv, MAX_FRAME_BYTES).await?;
        let hold = self.hold(len).await?;
        let body = read_body(recv, len).await?;
        Ok((decode(&body)?, hold))
    }

    async fn hold(&self, len: usize) -> Result<FrameHold, ReceiveError> {
        if len <= SHORT_FRAME_BYTES {
            return Ok(FrameHold {
                frame_bytes: len,
                _permits: None,
            });
        }
        let permits = Arc::clone(&self.permits).acquire_many_owned(permits(len));
        let held = timeout(MEMORY_TIMEOUT, permits).await;
        // The semaphore is never closed.
        let held = held.ok().and_then(Result::ok);
        let held = held.ok_or(ReceiveError::NoMemory)?;
        Ok(FrameHold {
            frame_bytes: len,
            _permits: Some(held),
        })
    }
}

/// Receives a frame of at most `longest` bytes.
///
/// # Errors
/// Returns an error if the frame is invalid or longer, the stream ends, or the frame stops short of its end.
pub(crate) async fn receive_short<T: DeserializeOwned>(
    recv: &mut RecvStream,
    longest: usize,
) -> Result<T, ReceiveError> {
    let len = read_length(recv, longest).await?;
    let body = read_body(recv, len).await?;
    Ok(decode(&body)?)
}

fn permits(len: usize) -> u32 {
    (COPIES * len).div_ceil(PERMIT_BYTES) as u32
}

async fn read_length(recv: &mut RecvStream, longest: usize) -> Result<usize, ReceiveError> {
    let mut prefix = [0; 4];
    recv.read_exact(&mut prefix).await?;
    let len = u32::from_be_bytes(prefix) as usize;
    if len > longest {
        return Err(CodecError::TooLarge { len }.into());
    }
    Ok(len)
}

async fn read_body(recv: &mut RecvStream, len: usize) -> Result<Vec<u8>, ReceiveError> {
    let mut body = vec![0; len];
    for part in body.chunks_mut(PART_BYTES) {
        let read = timeout(STALL_TIMEOUT, recv.read_exact(part)).await;
        read.map_err(|_| ReceiveError::Stalled)??;
    }
    Ok(body)
}
