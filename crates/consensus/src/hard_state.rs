//! Term and vote, which must survive a restart.

use serde::{Deserialize, Serialize};

use crate::{MemberId, Term};

/// The current term of a member and its vote in that term. Persisting both guards against voting
/// twice in one term, which could elect two leaders.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The latest term seen.
    pub term: Term,
    /// The candidate that received this member's vote in the term.
    pub vote: Option<MemberId>,
}
