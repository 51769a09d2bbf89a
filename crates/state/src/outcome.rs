//! Recorded answers of calls.

use serde::{Deserialize, Serialize};

use crate::{BodyDigest, LedgerLimits};

/// Maximum bytes of the recorded headers of one answer.
const MAX_HEADER_BYTES: usize = 2_048;

/// The body of a recorded answer.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub enum RecordedBody {
    /// The whole body.
    Whole(#[serde(with = "coltsfootnotch_types::bytes_format")] Vec<u8>),
    /// The digest of a body that is too large to record; a resent call gets the status and the
    /// digest.
    Digest {
        /// SHA-256 of the body.
        digest: BodyDigest,
        /// Length of the body in bytes.
        len: u64,
    },
}

/// The recorded answer of an at-most-once call.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Outcome {
    /// HTTP status code.
    pub status: u16,
    /// Headers for the caller, with names in lower case.
    pub headers: Vec<(String, String)>,
    /// The body or its digest.
    pub body: RecordedBody,
}

impl Outcome {
    /// Replaces a body of more than `max_body_bytes` by its digest, and drops headers beyond the
    /// limit.
    ///
    /// Call it before proposing, to keep large bodies out of the log. The ledger applies it again.
    ///
    /// ```
    /// use coltsfootnotch_state::{LedgerLimits, Outcome, RecordedBody};
    /// let whole = Outcome { status: 201, headers: vec![], body: RecordedBody::Whole(vec![0; 9_000]) };
    /// let bounded = whole.bounded(LedgerLimits::DEFAULT.answer_bytes_per_record);
    /// assert!(matches!(bounded.body, RecordedBody::Digest { len: 9_000, .. }));
    /// ```
    #[must_use]
    pub fn bounded(mut self, max_body_bytes: u32) -> Self {
        let mut available = MAX_HEADER_BYTES;
        self.headers.retain(|(name, value)| {
            let fits = name.len() + value.len() <= available;
            available -= if fits { name.len() + value.len() } else { 0 };
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

    /// The answer bounded by `limits` and by the bytes available to the account.
    pub(crate) fn within(self, limits: &LedgerLimits, available: u32) -> Self {
        self.bounded(limits.answer_bytes_per_record.min(available))
    }

    /// Bytes charged to the account for this answer.
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
