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
use std::sync::{Mutex, PoisonError};
use std::thread;
use std::time::{Duration, Instant};

use flexi_logger::DeferredNow;
use flexi_logger::writers::LogWriter;
use log::kv::{Key, Value, VisitSource};
use log::{Level, Record};

/// Lines that wait for the thread: some seconds' worth at the budget.
const QUEUED_LINES: usize = 1_024;
/// Routine lines a second. At about 20 microseconds a line this is 0.2% of a core.
const ROUTINE_BUDGET: u32 = 100;
/// Lines a second for warnings and errors, beside the routine ones.
const WARNING_BUDGET: u32 = 200;
/// Time for which the thread gathers lines: one wake-up and one write for many.
const GATHER: Duration = Duration::from_millis(100);

/// Lines of the present second.
#[derive(Debug)]
struct Second {
    began: Instant,
    routine: u32,
    warnings: u32,
}

/// Writes log records as JSON lines.
pub struct JsonLog {
    tx: SyncSender<String>,
    second: Mutex<Second>,
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
            second: Mutex::new(Second {
                began: Instant::now(),
                routine: 0,
                warnings: 0,
            }),
            dropped: AtomicU64::new(0),
        })
    }

    /// Whether the budget has room for a line; takes it.
    fn take(&self, level: Level) -> bool {
        let mut second = self.second.lock().unwrap_or_else(PoisonError::into_inner);
        if second.began.elapsed() >= Duration::from_secs(1) {
            second.began = Instant::now();
            second.routine = 0;
            second.warnings = 0;
        }
        let (used, budget) = if level <= Level::Warn {
            (&mut second.warnings, WARNING_BUDGET)
        } else {
            (&mut second.routine, ROUTINE_BUDGET)
        };
        *used += 1;
        *used <= budget
    }

    fn send(&self, line: String) {
        if self.tx.try_send(line).is_err() {
            self.dropped.fetch_add(1, Ordering::Relaxed);
        }
    }
}

impl LogWriter for JsonLog {
    fn write(&self, now: &mut DeferredNow, record: &Record<'_>) -> io::Result<()> {
        if !self.take(record.level()) {
            self.dropped.fetch_add(1, Ordering::Relaxed);
            return Ok(());
        }
        let dropped = self.dropped.swap(0, Ordering::Relaxed);
        let time = now.format_rfc3339();
        self.send(to_json(&time, record, dropped));
        Ok(())
    }

    fn flush(&self) -> io::Result<()> {
        Ok(())
    }
}

/// One record as a line of JSON. Events bring their own fields; other records have a message.
fn to_json(time: &str, record: &Record<'_>, dropped: u64) -> String {
    let mut fields = Fields(BTreeMap::new());
    if let Err(e) = record.key_values().visit(&mut fields) {
        fields.0.insert("fields_error".to_owned(), e.to_string().into());
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
        let value = match text.parse::<u64>() {
            Ok(number) => number.into(),
            Err(_) => text.into(),
        };
        self.0.insert(key.as_str().to_owned(), value);
        Ok(())
    }
}

fn write_lines(rx: &Receiver<String>) {
    let mut out = io::stdout();
    let mut buf = String::new();
    while let Ok(first) = rx.recv() {
        thread::sleep(GATHER);
        buf.clear();
        buf.push_str(&first);
        buf.push('\n');
        for line in rx.try_iter() {
            buf.push_str(&line);
            buf.push('\n');
        }
        // Nobody is left who could be told that the output is gone.
        let _outcome = out.write_all(buf.as_bytes()).and_then(|()| out.flush());
    }
}

#[cfg(test)]
#[path = "json_log_tests.rs"]
mod tests;
