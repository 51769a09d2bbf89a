//! Child processes and the signals sent to them.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use coltsfootnotch_platform_peers::SETTINGS_ENV;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

/// Polling interval of [`wait_until`].
const POLL_INTERVAL: Duration = Duration::from_millis(20);

/// A child process that is killed when dropped.
#[derive(Debug)]
pub struct Process {
    binary: PathBuf,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// Number of exits without a preceding kill or stop signal.
    pub unexpected_exits: u32,
    is_stop_requested: bool,
}

impl Process {
    /// Starts a role of the platform's program with a settings file; its output is appended to `log`.
    ///
    /// # Errors
    /// Returns an error when the process can't be started.
    pub fn start(
        binary: &Path,
        role: &'static str,
        settings: PathBuf,
        log: PathBuf,
    ) -> io::Result<Self> {
        let mut process = Self {
            binary: binary.to_owned(),
            role,
            settings,
            log,
            child: None,
            unexpected_exits: 0,
            is_stop_requested: false,
        };
        process.ensure_running()?;
        Ok(process)
    }

    /// Returns the resident memory in megabytes; none while the process isn't running.
    #[must_use]
    pub fn memory_mb(&self) -> Option<u64> {
        let child = self.child.as_ref()?;
        let status = std::fs::read_to_string(format!("/proc/{}/status", child.id())).ok()?;
        let line = status
            .lines()
            .find_map(|line| line.strip_prefix("VmRSS:"))?;
        let kb: u64 = line.split_whitespace().next()?.parse().ok()?;
        Some(kb / 1_000)
    }

    /// Starts the process if it isn't running.
    ///
    /// # Errors
    /// Returns an error when the process can't be started.
    pub fn ensure_running(&mut self) -> io::Result<()> {
        self.reap()?;
        if self.child.is_some() {
            return Ok(());
        }
        let log = File::options().create(true).append(true).open(&self.log)?;
        let child = Command::new(&self.binary)
            .arg(self.role)
            .env(SETTINGS_ENV, &self.settings)
            .stdin(Stdio::null())
            .stderr(log.try_clone()?)
            .stdout(log)
            .spawn()?;
        self.child = Some(child);
        self.is_stop_requested = false;
        Ok(())
    }

    /// Returns whether the process is running.
    ///
    /// # Errors
    /// Returns an error when the system doesn't report the status.
    pub fn is_running(&mut self) -> io::Result<bool> {
        self.reap()?;
        Ok(self.child.is_some())
    }

    /// Kills the process and waits until it has exited.
    ///
    /// # Errors
    /// Returns an error when the signal can't be sent.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Pauses or resumes the process.
    ///
    /// # Errors
    /// Returns an error when the signal can't be sent.
    pub fn set_paused(&mut self, paused: bool) -> io::Result<()> {
        self.signal(if paused { Signal::STOP } else { Signal::CONT })
    }

    /// Sends the signal to reload settings.
    ///
    /// # Errors
    /// Returns an error when the signal can't be sent.
    pub fn reload(&mut self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Whether the running process was told to stop.
    #[must_use]
    pub fn is_stop_requested(&self) -> bool {
        self.is_stop_requested
    }

    /// Sends the signal to stop gracefully.
    ///
    /// # Errors
    /// Returns an error when the signal can't be sent.
    pub fn request_stop(&mut self) -> io::Result<()> {
        self.is_stop_requested = true;
        self.signal(Signal::TERM)
    }

    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        self.reap()?;
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::InvalidData)?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Reaps the process if it has exited.
    fn reap(&mut self) -> io::Result<()> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        if child.try_wait()?.is_some() {
            self.child = None;
            self.unexpected_exits += u32::from(!self.is_stop_requested);
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(e) = self.kill() {
            eprintln!("failed to kill a process: {e}");
        }
    }
}

/// Waits until the condition holds, for at most `within`; returns whether it did.
pub async fn wait_until(within: Duration, mut condition: impl FnMut() -> bool) -> bool {
    let end = tokio::time::Instant::now() + within;
    while !condition() {
        if tokio::time::Instant::now() >= end {
            return false;
        }
        sleep(POLL_INTERVAL).await;
    }
    true
}
