//! The record of a case: what was sent, answered and run, with the time since the start.

use std::fs::File;
use std::io::{BufWriter, Write};
use std::path::Path;
use std::sync::Mutex;
use std::time::{Duration, Instant};

/// Writes lines with the time since the start of the case.
pub struct Record {
    start: Instant,
    out: Mutex<BufWriter<File>>,
}

impl Record {
    /// Creates the file, or replaces that of an earlier run.
    pub fn create(path: &Path) -> std::io::Result<Self> {
        Ok(Self {
            start: Instant::now(),
            out: Mutex::new(BufWriter::new(File::create(path)?)),
        })
    }

    /// Time since the start of the case.
    pub fn now(&self) -> Duration {
        self.start.elapsed()
    }

    /// Writes a line; returns the time that it states.
    pub fn note(&self, text: impl AsRef<str>) -> Duration {
        let now = self.now();
        let mut out = self.out.lock().unwrap_or_else(|e| e.into_inner());
        let _written = writeln!(out, "{:9.4} {}", now.as_secs_f64(), text.as_ref());
        now
    }

    /// Writes what is buffered to the file.
    pub fn flush(&self) {
        let mut out = self.out.lock().unwrap_or_else(|e| e.into_inner());
        let _flushed = out.flush();
    }
}
