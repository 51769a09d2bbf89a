//! The bytes of a proposal and of its answer between a host and the control group.
//!
//! A host sends an [`Op`] without a time; the leader stamps the time and makes it a
//! [`Command`](coltsfootnotch_state::Command) of the log. The answer is a [`Reply`]. Both travel
//! inside [`ToRelay::Propose`](coltsfootnotch_wire::ToRelay) and
//! [`FromRelay::Proposed`](coltsfootnotch_wire::FromRelay), and are encoded only here.

use coltsfootnotch_state::{Op, Reply};
use derive_more::{Display, Error, From};
use serde::de::DeserializeOwned;

/// Why bytes are not a proposal or an answer.
#[derive(Debug, Display, Error, From)]
pub enum ProposalError {
    /// The codec refused the bytes.
    #[display("a proposal can't be decoded")]
    Codec(postcard::Error),
    /// Bytes are left over.
    #[display("a proposal is followed by {len} more bytes")]
    #[from(skip)]
    Trailing {
        /// How many bytes are left over.
        len: usize,
    },
}

/// The bytes of an operation, for [`ToRelay::Propose`](coltsfootnotch_wire::ToRelay).
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

/// Reads what [`encode_op`] wrote.
///
/// # Errors
/// Returns a [`ProposalError`] when the bytes are not an operation.
pub fn decode_op(bytes: &[u8]) -> Result<Op, ProposalError> {
    decode(bytes)
}

/// The bytes of an answer, for [`FromRelay::Proposed`](coltsfootnotch_wire::FromRelay).
///
/// # Panics
/// Never: every field of an answer can be encoded, and a vector takes any length.
#[must_use]
pub fn encode_reply(reply: &Reply) -> Vec<u8> {
    postcard::to_allocvec(reply).expect("an answer can be encoded")
}

/// Reads what [`encode_reply`] wrote.
///
/// # Errors
/// Returns a [`ProposalError`] when the bytes are not an answer.
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
