//! Text reports for snapshots.

use std::fmt::Write;
use std::time::Duration;

/// Service and waiting times of one account.
#[derive(Clone)]
pub(crate) struct Row {
    pub(crate) name: String,
    pub(crate) served: u64,
    pub(crate) done: u64,
    pub(crate) waits: Vec<Duration>,
}

impl Row {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            served: 0,
            done: 0,
            waits: Vec::new(),
        }
    }

    /// Percentile of the waiting times of started requests.
    pub(crate) fn wait(&self, percent: usize) -> Duration {
        let mut sorted = self.waits.clone();
        sorted.sort_unstable();
        let last = sorted.len().saturating_sub(1);
        sorted
            .get(last * percent / 100)
            .copied()
            .unwrap_or_default()
    }
}

/// A table with one line per account.
pub(crate) fn table<'a>(rows: impl IntoIterator<Item = &'a Row>) -> String {
    let mut text = String::from("account      served   done  wait p50    p95    p99\n");
    for row in rows {
        let [p50, p95, p99] = [50, 95, 99].map(|p| row.wait(p).as_secs_f64());
        let (name, served, done) = (&row.name, row.served, row.done);
        writeln!(
            text,
            "{name:<10} {served:>8} {done:>6} {p50:>9.1} {p95:>6.1} {p99:>6.1}"
        )
        .expect("writing to a string succeeds");
    }
    text
}
