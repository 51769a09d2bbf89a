//! A request as it comes from a caller's connection, and what goes back.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootnotch_manifest::ConfigIndex;
use coltsfootnotch_state::{BodyDigest, IdempotencyKey};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::Call;
use tokio::sync::mpsc;

use crate::core::Refusal;

/// What a caller's connection is sent. `Head`, then pieces, then `End`; or `Failed` at any point.
#[derive(Debug)]
pub enum ReplyPart {
    /// Status and content type of the answer.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
    },
    /// A piece of the answer.
    Piece(Bytes),
    /// The answer is whole.
    End,
    /// The request is refused, or its answer won't be completed.
    Failed(Refusal),
}

/// The key of a call that may not be repeated.
#[derive(Debug, Clone)]
pub struct BookingKey {
    /// The key.
    pub key: IdempotencyKey,
    /// Digest of method, path and body, by which a reused key is recognised.
    pub body: BodyDigest,
}

/// A request that was read and checked.
#[derive(Debug)]
pub struct Arrival {
    /// Its number within the entry's run.
    pub request: u64,
    /// Whose it is.
    pub account: AccountName,
    /// The pool it is for.
    pub pool: PoolName,
    /// When it arrived.
    pub arrived: Duration,
    /// When its caller no longer wants the answer.
    pub deadline: Duration,
    /// Estimated service.
    pub estimate: ServiceUnits,
    /// Digest of the prompt's beginning; zero without a prompt.
    pub prefix: u64,
    /// SHA-256 of method, path and body.
    pub content: [u8; 32],
    /// The key of a call that may not be repeated; none for one that may.
    pub booking: Option<BookingKey>,
    /// What the upstream is sent.
    pub call: Call,
    /// The configuration it runs under from start to end.
    pub config: Arc<ConfigIndex>,
    /// Takes the answer.
    pub reply: mpsc::Sender<ReplyPart>,
}
