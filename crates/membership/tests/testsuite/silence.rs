//! Hosts and relays that go silent, come back, restart and leave.

use coltsfootnotch_membership::{
    Directory, HeartbeatReply, MemberEventKind, Presence, Registry, Timing,
};
use googletest::prelude::*;

use crate::net::{Net, start_host};
use crate::support::{beat, host, millis, relay};

#[gtest]
fn a_lost_host_is_found_silent_within_three_seconds_whenever_it_is_lost() {
    // A sidecar is lost at some moment between two heartbeats. Its entry, which learns of it through
    // the relay of another failure domain, drops it from its view within 3 s.
    for after in (0..500).step_by(50) {
        let mut net = Net::settled();
        net.run(millis(after), |_, _| false, |_| {});
        let lost_at = net.now;
        let sidecar = net.hosts.iter_mut().find(|h| h.name == host("a-1"));
        sidecar.expect("a host of that name").up = false;
        let mut dropped_at = None;
        net.run(
            millis(4_000),
            |_, _| false,
            |net| {
                if net.hosts[0].view.get(&host("a-1")).is_none() {
                    dropped_at.get_or_insert(net.now);
                }
            },
        );
        let took = dropped_at.map(|t| t - lost_at);
        expect_that!(
            took,
            some(le(millis(3_000))),
            "lost {after} ms after a step"
        );
    }
}

#[gtest]
fn loss_in_one_direction_moves_a_host_once_and_never_drops_it() {
    // Replies of the relay no longer reach a sidecar, or its heartbeats no longer reach the relay,
    // for ten minutes. It turns to another relay, stays there, and no entry loses sight of it.
    for (from, to) in [("control-0", "a-0"), ("a-0", "control-0")] {
        let mut net = Net::settled();
        let mut missing = 0;
        let lost = |f: &str, t: &str| (f, t) == (from, to);
        net.run(millis(600_000), lost, |net| {
            let seen = |n: usize| net.hosts[n].view.get(&host("a-0")).is_some();
            missing += usize::from(!(seen(0) && seen(3) && seen(6)));
        });
        expect_that!(missing, eq(0), "steps without it in some view");
        let events = net.events("a-0");
        let silent = events.iter().filter(|e| **e == MemberEventKind::Silent);
        expect_that!(silent.count(), eq(1), "{events:?}");
    }
}

#[gtest]
fn a_host_behind_a_lossy_link_is_damped() {
    // Nine of ten messages between one sidecar and every relay are lost for ten minutes. Undamped it
    // would come and go with each few heartbeats; damped it is taken back rarely.
    let mut net = Net::settled();
    let mut n = 0u32;
    let lossy = |f: &str, t: &str| {
        n = n.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (f == "a-0" || t == "a-0") && !(n >> 16).is_multiple_of(10)
    };
    let (mut changes, mut was_seen) = (0, true);
    net.run(millis(600_000), lossy, |net| {
        let is_seen = net.hosts[3].view.get(&host("a-0")).is_some();
        changes += usize::from(is_seen != was_seen);
        was_seen = is_seen;
    });
    expect_that!(changes, all!(ge(1), le(40)));
    net.run(millis(90_000), |_, _| false, |_| {});
    expect_that!(net.hosts[3].view.get(&host("a-0")), some(anything()));
}

