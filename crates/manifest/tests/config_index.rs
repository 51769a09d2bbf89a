//! Lookups in a configuration index.

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
    let manifest = Manifest::parse("m", &text).unwrap_or_else(|findings| panic!("{findings}"));
    ConfigIndex::new(manifest)
}

/// The service and call that a request matches, and whether the call may be repeated.
fn describe_match(config: &ConfigIndex, method: &str, path: &str) -> String {
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
fn calls_match_the_longest_prefix() {
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
        format!("{call} -> {}", describe_match(&config, method, path))
    });
    insta::assert_snapshot!(found.join("\n"));
}

// Guards against billing an order twice: a path matches a call that may be repeated and one that
// may not, and the request is retried after a failure.
#[gtest]
fn a_call_that_may_not_be_repeated_takes_precedence() {
    let found = describe_match(&config(), "GET", "/desk/orders/bill");
    expect_that!(found, eq("desk: /orders/bill repeatable=false"));
}

// Guards against reaching an unlisted call: with `..` or an encoded slash as a segment, the
// upstream resolves the path to another one than the manifest allows.
#[gtest]
fn segments_that_an_upstream_resolves_match_no_call() {
    let config = config();
    for id in [
        "..", ".", "%2e%2E", ".%2e", "1%2f2", "1%2F..", "a%5cb", "a\\b", "",
    ] {
        let found = describe_match(&config, "GET", &format!("/desk/orders/{id}"));
        expect_that!(found, eq("desk: no call"), "{id}");
    }
    expect_that!(
        describe_match(&config, "GET", "/desk/orders/1.5"),
        ends_with("repeatable=true")
    );
}

#[gtest]
fn the_shorter_deadline_applies() {
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
    expect_that!(deadline("plain", "unknown-pool"), none());
    expect_that!(
        config.manifest().ledger.retention(),
        eq(Duration::from_secs(72 * 3600))
    );
}

#[gtest]
fn only_listed_keys_have_an_account() {
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
fn arbitrary_paths_match_only_within_a_service() {
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
    let result = runner.run(&(".{0,6}|GET|POST", paths), |(method, path)| {
        if let CallMatch::Call { service, call } = config.service_call(&method, &path) {
            prop_assert!(path.starts_with(service.prefix.as_str()));
            prop_assert_eq!(call.method.to_string(), method);
            let resolved = path.split('?').next().unwrap_or_default();
            prop_assert!(!resolved.contains("..") && !resolved.contains('\\'));
        }
        Ok(())
    });
    expect_that!(result, ok(anything()));
}
