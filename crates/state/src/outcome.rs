//! The answer of a call, as it is recorded to be given again.

use serde::{Deserialize, Serialize};

use crate::{BodyDigest, LedgerLimits};

/// Bytes of all recorded headers of one answer; content type, location and a request id need far
/// less.
const MAX_HEADER_BYTES: usize = 2_048;

/// The body of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedBody {
    /// The whole body.
    Whole(Vec<u8>),
    /// The body was too large to keep: a caller who asks again is told the status and this.
    Digest {
        /// SHA-256 of the body.
        digest: BodyDigest,
        /// Bytes of the body.
        len: u64,
    },
}

/// The recorded answer of a call that may not be repeated.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status of the answer.
    pub status: u16,
    /// The headers that the caller needs, in lower case.
    pub headers: Vec<(String, String)>,
    /// The body or its digest.
    pub body: RecordedBody,
}

impl Outcome {
    /// The answer with a body small enough for `limits`, or its digest.
    ///
    /// Call it before proposing, so that a large body costs nothing in the log; the ledger applies
    /// it again.
    ///
    /// ```
    /// use coltsfootnotch_state::{LedgerLimits, Outcome, RecordedBody};
    /// let whole = Outcome { status: 201, headers: vec![], body: RecordedBody::Whole(vec![0; 9_000]) };
    /// let kept = whole.bounded(LedgerLimits::DEFAULT.answer_bytes_per_record);
    /// assert!(matches!(kept.body, RecordedBody::Digest { len: 9_000, .. }));
    /// ```
    #[must_use]
    pub fn bounded(mut self, max_body_bytes: u32) -> Self {
        let mut left = MAX_HEADER_BYTES;
        self.headers.retain(|(name, value)| {
            let fits = name.len() + value.len() <= left;
            left -= if fits { name.len() + value.len() } else { 0 };
            fits
        });
        if let RecordedBody::Whole(body) = &self.body
            && body.len() > max_body_bytes as usize
        {
            self.body = RecordedBody::Digest {
                digest: BodyDigest::of(body),
                len: body.len() as u64,
            };
        }
        self
    }

    /// The answer bounded by what the account has left, and by `limits`.
    pub(crate) fn within(self, limits: &LedgerLimits, account_left: u32) -> Self {
        self.bounded(limits.answer_bytes_per_record.min(account_left))
    }

    /// Bytes that the account is charged for this answer.
    #[must_use]
    pub fn bytes(&self) -> u32 {
        let headers: usize = self.headers.iter().map(|(n, v)| n.len() + v.len()).sum();
        let body = match &self.body {
            RecordedBody::Whole(body) => body.len(),
            RecordedBody::Digest { .. } => size_of::<BodyDigest>(),
        };
        u32::try_from(headers + body).unwrap_or(u32::MAX)
    }
}
