//! State and load of upstreams, exchanged between control hosts and forwarding entries.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Lifecycle stage of an upstream.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamStage {
    /// It accepts requests.
    Ready,
    /// It finishes its requests and accepts no more.
    Draining,
    /// It has left.
    Left,
}

/// What an upstream announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamRecord {
    /// Its identifier.
    pub id: String,
    /// Start time of its process by its own clock, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Sequence number of the announcement within the run.
    pub sequence: u64,
    /// The service that it belongs to.
    pub service: String,
    /// Version of its software; empty if it announced none.
    pub version: String,
    /// Address for requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Maximum number of concurrent requests.
    pub slots: u32,
    /// Its lifecycle stage.
    pub stage: UpstreamStage,
    /// Remaining time of its warm-up, in milliseconds.
    pub warming_ms: u32,
}

/// Keep-alive of an upstream whose [`UpstreamRecord`] has not changed.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamKeepAlive {
    /// Its identifier.
    pub id: String,
    /// Start time of its process, in milliseconds since the Unix epoch.
    pub born_ms: u64,
    /// Sequence number of its last announcement.
    pub sequence: u64,
}

/// Requests of entries at one upstream, and its recent performance. `N` names the upstream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUsage<N = String> {
    /// The upstream.
    pub id: N,
    /// Prompt tokens of requests that have no first event yet.
    pub waiting_tokens: u64,
    /// Requests in flight.
    pub running: u32,
    /// Estimated tokens that these requests occupy in its memory.
    pub held_tokens: u64,
    /// Total time to first event of requests since the last report, in milliseconds.
    pub elapsed_ms: u64,
    /// Total expected time to first event of the same requests, in milliseconds.
    pub expected_ms: u64,
    /// Requests that failed since the last report.
    pub failed: u32,
    /// Requests that succeeded since the last report.
    pub succeeded: u32,
}

impl<N> UpstreamUsage<N> {
    /// The same usage with another name of the upstream.
    ///
    /// ```
    /// use coltsfootnotch_wire::UpstreamUsage;
    /// let used = UpstreamUsage { id: 7_u32, running: 3, ..Default::default() };
    /// assert_eq!(used.with_id("spec-1").running, 3);
    /// ```
    pub fn with_id<M>(&self, id: M) -> UpstreamUsage<M> {
        UpstreamUsage {
            id,
            waiting_tokens: self.waiting_tokens,
            running: self.running,
            held_tokens: self.held_tokens,
            elapsed_ms: self.elapsed_ms,
            expected_ms: self.expected_ms,
            failed: self.failed,
            succeeded: self.succeeded,
        }
    }

    /// Whether nothing is in flight and nothing was counted.
    pub fn is_unused(&self) -> bool {
        self.with_id(()) == UpstreamUsage::default()
    }
}

/// Service of a client account since the last report, in service units. `N` names the account.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountDemand<N = String> {
    /// The account.
    pub account: N,
    /// Service that its requests asked for.
    pub requested: u64,
    /// Service of the requests that were sent to upstreams.
    pub admitted: u64,
}

/// A prompt segment that an upstream has cached. `N` names the upstream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentRecord<N = String> {
    /// The upstream.
    pub upstream: N,
    /// Digest of the segment.
    pub segment: u64,
    /// Its length in tokens.
    pub tokens: u32,
}

/// An upstream closed the connection in the middle of a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct AbortRecord {
    /// Digest of the request's content.
    pub content: u64,
    /// Digest of the upstream and its start time.
    pub run: u64,
}

/// A content whose requests are refused, since it crashed several upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct RefusedContent {
    /// Digest of the content.
    pub content: u64,
    /// Time since the last crash that counts against it, in milliseconds.
    pub crash_age_ms: u64,
}

/// Shared prompt segments of a request that an upstream had not begun to answer when its run ended.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashSuspects {
    /// Digest of the upstream and its start time.
    pub run: u64,
    /// Digest of its address, which later runs may have as well.
    pub upstream: u64,
    /// Its service.
    pub service: String,
    /// The segments.
    pub segments: Vec<u64>,
}

