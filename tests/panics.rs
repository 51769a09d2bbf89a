//! Panics are logged as events. A process has one panic hook, so this is a test program of its own.

use std::sync::Mutex;
use std::thread;

use coltsfootnotch::core::{HostCx, HostIdentity};
use coltsfootnotch::util::panic_log::log_panics;
use coltsfootnotch_types::prelude::*;
use googletest::prelude::*;

static LINES: Mutex<Vec<String>> = Mutex::new(Vec::new());

/// Keeps the lines that are logged.
struct Lines;

impl log::Log for Lines {
    fn enabled(&self, _metadata: &log::Metadata<'_>) -> bool {
        true
    }

    fn log(&self, record: &log::Record<'_>) {
        LINES.lock().unwrap().push(record.args().to_string());
    }

    fn flush(&self) {}
}

/// Guards against panics that leave nothing in the log: a connection or a process is gone, and its callers have no
/// response, with no event that says why.
#[gtest]
fn a_panic_is_logged_with_its_place_and_counted() {
    log::set_logger(&Lines).unwrap();
    log::set_max_level(log::LevelFilter::Info);
    let runtime = tokio::runtime::Builder::new_current_thread()
        .build()
        .unwrap();
    let identity = HostIdentity {
        host: HostName::new("entry-1").unwrap(),
        role: Role::Entry,
        domain: DomainName::new("d1").unwrap(),
        incarnation: Incarnation(1),
    };
    let cx = HostCx::new(identity, runtime.handle().clone());
    log_panics(&cx);
    let worker = thread::Builder::new().name("worker".to_owned());
    let ended = worker.spawn(|| panic!("the table is full")).unwrap().join();
    expect_that!(ended.is_err(), eq(true));
    let lines = LINES.lock().unwrap();
    expect_that!(
        *lines,
        elements_are![all![
            starts_with("CFN-0105 "),
            contains_substring("host=entry-1 role=entry thread=worker place=tests/panics.rs:"),
            contains_substring("reason=the table is full"),
        ]]
    );
    expect_that!(
        cx.metrics.render(),
        contains_substring("log_events{code=\"CFN-0105\"} 1")
    );
}
