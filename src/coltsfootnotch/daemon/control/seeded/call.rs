//! Calls of operators and upstreams, which may come to any control host.

use std::collections::BTreeMap;
use std::net::SocketAddr;

use coltsfootnotch_forward::registry::Announcement;
use coltsfootnotch_wire::ConfigBody;
use tokio::sync::oneshot;

/// A call of an operator or an upstream.
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum Call {
    /// Put a configuration in force, which the caller has checked.
    Apply {
        /// Its number.
        number: u64,
        /// Its text.
        body: Vec<u8>,
    },
    /// The newest configuration, confirmed by a quorum.
    Read,
    /// An upstream lives.
    Announce(Announcement),
    /// An upstream has left.
    Leave {
        /// Its identity.
        id: String,
        /// Start of its run, where it says so.
        born_ms: Option<u64>,
    },
}

/// The answer to a [`Call`].
#[derive(Debug, Clone, PartialEq, Eq)]
pub enum CallReply {
    /// Done, or was done before, or a higher number has overtaken it.
    Done,
    /// The newest configuration; none while there is none.
    Config(Option<ConfigBody>),
    /// Nothing was done: this host keeps no log. One that does has this fleet address.
    Elsewhere(SocketAddr),
    /// It is not known whether it is done; the same call may be made again, here or elsewhere.
    Unknown,
}

/// Calls that wait for the control group.
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

    /// Answers a call; one whose caller has gone is forgotten.
    pub(in crate::daemon::control) fn answer(&mut self, id: u64, reply: CallReply) {
        if let Some(tx) = self.waiting.remove(&id) {
            let _caller_waits = tx.send(reply);
        }
    }
}
