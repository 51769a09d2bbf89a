//! One program as a process of its own, and signals to it.

use std::fs::File;
use std::io;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::Duration;

use coltsfootnotch_platform_peers::SETTINGS_ENV;
use rustix::process::{Pid, Signal, kill_process};
use tokio::time::sleep;

/// Between two looks whether a process has ended.
const LOOK_EVERY: Duration = Duration::from_millis(20);

/// One program as a process of its own; killed when dropped.
#[derive(Debug)]
pub struct Process {
    binary: PathBuf,
    role: &'static str,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
    /// How often it ended by itself, other than after a signal to stop.
    pub own_ends: u32,
    is_told_to_stop: bool,
}

impl Process {
    /// Starts a role of the platform's program with a settings file; its lines go to `log`.
    ///
    /// # Errors
    /// Returns an error when it can't be started.
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
            own_ends: 0,
            is_told_to_stop: false,
        };
        process.start_again()?;
        Ok(process)
    }

    /// Starts it again, if it does not run.
    ///
    /// # Errors
    /// Returns an error when it can't be started.
    pub fn start_again(&mut self) -> io::Result<()> {
        self.look()?;
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
        self.is_told_to_stop = false;
        Ok(())
    }

    /// Whether it runs.
    ///
    /// # Errors
    /// Returns an error when the system does not say.
    pub fn is_running(&mut self) -> io::Result<bool> {
        self.look()?;
        Ok(self.child.is_some())
    }

    /// Kills it and waits for its end.
    ///
    /// # Errors
    /// Returns an error when the system refuses.
    pub fn kill(&mut self) -> io::Result<()> {
        if let Some(mut child) = self.child.take() {
            child.kill()?;
            child.wait()?;
        }
        Ok(())
    }

    /// Lets it stand still, or go on.
    ///
    /// # Errors
    /// Returns an error when the system refuses.
    pub fn pause(&mut self, still: bool) -> io::Result<()> {
        self.signal(if still { Signal::STOP } else { Signal::CONT })
    }

    /// Tells it that its settings changed.
    ///
    /// # Errors
    /// Returns an error when the system refuses.
    pub fn hang_up(&mut self) -> io::Result<()> {
        self.signal(Signal::HUP)
    }

    /// Tells it to stop.
    ///
    /// # Errors
    /// Returns an error when the system refuses.
    pub fn tell_to_stop(&mut self) -> io::Result<()> {
        self.is_told_to_stop = true;
        self.signal(Signal::TERM)
    }

    fn signal(&mut self, signal: Signal) -> io::Result<()> {
        self.look()?;
        let Some(child) = &self.child else {
            return Ok(());
        };
        let pid = i32::try_from(child.id()).ok().and_then(Pid::from_raw);
        let pid = pid.ok_or(io::ErrorKind::InvalidData)?;
        kill_process(pid, signal)?;
        Ok(())
    }

    /// Notes whether it has ended meanwhile.
    fn look(&mut self) -> io::Result<()> {
        let Some(child) = &mut self.child else {
            return Ok(());
        };
        if child.try_wait()?.is_some() {
            self.child = None;
            self.own_ends += u32::from(!self.is_told_to_stop);
        }
        Ok(())
    }
}

impl Drop for Process {
    fn drop(&mut self) {
        if let Err(e) = self.kill() {
            eprintln!("a process can't be ended: {e}");
        }
    }
}

/// Waits until `is_so` says so, for at most `within`; whether it did.
pub async fn wait_until(within: Duration, mut is_so: impl FnMut() -> bool) -> bool {
    let end = tokio::time::Instant::now() + within;
    while !is_so() {
        if tokio::time::Instant::now() >= end {
            return false;
        }
        sleep(LOOK_EVERY).await;
    }
    true
}
