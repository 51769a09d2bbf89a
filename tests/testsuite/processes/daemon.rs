//! Starts, signals and stops a `coltsfootnotchd` process.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Timeout of every wait; reached by failing tests only.
pub(crate) const WAIT_TIMEOUT: Duration = Duration::from_secs(30);

/// Waits until `condition` holds.
#[track_caller]
pub(crate) fn wait_until(what: &str, mut condition: impl FnMut() -> bool) {
    let deadline = Instant::now() + WAIT_TIMEOUT;
    while !condition() {
        assert!(Instant::now() < deadline, "timed out: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A signal to a process.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Signal {
    Term,
    Stop,
    Continue,
}

impl Signal {
    /// Argument of the `kill` command.
    fn kill_argument(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A daemon process, which is killed on drop.
pub(crate) struct Daemon {
    pub(crate) host: String,
    settings: PathBuf,
    log: PathBuf,
    pub(crate) child: Option<Child>,
}

impl Daemon {
    /// Returns a daemon that is not started yet and logs to `<host>.log` in `folder`.
    pub(crate) fn new(host: &str, settings: PathBuf, folder: &Path) -> Self {
        Self {
            host: host.to_owned(),
            settings,
            log: folder.join(format!("{host}.log")),
            child: None,
        }
    }

    pub(crate) fn start(&mut self) {
        assert!(self.child.is_none(), "{} is already running", self.host);
        let mut options = OpenOptions::new();
        let log = options.create(true).append(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_coltsfootnotchd"))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("the log file is opened"))
            .spawn();
        self.child = Some(child.expect("the process starts"));
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("the process is running");
        let status = Command::new("kill")
            .arg(signal.kill_argument())
            .arg(child.id().to_string())
            .status();
        assert!(
            status.expect("kill runs").success(),
            "kill {} failed",
            self.host
        );
    }

    /// Kills the process and waits for it.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process is killed");
            child.wait().expect("the process exits");
        }
    }

    /// Waits for the process to exit; returns its exit code.
    #[track_caller]
    pub(crate) fn wait(&mut self) -> i32 {
        let mut child = self.child.take().expect("the process is running");
        let deadline = Instant::now() + WAIT_TIMEOUT;
        loop {
            if let Some(status) = child.try_wait().expect("the status is available") {
                return status.code().expect("the process exits with a code");
            }
            if Instant::now() >= deadline {
                child.kill().expect("the process is killed");
                child.wait().expect("the process exits");
                panic!("{} did not exit; its log:\n{}", self.host, self.log());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// Returns what the daemon has logged, over all its runs.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // The process must not outlive the test; errors mean that it has exited already.
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            eprintln!("--- log of {}\n{}", self.host, self.log());
        }
    }
}
