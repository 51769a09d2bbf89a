//! The registry of upstreams.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_forward::registry::{Announcement, RegistryUpdate, Stage, UpstreamRegistry};
use googletest::prelude::*;
use proptest::prelude::{Strategy, any, prop_assert, prop_assert_eq, proptest};

const NOW: Duration = Duration::from_secs(1);

fn announcement(id: &str, born_ms: u64, sequence: u64, port: u16, stage: Stage) -> Announcement {
    Announcement {
        id: id.into(),
        born_ms,
        sequence,
        service: "spec".into(),
        version: "v1".into(),
        address: SocketAddr::from(([127, 0, 0, 1], port)),
        domain: "colombo".into(),
        slots: 4,
        stage,
        warming: Duration::ZERO,
    }
}

fn ready_ids(registry: &UpstreamRegistry) -> Vec<String> {
    registry
        .ready("spec")
        .map(|u| u.announcement.id.to_string())
        .collect()
}

/// A delayed announcement of a crashed run does not replace the later run at its address.
#[googletest::test]
fn a_late_announcement_of_an_ended_run_is_ignored() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(NOW, announcement("old", 10, 5, 80, Stage::Ready));
    registry.apply(NOW, announcement("new", 20, 1, 80, Stage::Ready));
    expect_that!(
        registry.apply(NOW, announcement("old", 10, 6, 80, Stage::Ready)),
        eq(RegistryUpdate::Stale)
    );
    expect_that!(ready_ids(&registry), elements_are![eq("new")]);
}

/// A reordered announcement does not make a draining run ready again; a later run of the same
/// identity is accepted.
#[googletest::test]
fn a_draining_run_does_not_become_ready_again() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(NOW, announcement("a", 10, 7, 80, Stage::Draining));
    expect_that!(
        registry.apply(NOW, announcement("a", 10, 6, 80, Stage::Ready)),
        eq(RegistryUpdate::Stale)
    );
    expect_that!(
        registry.apply(NOW, announcement("a", 10, 9, 80, Stage::Ready)),
        eq(RegistryUpdate::Stale)
    );
    expect_that!(ready_ids(&registry), is_empty());
    expect_that!(
        registry.apply(NOW, announcement("a", 11, 1, 80, Stage::Ready)),
        eq(RegistryUpdate::Changed)
    );
    expect_that!(ready_ids(&registry), elements_are![eq("a")]);
}

#[googletest::test]
fn a_departure_without_a_draining_stage_is_remembered() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(NOW, announcement("a", 10, 7, 80, Stage::Ready));
    expect_that!(
        registry.mark_left(NOW, "a", Some(9)),
        eq(false),
        "an earlier run left"
    );
    expect_that!(registry.mark_left(NOW, "a", None), eq(true));
    expect_that!(
        registry.apply(NOW, announcement("a", 10, 8, 80, Stage::Ready)),
        eq(RegistryUpdate::Stale)
    );
}

/// A departure may be received by a host that never received the upstream's announcement, before or
/// after other hosts receive that.
#[googletest::test]
fn a_departure_of_an_unknown_upstream_is_remembered() {
    let mut registry = UpstreamRegistry::default();
    expect_that!(registry.mark_left(NOW, "a", Some(10)), eq(true));
    expect_that!(
        registry.apply(NOW, announcement("a", 10, 8, 80, Stage::Ready)),
        eq(RegistryUpdate::Stale)
    );
    expect_that!(
        registry.apply(NOW, announcement("a", 11, 1, 80, Stage::Ready)),
        eq(RegistryUpdate::Changed)
    );
    expect_that!(
        registry.mark_left(NOW, "b", None),
        eq(true),
        "no run is named"
    );
    expect_that!(
        registry.apply(NOW, announcement("b", 10, 8, 81, Stage::Ready)),
        eq(RegistryUpdate::Stale)
    );
    let later = NOW + Duration::from_secs(6);
    expect_that!(
        registry.apply(later, announcement("b", 12, 1, 81, Stage::Ready)),
        eq(RegistryUpdate::Changed)
    );
    let left: Vec<_> = registry.departed().collect();
    expect_that!(left, elements_are![eq(&("a", Some(10))), eq(&("b", None))]);
}

#[googletest::test]
fn a_keep_alive_refreshes_only_the_run_that_it_names() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(NOW, announcement("a", 10, 1, 80, Stage::Ready));
    let later = NOW + Duration::from_secs(3);
    registry.refresh(later, "a", 9, 5);
    registry.refresh(later, "b", 10, 5);
    let silence = Duration::from_secs(4);
    expect_that!(registry.get("a").unwrap().last_seen, eq(NOW));
    registry.refresh(later, "a", 10, 2);
    expect_that!(
        registry.expire(NOW + Duration::from_secs(5), silence),
        is_empty()
    );
    expect_that!(
        registry.apply(later, announcement("a", 10, 2, 80, Stage::Ready)),
        eq(RegistryUpdate::Stale)
    );
}

#[googletest::test]
fn a_silent_upstream_expires_and_an_announcement_restores_it() {
    let mut registry = UpstreamRegistry::default();
    registry.apply(NOW, announcement("a", 10, 1, 80, Stage::Ready));
    let silence = Duration::from_secs(4);
    expect_that!(
        registry.expire(NOW + Duration::from_secs(3), silence),
        is_empty()
    );
    let later = NOW + Duration::from_secs(4);
    expect_that!(registry.expire(later, silence).len(), eq(1));
    expect_that!(
        registry.apply(later, announcement("a", 10, 2, 80, Stage::Ready)),
        eq(RegistryUpdate::Changed)
    );
}

fn any_announcement() -> impl Strategy<Value = Announcement> {
    let stage = any::<u8>().prop_map(|n| match n % 4 {
        0 => Stage::Draining,
        1 => Stage::Left,
        _ => Stage::Ready,
    });
    (0..4_u8, 0..4_u64, 0..6_u64, 0..3_u16, stage).prop_map(|(id, born, seq, port, stage)| {
        announcement(&format!("u{id}"), born, seq, 80 + port, stage)
    })
}

proptest! {
    /// For delayed, duplicated and reordered announcements, no two upstreams are ready at one
    /// address, and no identity returns to an earlier run or becomes ready again within one.
    #[test]
    fn any_order_of_announcements_only_moves_forward(
        announcements in proptest::collection::vec(any_announcement(), 1..40),
    ) {
        let mut registry = UpstreamRegistry::default();
        for announcement in announcements {
            let id = announcement.id.clone();
            let before = registry.get(&id).map(|u| u.announcement.clone());
            registry.apply(NOW, announcement);
            let mut addresses: Vec<_> = registry
                .ready("spec")
                .map(|u| u.announcement.address)
                .collect();
            let ready = addresses.len();
            addresses.sort();
            addresses.dedup();
            prop_assert_eq!(addresses.len(), ready);
            let after = registry.get(&id).map(|u| u.announcement.clone());
            if let (Some(before), Some(after)) = (before, after) {
                prop_assert!(after.born_ms >= before.born_ms);
                if after.born_ms == before.born_ms {
                    prop_assert!(after.stage >= before.stage);
                }
            }
        }
    }
}
