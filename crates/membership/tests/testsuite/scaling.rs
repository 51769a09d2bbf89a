//! The view of a host grows with its own failure domain and not with the fleet.

use std::collections::BTreeSet;

use coltsfootnotch_membership::{Directory, REMOTE_CONTACTS, Registry, Timing, ViewFeed};
use coltsfootnotch_types::Role;
use googletest::prelude::*;

use crate::support::{heartbeat, host, millis, profile, relay};

/// A directory of `domains` failure domains, each with two entries and `sidecars` sidecars.
fn fleet(domains: usize, sidecars: usize) -> Directory {
    let mut directory = Directory::new(relay("control-0", 1), &Timing::DEFAULT, millis(0));
    for d in 0..domains {
        let mut registry = Registry::new(
            relay(&format!("control-{d}"), 1),
            Timing::DEFAULT,
            millis(0),
        );
        let domain = format!("domain-{d}");
        let entries = (0..2).map(|n| (format!("entry-{d}-{n}"), Role::Entry));
        let sidecars = (0..sidecars).map(|n| (format!("sidecar-{d}-{n}"), Role::Sidecar));
        for (name, role) in entries.chain(sidecars) {
            let mut hb = heartbeat(&name, 1, 1);
            let pools: &[&str] = if role == Role::Sidecar {
                &["menu-writer"]
            } else {
                &[]
            };
            hb.profile = Some(profile(role, &domain, pools));
            registry.on_heartbeat(millis(0), &hb);
        }
        directory.merge(millis(0), &registry.delta_since(0));
    }
    directory
}

fn view(directory: &Directory, name: &str, role: Role) -> BTreeSet<String> {
    let domain = profile(role, "domain-0", &[]).domain;
    let full = ViewFeed::new(host(name), domain, role).next(millis(5_000), directory);
    let contacts = full.expect("the first delta is the full view").upserts;
    contacts
        .iter()
        .map(|c| c.host.as_str().to_owned())
        .collect()
}

#[gtest]
fn entry_has_all_sidecars_of_its_domain_and_a_bounded_number_of_others() {
    for (domains, sidecars) in [(3, 7), (3, 100), (9, 100)] {
        let directory = fleet(domains, sidecars);
        let seen = view(&directory, "entry-0-0", Role::Entry);
        let remote = sidecars.min(REMOTE_CONTACTS) * (domains - 1);
        expect_that!(seen, len(eq(sidecars + remote)));
    }
}

#[gtest]
fn entries_reach_every_sidecar_in_a_fleet_of_three_small_domains() {
    let directory = fleet(3, 7);
    expect_that!(view(&directory, "entry-0-0", Role::Entry), len(eq(21)));
    expect_that!(view(&directory, "sidecar-0-0", Role::Sidecar), len(eq(6)));
}

#[gtest]
fn entries_together_cover_the_sidecars_of_other_domains() {
    // Guards against entries that all choose the same sidecars, which leaves the others without
    // remote work.
    let directory = fleet(9, 40);
    let mut seen = BTreeSet::new();
    for d in 1..9 {
        for n in 0..2 {
            let entry = host(&format!("entry-{d}-{n}"));
            let remote = directory.selection().remote(&entry);
            seen.extend(
                remote
                    .filter(|h| h.as_str().starts_with("sidecar-0-"))
                    .cloned(),
            );
        }
    }
    expect_that!(seen, len(ge(35)));
}
