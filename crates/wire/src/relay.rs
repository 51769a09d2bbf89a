//! Messages between a host or operator and a control host.

use std::net::SocketAddr;

use coltsfootnotch_types::prelude::*;
use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    BegunStreams, EntryLoadReport, HostRecord, RetryHistory, RetryReport, SegmentReport,
    StreamOriginRecord, UpstreamKeepAlive, UpstreamRecord, VersionReport,
};

/// Periodic report that a host is alive, with its directory record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Heartbeat {
    /// Sequence number within the incarnation; an older heartbeat than the last is ignored.
    pub seq: u64,
    /// Start time of the process by the host's clock, in seconds since the Unix epoch: a hint which
    /// of two incarnations at different relays is the later one.
    pub started: u64,
    /// Number of relays that this incarnation has connected to: of two relays that list the host,
    /// the one with the higher number is current.
    pub attach: u32,
    /// Directory record of the host.
    pub record: HostRecord,
    /// Version of the directory that the host has; zero requests the full directory.
    pub directory: u64,
}

/// Service per account since the last batch.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ServiceBatch {
    /// Number of the batch within the host's incarnation; a relay applies each once.
    pub seq: u64,
    /// The accounts that received service.
    pub served: Vec<(AccountName, ServiceUnits)>,
    /// Accounts to whose totals the host subscribes, each with all service that this incarnation of
    /// the host has reported for it to any relay, including this batch.
    pub watch: Vec<(AccountName, ServiceUnits)>,
    /// Accounts from whose totals it unsubscribes.
    pub unwatch: Vec<AccountName>,
}

/// An encoded configuration.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ConfigBody {
    /// Number of the configuration.
    pub number: u64,
    /// SHA-256 of the body.
    pub digest: [u8; 32],
    /// The manifest in its canonical form.
    #[serde(with = "coltsfootnotch_types::bytes_format")]
    pub body: Vec<u8>,
}

/// Reason why a proposal has no result.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum ProposeError {
    /// The control group has no leader or no quorum; nothing was proposed.
    #[display("the control group has no quorum")]
    NoQuorum,
    /// It may or may not take effect; the same command may be sent again.
    #[display("the outcome of the proposal is unknown")]
    Unknown,
    /// The command can't be decoded or is too long.
    #[display("invalid command")]
    BadCommand,
}

/// Reason why a membership change of the control group failed.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error, Serialize, Deserialize)]
pub enum MembersError {
    /// The control group has no leader or no quorum; nothing was changed.
    #[display("the control group has no quorum")]
    NoQuorum,
    /// The change may or may not take effect; check the status and retry.
    #[display("the outcome of the change is unknown")]
    Unknown,
    /// The leader has no connection from a control daemon on the host.
    #[display("no control daemon is connected from host {host}")]
    NotConnected {
        /// The host.
        host: HostName,
    },
    /// An earlier change is in progress.
    #[display("an earlier change of members is under way")]
    Unfinished,
    /// The host to admit is a member already.
    #[display("host {host} is a member already")]
    AlreadyMember {
        /// The host.
        host: HostName,
    },
    /// The host to remove or replace is not a member.
    #[display("host {host} is not a member that can be removed")]
    NotMember {
        /// The host.
        host: HostName,
    },
    /// The last voter can't be removed.
    #[display("the last voter can't be removed")]
    LastVoter,
    /// The members were changed before the request reached the leader; nothing was changed by it.
    #[display("the members were changed meanwhile; check the status and retry")]
    Changed,
}

