//! Calls of operators and upstreams, which any control host accepts.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::{Arc, Weak};

use coltsfootnotch_forward::registry::Announcement;
use coltsfootnotch_types::DomainName;
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
    /// Starts or ends the evacuation of a failure domain.
    Evacuate {
        /// The domain.
        domain: DomainName,
        /// Whether its upstreams get no requests.
        evacuated: bool,
    },
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
    /// The newest configuration, if there is one. Replies with the same one share it.
    Config(Option<Arc<ConfigBody>>),
    /// Nothing was done, since the failure domain is not known.
    UnknownDomain,
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
    /// The configuration that was read last, while a reply holds it.
    last_read: Weak<ConfigBody>,
}

impl Calls {
    pub(in crate::daemon::control) fn open(&mut self, tx: oneshot::Sender<CallReply>) -> u64 {
        self.last += 1;
        self.waiting.insert(self.last, tx);
        self.last
    }

    /// Whether the caller has disconnected or got its reply.
    pub(in crate::daemon::control) fn is_abandoned(&self, id: u64) -> bool {
        self.waiting.get(&id).is_none_or(oneshot::Sender::is_closed)
    }

    /// The configuration with this digest that replies hold already, or else the one that `read` returns.
    pub(in crate::daemon::control) fn share_config(
        &mut self,
        digest: [u8; 32],
        read: impl FnOnce() -> ConfigBody,
    ) -> Arc<ConfigBody> {
        let last = self.last_read.upgrade();
        let shared = last.filter(|config| config.digest == digest);
        let shared = shared.unwrap_or_else(|| Arc::new(read()));
        self.last_read = Arc::downgrade(&shared);
        shared
    }

    /// Sends the reply to a call, unless the caller has disconnected.
    pub(in crate::daemon::control) fn respond(&mut self, id: u64, reply: CallReply) {
        if let Some(tx) = self.waiting.remove(&id) {
            let _caller_waits = tx.send(reply);
        }
    }
}
