//! The Kelani example, unmodified but for its addresses.

use std::fs;
use std::path::Path;

use coltsfootnotch_fakes::{
    AnnounceConfig, EngineConfig, EngineHandle, OrderConfig, OrderHandle, expected_answer,
};
use googletest::prelude::*;
use serde_json::Value;
use tempfile::TempDir;

use super::caller::Caller;
use super::daemon::{Daemon, Signal, wait_until};
use super::fleet::{read_settings, run_command, unique_address};

/// Starts the 19 daemons of the example with the documented commands. Completions and bookings
/// succeed, and every daemon exits on a signal. Guards against an example that doesn't match the
/// code.
#[test]
fn the_kelani_example_runs_unmodified() {
    let folder = TempDir::new().expect("the folder is created");
    let mut daemons = daemons(folder.path());
    let settings = folder.path().join("hosts/entry-colombo.jsonc");
    let keys = std::process::Command::new(env!("CARGO_BIN_EXE_coltsfootnotch"))
        .args(["keys", "for"])
        .arg(folder.path())
        .output();
    assert!(keys.expect("the command runs").status.success());
    daemons.iter_mut().for_each(Daemon::start);
    let upstreams = upstreams(folder.path());
    let run = |args: &[&str]| run_command(folder.path(), &settings, args);

    let applied = run(&["apply", "--wait", "--json", "manifest.jsonc"]);
    assert_that!(applied.status.code(), some(eq(0)));
    let report: Value = serde_json::from_slice(&applied.stdout).expect("JSON");
    assert_that!(report["spread"]["behind"].as_array(), some(is_empty()));
    assert_others_refused(folder.path(), &run);

    let callers = read_settings(&settings)
        .listen
        .callers
        .expect("the entry has an address for callers");
    let caller = Caller::new(callers).with_key("kelani-demo-asiri-applicators");
    let prompt = "cure time of a 3 mm screed at 18 degrees?";
    wait_until("completions are served", || {
        caller.complete(prompt, 3).0 == 200
    });
    assert_that!(
        caller.complete(prompt, 8).1,
        eq(&expected_answer(prompt, 8))
    );
    let booked = caller
        .book_until_acknowledged("example-1")
        .expect("a booking");
    assert_that!(caller.book("example-1"), eq(&(201, booked)));
    assert_that!(upstreams.1.bookings().get("example-1"), some(eq(&1)));

    let status = run(&["status", "--json"]);
    let status: Value = serde_json::from_slice(&status.stdout).expect("JSON");
    assert_that!(
        status["fleet"]["hosts"].as_array().map(Vec::len),
        some(eq(daemons.len()))
    );
    for daemon in daemons.iter_mut().rev() {
        daemon.signal(Signal::Term);
        assert_that!(daemon.wait(), eq(0), "{}", daemon.host);
    }
}

/// A different manifest with the same number conflicts, one with a lower number is stale; both exit
/// with code 3.
fn assert_others_refused(folder: &Path, run: &impl Fn(&[&str]) -> std::process::Output) {
    let manifest = fs::read_to_string(folder.join("manifest.jsonc")).expect("the manifest is read");
    fs::write(
        folder.join("other.jsonc"),
        manifest.replace("\"weight\": 8", "\"weight\": 7"),
    )
    .unwrap();
    fs::write(
        folder.join("next.jsonc"),
        manifest.replace("\"number\": 1", "\"number\": 2"),
    )
    .unwrap();
    let conflict = run(&["apply", "other.jsonc"]);
    assert_that!(conflict.status.code(), some(eq(3)));
    let text = String::from_utf8_lossy(&conflict.stderr).into_owned();
    assert_that!(text, contains_substring("accepted before with the digest"));
    assert_that!(
        run(&["apply", "--wait", "next.jsonc"]).status.code(),
        some(eq(0))
    );
    assert_that!(run(&["apply", "manifest.jsonc"]).status.code(), some(eq(0)));
    fs::write(
        folder.join("gap.jsonc"),
        manifest.replace("\"number\": 1", "\"number\": 4"),
    )
    .unwrap();
    assert_that!(run(&["apply", "gap.jsonc"]).status.code(), some(eq(0)));
    fs::write(
        folder.join("stale.jsonc"),
        manifest.replace("\"number\": 1", "\"number\": 3"),
    )
    .unwrap();
    let stale = run(&["apply", "stale.jsonc"]);
    assert_that!(stale.status.code(), some(eq(3)));
    let text = String::from_utf8_lossy(&stale.stderr).into_owned();
    assert_that!(text, contains_substring("configuration 4 was accepted"));
}

/// Copies the example into a folder; returns its daemons, control hosts first.
fn daemons(folder: &Path) -> Vec<Daemon> {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/kelani");
    fs::create_dir(folder.join("hosts")).expect("the folder is created");
    fs::copy(
        example.join("manifest.jsonc"),
        folder.join("manifest.jsonc"),
    )
    .expect("the manifest is copied");
    let address = unique_address().to_string();
    let mut files: Vec<_> = fs::read_dir(example.join("hosts"))
        .expect("the example is read")
        .map(|entry| entry.expect("the entry is read").path())
        .collect();
    files.sort();
    let daemon = |file: &std::path::PathBuf| {
        let text = fs::read_to_string(file).expect("the settings are read");
        let to = folder.join("hosts").join(file.file_name().expect("a name"));
        fs::write(&to, text.replace("127.0.0.1", &address)).expect("the settings are written");
        let host = file
            .file_stem()
            .expect("a name")
            .to_string_lossy()
            .into_owned();
        Daemon::new(&host, to, folder)
    };
    files.iter().map(daemon).collect()
}

fn upstreams(folder: &Path) -> (EngineHandle, OrderHandle) {
    let announce = |host: &str| {
        let settings = read_settings(&folder.join(format!("hosts/{host}.jsonc")));
        Some(AnnounceConfig::new(
            settings
                .listen
                .announce
                .expect("the sidecar has an address for announcements"),
        ))
    };
    let engine = EngineConfig {
        announce: announce("spec-llm-01"),
        ..EngineConfig::new("spec-llm-01", "spec-llm")
    };
    let service = OrderConfig {
        announce: announce("member-desk-1"),
        ..OrderConfig::new("member-desk-1", "member-desk")
    };
    (
        EngineHandle::start(engine).expect("the engine starts"),
        OrderHandle::start(service).expect("the order service starts"),
    )
}
