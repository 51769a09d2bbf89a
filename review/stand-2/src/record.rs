//! The record of a case: what was sent, answered and run, in order.

use std::fs::File;
use std::io::{self, Write};
use std::path::Path;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// A record that all threads of a case write to.
#[derive(Clone)]
pub struct Record {
    began: Instant,
    file: Arc<Mutex<File>>,
}

impl Record {
    /// Begins a record in a new file.
    pub fn create(path: &Path) -> io::Result<Self> {
        Ok(Self {
            began: Instant::now(),
            file: Arc::new(Mutex::new(File::create(path)?)),
        })
    }

    /// Time since the record began.
    pub fn now(&self) -> Duration {
        self.began.elapsed()
    }

    /// Writes a line with the current time.
    pub fn line(&self, text: impl AsRef<str>) {
        let seconds = self.now().as_secs_f64();
        let line = format!("{seconds:8.3} s  {}\n", text.as_ref());
        // The record is for the reader; the verdict doesn't depend on it.
        let _written = lock(&self.file).write_all(line.as_bytes());
    }
}

/// Locks a mutex, also after a panic of another thread.
pub fn lock<T>(mutex: &Mutex<T>) -> MutexGuard<'_, T> {
    mutex.lock().unwrap_or_else(PoisonError::into_inner)
}
