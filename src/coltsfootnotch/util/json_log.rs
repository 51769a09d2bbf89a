//! Log lines as JSON on standard output, bounded in number and never waited for.
//!
//! **Failure.** Whoever reads the output stops reading, and the pipe fills up. A daemon that writes
//! its lines itself would stand still at the next one, and with it every request.
//!
//! **Safeguard.** A thread of its own writes; lines go to it through a queue of bounded length, and
//! one that finds it full is dropped and counted. Under load, lines beyond a budget a second are
//! dropped as well, routine ones first. A line says how many were.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::mpsc::{self, Receiver, SyncSender};
use std::thread;
use std::time::{Duration, Instant};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::Record;
use log::kv::{Key, Value, VisitSource};

use super::line_budget::LineBudget;

/// Lines that wait for the thread: some seconds' worth at the budget.
const QUEUED_LINES: usize = 1_024;
/// Lines a second about requests: at about 20 microseconds a line, 0.2% of a core.
const REQUEST_LINES: u16 = 100;
/// All other lines a second, which say what the process believes. They have a budget of their own: in
/// a flood of refusals the line that tells why would be the one left out.
const STATE_LINES: u16 = 200;
/// Longest wait for the thread when the process ends.
const FLUSH_WITHIN: Duration = Duration::from_millis(250);

/// Records with this target are about one request.
pub const REQUEST_TARGET: &str = "coltsfootnotch::request";
/// Time for which the thread gathers lines: one wake-up and one write for many.
const GATHER: Duration = Duration::from_millis(100);

/// What the thread is told.
enum Told {
    Line(String),
    /// Write everything before this, and say so.
    Flush(SyncSender<()>),
}

/// Writes log records as JSON lines.
pub struct JsonLog {
    tx: SyncSender<Told>,
    started: Instant,
    requests: LineBudget,
    states: LineBudget,
    dropped: AtomicU64,
}

impl JsonLog {
    /// Starts the thread that writes to standard output.
    ///
    /// # Errors
    /// Returns an error when no thread can be started.
    pub fn to_stdout() -> io::Result<Self> {
        let (tx, rx) = mpsc::sync_channel(QUEUED_LINES);
        thread::Builder::new()
            .name("log".to_owned())
            .spawn(move || write_lines(&rx))?;
        Ok(Self {
            tx,
            started: Instant::now(),
            requests: LineBudget::new(REQUEST_LINES),
            states: LineBudget::new(STATE_LINES),
            dropped: AtomicU64::new(0),
        })
    }

    fn send(&self, line: String) {
        if self.tx.try_send(Told::Line(line)).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for JsonLog {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        let budget = match record.target() {
            REQUEST_TARGET => &self.requests,
            _ => &self.states,
        };
        if !budget.take(self.started.elapsed()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let time = now.format_rfc3339();
        self.send(to_json(&time, record, dropped));
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        let (tx, rx) = mpsc::sync_channel(1);
        if self.tx.try_send(Told::Flush(tx)).is_ok() {
            // Nobody reads the output if this takes longer; the process ends all the same.
            let _written = rx.recv_timeout(FLUSH_WITHIN);
        }
        Ok(())
    }

    fn shutdown(&self) {
        let _flushed = self.flush();
    }
}

/// One record as a line of JSON. Events bring their own fields; other records have a message.
fn to_json(time: &str, record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Fields(BTreeMap::new());
    if let Err(e) = record.key_values().visit(&mut fields) {
        fields
            .0
            .insert("fields_error".to_owned(), e.to_string().into());
    }
    let mut line = serde_json::Map::new();
    line.insert("time".to_owned(), time.into());
    line.insert("level".to_owned(), record.level().as_str().into());
    if fields.0.is_empty() {
        line.insert("message".to_owned(), record.args().to_string().into());
    }
    line.extend(fields.0);
    if dropped > 0 {
        line.insert("lines_left_out".to_owned(), dropped.into());
    }
    serde_json::Value::Object(line).to_string()
}

struct Fields(BTreeMap<String, serde_json::Value>);

impl<'kvs> VisitSource<'kvs> for Fields {
    fn visit_pair(&mut self, key: Key<'kvs>, value: Value<'kvs>) -> Result<(), log::kv::Error> {
        let text = value.to_string();
        // An identity such as 0012 must stay as it was sent.
        let value = match text.parse::<u64>() {
            Ok(number) if number.to_string() == text => number.into(),
            _ => text.into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn write_lines(rx: &Receiver<Told>) {
    let mut out = io::stdout();
    while let Ok(first) = rx.recv() {
        if matches!(first, Told::Line(_)) {
            thread::sleep(GATHER);
        }
        let mut buf = String::new();
        let mut flushes = Vec::new();
        for told in std::iter::once(first).chain(rx.try_iter()) {
            match told {
                Told::Line(line) => {
                    buf.push_str(&line);
                    buf.push('\n');
                }
                Told::Flush(tx) => flushes.push(tx),
            }
        }
        // Nobody is left who could be told that the output is gone.
        let _outcome = out.write_all(buf.as_bytes()).and_then(|()| out.flush());
        for tx in flushes {
            let _waits = tx.send(());
        }
    }
}

#[cfg(test)]
#[path = "json_log_tests.rs"]
mod tests;
