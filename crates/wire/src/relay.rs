//! Messages between a host and the control host that is its relay.

use std::net::SocketAddr;

use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{HostRecord, LoadWord, UpstreamSign, UpstreamWord};

/// Says that a host lives, and what others should know of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Number of the heartbeat within the run; an older one than the last is dropped.
    pub seq: u64,
    /// Seconds of the host's own calendar clock at its start: a hint which of two runs that register
    /// at different relays is the later one.
    pub started: u64,
    /// How many relays this run has turned to: of two relays that list the host, the one with the
    /// higher count is right.
    pub attach: u32,
    /// The host itself.
    pub record: HostRecord,
    /// Version of the directory that the host has; zero asks for the whole.
    pub directory: u64,
}

/// Service given since the last batch, per account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBatch {
    /// Number of the batch within the host's run; a relay applies each once.
    pub seq: u64,
    /// The accounts that received service.
    pub served: Vec<(AccountName, ServiceUnits)>,
    /// Accounts whose totals the host wants from now on, each with all service that this run of the
    /// host has reported of it to any relay, this batch included.
    pub watch: Vec<(AccountName, ServiceUnits)>,
    /// Accounts whose totals it no longer wants.
    pub unwatch: Vec<AccountName>,
}

/// A configuration as it travels.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Its number.
    pub number: u64,
    /// Digest of the body (SHA-256).
    pub digest: [u8; 32],
    /// The manifest in its canonical form.
    pub body: Vec<u8>,
}

/// Why a proposal has no answer.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// The control group has no leader or no quorum; nothing was proposed.
    #[display("the control group has no quorum")]
    NoQuorum,
    /// It may or may not take effect; the same command may be sent again.
    #[display("the outcome of the proposal is unknown")]
    Unknown,
    /// The command could not be read.
    #[display("the command could not be read")]
    BadCommand,
}

/// Why the members of the control group were not changed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum MembersError {
    /// The control group has no leader or no quorum; nothing was changed.
    #[display("the control group has no quorum")]
    NoQuorum,
    /// The change may or may not take effect; see the status, and ask again.
    #[display("the outcome of the change is unknown")]
    Unknown,
    /// No member has said hello from that host to the leader.
    #[display("no control daemon is connected from host {host}")]
    NotConnected {
        /// The host.
        host: HostName,
    },
    /// An earlier change is not finished.
    #[display("an earlier change of members is under way")]
    Unfinished,
    /// The newcomer belongs to the group.
    #[display("host {host} is a member already")]
    AlreadyMember {
        /// The host.
        host: HostName,
    },
    /// The host to remove or replace has no member.
    #[display("host {host} is not a member that can be removed")]
    NotMember {
        /// The host.
        host: HostName,
    },
    /// The last voter can't be removed.
    #[display("the last voter can't be removed")]
    LastVoter,
}

/// From a host, or an operator, to a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRelay {
    /// I live.
    Heartbeat(Heartbeat),
    /// Service given.
    Service(ServiceBatch),
    /// A command for the replicated state, encoded by the `state` package.
    Propose {
        /// Matches the answer.
        id: u64,
        /// The command.
        command: Vec<u8>,
    },
    /// Asks for the newest accepted configuration, confirmed by a quorum.
    ConfigConfirmed {
        /// Matches the answer.
        id: u64,
    },
    /// Asks for the state of the fleet as JSON.
    Status {
        /// Matches the answer.
        id: u64,
    },
    /// Admits the control daemon on a host to the control group.
    AdmitMember {
        /// Matches the answer.
        id: u64,
        /// The newcomer's host; its daemon runs and has an empty data folder.
        host: HostName,
        /// The host whose voter is removed once the newcomer counts. The same host when its disk
        /// was lost.
        replaces: Option<HostName>,
    },
    /// Removes the member on a host from the control group.
    RemoveMember {
        /// Matches the answer.
        id: u64,
        /// The host.
        host: HostName,
    },
    /// What a forwarding entry has sent to upstreams since its last report.
    Load {
        /// Whether this control host is the one that the entry follows: that one tells it what the
        /// other entries do.
        follows: bool,
        /// The report.
        load: LoadWord,
    },
    /// Asks whether a configuration is still the newest, confirmed by a quorum.
    Lease {
        /// Matches the answer.
        id: u64,
        /// Number of the configuration in force at the host; zero while it has none.
        have: u64,
    },
}

/// From a control host to a host or an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromRelay {
    /// Hosts that have changed since the version the host had.
    Directory {
        /// The run of the relay; a version is good within it.
        relay: Incarnation,
        /// Version after this change.
        version: u64,
        /// Whether this is the whole directory.
        full: bool,
        /// Hosts that are new or have changed.
        changed: Vec<HostRecord>,
        /// Hosts that are gone.
        gone: Vec<HostName>,
    },
    /// A batch was applied.
    ServiceApplied {
        /// Number of the batch.
        seq: u64,
    },
    /// Total service of accounts, by all other hosts.
    Totals {
        /// The accounts and what they received elsewhere.
        elsewhere: Vec<(AccountName, ServiceUnits)>,
    },
    /// A newer configuration than the host has in force.
    Config(ConfigBody),
    /// What changes from the configuration that the host has in force to a newer one. If it does not
    /// fit, the whole follows.
    ConfigDelta {
        /// Number of the configuration that it gives.
        number: u64,
        /// The change, encoded by the `manifest` package's type with `postcard`.
        delta: Vec<u8>,
    },
    /// Answers [`ToRelay::ConfigConfirmed`]; none when there is no configuration yet.
    ConfigConfirmed {
        /// Matches the question.
        id: u64,
        /// The configuration, or why it can't be confirmed.
        config: Result<Option<ConfigBody>, ProposeError>,
    },
    /// Answers [`ToRelay::Propose`].
    Proposed {
        /// Matches the question.
        id: u64,
        /// The state machine's reply, encoded by the `state` package.
        reply: Result<Vec<u8>, ProposeError>,
    },
    /// Answers [`ToRelay::Status`].
    Status {
        /// Matches the question.
        id: u64,
        /// JSON text.
        json: String,
    },
    /// Answers [`ToRelay::AdmitMember`] and [`ToRelay::RemoveMember`].
    Members {
        /// Matches the question.
        id: u64,
        /// The change is committed, or why it is not.
        outcome: Result<(), MembersError>,
    },
    /// Upstreams that are new or have changed; all that live, when a connection is new.
    Upstreams(Vec<UpstreamWord>),
    /// Upstreams that still live and say nothing new.
    UpstreamsAlive(Vec<UpstreamSign>),
    /// An upstream has left, by its own word.
    UpstreamLeft {
        /// Its identity.
        id: String,
        /// Start of the run that left, where it said so.
        born_ms: Option<u64>,
    },
    /// What all other forwarding entries have sent to upstreams.
    Fleet {
        /// Entries that reported lately, the receiver included.
        entries: u32,
        /// Their reports together, without the receiver's own.
        load: LoadWord,
    },
    /// Answers [`ToRelay::Lease`]; nothing comes while a quorum can't be asked.
    Lease {
        /// Matches the question.
        id: u64,
        /// The newest number that was accepted before the question or after it.
        number: u64,
        /// That configuration, where the host had a lower one.
        newer: Option<ConfigBody>,
    },
    /// Fleet addresses of the control hosts that keep a log.
    ControlHosts {
        /// Whether the sender is one of them; if not, it can only name them.
        keeps_log: bool,
        /// The addresses.
        addresses: Vec<SocketAddr>,
    },
}
