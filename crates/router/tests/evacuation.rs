//! A sidecar whose failure domain is evacuated.

use std::time::Duration;

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_decide::window::WindowTargets;
use coltsfootnotch_router::{SidecarAction, SidecarConfig, SidecarCore, UpstreamUpdate};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::FromSidecar;
use googletest::prelude::*;

fn announce(core: &mut SidecarCore, now: Duration) {
    let update = UpstreamUpdate {
        live_until: now + Duration::from_secs(60),
        leaving: false,
        queued: 0,
        reported: now,
        targets: WindowTargets::model(),
    };
    let upstream = UpstreamName::new("menu-1").unwrap();
    let pool = PoolName::new("menu-writer").unwrap();
    core.upstreams_mut()
        .apply_announcement(now, upstream, pool, update);
}

/// What the sidecar reports to the entry: usable slots, or none for a pool that it does not serve. `None`
/// without a report.
fn report(core: &mut SidecarCore, now: Duration) -> Option<u32> {
    core.tick(now);
    let actions = core.take_actions(now);
    actions.iter().rev().find_map(|action| match action {
        SidecarAction::Send {
            message: FromSidecar::FreeSlots { usable, .. },
            ..
        } => Some(*usable),
        SidecarAction::Send {
            message: FromSidecar::NotServed { .. },
            ..
        } => Some(0),
        _ => None,
    })
}

/// Guards against work for an evacuated domain, and against the full load on caches that are cold when
/// the evacuation ends.
#[gtest]
fn an_evacuated_sidecar_reports_no_slots_and_returns_gradually() {
    let mut core = SidecarCore::new(SidecarConfig {
        host: HostName::new("s1").unwrap(),
        incarnation: Incarnation(1),
        policy: ChoicePolicy::default(),
        horizon: ServiceUnits(1_000),
    });
    let at = Duration::from_secs;
    core.on_entry_connected(at(1), HostName::new("e1").unwrap());
    announce(&mut core, at(1));
    let before = report(&mut core, at(1));
    expect_that!(before, some(gt(0)));
    core.set_evacuated(at(2), true);
    expect_that!(report(&mut core, at(2)), some(eq(0)));
    core.set_evacuated(at(3), false);
    let mut returned = Vec::new();
    for second in 3..20 {
        announce(&mut core, at(second));
        returned.extend(report(&mut core, at(second)));
    }
    expect_that!(returned.first(), lt(before.as_ref()), "at first");
    expect_that!(returned.last().copied(), eq(before), "after the ramp");
}
