//! Findings of invalid texts: messages, positions and limits.

use coltsfootnotch_manifest::{KeyHash, Manifest, Settings};
use googletest::prelude::*;

fn settings(text: &str) -> String {
    Settings::parse("host.jsonc", text)
        .expect_err("the text is invalid")
        .to_string()
}

fn manifest(text: &str) -> String {
    Manifest::parse("manifest.jsonc", text)
        .expect_err("the text is invalid")
        .to_string()
}

#[gtest]
fn findings_of_invalid_settings() {
    insta::assert_snapshot!("settings", settings(include_str!("bad/settings.jsonc")));
    insta::assert_snapshot!("roles", settings(include_str!("bad/roles.jsonc")));
}

#[gtest]
fn findings_of_invalid_manifests() {
    insta::assert_snapshot!("manifest", manifest(include_str!("bad/manifest.jsonc")));
}

#[gtest]
fn findings_of_invalid_json() {
    let texts = [
        "",
        "// nothing",
        "[]",
        "{ \"role\": }",
        "{ 'role': 1 }",
        "{} {}",
        "{ \"a\": \"\\u12\" }",
    ];
    let found: Vec<String> = texts.iter().map(|text| settings(text)).collect();
    insta::assert_snapshot!("json", found.join("\n"));
}

#[gtest]
fn columns_count_characters() {
    expect_that!(
        settings("{ /* රෝල් */ \"x\": 1 }"),
        contains_substring("host.jsonc:1:14: unknown key")
    );
}

#[gtest]
fn oversized_texts_are_rejected_before_parsing() {
    let settings_text = " ".repeat((1 << 20) + 1);
    expect_that!(
        settings(&settings_text),
        contains_substring("has 1048577 bytes, more than 1048576")
    );
    let manifest_text = "[],".repeat(3 << 20);
    expect_that!(
        manifest(&manifest_text),
        contains_substring("more than 8388608")
    );
}

// Guards against a manifest that passes `check` and is then refused by the replicated log because
// its defaults make it too large.
#[gtest]
fn a_manifest_too_large_for_the_log_is_reported() {
    let account = |n: usize| {
        let hash = KeyHash::of_key(&n.to_string());
        format!(
            "{{\"name\":\"{n}-{}\",\"key_hashes\":[\"{hash}\"]}}",
            "x".repeat(50)
        )
    };
    let accounts: Vec<String> = (0..18_000).map(account).collect();
    let text = format!("{{\"number\":1,\"accounts\":[{}]}}", accounts.join(","));
    expect_that!(
        manifest(&text),
        contains_substring("bytes with its defaults filled in")
    );
}

#[gtest]
fn reports_are_limited_to_200_findings() {
    let keys: String = (0..30_000).map(|n| format!("\"unknown-{n}\":1,")).collect();
    let report = settings(&format!("{{{keys}}}"));
    expect_that!(report.lines().count(), eq(401));
    expect_that!(report, ends_with("host.jsonc: and 29807 more findings"));
}
