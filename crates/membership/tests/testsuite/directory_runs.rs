//! Randomised deltas of summaries: lost, copied and reordered.

use coltsfootnotch_membership::{
    Directory, HostRecord, Registry, SummaryDelta, Timing, View, ViewFeed,
};
use coltsfootnotch_types::Role;
use proptest::prelude::*;

use crate::support::{beat, host, millis, profile, randomised, relay};

#[derive(Debug, Clone, Copy)]
enum Step {
    /// A host starts or goes on at a relay.
    Beat { relay: usize, host: usize, run: u64 },
    /// A host leaves.
    Leave { relay: usize, host: usize, run: u64 },
    /// Time passes at the relays.
    Pass,
    /// A relay sends its changes from some earlier version on.
    Send { relay: usize, since: u64 },
}

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        4 => (0usize..2, 0usize..4, 1u64..3)
            .prop_map(|(relay, host, run)| Step::Beat { relay, host, run }),
        1 => (0usize..2, 0usize..4, 1u64..3)
            .prop_map(|(relay, host, run)| Step::Leave { relay, host, run }),
        2 => Just(Step::Pass),
        3 => (0usize..2, 0u64..6).prop_map(|(relay, since)| Step::Send { relay, since }),
    ];
    prop::collection::vec(step, 1..60)
}

/// Every delta that two relays send over a run, the last ones complete.
fn deltas(steps: &[Step]) -> Vec<SummaryDelta> {
    let mut now = millis(0);
    let mut seqs = [0u64; 4];
    let ids = [relay("control-0", 1), relay("control-1", 1)];
    let mut relays = ids.map(|id| Registry::new(id, Timing::DEFAULT, now));
    let mut deltas = Vec::new();
    for step in steps {
        match *step {
            Step::Beat { relay, host, run } => {
                seqs[host] += 1;
                let mut hb = beat(&format!("a-{host}"), run, seqs[host]);
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
            Step::Pass => {
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

    /// Whatever the order and number of the deltas, directories that got the last ones are equal.
    #[test]
    fn randomised_deltas_merge_alike_in_any_order(
        steps in steps(),
        order in prop::collection::vec(any::<prop::sample::Index>(), 0..80),
    ) {
        let deltas = deltas(&steps);
        let straight = merged(&deltas);
        let last = deltas.len() - 2;
        let shuffled = order.iter().map(|i| i.get(&deltas)).chain(&deltas[last..]);
        prop_assert_eq!(hosts(&merged(shuffled)), hosts(&straight));
        let backwards = deltas.iter().rev().chain(&deltas[last..]);
        prop_assert_eq!(hosts(&merged(backwards)), hosts(&straight));
        let twice = deltas.iter().flat_map(|d| [d, d]);
        prop_assert_eq!(hosts(&merged(twice)), hosts(&straight));
    }

    /// A host that gets a feed with gaps, and starts anew after each, has the same view as one that
    /// gets everything.
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
        let late = millis(10_000);
        for (delta, is_lost) in deltas.iter().zip(lost) {
            directory.merge(late, delta);
            if let Some(change) = feed.next(late, &directory)
                && !is_lost
                && view.apply(change).is_err()
            {
                feed = start();
                let whole = feed.next(late, &directory).expect("a first view");
                prop_assert!(view.apply(whole).is_ok());
            }
        }
        feed = start();
        let whole = feed.next(late, &directory).expect("a first view");
        prop_assert!(view.apply(whole).is_ok());
        let mut fresh = View::default();
        let whole = start().next(late, &directory).expect("a first view");
        prop_assert!(fresh.apply(whole).is_ok());
        let seen: Vec<_> = view.contacts().collect();
        prop_assert_eq!(seen, fresh.contacts().collect::<Vec<_>>());
    }
}
