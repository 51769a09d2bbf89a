//! What a stream to resume waits for.

use coltsfootnotch_forward::place::{Refusal, RefusalReason};
use googletest::prelude::*;

use super::{PlacementError, VERSION_GONE};

/// Guards against streams that are broken off beside each configuration: their upstream fails between the time at which
/// the configuration is known and that at which it is in force.
#[googletest::test]
fn a_stream_waits_for_the_configuration() {
    expect_that!(PlacementError::NoLease.may_pass(), eq(true));
}

/// Guards against streams that are broken off at once while their upstreams are full, and against others that wait for
/// what can't change.
#[googletest::test]
fn a_stream_waits_for_room_and_not_for_its_version() {
    let PlacementError::Refused(gone, _) = VERSION_GONE else {
        panic!("the version is gone");
    };
    let full = Refusal {
        reason: RefusalReason::Saturated,
        ..gone
    };
    expect_that!(PlacementError::Refused(full, None).may_pass(), eq(true));
    for last in [
        VERSION_GONE,
        PlacementError::Refused(Refusal::too_large(), None),
        PlacementError::NoRetryBudget,
        PlacementError::UnknownOrigin,
        PlacementError::PoisonRequest,
        PlacementError::PoisonSegment,
        PlacementError::Stopping,
    ] {
        expect_that!(last.may_pass(), eq(false), "{last:?}");
    }
}