#[gtest]
fn a_restarted_host_replaces_its_earlier_run_and_late_heartbeats_are_refused() {
    // A sidecar is killed and started again at once. Entries see the new run before the old one would
    // have been found silent; a straggler of the old run does not bring it back.
    let mut net = Net::settled();
    let n = net
        .hosts
        .iter()
        .position(|h| h.name == host("a-0"))
        .expect("a host of that name");
    net.hosts[n] = start_host("a-0", 2, 0, net.now);
    net.run(millis(1_000), |_, _| false, |_| {});
    let seen = net.hosts[0].view.get(&host("a-0")).expect("it is present");
    expect_that!(seen.incarnation.0, eq(2));

    let mut registry = Registry::new(relay("control-0", 1), Timing::DEFAULT, millis(0));
    registry.on_heartbeat(millis(10), &beat("a", 1, 1));
    registry.on_heartbeat(millis(20), &beat("a", 2, 1));
    let late = registry.on_heartbeat(millis(30), &beat("a", 1, 2));
    expect_that!(late, eq(HeartbeatReply::Replaced));
    let record = registry.summary().get(&host("a")).expect("it is listed");
    expect_that!(record.incarnation.0, eq(2));
}

#[gtest]
fn a_host_that_leaves_is_seen_leaving_and_then_gone_and_is_not_damped() {
    let mut net = Net::settled();
    let n = net
        .hosts
        .iter()
        .position(|h| h.name == host("a-0"))
        .expect("a host of that name");
    net.hosts[n].link.announce_leaving();
    net.run(millis(500), |_, _| false, |_| {});
    for entry in [0, 3, 6] {
        let seen = net.hosts[entry]
            .view
            .get(&host("a-0"))
            .expect("it is still there");
        expect_that!(seen.leaving, eq(true));
    }
    net.hosts[n].up = false;
    let run = net.relays[0]
        .directory
        .get(&host("a-0"))
        .expect("listed")
        .incarnation;
    net.relays[0].registry.mark_left(&host("a-0"), run);
    net.run(millis(500), |_, _| false, |_| {});
    expect_that!(net.hosts[0].view.get(&host("a-0")), none());
    net.hosts[n] = start_host("a-0", 2, 0, net.now);
    net.run(millis(1_000), |_, _| false, |_| {});
    expect_that!(net.hosts[0].view.get(&host("a-0")), some(anything()));
}

#[gtest]
fn a_lost_relay_costs_no_host_its_place_and_gets_its_hosts_back() {
    // The relay of one failure domain is lost for a minute and then starts with no state. Its hosts
    // turn to the other relays and back; no view loses a host, and at the end all are at home.
    let mut net = Net::settled();
    let mut missing = 0;
    let mut watch = |net: &Net| {
        for h in &net.hosts {
            let others = if h.name.as_str().starts_with("entry") {
                6
            } else {
                3
            };
            missing += usize::from(h.view.contacts().count() < others);
        }
    };
    net.relays[0].up = false;
    net.run(millis(60_000), |_, _| false, &mut watch);
    net.restart_relay(0);
    net.run(millis(60_000), |_, _| false, &mut watch);
    expect_that!(missing, eq(0));
    for h in &net.hosts[0..3] {
        let relay = h.link.relay().expect("it has a relay");
        expect_that!(relay.host, eq(&host("control-0")));
    }
}

#[gtest]
fn a_relay_restarted_at_once_costs_no_host_its_place() {
    // A relay loses its state and is back before its hosts notice. Until they have sent their next
    // heartbeats it knows none of them, and must not have the others believe that they are gone.
    let mut net = Net::settled();
    net.run(millis(130), |_, _| false, |_| {});
    net.restart_relay(0);
    let mut missing = 0;
    net.run(
        millis(10_000),
        |_, _| false,
        |net| {
            for h in &net.hosts {
                let others = if h.name.as_str().starts_with("entry") {
                    6
                } else {
                    3
                };
                missing += usize::from(h.view.contacts().count() < others);
            }
        },
    );
    expect_that!(missing, eq(0));
}