/// From a host, or an operator, to a control host.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum ToRelay {
    /// Reports that the host is alive.
    Heartbeat(Heartbeat),
    /// Reports service per account.
    Service(ServiceBatch),
    /// Proposes a command for the replicated state, encoded by the `state` package.
    Propose {
        /// Request number, repeated in the response.
        id: u64,
        /// The command.
        #[serde(with = "coltsfootnotch_types::bytes_format")]
        command: Vec<u8>,
    },
    /// Requests the latest accepted configuration, confirmed by a quorum.
    ConfigConfirmed {
        /// Request number, repeated in the response.
        id: u64,
    },
    /// Requests the status of the fleet as JSON.
    Status {
        /// Request number, repeated in the response.
        id: u64,
    },
    /// Adds the control daemon on a host to the control group.
    AdmitMember {
        /// Request number, repeated in the response.
        id: u64,
        /// Host of the new member; its daemon runs and has an empty data folder.
        host: HostName,
        /// Host whose voter is removed once the new member is a voter; the same host if its disk
        /// was lost.
        replaces: Option<HostName>,
    },
    /// Removes the member on a host from the control group.
    RemoveMember {
        /// Request number, repeated in the response.
        id: u64,
        /// The host.
        host: HostName,
    },
    /// Reports the load that a forwarding entry has sent to upstreams since its last report, to the one
    /// control host that it has selected. The host sends it the load of all entries.
    Load {
        /// Number of the report, from 1.
        number: u64,
        /// The report.
        load: Box<EntryLoadReport>,
        /// Streams that the entry has begun since its last report.
        streams: Vec<BegunStreams>,
        /// Requests and retries since the last report, if there were any.
        retries: Option<RetryReport>,
    },
    /// The entry reports its load to another control host from now on.
    LoadElsewhere,
    /// Asks where a stream that its caller resumes began.
    FindStream {
        /// Request number, repeated in the response.
        id: u64,
        /// Digest of the stream's identity; none if its caller does not name the request that began it.
        stream: Option<u64>,
        /// The service that it is resumed at.
        service: String,
    },
    /// States that a stream goes on at another origin than it was placed at before, which may have been reported.
    StreamMoved {
        /// Request number, repeated in the response.
        id: u64,
        /// Digest of the stream's identity.
        stream: u64,
        /// Where it was placed last.
        origin: StreamOriginRecord,
    },
    /// Requests the number of the latest configuration, confirmed by a quorum.
    Lease {
        /// Request number, repeated in the response.
        id: u64,
        /// Number of the configuration in force at the host; zero if it has none or needs the whole
        /// one again.
        current: u64,
    },
    /// States whether a forwarding entry takes connections over from its neighbours.
    Handover {
        /// Its failure domain.
        domain: DomainName,
        /// Its address for connections that are handed over.
        address: SocketAddr,
        /// Whether it takes them now.
        accepts: bool,
    },
    /// Reports requests and retries at once, to the control host that got the last load report: the entry may
    /// end before its next one.
    Retries(RetryReport),
}

