//! Configurations as they are sent to forwarding entries, as patches of the one that an entry has.

use coltsfootnotch::core::config_patch::{PatchError, apply, diff};
use coltsfootnotch::daemon::control::config_patches::ConfigPatches;
use coltsfootnotch_wire::{ConfigBody, FromRelay};
use googletest::prelude::*;

/// A configuration of an operator with many routes; `timeout` is that of route 700.
fn body(routes: usize, timeout: u32) -> Vec<u8> {
    let route = |n: usize| {
        let timeout = if n == 700 { timeout } else { 5_000 };
        let digest = (n as u64).wrapping_mul(0x9e37_79b9_7f4a_7c15);
        format!(
            "{{\"name\":\"r-{digest:x}\",\"host\":\"h{}.example\",\"path_prefix\":\"/{:x}/\",\
             \"kind\":\"streaming\",\"timeout_ms\":{timeout},\"target_latency_ms\":500,\
             \"priority\":1,\"service\":\"model\",\"max_attempts\":2}}",
            n % 7,
            digest.rotate_left(17)
        )
    };
    let routes: Vec<_> = (0..routes).map(route).collect();
    format!("{{\"version\":7,\"routes\":[{}]}}", routes.join(",")).into_bytes()
}

fn config(number: u64, body: Vec<u8>) -> ConfigBody {
    ConfigBody {
        number,
        digest: [number as u8; 32],
        body,
    }
}

fn base_and_patch(message: Option<FromRelay>) -> Option<(u64, Vec<u8>)> {
    match message {
        Some(FromRelay::ConfigPatch { base, patch, .. }) => Some((base, patch)),
        _ => None,
    }
}

/// Guards against changes that cost as many bytes as the whole configuration, at every entry.
#[googletest::test]
fn a_change_of_one_route_among_thousands_takes_few_bytes() {
    let (old, new) = (body(1_400, 5_000), body(1_400, 6_000));
    let patch = diff(&old, &new).unwrap();
    expect_that!(patch.len(), lt(2_000));
    expect_that!(apply(&old, &patch), ok(eq(&new)));
    let (short, long) = (body(40, 5_000), body(1_400, 5_000));
    let patch = diff(&short, &long).unwrap();
    expect_that!(patch.len(), lt(long.len() / 4), "1,360 routes are added");
    expect_that!(apply(&short, &patch), ok(eq(&long)));
}

/// Guards against a configuration that is put together from a damaged patch or the wrong base.
#[googletest::test]
fn a_damaged_patch_and_a_wrong_base_give_no_such_body() {
    let (old, new) = (body(900, 5_000), body(900, 6_000));
    let patch = diff(&old, &new).unwrap();
    for len in 0..patch.len() {
        expect_that!(apply(&old, &patch[..len]), err(anything()), "cut to {len}");
    }
    let wrong = apply(&body(800, 5_000), &patch);
    expect_that!(wrong.ok(), not(some(eq(&new))));
    expect_that!(apply(&old, b"no patch"), err(eq(&PatchError::Length)));
}

/// Guards against an entry that can't follow because it is further behind than the bases kept.
#[googletest::test]
fn an_entry_without_a_kept_base_gets_the_whole_configuration() {
    let mut patches = ConfigPatches::default();
    expect_that!(patches.message(0), none());
    for number in 1..=6 {
        patches.accept(config(number, body(900, 1_000 * number as u32)));
    }
    let newest = body(900, 6_000);
    for kept in 3..6 {
        let (base, patch) = base_and_patch(patches.message(kept)).unwrap();
        expect_that!(base, eq(kept));
        let old = body(900, 1_000 * kept as u32);
        expect_that!(apply(&old, &patch), ok(eq(&newest)));
    }
    for other in [0, 1, 2] {
        let (base, patch) = base_and_patch(patches.message(other)).unwrap();
        expect_that!(base, eq(0));
        expect_that!(apply(&[], &patch), ok(eq(&newest)));
    }
    expect_that!(patches.message(6), none(), "it has the newest");
    expect_that!(patches.message(9), none());
}

/// Guards against bases that fill the memory of a small host.
#[googletest::test]
fn earlier_configurations_are_kept_up_to_a_number_of_bytes() {
    let mut patches = ConfigPatches::default();
    let large = || vec![b'x'; 3 << 20];
    for number in 1..=3 {
        patches.accept(config(number, large()));
    }
    let base = |message| base_and_patch(message).map(|(base, _)| base);
    expect_that!(base(patches.message(2)), some(eq(2)));
    expect_that!(base(patches.message(1)), some(eq(0)), "no more kept");
}