/// Segments that are refused in requests that have all of them.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentGroup {
    /// The segments.
    pub segments: Vec<u64>,
    /// Time since the last crash that counts against them, in milliseconds.
    pub crash_age_ms: u64,
}

/// What a control host knows of segments that crash upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct SegmentReport {
    /// Segments under suspicion since the last report; entries report their answers.
    pub suspected: Vec<u64>,
    /// Segments of requests that were answered since the last report, of those under suspicion.
    pub cleared: Vec<u64>,
    /// All groups to refuse.
    pub refused: Vec<SegmentGroup>,
}

/// Load that one or several entries have sent to upstreams.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct EntryLoadReport {
    /// By upstream.
    pub upstreams: Vec<UpstreamUsage>,
    /// By client account.
    pub accounts: Vec<AccountDemand>,
    /// Prompt segments that upstreams have cached since the last report.
    pub segments: Vec<SegmentRecord>,
    /// Requests during which an upstream closed the connection, since the last report.
    pub aborts: Vec<AbortRecord>,
    /// Digests of contents that crashed an upstream, of which a request has succeeded since.
    pub cleared: Vec<u64>,
    /// All contents that are refused.
    pub refused: Vec<RefusedContent>,
    /// Segments that crash upstreams.
    pub crashes: CrashReport,
}

/// Load of all entries, as the changes since the sender's previous message on the connection.
///
/// Upstreams and accounts have numbers in place of names, and only rows that have changed are sent: with names
/// and all rows, a control host of a large fleet sends ten times the bytes.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadChanges {
    /// Whether this holds all rows and names, and replaces what was received before.
    pub is_whole: bool,
    /// Names of upstreams that were not sent before.
    pub upstream_names: Vec<(u32, String)>,
    /// Names of client accounts that were not sent before.
    pub account_names: Vec<(u32, String)>,
    /// Upstreams whose requests in flight have changed or that have counters.
    pub upstreams: Vec<UpstreamUsage<u32>>,
    /// By client account, since the last message.
    pub accounts: Vec<AccountDemand<u32>>,
    /// Prompt segments that upstreams have cached since the last message.
    pub segments: Vec<SegmentRecord<u32>>,
    /// Requests during which an upstream closed the connection, since the last message.
    pub aborts: Vec<AbortRecord>,
    /// Digests of contents that crashed an upstream, of which a request has succeeded since.
    pub cleared: Vec<u64>,
    /// All contents that are refused.
    pub refused: Vec<RefusedContent>,
}

/// What entries know of segments that crash upstreams, since their last report.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct CrashReport {
    /// Segments that were in flight when upstreams ended.
    pub crash_suspects: Vec<CrashSuspects>,
    /// Services with prompts of which an answer began.
    pub answered_services: Vec<String>,
    /// Segments under suspicion of which a request was answered.
    pub answered_segments: Vec<u64>,
    /// Segments that came under suspicion and of which a request was answered lately, before that.
    pub sound_segments: Vec<u64>,
    /// Segments that entries refuse.
    pub refused_segments: Vec<SegmentGroup>,
}

/// The service and version of the upstream that began a stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct StreamOriginRecord {
    /// The service.
    pub service: String,
    /// Version of the upstream's software; empty if it announced none.
    pub version: String,
}

/// What a control host knows of the versions of a service that may have begun a stream.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct VersionReport {
    /// Versions of the upstreams that were announced to the sender lately.
    pub versions: Vec<String>,
    /// Time for which the sender knows all versions that were announced to it, in milliseconds; the maximum if none
    /// can be missing.
    pub known_for_ms: u32,
    /// The sender's identity in the control group; none if upstreams don't announce themselves to it.
    pub member: Option<String>,
    /// Identities of the other control hosts that upstreams may have announced themselves to lately.
    pub others: Vec<String>,
}

/// Streams that began at upstreams of one service and version.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct BegunStreams {
    /// The service.
    pub service: String,
    /// Version of the upstreams' software; empty if they announced none.
    pub version: String,
    /// Digests of the streams' identities.
    pub streams: Vec<u64>,
}
