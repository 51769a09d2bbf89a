//! One `coltsfootnotchd` process.

use std::fs::OpenOptions;
use std::path::{Path, PathBuf};
use std::process::{Child, Command, Stdio};
use std::time::{Duration, Instant};

/// Longest wait for anything; only a test that fails waits that long.
pub(crate) const PATIENCE: Duration = Duration::from_secs(30);

/// Waits until `holds` does.
#[track_caller]
pub(crate) fn wait_until(what: &str, mut holds: impl FnMut() -> bool) {
    let until = Instant::now() + PATIENCE;
    while !holds() {
        assert!(Instant::now() < until, "not in time: {what}");
        std::thread::sleep(Duration::from_millis(20));
    }
}

/// A signal, by the name that `kill` takes.
#[derive(Debug, Clone, Copy)]
pub(crate) enum Signal {
    Term,
    Stop,
    Continue,
}

impl Signal {
    fn name(self) -> &'static str {
        match self {
            Self::Term => "-TERM",
            Self::Stop => "-STOP",
            Self::Continue => "-CONT",
        }
    }
}

/// A daemon that runs or has run; it is killed on drop.
pub(crate) struct Daemon {
    pub(crate) host: String,
    settings: PathBuf,
    log: PathBuf,
    child: Option<Child>,
}

impl Daemon {
    /// A daemon that is not started yet; it logs to `<host>.log` in `folder`.
    pub(crate) fn new(host: &str, settings: PathBuf, folder: &Path) -> Self {
        Self {
            host: host.to_owned(),
            settings,
            log: folder.join(format!("{host}.log")),
            child: None,
        }
    }

    pub(crate) fn start(&mut self) {
        assert!(self.child.is_none(), "{} runs", self.host);
        let mut options = OpenOptions::new();
        let log = options.create(true).append(true).open(&self.log);
        let child = Command::new(env!("CARGO_BIN_EXE_coltsfootnotchd"))
            .arg("--settings")
            .arg(&self.settings)
            .stdin(Stdio::null())
            .stdout(Stdio::null())
            .stderr(log.expect("a log file"))
            .spawn();
        self.child = Some(child.expect("a process"));
    }

    pub(crate) fn is_running(&self) -> bool {
        self.child.is_some()
    }

    pub(crate) fn signal(&self, signal: Signal) {
        let child = self.child.as_ref().expect("a running process");
        let status = Command::new("kill")
            .arg(signal.name())
            .arg(child.id().to_string())
            .status();
        assert!(status.expect("kill runs").success(), "kill {}", self.host);
    }

    /// Ends the process at once.
    pub(crate) fn kill(&mut self) {
        if let Some(mut child) = self.child.take() {
            child.kill().expect("the process is killed");
            child.wait().expect("the process ends");
        }
    }

    /// Waits for the process to end; its exit code.
    #[track_caller]
    pub(crate) fn wait(&mut self) -> i32 {
        let mut child = self.child.take().expect("a running process");
        let until = Instant::now() + PATIENCE;
        loop {
            if let Some(status) = child.try_wait().expect("a status") {
                return status.code().expect("an exit code");
            }
            if Instant::now() >= until {
                child.kill().expect("the process is killed");
                child.wait().expect("the process ends");
                panic!("{} did not end; its log:\n{}", self.host, self.log());
            }
            std::thread::sleep(Duration::from_millis(10));
        }
    }

    /// What it has logged, over all its runs.
    pub(crate) fn log(&self) -> String {
        std::fs::read_to_string(&self.log).unwrap_or_default()
    }
}

impl Drop for Daemon {
    fn drop(&mut self) {
        if let Some(mut child) = self.child.take() {
            // It may have ended by itself; either way it must not outlive the test.
            let _ = child.kill();
            let _ = child.wait();
        }
        if std::thread::panicking() {
            eprintln!("--- log of {}\n{}", self.host, self.log());
        }
    }
}