#[gtest]
fn a_host_that_is_watched_at_home_stays_listed_where_it_was() {
    // A host has flapped at its own relay and is listed by another meanwhile. When it comes back it
    // is watched for a while before it is listed again; until then the other relay's word counts.
    let ids = [relay("control-0", 1), relay("control-1", 1)];
    let mut home = Registry::new(ids[0].clone(), Timing::DEFAULT, millis(0));
    let mut other = Registry::new(ids[1].clone(), Timing::DEFAULT, millis(0));
    let mut seq = 0;
    let mut send = |registry: &mut Registry, at: u64, attach: u32| {
        seq += 1;
        let mut hb = beat("a", 1, seq);
        hb.attach = attach;
        registry.on_heartbeat(millis(at), &hb);
    };
    for at in [0, 5_000, 10_000] {
        send(&mut home, at, 1);
        home.tick(millis(at + 4_000));
    }
    send(&mut other, 14_000, 2);
    send(&mut home, 14_500, 3);
    let mut directory = Directory::new(ids[1].clone(), &Timing::DEFAULT, millis(0));
    directory.merge(millis(14_500), &home.delta_since(0));
    directory.merge(millis(14_500), &other.delta_since(0));
    let presence = |d: &Directory| d.get(&host("a")).map(|r| (r.presence, r.attach));
    expect_that!(presence(&directory), some(eq((Presence::Present, 2))));
    for at in (15_000..32_000).step_by(500) {
        send(&mut home, at, 3);
    }
    directory.merge(millis(32_000), &home.delta_since(0));
    expect_that!(presence(&directory), some(eq((Presence::Present, 3))));
}

#[gtest]
fn a_relay_with_nothing_to_say_keeps_its_hosts() {
    // Nothing changes in a failure domain for a day, so its relay sends no delta. Others must not take
    // that for the loss of every host there.
    let mut registry = Registry::new(relay("control-1", 1), Timing::DEFAULT, millis(0));
    registry.on_heartbeat(millis(0), &beat("a", 1, 1));
    let mut directory = Directory::new(relay("control-0", 1), &Timing::DEFAULT, millis(0));
    directory.merge(millis(0), &registry.delta_since(0));
    directory.purge(millis(24 * 3_600_000));
    let seen = directory.get(&host("a")).map(|r| r.presence);
    expect_that!(seen, some(eq(Presence::Present)));
    directory.remove_relay(&host("control-1"));
    expect_that!(directory.get(&host("a")), none());
}

#[gtest]
fn a_straggling_delta_does_not_bring_a_forgotten_host_back() {
    // A host left long ago and is forgotten. A copy of an old delta, in which it was present, comes
    // late.
    let me = relay("control-0", 1);
    let mut registry = Registry::new(me.clone(), Timing::DEFAULT, millis(0));
    registry.on_heartbeat(millis(0), &beat("a", 1, 1));
    let old = registry.delta_since(0);
    registry.mark_left(&host("a"), beat("a", 1, 1).incarnation);
    let mut directory = Directory::new(me, &Timing::DEFAULT, millis(0));
    directory.merge(millis(0), &registry.delta_since(0));
    let day = millis(24 * 3_600_000);
    directory.purge(day);
    expect_that!(directory.get(&host("a")), none());
    directory.merge(day, &old);
    expect_that!(directory.get(&host("a")), none());
}

#[gtest]
fn every_relay_lost_leaves_hosts_with_what_they_know() {
    let mut net = Net::settled();
    net.relays.iter_mut().for_each(|r| r.up = false);
    net.run(millis(600_000), |_, _| false, |_| {});
    for h in &net.hosts {
        expect_that!(h.link.is_registered(net.now), eq(false));
        expect_that!(h.view.contacts().count(), ge(3));
    }
    (0..3).for_each(|n| net.restart_relay(n));
    let mut gone = 0;
    net.run(
        millis(60_000),
        |_, _| false,
        |net| {
            let lists = |n: usize| net.hosts[n].view.contacts().count();
            gone += usize::from(lists(0) < 6 || lists(1) < 3);
        },
    );
    expect_that!(gone, eq(0));
    let record = net.relays[1]
        .directory
        .get(&host("a-0"))
        .expect("it is listed");
    expect_that!(record.presence, eq(Presence::Present));
}
