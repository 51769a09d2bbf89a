//! Look-ups in the configuration in force.

use std::time::Duration;

use coltsfootnotch_manifest::{CallMatch, ConfigIndex, KeyHash, Manifest};
use googletest::prelude::*;
use proptest::prelude::*;
use proptest::test_runner::{RngSeed, TestRunner};

const TEXT: &str = r#"{
  "number": 3,
  "accounts": [
    { "name": "quick", "key_hashes": ["HASH"], "class": "short" },
    { "name": "plain", "key_hashes": [] }
  ],
  "classes": [{ "name": "short", "deadline_ms": 5000 }],
  "models": [{ "name": "spec-llm", "deadline_ms": 60000 }],
  "services": [
    { "name": "desk", "prefix": "/desk", "deadline_ms": 2000, "calls": [
      { "method": "POST", "path": "/orders", "repeatable": false },
      { "method": "GET", "path": "/orders/{id}", "repeatable": true },
      { "method": "GET", "path": "/orders/bill", "repeatable": false },
      { "method": "GET", "path": "/{list}/all", "repeatable": true }
    ] },
    { "name": "archive", "prefix": "/desk/archive", "calls": [
      { "method": "GET", "path": "/{id}", "repeatable": true }
    ] }
  ]
}"#;

fn config() -> ConfigIndex {
    let text = TEXT.replace("HASH", &KeyHash::of_key("secret").to_string());
    let manifest = Manifest::parse("m", &text).unwrap_or_else(|found| panic!("{found}"));
    ConfigIndex::new(manifest)
}

/// What a call means: the service and whether the call may be repeated.
fn look_up(config: &ConfigIndex, method: &str, path: &str) -> String {
    match config.service_call(method, path) {
        CallMatch::NoService => "no service".to_owned(),
        CallMatch::NoCall(service) => format!("{}: no call", service.name),
        CallMatch::Call { service, call } => {
            format!(
                "{}: {} repeatable={}",
                service.name, call.path, call.repeatable
            )
        }
    }
}

#[gtest]
fn calls_are_found_under_the_longest_prefix() {
    let calls = [
        "POST /desk/orders",
        "POST /desk/orders?copy=1",
        "GET /desk/orders/17",
        "GET /desk/orders/17/",
        "GET /desk/orders",
        "post /desk/orders",
        "GET /desk/archive/17",
        "GET /desk/archive",
        "GET /desk",
        "GET /desktop/orders/17",
        "GET /v1/models",
        "GET ",
    ];
    let config = config();
    let found = calls.map(|call| {
        let (method, path) = call.split_once(' ').expect("a method and a path");
        format!("{call} -> {}", look_up(&config, method, path))
    });
    insta::assert_snapshot!(found.join("\n"));
}

// An order is billed twice: a path fits a call that may be repeated and one that may not, and after
// a failure the fleet sends it again. Of two calls that fit, the one that may not be repeated counts.
#[gtest]
fn of_two_fitting_calls_the_one_not_repeatable_counts() {
    let found = look_up(&config(), "GET", "/desk/orders/bill");
    expect_that!(found, eq("desk: /orders/bill repeatable=false"));
}

// A caller reaches a call that the manifest does not list: it sends `..` or an encoded slash where
// an identity belongs, the fleet takes it for one segment, and the upstream resolves it to another
// path. Such a segment fits no pattern, so the call is refused as not found.
#[gtest]
fn a_segment_that_an_upstream_would_resolve_fits_nothing() {
    let config = config();
    for id in [
        "..", ".", "%2e%2E", ".%2e", "1%2f2", "1%2F..", "a%5cb", "a\\b", "",
    ] {
        let found = look_up(&config, "GET", &format!("/desk/orders/{id}"));
        expect_that!(found, eq("desk: no call"), "{id}");
    }
    expect_that!(
        look_up(&config, "GET", "/desk/orders/1.5"),
        ends_with("repeatable=true")
    );
}

#[gtest]
fn the_shorter_deadline_holds() {
    let config = config();
    let deadline = |account, pool| {
        let account = config.account(account).expect("the account");
        config
            .deadline(account, pool)
            .map(|deadline| deadline.as_millis())
    };
    expect_that!(deadline("quick", "spec-llm"), some(eq(5000)));
    expect_that!(deadline("quick", "desk"), some(eq(2000)));
    expect_that!(deadline("plain", "spec-llm"), some(eq(60_000)));
    expect_that!(deadline("plain", "elsewhere"), none());
    expect_that!(
        config.manifest().ledger.keep(),
        eq(Duration::from_secs(72 * 3600))
    );
}

#[gtest]
fn keys_find_their_account_and_nothing_else_does() {
    let config = config();
    let name = |key: &str| {
        let account = config.account_of_key(&KeyHash::of_key(key).0);
        account.map(|account| account.name.as_str().to_owned())
    };
    expect_that!(name("secret"), some(eq("quick")));
    expect_that!(name("Secret"), none());
    expect_that!(name(""), none());
}

#[gtest]
fn any_path_is_looked_up() {
    let config = config();
    let mut runner = TestRunner::new(ProptestConfig {
        cases: 1024,
        rng_seed: RngSeed::Fixed(20_261_202),
        failure_persistence: None,
        ..ProptestConfig::default()
    });
    let paths = prop_oneof![
        ".{0,40}",
        "(/desk)?(/(orders|archive|[.%2fe5c\\\\]{0,6})){0,4}"
    ];
    let checked = runner.run(&(".{0,6}|GET|POST", paths), |(method, path)| {
        if let CallMatch::Call { service, call } = config.service_call(&method, &path) {
            prop_assert!(path.starts_with(service.prefix.as_str()));
            prop_assert_eq!(call.method.to_string(), method);
            let resolved = path.split('?').next().unwrap_or_default();
            prop_assert!(!resolved.contains("..") && !resolved.contains('\\'));
        }
        Ok(())
    });
    expect_that!(checked, ok(anything()));
}
