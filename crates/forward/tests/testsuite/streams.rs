//! Where streams began, and which upstreams may go on with them.

use std::collections::{BTreeSet, VecDeque};
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::load::{PromptSegment, UpstreamLoads};
use coltsfootnotch_forward::place::{
    Candidate, PlacementRequest, PrefillRate, Prompt, place_engine,
};
use coltsfootnotch_forward::registry::{
    Announcement, RecentHosts, SaveRequest, SavedVersions, ServiceVersion, Stage, UpstreamRegistry,
};
use coltsfootnotch_forward::streams::{StreamOrigin, StreamOrigins, VersionReports, group_streams};
use coltsfootnotch_wire::VersionReport;
use googletest::prelude::*;
use proptest::prelude::{prop_assert, proptest};

fn at(seconds: u64) -> Duration {
    Duration::from_secs(seconds)
}

fn announcement(id: &str, born_ms: u64, sequence: u64, version: &str) -> Announcement {
    Announcement {
        id: id.into(),
        born_ms,
        sequence,
        service: "spec".into(),
        version: version.into(),
        address: ([127, 0, 0, 1], u16::from(id.as_bytes()[0])).into(),
        domain: "colombo".into(),
        slots: 64,
        stage: Stage::Ready,
        warming: Duration::ZERO,
    }
}

fn sole_version(registry: &UpstreamRegistry, service: &str) -> Option<String> {
    registry
        .sole_version(service)
        .map(|version| version.to_string())
}

/// Guards against origins that are forgotten while callers still wait for their streams, and against a
/// table that only grows.
#[gtest]
fn an_origin_is_kept_for_as_long_as_callers_wait() {
    let mut origins = StreamOrigins::default();
    let origin = StreamOrigin::new("spec", "v1");
    for second in 0..200 {
        origins.record(at(second), second, &origin);
        for earlier in second.saturating_sub(29)..=second {
            expect_that!(
                origins.get(earlier),
                some(eq(&origin)),
                "{earlier} at {second}"
            );
        }
        if second > 60 {
            expect_that!(origins.get(second - 61), none());
        }
    }
}

/// Guards against a retry at another version that is taken for the origin of what an earlier attempt began:
/// the last attempt before the first event counts.
#[gtest]
fn the_last_report_of_a_stream_counts() {
    let mut origins = StreamOrigins::default();
    let (one, two) = (
        StreamOrigin::new("spec", "v1"),
        StreamOrigin::new("spec", "v2"),
    );
    origins.record_report(at(1), &group_streams([(7, one.clone())]));
    origins.record_report(at(1), &group_streams([(7, two.clone()), (8, one.clone())]));
    expect_that!(origins.get(7), some(eq(&two)));
    expect_that!(origins.get(8), some(eq(&one)));
}

proptest! {
    /// A lookup at the hosts that are left after any of them were killed gives the origin or nothing.
    #[test]
    fn no_lookup_gives_another_origin(
        streams in proptest::collection::vec((0_u64..40, 0_usize..3, 0_usize..4), 1..200),
    ) {
        let versions = ["v1", "v2", "v3"].map(|version| StreamOrigin::new("spec", version));
        let mut hosts = vec![StreamOrigins::default(); 3];
        let mut began = std::collections::HashMap::new();
        for (n, (stream, version, killed)) in streams.into_iter().enumerate() {
            let origin = began.entry(stream).or_insert_with(|| versions[version].clone()).clone();
            let now = Duration::from_millis(100 * n as u64);
            hosts.iter_mut().for_each(|host| {
                host.record_report(now, &group_streams([(stream, origin.clone())]));
            });
            if let Some(host) = hosts.get_mut(killed) {
                *host = StreamOrigins::default();
            }
            for (stream, origin) in &began {
                let found: Vec<_> = hosts.iter().filter_map(|host| host.get(*stream)).collect();
                prop_assert!(found.iter().all(|known| *known == origin));
            }
        }
    }
}

