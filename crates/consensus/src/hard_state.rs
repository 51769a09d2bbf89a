//! The vote of a member, which must survive a restart.

use serde::{Deserialize, Serialize};

use crate::{MemberId, Term};

/// The term a member is in and whom it voted for in it. A member that forgot its vote could vote
/// twice in one term, and two leaders could win it.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct HardState {
    /// The highest term seen.
    pub term: Term,
    /// The candidate that got the vote of this term.
    pub vote: Option<MemberId>,
}
