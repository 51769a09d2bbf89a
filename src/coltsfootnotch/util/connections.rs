//! Tracks the open connections of a server, so that its process exits only after they are closed.
//!
//! A completed response may still be in the buffers of its connection when the caller reads slowly.
//! If the process exits then, the caller receives a truncated response.

use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};

use tokio::sync::watch;

/// Counts the open connections of a server and signals them to close.
#[derive(Debug, Default)]
pub struct Connections {
    open: Arc<AtomicUsize>,
    listening: Arc<AtomicUsize>,
    closed_unread: Arc<AtomicUsize>,
    closing: watch::Sender<bool>,
    aborting: watch::Sender<bool>,
}

/// An open connection, counted until it is dropped.
#[derive(Debug)]
pub struct OpenConnection {
    open: Arc<AtomicUsize>,
    closed_unread: Arc<AtomicUsize>,
    closing: watch::Receiver<bool>,
    aborting: watch::Receiver<bool>,
}

/// A listener that accepts connections, counted until it is dropped.
#[derive(Debug)]
pub struct OpenListener {
    listening: Arc<AtomicUsize>,
}

impl Connections {
    /// Starts to close the connections: idle ones within a moment, others after their current response.
    /// Listeners end once they have accepted what waits in their queues.
    pub fn close(&self) {
        self.closing.send_replace(true);
    }

    /// Closes the connections and ends the requests on them, as shortly before the end of the process: their
    /// callers are told whether they may have run, and responses that have begun are broken off.
    pub fn abort(&self) {
        self.close();
        self.aborting.send_replace(true);
    }

    /// Completes when the connections start to close.
    pub async fn closing(&self) {
        wait_for(self.closing.subscribe()).await;
    }

    /// Number of open connections.
    ///
    /// ```
    /// use coltsfootnotch::util::connections::Connections;
    /// assert_eq!(Connections::default().count(), 0);
    /// ```
    #[must_use]
    pub fn count(&self) -> usize {
        self.open.load(Ordering::Acquire)
    }

    /// Number of open connections and of listeners that accept further ones.
    #[must_use]
    pub fn pending(&self) -> usize {
        // A listener is counted until its last connection is.
        let listening = self.listening.load(Ordering::Acquire);
        listening + self.count()
    }

    /// Counts a listener until the returned value is dropped.
    #[must_use]
    pub fn listen(&self) -> OpenListener {
        self.listening.fetch_add(1, Ordering::AcqRel);
        OpenListener {
            listening: Arc::clone(&self.listening),
        }
    }

    /// Number of connections that were closed with bytes of their peers unread.
    #[must_use]
    pub fn closed_unread(&self) -> usize {
        self.closed_unread.load(Ordering::Acquire)
    }

    /// Counts a connection until the returned value is dropped.
    #[must_use]
    pub fn open(&self) -> OpenConnection {
        self.open.fetch_add(1, Ordering::AcqRel);
        OpenConnection {
            open: Arc::clone(&self.open),
            closed_unread: Arc::clone(&self.closed_unread),
            closing: self.closing.subscribe(),
            aborting: self.aborting.subscribe(),
        }
    }
}

impl OpenConnection {
    /// Counts the connection among those that were closed with bytes of their peers unread, if so.
    pub fn count_if_unread(&self, is_unread: bool) {
        let count = usize::from(is_unread);
        self.closed_unread.fetch_add(count, Ordering::AcqRel);
    }

    /// Completes when the server starts to close its connections.
    pub async fn closing(&self) {
        wait_for(self.closing.clone()).await;
    }

    /// Completes when the requests in progress end.
    pub async fn aborting(&self) {
        wait_for(self.aborting.clone()).await;
    }
}

async fn wait_for(mut signal: watch::Receiver<bool>) {
    if signal.wait_for(|is_given| *is_given).await.is_err() {
        // The sender was dropped without a signal, so it is never given.
        std::future::pending::<()>().await;
    }
}

impl Drop for OpenConnection {
    fn drop(&mut self) {
        self.open.fetch_sub(1, Ordering::AcqRel);
    }
}

impl Drop for OpenListener {
    fn drop(&mut self) {
        self.listening.fetch_sub(1, Ordering::AcqRel);
    }
}
