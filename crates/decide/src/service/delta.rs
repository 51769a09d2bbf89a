//! What service counters tell each other.

use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits};

use super::{Offset, Origin, Tally, VirtualService};

/// A place in the sequence of changes of one set of counters; each receiver has its own.
///
/// It advances only when the receiver has acknowledged the delta, so a lost delta is sent again as
/// part of the next one.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Cursor(pub u64);

/// One tally that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct TallyRecord {
    /// Who counted.
    pub origin: Origin,
    /// For which account.
    pub account: AccountName,
    /// The count, whole: not an increment, so that taking it in twice is harmless.
    pub tally: Tally,
}

/// One offset that changed.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct OffsetRecord {
    /// The pool whose queue it corrects.
    pub pool: PoolName,
    /// The account it moves.
    pub account: AccountName,
    /// The offset.
    pub offset: Offset,
}

/// Everything that changed since a cursor.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceDelta {
    /// Changed tallies, oldest change first.
    pub tallies: Vec<TallyRecord>,
    /// Changed offsets, oldest change first.
    pub offsets: Vec<OffsetRecord>,
    /// The cursor that the receiver acknowledges.
    pub upto: Cursor,
}

impl ServiceDelta {
    /// Whether nothing changed.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.tallies.is_empty() && self.offsets.is_empty()
    }
}

/// Service of one account summed over origins.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AccountSum {
    /// The account.
    pub account: AccountName,
    /// Service in units.
    pub service: ServiceUnits,
    /// Service per unit of weight.
    pub normalised: VirtualService,
}

/// What a relay tells a sidecar in one message: offsets, and sums that leave that sidecar out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ServiceNews {
    /// Offsets in the pools that the sidecar serves.
    pub offsets: Vec<OffsetRecord>,
    /// Service on all other hosts.
    pub sums: Vec<AccountSum>,
}
