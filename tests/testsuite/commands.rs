//! Output and exit codes of the operators' commands, without a fleet.

use std::fs;
use std::os::unix::fs::PermissionsExt;
use std::path::Path;
use std::process::{Command, Output};

use googletest::prelude::*;
use tempfile::TempDir;

fn run(folder: &Path, args: &[&str]) -> Output {
    Command::new(env!("CARGO_BIN_EXE_coltsfootnotch"))
        .current_dir(folder)
        .args(args)
        .output()
        .expect("the command starts")
}

fn text(bytes: &[u8]) -> String {
    String::from_utf8(bytes.to_vec()).expect("UTF-8")
}

fn folder() -> TempDir {
    TempDir::new().expect("a temporary folder")
}

#[gtest]
fn check_prints_the_findings_of_all_files_and_exits_with_1() {
    let folder = folder();
    fs::write(
        folder.path().join("a.jsonc"),
        "{ \"role\": \"entri\", \"hots\": 1 }",
    )
    .unwrap();
    fs::write(
        folder.path().join("m.jsonc"),
        "{ \"number\": -1, \"accounts\": [] }",
    )
    .unwrap();
    fs::write(folder.path().join("x.jsonc"), "{}").unwrap();
    let output = run(
        folder.path(),
        &["check", "a.jsonc", "m.jsonc", "x.jsonc", "none.jsonc"],
    );
    expect_that!(output.status.code(), some(eq(1)));
    insta::assert_snapshot!("check", text(&output.stdout));
}

#[gtest]
fn check_reports_no_findings_for_the_examples() {
    let root = Path::new(env!("CARGO_MANIFEST_DIR"));
    let files = [
        "examples/kelani/manifest.jsonc",
        "examples/karoo/hosts/entry-jhb-north.jsonc",
    ];
    let output = run(root, &["check", "--json", files[0], files[1]]);
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(text(&output.stdout), eq("{\"files\":2,\"findings\":[]}\n"));
}

/// Guards against private keys that other users can read, and against overwriting the key of a running host
/// by accident.
#[gtest]
fn keys_are_private_and_not_overwritten() {
    let folder = folder();
    let at = folder.path();
    expect_that!(
        run(at, &["keys", "init", "keys"]).status.code(),
        some(eq(0))
    );
    let issue = ["keys", "issue", "--role", "entry", "--host", "e1", "keys"];
    expect_that!(run(at, &issue).status.code(), some(eq(0)));
    for name in ["ca.key", "operator.key", "e1.key"] {
        let mode = fs::metadata(at.join("keys").join(name))
            .unwrap()
            .permissions()
            .mode();
        expect_that!(mode & 0o777, eq(0o600), "{name}");
    }
    let key = || fs::read_to_string(at.join("keys/e1.key")).unwrap();
    let first = key();
    let again = run(at, &issue);
    expect_that!(again.status.code(), some(eq(1)));
    expect_that!(text(&again.stderr), contains_substring("help: --force"));
    expect_that!(key(), eq(&first));
    let forced = [&issue[..], &["--force"]].concat();
    expect_that!(run(at, &forced).status.code(), some(eq(0)));
    expect_that!(key(), not(eq(&first)));
    expect_that!(
        run(at, &["keys", "init", "keys"]).status.code(),
        some(eq(1))
    );
}

#[gtest]
fn keys_for_an_example_are_written_where_its_settings_expect_them() {
    let folder = folder();
    let hosts = folder.path().join("hosts");
    fs::create_dir(&hosts).unwrap();
    let example = Path::new(env!("CARGO_MANIFEST_DIR")).join("examples/kelani/hosts");
    for name in ["control-colombo.jsonc", "spec-llm-01.jsonc"] {
        fs::copy(example.join(name), hosts.join(name)).unwrap();
    }
    expect_that!(
        run(folder.path(), &["keys", "for", "."]).status.code(),
        some(eq(0))
    );
    let mut created: Vec<_> = fs::read_dir(folder.path().join("keys"))
        .unwrap()
        .map(|entry| entry.unwrap().file_name().into_string().unwrap())
        .collect();
    created.sort();
    let expected = [
        "ca.key",
        "ca.pem",
        "control-colombo.key",
        "control-colombo.pem",
        "operator.key",
        "operator.pem",
        "spec-llm-01.key",
        "spec-llm-01.pem",
    ];
    expect_that!(created, eq(&expected));
    let again = text(&run(folder.path(), &["keys", "for", "."]).stdout);
    expect_that!(again, contains_substring("kept"));
    expect_that!(again, not(contains_substring("wrote")));
}

#[gtest]
fn explain_describes_an_event() {
    let folder = folder();
    let output = run(folder.path(), &["explain", "CFN-0042"]);
    expect_that!(output.status.code(), some(eq(0)));
    expect_that!(
        text(&output.stdout),
        contains_substring("replicated log on disk is corrupt")
    );
    let output = run(folder.path(), &["explain", "CFN-9999"]);
    expect_that!(output.status.code(), some(eq(1)));
}

/// An unreachable fleet has its own exit code, which differs from that of a refusal.
#[gtest]
fn an_unreachable_fleet_has_its_own_exit_code() {
    let folder = folder();
    run(folder.path(), &["keys", "init", "keys"]);
    let output = run(
        folder.path(),
        &[
            "status",
            "--keys",
            "keys",
            "--control",
            "c1=127.0.0.1:9",
            "--timeout",
            "1",
        ],
    );
    expect_that!(output.status.code(), some(eq(4)));
    expect_that!(
        text(&output.stderr),
        contains_substring("no control host answers")
    );
    let output = run(folder.path(), &["status", "--keys", "keys"]);
    expect_that!(output.status.code(), some(eq(1)));
    expect_that!(
        text(&output.stderr),
        contains_substring("help: give --settings")
    );
}

#[gtest]
fn shell_completion_is_available() {
    let folder = folder();
    let output = run(folder.path(), &["--bpaf-complete-style-bash"]);
    expect_that!(text(&output.stdout), contains_substring("complete"));
    expect_that!(output.status.code(), some(eq(0)));
}
