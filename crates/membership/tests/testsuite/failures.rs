//! Hosts and relays that are lost, recover, restart and leave.

use coltsfootnotch_membership::{
    Directory, HeartbeatReply, MemberEventKind, Presence, Registry, Timing,
};
use googletest::prelude::*;

use crate::simulated_net::{Net, start_host};
use crate::support::{heartbeat, host, millis, relay};

#[gtest]
fn lost_host_is_removed_from_views_within_three_seconds() {
    // Covers a loss at offsets throughout a heartbeat interval, as seen by an entry that is
    // connected to the relay of another failure domain.
    for after in (0..500).step_by(50) {
        let mut net = Net::settled();
        net.run(millis(after), |_, _| false, |_| {});
        let lost_at = net.now;
        let sidecar = net.hosts.iter_mut().find(|h| h.name == host("a-1"));
        sidecar.expect("the host exists").up = false;
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
        let delay = dropped_at.map(|t| t - lost_at);
        expect_that!(delay, some(le(millis(3_000))), "host lost after {after} ms");
    }
}

#[gtest]
fn one_way_loss_moves_a_host_once_without_removing_it() {
    // One direction between a sidecar and its relay fails for ten minutes. The sidecar must connect
    // to another relay once, and stay in the view of every entry.
    for (from, to) in [("control-0", "a-0"), ("a-0", "control-0")] {
        let mut net = Net::settled();
        let mut missing = 0;
        let lost = |f: &str, t: &str| (f, t) == (from, to);
        net.run(millis(600_000), lost, |net| {
            let is_listed = |n: usize| net.hosts[n].view.get(&host("a-0")).is_some();
            missing += usize::from(!(is_listed(0) && is_listed(3) && is_listed(6)));
        });
        expect_that!(
            missing,
            eq(0),
            "steps in which a view does not contain the host"
        );
        let events = net.events("a-0");
        let silent = events.iter().filter(|e| **e == MemberEventKind::Silent);
        expect_that!(silent.count(), eq(1), "{events:?}");
    }
}

#[gtest]
fn host_behind_a_lossy_link_is_damped() {
    // Nine of ten messages between a sidecar and all relays are lost for ten minutes. Guards
    // against listing the host again after every few heartbeats.
    let mut net = Net::settled();
    let mut n = 0u32;
    let lossy = |f: &str, t: &str| {
        n = n.wrapping_mul(1_664_525).wrapping_add(1_013_904_223);
        (f == "a-0" || t == "a-0") && !(n >> 16).is_multiple_of(10)
    };
    let (mut changes, mut was_listed) = (0, true);
    net.run(millis(600_000), lossy, |net| {
        let is_listed = net.hosts[3].view.get(&host("a-0")).is_some();
        changes += usize::from(is_listed != was_listed);
        was_listed = is_listed;
    });
    expect_that!(changes, all!(ge(1), le(40)));
    net.run(millis(90_000), |_, _| false, |_| {});
    expect_that!(net.hosts[3].view.get(&host("a-0")), some(anything()));
}

#[gtest]
fn restarted_host_replaces_its_earlier_run_and_late_heartbeats_are_refused() {
    // A sidecar restarts at once. Entries must see the new run within a second, and a late
    // heartbeat of the old run must not replace it.
    let mut net = Net::settled();
    let n = net
        .hosts
        .iter()
        .position(|h| h.name == host("a-0"))
        .expect("the host exists");
    net.hosts[n] = start_host("a-0", 2, 0, net.now);
    net.run(millis(1_000), |_, _| false, |_| {});
    let listed = net.hosts[0]
        .view
        .get(&host("a-0"))
        .expect("the host is listed");
    expect_that!(listed.incarnation.0, eq(2));

    let mut registry = Registry::new(relay("control-0", 1), Timing::DEFAULT, millis(0));
    registry.on_heartbeat(millis(10), &heartbeat("a", 1, 1));
    registry.on_heartbeat(millis(20), &heartbeat("a", 2, 1));
    let late = registry.on_heartbeat(millis(30), &heartbeat("a", 1, 2));
    expect_that!(late, eq(HeartbeatReply::Replaced));
    let record = registry
        .summary()
        .get(&host("a"))
        .expect("the host is listed");
    expect_that!(record.incarnation.0, eq(2));
}

#[gtest]
fn leaving_host_is_listed_as_leaving_then_removed_and_not_damped() {
    let mut net = Net::settled();
    let n = net
        .hosts
        .iter()
        .position(|h| h.name == host("a-0"))
        .expect("the host exists");
    net.hosts[n].link.announce_leaving();
    net.run(millis(500), |_, _| false, |_| {});
    for entry in [0, 3, 6] {
        let listed = net.hosts[entry]
            .view
            .get(&host("a-0"))
            .expect("the host is still listed");
        expect_that!(listed.leaving, eq(true));
    }
    net.hosts[n].up = false;
    let run = net.relays[0]
        .directory
        .get(&host("a-0"))
        .expect("the host is listed")
        .incarnation;
    net.relays[0].registry.mark_left(&host("a-0"), run);
    net.run(millis(500), |_, _| false, |_| {});
    expect_that!(net.hosts[0].view.get(&host("a-0")), none());
    net.hosts[n] = start_host("a-0", 2, 0, net.now);
    net.run(millis(1_000), |_, _| false, |_| {});
    expect_that!(net.hosts[0].view.get(&host("a-0")), some(anything()));
}

