//! A request from a caller's connection, and the parts of its response.

use std::sync::Arc;
use std::time::Duration;

use bytes::Bytes;
use coltsfootnotch_manifest::ConfigIndex;
use coltsfootnotch_state::{BodyDigest, IdempotencyKey};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::Call;
use tokio::sync::mpsc;

use crate::core::Refusal;

/// A part of a response: `Head`, then chunks, then `End`; or `Failed` at any point.
#[derive(Debug)]
pub enum ResponsePart {
    /// Status and content type.
    Head {
        /// HTTP status.
        status: u16,
        /// Content type.
        content_type: String,
        /// Whether the response ends with its connection, since whether it is complete is unknown.
        ends_with_connection: bool,
    },
    /// A chunk of the body.
    Chunk(Bytes),
    /// The response is complete.
    End,
    /// The request is refused, or its response can't be completed.
    Failed(Refusal),
}

/// Identifies a non-repeatable call in the ledger.
#[derive(Debug, Clone)]
pub struct LedgerKey {
    /// The idempotency key of the caller.
    pub key: IdempotencyKey,
    /// Digest of method, path and body, which detects a key reused for another call.
    pub body: BodyDigest,
}

/// A request that was read and validated.
#[derive(Debug)]
pub struct ClientRequest {
    /// Number of the request, unique within the entry's run.
    pub request: u64,
    /// The client account.
    pub account: AccountName,
    /// The requested pool.
    pub pool: PoolName,
    /// Time of arrival, on the host's clock.
    pub arrived: Duration,
    /// Time after which the caller no longer wants the response.
    pub deadline: Duration,
    /// Estimated cost in service units.
    pub estimate: ServiceUnits,
    /// Digest of the prompt's prefix; zero without a prompt.
    pub prefix: u64,
    /// SHA-256 of method, path and body.
    pub content: [u8; 32],
    /// Ledger key of a non-repeatable call; none for a repeatable one.
    pub ledger_key: Option<LedgerKey>,
    /// The call to send to the upstream.
    pub call: Call,
    /// The configuration in force when the request arrived, used until it finishes.
    pub config: Arc<ConfigIndex>,
    /// Channel to the caller's connection.
    pub response: mpsc::Sender<ResponsePart>,
}
