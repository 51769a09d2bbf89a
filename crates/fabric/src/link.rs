//! The sending half of a connection.

use std::future::pending;
use std::sync::Arc;

use coltsfootnotch_wire::{CodecError, Message, encode};
use quinn::{Connection, ConnectionError, RecvStream, SendStream};
use serde::de::DeserializeOwned;
use tokio::sync::mpsc;

use crate::send_queues::SendQueue;
use crate::{FrameHold, FrameMemory, ReceiveError};

/// The bidirectional stream of an attempt.
#[derive(Debug)]
pub struct AttemptStream {
    /// Frames to the peer.
    pub send: SendStream,
    /// Frames from the peer.
    pub recv: RecvStream,
    pub(crate) memory: FrameMemory,
}

impl AttemptStream {
    /// Receives a frame with the memory that it takes, which it shares with those of all peers.
    ///
    /// # Errors
    /// Returns an error if the frame is invalid or stops short of its end, the stream ends, or other frames take the
    /// memory for it.
    pub async fn receive<T: DeserializeOwned>(&mut self) -> Result<(T, FrameHold), ReceiveError> {
        self.memory.receive(&mut self.recv).await
    }

    /// Completes when the peer has dropped its end of the stream. The loss of the connection is not reported here.
    pub async fn stopped(&mut self) {
        if !matches!(self.send.stopped().await, Ok(Some(_))) {
            pending::<()>().await;
        }
    }
}

/// Maximum number of control frames queued per connection, which bounds memory use.
///
/// The connection to a peer that reads too slowly is closed; the full state is resent when it
/// reconnects.
const MAX_QUEUED_FRAMES: usize = 4096;

/// The sending half of a connection.
#[derive(Debug, Clone)]
pub struct LinkTx {
    connection: Connection,
    frames: mpsc::Sender<Vec<u8>>,
    queue: Arc<SendQueue>,
    memory: FrameMemory,
}

impl LinkTx {
    pub(crate) fn new(
        connection: Connection,
        queue: Arc<SendQueue>,
        memory: FrameMemory,
    ) -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (frames, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
        let link = Self {
            connection,
            frames,
            queue,
            memory,
        };
        (link, rx)
    }

    /// Queues a control message.
    ///
    /// If the connection is closed or its queue is full, the message is dropped and the connection
    /// closed.
    ///
    /// # Errors
    /// Returns an error when the message is too large for a frame.
    pub fn send(&self, message: &Message) -> Result<(), CodecError> {
        let frame = encode(message)?;
        let len = frame.len();
        // Counted first, as it may be sent at once.
        self.queue.push(len);
        if self.frames.try_send(frame).is_err() {
            self.queue.pop(len);
            self.close();
        }
        Ok(())
    }

    /// Opens a stream for an attempt.
    ///
    /// # Errors
    /// Returns an error when the connection is closed.
    pub async fn open(&self) -> Result<AttemptStream, ConnectionError> {
        let (send, recv) = self.connection.open_bi().await?;
        let memory = self.memory.clone();
        Ok(AttemptStream { send, recv, memory })
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.connection.close(0_u32.into(), b"closed");
    }
}