#[gtest]
fn hosts_of_a_lost_relay_stay_listed_and_fail_back() {
    // A relay is lost for a minute and restarts without state. No view may lose a host during
    // failover and failback.
    let mut net = Net::settled();
    let mut missing = 0;
    let mut on_step = |net: &Net| {
        for h in &net.hosts {
            let expected = if h.name.as_str().starts_with("entry") {
                6
            } else {
                3
            };
            missing += usize::from(h.view.contacts().count() < expected);
        }
    };
    net.relays[0].up = false;
    net.run(millis(60_000), |_, _| false, &mut on_step);
    net.restart_relay(0);
    net.run(millis(60_000), |_, _| false, &mut on_step);
    expect_that!(missing, eq(0));
    for h in &net.hosts[0..3] {
        let relay = h.link.relay().expect("the host has a relay");
        expect_that!(relay.host, eq(&host("control-0")));
    }
}

#[gtest]
fn hosts_stay_listed_when_their_relay_restarts_at_once() {
    // A relay restarts without state before its hosts detect the loss. Until their next heartbeats
    // it lists none of them, and its peers must not treat them as gone.
    let mut net = Net::settled();
    net.run(millis(130), |_, _| false, |_| {});
    net.restart_relay(0);
    let mut missing = 0;
    net.run(
        millis(10_000),
        |_, _| false,
        |net| {
            for h in &net.hosts {
                let expected = if h.name.as_str().starts_with("entry") {
                    6
                } else {
                    3
                };
                missing += usize::from(h.view.contacts().count() < expected);
            }
        },
    );
    expect_that!(missing, eq(0));
}

#[gtest]
fn host_in_hold_down_at_one_relay_stays_listed_by_another() {
    // A host that has flapped fails back to its preferred relay. During its hold-down time there,
    // the record of the relay that lists it takes precedence.
    let ids = [relay("control-0", 1), relay("control-1", 1)];
    let mut preferred = Registry::new(ids[0].clone(), Timing::DEFAULT, millis(0));
    let mut other = Registry::new(ids[1].clone(), Timing::DEFAULT, millis(0));
    let mut seq = 0;
    let mut send = |registry: &mut Registry, at: u64, attach: u32| {
        seq += 1;
        let mut hb = heartbeat("a", 1, seq);
        hb.attach = attach;
        registry.on_heartbeat(millis(at), &hb);
    };
    for at in [0, 5_000, 10_000] {
        send(&mut preferred, at, 1);
        preferred.tick(millis(at + 4_000));
    }
    send(&mut other, 14_000, 2);
    send(&mut preferred, 14_500, 3);
    let mut directory = Directory::new(ids[1].clone(), &Timing::DEFAULT, millis(0));
    directory.merge(millis(14_500), &preferred.delta_since(0));
    directory.merge(millis(14_500), &other.delta_since(0));
    let presence = |d: &Directory| d.get(&host("a")).map(|r| (r.presence, r.attach));
    expect_that!(presence(&directory), some(eq((Presence::Present, 2))));
    for at in (15_000..32_000).step_by(500) {
        send(&mut preferred, at, 3);
    }
    directory.merge(millis(32_000), &preferred.delta_since(0));
    expect_that!(presence(&directory), some(eq((Presence::Present, 3))));
}

#[gtest]
fn hosts_of_a_relay_without_changes_are_kept() {
    // A relay sends no delta while nothing changes in its failure domain, here for a day. Its peers
    // must not treat this as the loss of its hosts.
    let mut registry = Registry::new(relay("control-1", 1), Timing::DEFAULT, millis(0));
    registry.on_heartbeat(millis(0), &heartbeat("a", 1, 1));
    let mut directory = Directory::new(relay("control-0", 1), &Timing::DEFAULT, millis(0));
    directory.merge(millis(0), &registry.delta_since(0));
    directory.purge(millis(24 * 3_600_000));
    let listed = directory.get(&host("a")).map(|r| r.presence);
    expect_that!(listed, some(eq(Presence::Present)));
    directory.remove_relay(&host("control-1"));
    expect_that!(directory.get(&host("a")), none());
}

#[gtest]
fn late_delta_does_not_restore_a_purged_host() {
    // A duplicate of a delta that lists a host arrives after the host has left and was purged.
    let me = relay("control-0", 1);
    let mut registry = Registry::new(me.clone(), Timing::DEFAULT, millis(0));
    registry.on_heartbeat(millis(0), &heartbeat("a", 1, 1));
    let old = registry.delta_since(0);
    registry.mark_left(&host("a"), heartbeat("a", 1, 1).incarnation);
    let mut directory = Directory::new(me, &Timing::DEFAULT, millis(0));
    directory.merge(millis(0), &registry.delta_since(0));
    let day = millis(24 * 3_600_000);
    directory.purge(day);
    expect_that!(directory.get(&host("a")), none());
    directory.merge(day, &old);
    expect_that!(directory.get(&host("a")), none());
}

#[gtest]
fn views_survive_the_loss_and_restart_of_all_relays() {
    let mut net = Net::settled();
    net.relays.iter_mut().for_each(|r| r.up = false);
    net.run(millis(600_000), |_, _| false, |_| {});
    for h in &net.hosts {
        expect_that!(h.link.is_registered(net.now), eq(false));
        expect_that!(h.view.contacts().count(), ge(3));
    }
    (0..3).for_each(|n| net.restart_relay(n));
    let mut incomplete = 0;
    net.run(
        millis(60_000),
        |_, _| false,
        |net| {
            let lists = |n: usize| net.hosts[n].view.contacts().count();
            incomplete += usize::from(lists(0) < 6 || lists(1) < 3);
        },
    );
    expect_that!(incomplete, eq(0));
    let record = net.relays[1]
        .directory
        .get(&host("a-0"))
        .expect("the host is listed");
    expect_that!(record.presence, eq(Presence::Present));
}
