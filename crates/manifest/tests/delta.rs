//! Canonical bodies, digests and deltas.

use coltsfootnotch_manifest::{DeltaError, KeyHash, Manifest, ManifestDelta};
use coltsfootnotch_types::{AccountName, Weight};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const KELANI: &str = include_str!("../../../examples/kelani/manifest.jsonc");
const KAROO: &str = include_str!("../../../examples/karoo/manifest.jsonc");

fn parse(text: &str) -> Manifest {
    Manifest::parse("m.jsonc", text).unwrap_or_else(|found| panic!("{found}"))
}

/// A manifest with some accounts of the example gone, some changed and some new.
fn edited(number: u64, edits: &[(u8, u32)]) -> Manifest {
    let mut manifest = Manifest {
        number,
        ..parse(KELANI)
    };
    for (slot, weight) in edits {
        let at = usize::from(*slot) % manifest.accounts.len().max(1);
        let Ok(weight) = Weight::new(*weight) else {
            manifest.accounts.truncate(at.max(1));
            continue;
        };
        let mut account = manifest.accounts[at].clone();
        account.weight = weight;
        if slot % 3 == 0 {
            account.name = AccountName::new(format!("new-{slot}-{weight}")).expect("a name");
            account.key_hashes = vec![KeyHash::of_key(account.name.as_str())];
            manifest.accounts.push(account);
        } else {
            manifest.accounts[at] = account;
        }
    }
    manifest.accounts.sort_by(|a, b| a.name.cmp(&b.name));
    manifest.accounts.dedup_by(|a, b| a.name == b.name);
    manifest
}

#[gtest]
fn a_delta_gives_the_new_manifest() {
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 128,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let edits = || proptest::collection::vec((any::<u8>(), 0..40_u32), 0..8);
    let checked = runner.run(&(edits(), edits()), |(before, after)| {
        let (old, new) = (edited(1, &before), edited(2, &after));
        let delta = ManifestDelta::between(&old, &new);
        let bytes = delta.to_bytes();
        let sent = ManifestDelta::from_bytes(&bytes).expect("a delta can be read");
        prop_assert_eq!(sent.apply(&old), Ok(new));
        for cut in 0..bytes.len() {
            prop_assert!(ManifestDelta::from_bytes(&bytes[..cut]).is_err());
        }
        Ok(())
    });
    expect_that!(checked, ok(anything()));
}

// A host that missed a change would otherwise hold a mixture of two configurations.
// Change 2 is lost on the way; the delta from 2 to 3 arrives at a host that has 1; it must refuse it
// and ask for the whole manifest. A delta that was altered on the way must not be taken either.
#[gtest]
fn a_delta_from_another_manifest_is_refused() {
    let (first, second, third) = (edited(1, &[]), edited(2, &[(1, 9)]), edited(3, &[(2, 9)]));
    let delta = ManifestDelta::between(&second, &third);
    let refused = delta.apply(&first);
    let expected = DeltaError::OtherBase {
        expected: second.digest(),
        found: first.digest(),
    };
    expect_that!(refused, err(eq(&expected)));
    let altered = ManifestDelta { number: 4, ..delta };
    expect_that!(
        altered.apply(&second),
        err(matches_pattern!(DeltaError::OtherResult { .. }))
    );
}

#[gtest]
fn the_digest_leaves_order_and_comments_out_of_account() {
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
fn manifests_survive_both_codecs() {
    for manifest in [parse(KELANI), parse(KAROO)] {
        let bytes = postcard::to_allocvec(&manifest).expect("postcard writes it");
        expect_that!(postcard::from_bytes::<Manifest>(&bytes), ok(eq(&manifest)));
        expect_that!(
            Manifest::from_body(&manifest.to_body()).expect("the body"),
            eq(&manifest)
        );
    }
    insta::assert_snapshot!("kelani-digest", parse(KELANI).digest());
}
