//! Upstreams beside a sidecar that ask for no requests for a time.

use std::time::Duration;

use coltsfootnotch_decide::fair::ChoicePolicy;
use coltsfootnotch_decide::window::WindowTargets;
use coltsfootnotch_router::{SidecarConfig, SidecarCore, UpstreamUpdate};
use coltsfootnotch_types::prelude::*;
use googletest::prelude::*;

fn announce(core: &mut SidecarCore, now: Duration, upstream: &UpstreamName) {
    let update = UpstreamUpdate {
        live_until: now + Duration::from_secs(60),
        leaving: false,
        queued: 0,
        reported: now,
        targets: WindowTargets::model(),
    };
    let pool = PoolName::new("menu-writer").unwrap();
    core.upstreams_mut()
        .apply_announcement(now, upstream.clone(), pool, update);
}

/// Guards against a pause that an announcement or a later refusal with a shorter pause ends early.
#[gtest]
fn an_upstream_has_no_usable_slots_until_the_end_of_the_longest_pause() {
    let mut core = SidecarCore::new(SidecarConfig {
        host: HostName::new("s1").unwrap(),
        incarnation: Incarnation(1),
        policy: ChoicePolicy::default(),
        horizon: ServiceUnits(1_000),
    });
    let at = Duration::from_secs;
    let upstream = UpstreamName::new("menu-1").unwrap();
    announce(&mut core, at(1), &upstream);
    let usable = |core: &SidecarCore, now| core.upstreams().get(&upstream).unwrap().usable(now);
    expect_that!(usable(&core, at(1)), gt(0));
    expect_that!(core.on_backoff_requested(at(2), &upstream, at(4)), eq(true));
    expect_that!(
        core.on_backoff_requested(at(3), &upstream, at(1)),
        eq(false)
    );
    announce(&mut core, at(5), &upstream);
    expect_that!(usable(&core, at(5)), eq(0));
    expect_that!(usable(&core, at(6)), gt(0));
    expect_that!(
        core.on_backoff_requested(at(7), &upstream, Duration::MAX),
        eq(true),
        "without overflow"
    );
    expect_that!(usable(&core, at(1_000)), eq(0));
}
