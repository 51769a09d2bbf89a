//! Property tests of the directory: deltas that are lost, duplicated and reordered.

use coltsfootnotch_membership::{
    Directory, HostRecord, Registry, SummaryDelta, Timing, View, ViewFeed,
};
use coltsfootnotch_types::Role;
use proptest::prelude::*;

use crate::support::{heartbeat, host, millis, profile, randomised, relay};

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A run of a host sends a heartbeat to a relay.
    Heartbeat { relay: usize, host: usize, run: u64 },
    /// A run of a host leaves.
    Leave { relay: usize, host: usize, run: u64 },
    /// Time advances at the relays.
    Advance,
    /// A relay sends its changes after an earlier version.
    Send { relay: usize, since: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0usize..2, 0usize..4, 1u64..3)
            .prop_map(|(relay, host, run)| Step::Heartbeat { relay, host, run }),
        1 => (0usize..2, 0usize..4, 1u64..3)
            .prop_map(|(relay, host, run)| Step::Leave { relay, host, run }),
        2 => Just(Step::Advance),
        3 => (0usize..2, 0u64..6).prop_map(|(relay, since)| Step::Send { relay, since }),
    ];
    prop::collection::vec(step, 1..60)
}

/// Every delta that two relays send over the steps; the last two are full summaries.
fn deltas(steps: &[Step]) -> Vec<SummaryDelta> {
    let mut now = millis(0);
    let mut seqs = [0u64; 4];
    let ids = [relay("control-0", 1), relay("control-1", 1)];
    let mut relays = ids.map(|id| Registry::new(id, Timing::DEFAULT, now));
    let mut deltas = Vec::new();
    for step in steps {
        match *step {
            Step::Heartbeat { relay, host, run } => {
                seqs[host] += 1;
                let mut hb = heartbeat(&format!("a-{host}"), run, seqs[host]);
                hb.attach = u32::try_from(relay).expect("two relays");
                relays[relay].on_heartbeat(now, &hb);
            }
            Step::Leave {
                relay,
                host: n,
                run,
            } => {
                relays[relay].mark_left(
                    &host(&format!("a-{n}")),
                    coltsfootnotch_types::Incarnation(run),
                );
            }
            Step::Advance => {
                now += millis(1_000);
                relays.iter_mut().for_each(|r| r.tick(now));
            }
            Step::Send { relay, since } => {
                let from = relays[relay].summary().version().saturating_sub(since);
                deltas.push(relays[relay].delta_since(from));
            }
        }
    }
    now += millis(5_000);
    for relay in &mut relays {
        relay.tick(now);
        deltas.push(relay.delta_since(0));
    }
    deltas
}

fn merged<'a>(deltas: impl IntoIterator<Item = &'a SummaryDelta>) -> Directory {
    let mut directory = Directory::new(relay("control-2", 1), &Timing::DEFAULT, millis(0));
    for delta in deltas {
        directory.merge(millis(0), delta);
    }
    directory
}

fn hosts(directory: &Directory) -> Vec<HostRecord> {
    directory.hosts().cloned().collect()
}

proptest! {
    #![proptest_config(randomised(512, 0xd1f)) ]

    /// Directories that received the last deltas are equal, for any order and duplication of the
    /// others.
    #[test]
    fn randomised_deltas_merge_alike_in_any_order(
        steps in steps(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let deltas = deltas(&steps);
        let in_order = merged(&deltas);
        let last = deltas.len() - 2;
        let shuffled = order.iter().map(|i| i.get(&deltas)).chain(&deltas[last..]);
        prop_assert_eq!(hosts(&merged(shuffled)), hosts(&in_order));
        let reversed = deltas.iter().rev().chain(&deltas[last..]);
        prop_assert_eq!(hosts(&merged(reversed)), hosts(&in_order));
        let twice = deltas.iter().flat_map(|d| [d, d]);
        prop_assert_eq!(hosts(&merged(twice)), hosts(&in_order));
    }

    /// A host whose feed loses deltas, and restarts after each gap, ends with the same view as a
    /// host that receives a full view.
    #[test]
    fn randomised_views_follow_the_directory(
        steps in steps(),
        lost in prop::collection::vec(prop::bool::weighted(0.3), 100),
    ) {
        let deltas = deltas(&steps);
        let domain = profile(Role::Entry, "jhb-north", &[]).domain;
        let start = || ViewFeed::new(host("entry-0"), domain.clone(), Role::Entry);
        let mut directory = merged([]);
        let (mut feed, mut view) = (start(), View::default());
        let now = millis(10_000);
        for (delta, is_lost) in deltas.iter().zip(lost) {
            directory.merge(now, delta);
            if let Some(change) = feed.next(now, &directory)
                && !is_lost
                && view.apply(change).is_err()
            {
                feed = start();
                let full = feed.next(now, &directory).expect("the first delta is the full view");
                prop_assert!(view.apply(full).is_ok());
            }
        }
        feed = start();
        let full = feed.next(now, &directory).expect("the first delta is the full view");
        prop_assert!(view.apply(full).is_ok());
        let mut fresh = View::default();
        let full = start().next(now, &directory).expect("the first delta is the full view");
        prop_assert!(fresh.apply(full).is_ok());
        let contacts: Vec<_> = view.contacts().collect();
        prop_assert_eq!(contacts, fresh.contacts().collect::<Vec<_>>());
    }
}
