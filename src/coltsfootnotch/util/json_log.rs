//! Writes log records as JSON lines to standard output, without blocking the daemon.
//!
//! When the reader of the pipe stops, a direct write blocks and stalls every request. A separate
//! thread therefore writes lines from a bounded queue. Lines that exceed the queue or a budget per
//! second are dropped, and the next line reports their number.

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

/// Maximum number of lines that wait for the thread, a few seconds' worth at the budget.
const QUEUED_LINES: usize = 1_024;
/// Maximum number of lines per second about requests; at about 20 µs a line, 0.2% of a core.
const REQUEST_LINES: u16 = 100;
/// Maximum number of other lines per second. They have a separate budget, so that a flood of
/// refusals does not displace the line that explains them.
const STATE_LINES: u16 = 200;
/// Maximum time to wait for the thread when the process exits.
const FLUSH_TIMEOUT: Duration = Duration::from_millis(250);

/// Log target of records about a single request.
pub const REQUEST_TARGET: &str = "coltsfootnotch::request";
/// Interval over which the thread batches lines into one write.
const BATCH_INTERVAL: Duration = Duration::from_millis(100);

/// A message to the writer thread.
enum WriterMessage {
    Line(String),
    /// Write all preceding lines, then reply.
    Flush(SyncSender<()>),
}

/// Writes log records as JSON lines.
pub struct JsonLog {
    tx: SyncSender<WriterMessage>,
    started: Instant,
    requests: LineBudget,
    states: LineBudget,
    dropped: AtomicU64,
}

impl JsonLog {
    /// Starts the writer thread for standard output.
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
        if self.tx.try_send(WriterMessage::Line(line)).is_err() {
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
        if self.tx.try_send(WriterMessage::Flush(tx)).is_ok() {
            // On a timeout nobody reads the output, and the process exits anyway.
            let _flushed = rx.recv_timeout(FLUSH_TIMEOUT);
        }
        Ok(())
    }

    fn shutdown(&self) {
        let _flushed = self.flush();
    }
}

/// Formats a record as a line of JSON: events have fields, other records a message.
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
        // A request ID such as 0012 stays a string, to keep its leading zeros.
        let value = match text.parse::<u64>() {
            Ok(number) if number.to_string() == text => number.into(),
            _ => text.into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn write_lines(rx: &Receiver<WriterMessage>) {
    let mut out = io::stdout();
    while let Ok(first) = rx.recv() {
        if matches!(first, WriterMessage::Line(_)) {
            thread::sleep(BATCH_INTERVAL);
        }
        let mut buf = String::new();
        let mut flushes = Vec::new();
        for message in std::iter::once(first).chain(rx.try_iter()) {
            match message {
                WriterMessage::Line(line) => {
                    buf.push_str(&line);
                    buf.push('\n');
                }
                WriterMessage::Flush(tx) => flushes.push(tx),
            }
        }
        // A failure to write the log can't be reported anywhere.
        let _outcome = out.write_all(buf.as_bytes()).and_then(|()| out.flush());
        for tx in flushes {
            let _receiver_may_have_timed_out = tx.send(());
        }
    }
}

#[cfg(test)]
#[path = "json_log_tests.rs"]
mod tests;
