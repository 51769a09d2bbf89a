//! Encodes proposals and their replies between a host and the control group.
//!
//! A host sends an [`Op`]; the leader adds a timestamp and appends it to the log as a
//! [`Command`](coltsfootnotch_state::Command). The result is a [`Reply`]. They are carried as bytes
//! in [`ToRelay::Propose`](coltsfootnotch_wire::ToRelay) and
//! [`FromRelay::Proposed`](coltsfootnotch_wire::FromRelay).

use coltsfootnotch_state::{Op, Reply};
use derive_more::{Display, Error, From};
use serde::de::DeserializeOwned;

/// Why a proposal or a reply can't be decoded.
#[derive(Debug, Display, Error, From)]
pub enum ProposalError {
    /// The bytes are not valid.
    #[display("a proposal or reply can't be decoded")]
    Codec(postcard::Error),
    /// Extra bytes follow the value.
    #[display("a proposal or reply is followed by {len} extra bytes")]
    #[from(skip)]
    Trailing {
        /// Number of extra bytes.
        len: usize,
    },
}

/// Encodes an operation for [`ToRelay::Propose`](coltsfootnotch_wire::ToRelay).
///
/// ```
/// use coltsfootnotch::core::{decode_op, encode_op};
/// use coltsfootnotch_state::Op;
/// assert_eq!(decode_op(&encode_op(&Op::Expire))?, Op::Expire);
/// # Ok::<(), coltsfootnotch::core::ProposalError>(())
/// ```
///
/// # Panics
/// Never: every field of an operation can be encoded, and a vector takes any length.
#[must_use]
pub fn encode_op(op: &Op) -> Vec<u8> {
    postcard::to_allocvec(op).expect("an operation can be encoded")
}

/// Decodes an operation encoded by [`encode_op`].
///
/// # Errors
/// Returns a [`ProposalError`] when the bytes are not an operation.
pub fn decode_op(bytes: &[u8]) -> Result<Op, ProposalError> {
    decode(bytes)
}

/// Encodes a reply for [`FromRelay::Proposed`](coltsfootnotch_wire::FromRelay).
///
/// # Panics
/// Never: every field of a reply can be encoded, and a vector takes any length.
#[must_use]
pub fn encode_reply(reply: &Reply) -> Vec<u8> {
    postcard::to_allocvec(reply).expect("a reply can be encoded")
}

/// Decodes a reply encoded by [`encode_reply`].
///
/// # Errors
/// Returns a [`ProposalError`] when the bytes are not a reply.
///
/// ```
/// use coltsfootnotch::core::{decode_reply, encode_reply};
/// use coltsfootnotch_state::Reply;
/// assert_eq!(decode_reply(&encode_reply(&Reply::LimitsSet))?, Reply::LimitsSet);
/// # Ok::<(), coltsfootnotch::core::ProposalError>(())
/// ```
pub fn decode_reply(bytes: &[u8]) -> Result<Reply, ProposalError> {
    decode(bytes)
}

fn decode<T: DeserializeOwned>(bytes: &[u8]) -> Result<T, ProposalError> {
    match postcard::take_from_bytes(bytes)? {
        (value, []) => Ok(value),
        (_, rest) => Err(ProposalError::Trailing { len: rest.len() }),
    }
}
