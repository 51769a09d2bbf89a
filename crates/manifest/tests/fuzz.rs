//! Arbitrary texts make no parser panic, and reports stay within their bound.

use coltsfootnotch_manifest::{Findings, Manifest, Settings};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const SETTINGS: &str = include_str!("../../../examples/kelani/hosts/entry-colombo.jsonc");
const MANIFEST: &str = include_str!("../../../examples/kelani/manifest.jsonc");
/// 200 findings of two lines, each with at most a pattern of 256 bytes and a list of keys.
const MAX_REPORT_BYTES: usize = 200 * 2048;

fn runner(cases: u32) -> TestRunner {
    TestRunner::new(ProptestConfig {
        cases,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    })
}

/// Checks that an error has findings, and that its report is bounded and names the file.
fn check_report<T>(result: Result<T, Findings>) -> std::result::Result<(), TestCaseError> {
    let Err(findings) = result else { return Ok(()) };
    prop_assert!(!findings.is_empty());
    let report = findings.to_string();
    prop_assert!(report.starts_with("fuzz:"));
    prop_assert!(report.len() <= MAX_REPORT_BYTES);
    Ok(())
}

fn parse_both(text: &str) -> std::result::Result<(), TestCaseError> {
    check_report(Settings::parse("fuzz", text))?;
    check_report(Manifest::parse("fuzz", text))
}

fn any_json() -> impl Strategy<Value = serde_json::Value> {
    let scalar = prop_oneof![
        Just(serde_json::Value::Null),
        any::<bool>().prop_map(serde_json::Value::from),
        any::<i64>().prop_map(serde_json::Value::from),
        any::<f64>().prop_map(serde_json::Value::from),
        ".{0,80}".prop_map(serde_json::Value::from),
    ];
    scalar.prop_recursive(4, 32, 4, |inner| {
        prop_oneof![
            proptest::collection::vec(inner.clone(), 0..4).prop_map(serde_json::Value::from),
            proptest::collection::btree_map(".{0,12}", inner, 0..4)
                .prop_map(|map| serde_json::Value::Object(map.into_iter().collect())),
        ]
    })
}

/// Every scalar in `value`, at any depth.
fn scalars(value: &mut serde_json::Value) -> Vec<&mut serde_json::Value> {
    match value {
        serde_json::Value::Array(list) => list.iter_mut().flat_map(scalars).collect(),
        serde_json::Value::Object(map) => map.values_mut().flat_map(scalars).collect(),
        scalar => vec![scalar],
    }
}

#[gtest]
fn random_input_does_not_panic() {
    let bytes = proptest::collection::vec(any::<u8>(), 0..512);
    let result = runner(512).run(&bytes, |bytes| {
        Manifest::from_body(&bytes).expect_err("random bytes are not a manifest");
        parse_both(&String::from_utf8_lossy(&bytes))
    });
    expect_that!(result, ok(anything()));
    let json_like = r#"[{}\[\]:,"/*\\0-9eE+\-. \ntrufalsn]{0,200}"#;
    expect_that!(
        runner(1024).run(&json_like, |text| parse_both(&text)),
        ok(anything())
    );
}

#[gtest]
fn truncated_input_is_rejected() {
    for text in [SETTINGS, MANIFEST] {
        let whole = text.trim_end().len();
        for cut in (0..whole).filter(|cut| text.is_char_boundary(*cut)) {
            let truncated = &text[..cut];
            expect_that!(parse_both(truncated), ok(anything()));
            expect_that!(Settings::parse("fuzz", truncated).is_err(), eq(true));
            expect_that!(Manifest::parse("fuzz", truncated).is_err(), eq(true));
        }
    }
    let body = Manifest::parse("fuzz", MANIFEST)
        .expect("the example is valid")
        .to_body();
    for cut in 0..body.len() {
        expect_that!(Manifest::from_body(&body[..cut]).is_err(), eq(true));
    }
}

#[gtest]
fn spliced_input_does_not_panic() {
    let splice = (0..MANIFEST.len(), 0..64_usize, ".{0,32}");
    let result = runner(512).run(&splice, |(at, len, with)| {
        for text in [SETTINGS, MANIFEST] {
            let at = text.floor_char_boundary(at % text.len());
            let end = text.ceil_char_boundary((at + len).min(text.len()));
            parse_both(&format!("{}{with}{}", &text[..at], &text[end..]))?;
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}

#[gtest]
fn wrong_values_do_not_panic() {
    let body = Manifest::parse("fuzz", MANIFEST)
        .expect("the example is valid")
        .to_body();
    let whole: serde_json::Value = serde_json::from_slice(&body).expect("the body is JSON");
    let result = runner(512).run(
        &(any::<prop::sample::Index>(), any_json()),
        |(at, wrong)| {
            let mut value = whole.clone();
            let mut all = scalars(&mut value);
            let index = at.index(all.len());
            *all[index] = wrong;
            parse_both(&value.to_string())
        },
    );
    expect_that!(result, ok(anything()));
}

#[gtest]
fn deep_nesting_does_not_overflow_the_stack() {
    for depth in [100, 511, 512, 513, 100_000] {
        for opening in ["[", "{\"limits\":", "{\"models\":[", "/*", "["] {
            expect_that!(parse_both(&opening.repeat(depth)), ok(anything()));
        }
        let closed = format!(
            "{{\"accounts\":{}{}}}",
            "[".repeat(depth),
            "]".repeat(depth)
        );
        expect_that!(parse_both(&closed), ok(anything()));
        expect_that!(Manifest::from_body(closed.as_bytes()).is_err(), eq(true));
    }
}
