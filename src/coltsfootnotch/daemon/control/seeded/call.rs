//! Calls of operators and upstreams, which any control host accepts.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coltsfootnotch_forward::registry::Announcement;
use coltsfootnotch_wire::ConfigBody;
use tokio::sync::oneshot;

/// A call of an operator or an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Puts a configuration in force, which the caller has validated.
    Apply {
        /// Its number.
        number: u64,
        /// Its body.
        body: Vec<u8>,
    },
    /// Reads the newest configuration, confirmed by a quorum.
    Read,
    /// An announcement of an upstream.
    Announce(Announcement),
    /// An upstream has left.
    Leave {
        /// Its identity.
        id: String,
        /// Start time of its run, if reported, in Unix milliseconds.
        born_ms: Option<u64>,
    },
}

/// The reply to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallReply {
    /// Done, done before, or superseded by a higher number.
    Done,
    /// The newest configuration, if there is one.
    Config(Option<ConfigBody>),
    /// Nothing was done, since this host has no log; the control host at this fleet address has one.
    Redirect(SocketAddr),
    /// The outcome is unknown; the call may be retried at any control host.
    Unknown,
}

/// Calls that wait for a response of the control group.
#[derive(Debug, Default)]
pub(in crate::daemon::control) struct Calls {
    last: u64,
    waiting: BTreeMap<u64, oneshot::Sender<CallReply>>,
}

impl Calls {
    pub(in crate::daemon::control) fn open(&mut self, tx: oneshot::Sender<CallReply>) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, tx);
        self.last
    }

    /// Sends the reply to a call, unless the caller has disconnected.
    pub(in crate::daemon::control) fn respond(&mut self, id: u64, reply: CallReply) {
        if let Some(tx) = self.waiting.remove(&id) {
            let _caller_waits = tx.send(reply);
        }
    }
}
