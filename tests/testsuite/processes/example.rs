//! The settings of an example, as they stand but for the address.

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
use super::fleet::{command, own_address, read_settings};

/// Operators take the example of Kelani as it is: 19 daemons, keys by one command, the manifest by
/// another. A member's completion and booking go through, and everything ends when it is told to.
#[test]
fn the_kelani_example_runs_as_it_stands() {
    let folder = TempDir::new().expect("a folder");
    let mut daemons = daemons(folder.path());
    let settings = folder.path().join("hosts/entry-colombo.jsonc");
    let keys = std::process::Command::new(env!("CARGO_BIN_EXE_coltsfootnotch"))
        .args(["keys", "for"])
        .arg(folder.path())
        .output();
    assert!(keys.expect("the command runs").status.success());
    daemons.iter_mut().for_each(Daemon::start);
    let upstreams = upstreams(folder.path());
    let run = |args: &[&str]| command(folder.path(), &settings, args);

    let applied = run(&["apply", "--wait", "--json", "manifest.jsonc"]);
    assert_that!(applied.status.code(), some(eq(0)));
    let report: Value = serde_json::from_slice(&applied.stdout).expect("JSON");
    assert_that!(report["spread"]["behind"].as_array(), some(is_empty()));
    refuse_others(folder.path(), &run);

    let callers = read_settings(&settings).listen.callers.expect("an address");
    let caller = Caller::new(callers).with_key("kelani-demo-asiri-applicators");
    let prompt = "cure time of a 3 mm screed at 18 degrees?";
    wait_until("completions are served", || {
        caller.complete(prompt, 3).0 == 200
    });
    assert_that!(
        caller.complete(prompt, 8).1,
        eq(&expected_answer(prompt, 8))
    );
    let booked = caller.book_until_made("example-1").expect("a booking");
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

/// Another manifest of the same number is a conflict, one of a lower number is stale: exit code 3.
fn refuse_others(folder: &Path, run: &impl Fn(&[&str]) -> std::process::Output) {
    let manifest = fs::read_to_string(folder.join("manifest.jsonc")).expect("a manifest");
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

/// The daemons of the example; control hosts come first.
fn daemons(folder: &Path) -> Vec<Daemon> {
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/kelani");
    fs::create_dir(folder.join("hosts")).expect("a folder");
    fs::copy(
        example.join("manifest.jsonc"),
        folder.join("manifest.jsonc"),
    )
    .expect("a manifest");
    let address = own_address().to_string();
    let mut files: Vec<_> = fs::read_dir(example.join("hosts"))
        .expect("the example")
        .map(|entry| entry.expect("a file").path())
        .collect();
    files.sort();
    let daemon = |file: &std::path::PathBuf| {
        let text = fs::read_to_string(file).expect("settings");
        let to = folder.join("hosts").join(file.file_name().expect("a name"));
        fs::write(&to, text.replace("127.0.0.1", &address)).expect("settings");
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
            settings.listen.announce.expect("an address"),
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
        EngineHandle::start(engine).expect("an engine"),
        OrderHandle::start(service).expect("an order service"),
    )
}