/// Guards against streams of an unknown version that go on at another one since theirs has just left, was
/// lost or was replaced.
#[gtest]
fn a_version_counts_for_a_time_after_its_last_upstream() {
    let mut registry = UpstreamRegistry::default();
    expect_that!(sole_version(&registry, "spec"), none());
    registry.apply(at(0), announcement("a", 1, 1, "v1"));
    expect_that!(sole_version(&registry, "spec"), some(eq("v1")));
    expect_that!(sole_version(&registry, "other"), none());
    registry.apply(at(1), announcement("a", 2, 1, "v2"));
    expect_that!(sole_version(&registry, "spec"), none(), "replaced");
    registry.expire(at(62), at(100));
    expect_that!(sole_version(&registry, "spec"), some(eq("v2")));
    registry.apply(at(62), announcement("b", 3, 1, "v3"));
    registry.mark_left(at(63), "a", None);
    expect_that!(sole_version(&registry, "spec"), none(), "left");
    registry.apply(at(110), announcement("b", 3, 2, "v3"));
    registry.expire(at(124), at(100));
    expect_that!(sole_version(&registry, "spec"), some(eq("v3")));
    registry.expire(at(300), at(8));
    expect_that!(registry.get("b"), none(), "silent");
    registry.apply(at(301), announcement("c", 4, 1, "v4"));
    expect_that!(sole_version(&registry, "spec"), none(), "silent lately");
}

/// The answer of a control host that knows `versions`, of the other control hosts `others`.
fn report(member: &str, others: &[&str], versions: &[&str], known_for_ms: u32) -> VersionReport {
    let owned = |names: &[&str]| names.iter().map(|name| (*name).to_owned()).collect();
    VersionReport {
        versions: owned(versions),
        known_for_ms,
        member: Some(member.to_owned()),
        others: owned(others),
    }
}

/// Guards against a version that is taken for the only one while a control host that may know another has not answered,
/// has just started, or lost what it knew.
#[gtest]
fn a_version_is_the_only_one_if_all_control_hosts_know_no_other() {
    let minute = 60_000;
    let of_none = VersionReport::default();
    // What the control hosts answer, and the version that is known to be the only one.
    let answers = [
        (vec![], None),
        (vec![report("a", &[], &[], minute)], None),
        (vec![report("a", &[], &["v1"], u32::MAX)], Some("v1")),
        (vec![report("a", &[], &["v1"], minute)], Some("v1")),
        (vec![report("a", &[], &["v1"], minute - 1)], None),
        (vec![report("a", &["b"], &["v1"], u32::MAX)], None),
        (
            vec![
                report("a", &["b"], &["v1"], minute),
                report("b", &["a"], &[], minute),
            ],
            Some("v1"),
        ),
        (
            vec![
                report("a", &["b"], &["v1"], minute),
                report("b", &["a"], &[], minute - 1),
            ],
            None,
        ),
        (
            vec![
                report("a", &["b"], &["v1"], minute),
                report("b", &["a"], &["v2"], minute),
            ],
            None,
        ),
        (
            vec![
                report("a", &["b"], &["v1"], minute),
                report("b", &["a", "c"], &[], minute),
            ],
            None,
        ),
        // One that the others don't know stands for none of those that they know.
        (
            vec![
                report("a", &["b", "c"], &["v1"], minute),
                report("b", &["a", "c"], &[], minute),
                report("d", &["a", "b"], &[], minute),
            ],
            None,
        ),
        // A control host that upstreams don't announce themselves to counts for nothing.
        (
            vec![report("a", &[], &["v1"], minute), of_none.clone()],
            Some("v1"),
        ),
        (vec![report("a", &["b"], &["v1"], minute), of_none], None),
    ];
    for (answers, sole) in answers {
        let mut reports = VersionReports::default();
        answers
            .iter()
            .for_each(|answer| reports.record(answer.clone()));
        expect_that!(reports.sole_version([]), eq(sole), "{answers:?}");
        if sole.is_none() && !answers.iter().any(|answer| answer.versions.is_empty()) {
            expect_that!(reports.sole_version(["v1"]), none(), "{answers:?}");
        }
        if sole.is_some() {
            expect_that!(reports.sole_version(["v9"]), none(), "{answers:?}");
        }
    }
}

