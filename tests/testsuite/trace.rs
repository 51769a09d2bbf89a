//! `trace` finds the cause of a request's failure in the logs of several hosts.

use std::fs;
use std::path::Path;
use std::process::{Command, Output};

use googletest::prelude::*;

/// Logs of three hosts while a control host was disconnected, an upstream was lost and a host stopped.
const LOGS: [(&str, &str); 3] = [
    (
        "colombo-2.log",
        r#"{"code":"CFN-0011","event":"connection to a host is lost","host":"colombo-2","peer":"control/colombo-1","role":"entry","time":"2026-03-07T00:56:40.100+00:00"}
{"code":"CFN-0075","config":8,"control_hosts":0,"event":"the configuration is no longer confirmed to be the newest","host":"colombo-2","level":"WARN","role":"entry","time":"2026-03-07T00:56:44.000+00:00"}
{"age_ms":3,"code":"CFN-0071","config":8,"event":"a request was refused; it did not run","host":"colombo-2","level":"INFO","reason":"the configuration is not confirmed","request":"r-refused","retry_after_ms":300,"role":"entry","route":"r-1","time":"2026-03-07T00:56:44.200+00:00"}
not a line of ours
"#,
    ),
    (
        "gampaha-3.log",
        r#"  10.5275 gampaha-3 {"age_ms":1214,"code":"CFN-0074","config":8,"ended":"Broken","event":"a stream was aborted","events":17,"host":"gampaha-3","level":"WARN","not_resumed":"the route's streams can't be resumed","request":"r-broken","role":"entry","route":"r-2","time":"2026-03-07T00:56:45.505+00:00","upstream":"i-88"}
  10.9000 gampaha-3 {"age_ms":12,"code":"CFN-0072","config":8,"event":"a request sent to an upstream got no complete response","host":"gampaha-3","level":"WARN","outcome":"lost","request":"r-other","role":"entry","route":"r-2","time":"2026-03-07T00:56:45.900+00:00","upstream":"i-88"}
  11.0000 gampaha-3 {"code":"CFN-0003","connections":34,"event":"graceful shutdown started","host":"gampaha-3","level":"INFO","role":"entry","time":"2026-03-07T00:56:46.000+00:00"}
  11.2000 gampaha-3 {"age_ms":1,"code":"CFN-0071","config":8,"event":"a request was refused; it did not run","host":"gampaha-3","level":"INFO","reason":"this host is stopping","request":"r-stopping","retry_after_ms":0,"role":"entry","route":"r-2","time":"2026-03-07T00:56:46.200+00:00"}
"#,
    ),
    (
        "control.log",
        r#"{"born_ms":5,"code":"CFN-0021","event":"an upstream stopped announcing itself","host":"kalutara-1","level":"WARN","role":"control","service":"llm","time":"2026-03-07T00:56:49.000+00:00","upstream":"i-88"}
"#,
    ),
];

fn trace(id: &str) -> Output {
    let folder = tempfile::tempdir().unwrap();
    for (name, text) in LOGS {
        fs::write(folder.path().join(name), text).unwrap();
    }
    run(folder.path(), id)
}

fn run(folder: &Path, id: &str) -> Output {
    let files = LOGS.iter().map(|(name, _)| *name);
    Command::new(env!("CARGO_BIN_EXE_coltsfootnotch"))
        .current_dir(folder)
        .args(["trace", id])
        .args(files)
        .output()
        .unwrap()
}

fn printed(id: &str) -> String {
    let output = trace(id);
    assert_eq!(output.status.code(), Some(0));
    String::from_utf8(output.stdout).unwrap()
}

#[googletest::test]
fn a_refusal_is_traced_to_the_unconfirmed_configuration() {
    insta::assert_snapshot!(printed("r-refused"));
}

#[googletest::test]
fn a_broken_stream_is_traced_to_its_upstream() {
    insta::assert_snapshot!(printed("r-broken"));
}

#[googletest::test]
fn a_refusal_by_a_stopping_host_is_traced_to_the_shutdown() {
    insta::assert_snapshot!(printed("r-stopping"));
}

#[googletest::test]
fn an_unknown_request_is_reported() {
    let output = trace("r-nobody");
    expect_that!(output.status.code(), some(eq(1)));
    let text = String::from_utf8(output.stderr).unwrap();
    expect_that!(
        text,
        contains_substring("no log line names the request r-nobody")
    );
}
