//! Canonical form, digests and deltas of manifests.

use coltsfootnotch_manifest::{DeltaError, KeyHash, Manifest, ManifestDelta};
use coltsfootnotch_types::{AccountName, Weight};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const KELANI: &str = include_str!("../../../examples/kelani/manifest.jsonc");
const KAROO: &str = include_str!("../../../examples/karoo/manifest.jsonc");

fn parse(text: &str) -> Manifest {
    Manifest::parse("m.jsonc", text).unwrap_or_else(|findings| panic!("{findings}"))
}

/// The example manifest with some accounts removed, changed and added.
fn edited(number: u64, edits: &[(u8, u32)]) -> Manifest {
    let mut manifest = Manifest {
        number,
        ..parse(KELANI)
    };
    for (slot, weight) in edits {
        let index = usize::from(*slot) % manifest.accounts.len().max(1);
        let Ok(weight) = Weight::new(*weight) else {
            manifest.accounts.truncate(index.max(1));
            continue;
        };
        let mut account = manifest.accounts[index].clone();
        account.weight = weight;
        if slot % 3 == 0 {
            account.name = AccountName::new(format!("new-{slot}-{weight}")).expect("a name");
            account.key_hashes = vec![KeyHash::of_key(account.name.as_str())];
            manifest.accounts.push(account);
        } else {
            manifest.accounts[index] = account;
        }
    }
    manifest.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    manifest.accounts.dedup_by(|a, b| a.name == b.name);
    manifest
}

#[gtest]
fn applying_a_delta_gives_the_new_manifest() {
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let edits = || proptest::collection::vec((any::<u8>(), 0..40_u32), 0..8);
    let result = runner.run(&(edits(), edits()), |(before, after)| {
        let (old, new) = (edited(1, &before), edited(2, &after));
        let delta = ManifestDelta::between(&old, &new);
        let bytes = delta.to_bytes();
        let decoded = ManifestDelta::from_bytes(&bytes).expect("an encoded delta can be decoded");
        prop_assert_eq!(decoded.apply(&old), Ok(new));
        for cut in 0..bytes.len() {
            prop_assert!(ManifestDelta::from_bytes(&bytes[..cut]).is_err());
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

// Guards against a mixture of two configurations: a host with manifest 1 that missed manifest 2
// receives the delta from 2 to 3, or a delta is altered in transit.
#[gtest]
fn a_delta_of_another_manifest_is_rejected() {
    let (first, second, third) = (edited(1, &[]), edited(2, &[(1, 9)]), edited(3, &[(2, 9)]));
    let delta = ManifestDelta::between(&second, &third);
    let rejected = delta.apply(&first);
    let expected = DeltaError::BaseMismatch {
        expected: second.digest(),
        found: first.digest(),
    };
    expect_that!(rejected, err(eq(&expected)));
    let altered = ManifestDelta { number: 4, ..delta };
    expect_that!(
        altered.apply(&second),
        err(matches_pattern!(DeltaError::ResultMismatch { .. }))
    );
}

#[gtest]
fn the_digest_ignores_order_and_comments() {
    let manifest = parse(KAROO);
    let mut shuffled = manifest.clone();
    shuffled.accounts.reverse();
    expect_that!(shuffled.digest(), eq(manifest.digest()));
    let commented = KAROO.replace("\"number\"", "/* the first */ \"number\"");
    expect_that!(parse(&commented).digest(), eq(manifest.digest()));
    expect_that!(
        Manifest {
            number: 2,
            ..manifest.clone()
        }
        .digest(),
        not(eq(manifest.digest()))
    );
}

#[gtest]
fn manifests_round_trip_through_both_codecs() {
    for manifest in [parse(KELANI), parse(KAROO)] {
        let bytes = postcard::to_allocvec(&manifest).expect("a manifest can be encoded");
        expect_that!(postcard::from_bytes::<Manifest>(&bytes), ok(eq(&manifest)));
        expect_that!(
            Manifest::from_body(&manifest.to_body()).expect("a canonical body can be decoded"),
            eq(&manifest)
        );
    }
    insta::assert_snapshot!("kelani-digest", parse(KELANI).digest());
}
