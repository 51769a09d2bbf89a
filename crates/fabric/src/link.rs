//! The sending half of a connection.

use coltsfootnotch_wire::{CodecError, Message, encode};
use quinn::{Connection, ConnectionError, RecvStream, SendStream};
use tokio::sync::mpsc;

/// A stream of one attempt, both directions.
#[derive(Debug)]
pub struct AttemptStream {
    /// Frames to the peer.
    pub send: SendStream,
    /// Frames from the peer.
    pub recv: RecvStream,
}

/// Most control frames queued for one connection.
///
/// A peer that takes none for that long is as good as gone: the connection is closed, the peer is
/// told everything anew when it is back, and the memory of this process stays bounded.
const MAX_QUEUED_FRAMES: usize = 4096;

/// Sends on one connection.
#[derive(Debug, Clone)]
pub struct LinkTx {
    connection: Connection,
    frames: mpsc::Sender<Vec<u8>>,
}

impl LinkTx {
    pub(crate) fn new(connection: Connection) -> (Self, mpsc::Receiver<Vec<u8>>) {
        let (frames, rx) = mpsc::channel(MAX_QUEUED_FRAMES);
        (Self { connection, frames }, rx)
    }

    /// Queues a control message; it is dropped with the connection when that is gone or stuck.
    ///
    /// # Errors
    /// Returns an error for a message that is too large for a frame.
    pub fn send(&self, message: &Message) -> Result<(), CodecError> {
        let frame = encode(message)?;
        if self.frames.try_send(frame).is_err() {
            self.close();
        }
        Ok(())
    }

    /// Opens a stream for an attempt.
    ///
    /// # Errors
    /// Returns an error when the connection is gone.
    pub async fn open(&self) -> Result<AttemptStream, ConnectionError> {
        let (send, recv) = self.connection.open_bi().await?;
        Ok(AttemptStream { send, recv })
    }

    /// Closes the connection.
    pub fn close(&self) {
        self.connection.close(0_u32.into(), b"closed");
    }
}