/// Guards against resumed streams that are lost at the homes of their subject, or behind new ones, while their
/// version has few upstreams left.
#[gtest]
fn a_resumed_stream_waits_longer_and_goes_to_any_engine() {
    let ids: Vec<Arc<str>> = (0..6).map(|n| format!("engine-{n}").into()).collect();
    let mut loads = UpstreamLoads::default();
    let subject = PromptSegment {
        id: 5,
        tokens: 6_000,
    };
    let prompt = Prompt {
        tokens: 6_500,
        output_tokens: 50,
        shared: vec![subject],
    };
    let place = |loads: &UpstreamLoads, is_resumed| {
        let request = PlacementRequest {
            prompt: &prompt,
            pressure: None,
            fair_fraction: 1.0,
            shortest_target: Duration::from_millis(400),
            shortest_gap: None,
            subject_per_s: 0.0,
            is_resumed,
            copy_rate: None,
            domain: "colombo",
            tie_breaker: 5,
            avoid: &[],
        };
        let rate = PrefillRate {
            tokens_per_ms: 36.7,
            base_ms: 20.0,
        };
        let candidates = ids.iter().map(|id| Candidate {
            id,
            domain: "colombo",
            slots: 64,
            memory_tokens: 235_664,
            load: loads.get(id, 1).unwrap(),
        });
        place_engine(at(1), &request, rate, candidates)
    };
    ids.iter().for_each(|id| {
        loads.entry(id, 1);
    });
    loads.record_segments(at(1), &ids[0], &prompt.shared, 200_000);
    let mut taken = [0, 0];
    while let Ok(placed) = place(&loads, false) {
        loads.entry(&placed.id, 1).on_sent(&placed.sent);
        loads.record_segments(at(1), &placed.id, &prompt.shared, 200_000);
        taken[0] += 1;
    }
    while let Ok(placed) = place(&loads, true) {
        loads.entry(&placed.id, 1).on_sent(&placed.sent);
        loads.record_segments(at(1), &placed.id, &prompt.shared, 200_000);
        taken[1] += 1;
    }
    expect_that!(taken[0], gt(0));
    expect_that!(taken[1], ge(taken[0] / 2), "{taken:?}");
}

/// Guards against a stream that its caller resumes at the version of an upstream which failed to begin it: its entry
/// placed it twice between two reports.
#[gtest]
fn a_stream_that_was_placed_again_is_reported_where_it_went_on() {
    let (one, two) = (
        StreamOrigin::new("spec", "v1"),
        StreamOrigin::new("spec", "v2"),
    );
    let placements = [(7, two.clone()), (8, two.clone()), (7, one.clone())];
    let mut origins = StreamOrigins::default();
    origins.record_report(at(0), &group_streams(placements));
    expect_that!(origins.get(7), some(eq(&one)));
    expect_that!(origins.get(8), some(eq(&two)));
}

/// Guards against a control host that is left out of those asked although it may have run a moment ago, and against
/// streams that are refused for good since one is gone.
#[gtest]
fn control_hosts_count_for_a_time_after_they_were_connected() {
    let mut hosts = RecentHosts::default();
    let members = ["b", "c"];
    hosts.update(at(0), members, ["b"]);
    let recent = |hosts: &RecentHosts<&str>, now| hosts.recent(now).copied().collect::<String>();
    expect_that!(recent(&hosts, at(0)), eq("bc"), "c may run");
    hosts.update(at(59), members, ["b"]);
    expect_that!(recent(&hosts, at(59)), eq("bc"));
    hosts.update(at(60), members, ["b"]);
    expect_that!(recent(&hosts, at(60)), eq("b"), "c is gone");
    hosts.update(at(61), members, ["b", "c"]);
    expect_that!(recent(&hosts, at(61)), eq("bc"), "c is back");
    // The host of b lost its disk and comes back as d, before the group knows.
    hosts.update(at(70), members, ["c", "d"]);
    expect_that!(recent(&hosts, at(70)), eq("bcd"));
    hosts.update(at(121), ["c", "d"], ["c", "d"]);
    expect_that!(recent(&hosts, at(121)), eq("cd"), "what b knew is over");
}

proptest! {
    /// A version that counts as saved is on the disk, whichever requests are made, fail or are still in progress when the
    /// host is killed.
    #[test]
    fn saved_versions_survive_a_kill_at_any_moment(
        steps in proptest::collection::vec((0_usize..4, 0_usize..4), 1..80),
    ) {
        let version = |n: usize| -> ServiceVersion { ("spec".into(), format!("v{n}").into()) };
        let mut versions = SavedVersions::default();
        let mut disk = BTreeSet::new();
        let mut queued: VecDeque<SaveRequest> = VecDeque::new();
        for (step, n) in steps {
            match step {
                0 => queued.extend(versions.add(&version(n))),
                1 => queued.extend(versions.remove_unused(|used| *used != version(n))),
                2 => {
                    if let Some(req) = queued.pop_front() {
                        versions.on_saved(req.number);
                        disk = req.stored.versions;
                    }
                }
                _ => {
                    if queued.pop_front().is_some() {
                        versions.on_failed();
                    }
                }
            }
            for version in (0..4).map(version).filter(|version| versions.is_saved(version)) {
                prop_assert!(disk.contains(&version));
                // Also after each of the requests that are queued.
                prop_assert!(queued.iter().all(|req| req.stored.versions.contains(&version)));
            }
        }
    }
}
