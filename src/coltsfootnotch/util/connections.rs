//! The open connections of a server, so that its process ends after them.
//!
//! An answer that the daemon has finished may still lie in the buffers of its connection, when the
//! caller is slow to take it. A process that ended then would cut the answer off: the caller, who was
//! promised the whole, would get an end without the last bytes.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// The open connections of a server.
#[derive(Debug, Default)]
pub struct Connections {
    open: Arc<AtomicUsize>,
    closing: watch::Sender<bool>,
}

/// One open connection; counted until it is dropped.
#[derive(Debug)]
pub(super) struct OpenConnection {
    open: Arc<AtomicUsize>,
    closing: watch::Receiver<bool>,
}

impl Connections {
    /// Closes each connection after the answer that it is giving; idle ones at once.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// How many connections are open.
    ///
    /// ```
    /// use coltsfootnotch::util::connections::Connections;
    /// assert_eq!(Connections::default().count(), 0);
    /// ```
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    pub(super) fn open(&self) -> OpenConnection {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenConnection {
            open: Arc::clone(&self.open),
            closing: self.closing.subscribe(),
        }
    }
}

impl OpenConnection {
    /// Resolves once the server closes its connections.
    pub(super) async fn told_to_close(&self) {
        let mut closing = self.closing.clone();
        if closing.wait_for(|closing| *closing).await.is_err() {
            // The server goes on for as long as its process: nobody will ever close it.
            std::future::pending::<()>().await;
        }
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}