/// From a control host to a host or an operator.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum FromRelay {
    /// Changes of the directory since the version in the host's heartbeat.
    Directory {
        /// Incarnation of the relay; versions are valid within it.
        relay: Incarnation,
        /// Version after this change.
        version: u64,
        /// Whether this is the full directory.
        full: bool,
        /// Hosts that are new or have changed.
        changed: Vec<HostRecord>,
        /// Hosts that were removed.
        removed: Vec<HostName>,
    },
    /// Acknowledges a [`ServiceBatch`].
    ServiceApplied {
        /// Number of the batch.
        seq: u64,
    },
    /// Total service of accounts at all other hosts.
    Totals {
        /// The accounts and the service that they received at other hosts.
        remote: Vec<(AccountName, ServiceUnits)>,
    },
    /// A newer configuration than the one in force at the host.
    Config(ConfigBody),
    /// The difference between the configuration in force at the host and a newer one. The full
    /// configuration follows if it does not apply.
    ConfigDelta {
        /// Number of the resulting configuration.
        number: u64,
        /// The delta type of the `manifest` package, encoded with `postcard`.
        #[serde(with = "coltsfootnotch_types::bytes_format")]
        delta: Vec<u8>,
    },
    /// Response to [`ToRelay::ConfigConfirmed`].
    ConfigConfirmed {
        /// Number of the request.
        id: u64,
        /// The configuration, `None` if there is none yet, or why it can't be confirmed.
        config: Result<Option<ConfigBody>, ProposeError>,
    },
    /// Response to [`ToRelay::Propose`].
    Proposed {
        /// Number of the request.
        id: u64,
        /// The state machine's reply, encoded by the `state` package.
        reply: Result<Vec<u8>, ProposeError>,
    },
    /// Response to [`ToRelay::Status`].
    Status {
        /// Number of the request.
        id: u64,
        /// The status as JSON.
        json: String,
    },
    /// Response to [`ToRelay::AdmitMember`] and [`ToRelay::RemoveMember`].
    Members {
        /// Number of the request.
        id: u64,
        /// Whether the change is committed, or why it is not.
        outcome: Result<(), MembersError>,
    },
    /// Upstreams that are new or have changed; all live upstreams on a new connection.
    Upstreams(Vec<UpstreamRecord>),
    /// Upstreams that are alive and have not changed.
    UpstreamsAlive(Vec<UpstreamKeepAlive>),
    /// An upstream has announced that it leaves.
    UpstreamLeft {
        /// Its identifier.
        id: String,
        /// Start time of the process that left, if announced, in milliseconds since the Unix epoch.
        born_ms: Option<u64>,
    },
    /// Load that all forwarding entries have sent to upstreams.
    FleetLoad {
        /// Number of entries with a recent report, including the receiver.
        entries: u32,
        /// Number of the receiver's last report that the load includes; zero for none.
        included: u64,
        /// Interval at which the sender wants reports, in milliseconds.
        period_ms: u32,
        /// Sum of the entries' reports: an encoded [`LoadChanges`](crate::LoadChanges).
        #[serde(with = "coltsfootnotch_types::bytes_format")]
        load: Vec<u8>,
        /// Segments that crash upstreams.
        segments: SegmentReport,
    },
    /// Response to [`ToRelay::FindStream`].
    StreamFound {
        /// Number of the request.
        id: u64,
        /// Where the stream began; none if it is not known here.
        origin: Option<StreamOriginRecord>,
        /// Whether it is known to have been placed elsewhere before.
        has_moved: bool,
        /// The versions of the service of which the sender knows.
        versions: VersionReport,
    },
    /// Response to [`ToRelay::StreamMoved`].
    StreamMoveRecorded {
        /// Number of the request.
        id: u64,
    },
    /// Response to [`ToRelay::Lease`]; not sent while there is no quorum.
    Lease {
        /// Number of the request.
        id: u64,
        /// Number of the latest accepted configuration, at the time of the request or later. A
        /// [`FromRelay::ConfigPatch`] precedes the response to a host that has an older one.
        number: u64,
    },
    /// Fleet addresses of the control hosts that have a replicated log.
    ControlHosts {
        /// Whether the sender is one of them; if not, the message is a redirect.
        has_log: bool,
        /// Failure domain of the sender.
        domain: DomainName,
        /// The addresses.
        addresses: Vec<SocketAddr>,
    },
    /// A newer configuration than the one in force at a forwarding entry, as a patch of that one.
    ConfigPatch {
        /// Number of the configuration that the patch was made from; zero for none, so that it holds
        /// the whole.
        base: u64,
        /// Number of the resulting configuration.
        number: u64,
        /// SHA-256 of the resulting body.
        digest: [u8; 32],
        /// The patch, a zstd frame with the body of `base` as its prefix.
        #[serde(with = "coltsfootnotch_types::bytes_format")]
        patch: Vec<u8>,
    },
    /// The other forwarding entries of the receiver's failure domain that take connections over.
    Neighbours {
        /// Their addresses for connections that are handed over.
        addresses: Vec<SocketAddr>,
    },
    /// The failure domains whose upstreams get no requests. Sent on a connection before any
    /// [`FromRelay::Lease`] response that was confirmed after the change.
    Evacuations {
        /// Log index of the last change; a lower one is out of date.
        revision: u64,
        /// All evacuated domains.
        domains: Vec<DomainName>,
    },
    /// What the sender knows of the retries of the receiver's earlier processes; sent on each connection of a
    /// forwarding entry.
    RetryHistory(RetryHistory),
}
