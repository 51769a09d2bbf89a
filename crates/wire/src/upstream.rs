//! What control hosts and forwarding entries tell each other of upstreams and their load.

use std::net::SocketAddr;

use serde::{Deserialize, Serialize};

/// Where an upstream is in its life.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub enum UpstreamStage {
    /// It takes work.
    Ready,
    /// It finishes what it holds.
    Draining,
    /// It has left.
    Left,
}

/// What an upstream announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamWord {
    /// Its identity.
    pub id: String,
    /// Start of its run, in milliseconds of its own calendar clock.
    pub born_ms: u64,
    /// Number of the announcement within the run.
    pub sequence: u64,
    /// Its service.
    pub service: String,
    /// Where it takes requests.
    pub address: SocketAddr,
    /// Its failure domain.
    pub domain: String,
    /// Requests that it works on at once.
    pub slots: u32,
    /// Where it is in its life.
    pub stage: UpstreamStage,
    /// How much longer it is slow after its start, in milliseconds.
    pub warming_ms: u32,
}

/// That an upstream, known by an earlier [`UpstreamWord`], still lives.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamSign {
    /// Its identity.
    pub id: String,
    /// Start of its run.
    pub born_ms: u64,
    /// Number of its last announcement.
    pub sequence: u64,
}

/// What entries have at one upstream, and how it did lately.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct UpstreamUse {
    /// The upstream.
    pub id: String,
    /// Prompt tokens sent whose answers have not begun.
    pub waiting_tokens: u64,
    /// Requests sent and not ended.
    pub running: u32,
    /// Tokens that these requests hold in its memory, by estimate.
    pub held_tokens: u64,
    /// Time that first events took since the last report, in milliseconds, all together.
    pub took_ms: u64,
    /// Time that was expected of the same.
    pub expected_ms: u64,
    /// Runs that failed since the last report.
    pub failed: u32,
    /// Runs that ended well since the last report.
    pub succeeded: u32,
}

/// What a client account asked for and got since the last report, in service units.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct AccountUse {
    /// The account.
    pub account: String,
    /// What its requests asked for.
    pub asked: u64,
    /// What of it was sent to upstreams.
    pub admitted: u64,
}

/// A part of prompts that an upstream has read.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PartUse {
    /// The upstream.
    pub upstream: String,
    /// The part.
    pub part: u64,
    /// Its size in tokens.
    pub tokens: u32,
}

/// An upstream broke the connection off during a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Serialize, Deserialize)]
pub struct BreakWord {
    /// Digest of the request's content.
    pub content: u64,
    /// Digest of the upstream and its run.
    pub run: u64,
}

/// What one entry, or several together, have sent where.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct LoadWord {
    /// By upstream.
    pub upstreams: Vec<UpstreamUse>,
    /// By client account.
    pub accounts: Vec<AccountUse>,
    /// Parts of prompts that upstreams have read since the last report.
    pub parts: Vec<PartUse>,
    /// Requests during which an upstream broke the connection off, since the last report.
    pub broken: Vec<BreakWord>,
    /// Contents among these of which a request ended well since.
    pub mended: Vec<u64>,
}
