//! Arguments, logging and signal handling of the daemon.

use std::error::Error;
use std::path::PathBuf;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct, long};
use coltsfootnotch::ops::serve::{Daemon, ServeError, load_settings};
use coltsfootnotch::util::print_causes;
use coltsfootnotch_manifest::Log;
use flexi_logger::{FileSpec, Logger, LoggerHandle};
use tokio::signal::unix::{Signal, SignalKind, signal};

/// The daemon stopped gracefully.
const EXIT_OK: u8 = 0;
/// The daemon could not start, or stopped because of an error.
const EXIT_FAILED: u8 = 1;
/// A second signal stopped the daemon with work in progress.
const EXIT_FORCED: u8 = 2;
/// Maximum number of blocking threads; a request in progress may use one.
const BLOCKING_THREADS: usize = 4096;

#[derive(Debug, Clone)]
struct Args {
    settings: PathBuf,
}

fn options() -> OptionParser<Args> {
    let settings = long("settings")
        .help("settings of this host")
        .argument::<PathBuf>("FILE");
    construct!(Args { settings })
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("runs one host of a coltsfootnotch fleet")
        .footer("exit codes: 0 stopped, 1 failed, 2 stopped by a second signal")
}

/// Runs the daemon until it is stopped.
pub(crate) fn main() -> ExitCode {
    match run(&options().run()) {
        Ok(code) => ExitCode::from(code),
        Err(e) => {
            report(e.as_ref());
            ExitCode::from(EXIT_FAILED)
        }
    }
}

fn run(args: &Args) -> Result<u8, Box<dyn Error>> {
    let settings = load_settings(&args.settings)?;
    let _log = start_log(&settings.log)?;
    let runtime = tokio::runtime::Builder::new_multi_thread()
        .enable_all()
        .max_blocking_threads(BLOCKING_THREADS)
        .build()?;
    let mut signals = runtime.block_on(async { Signals::new() })?;
    let daemon = Daemon::start(&settings, runtime.handle(), &mut rand::rng())?;
    let stopper = daemon.stopper();
    let daemon_thread = std::thread::spawn(move || daemon.join());
    let code = runtime.block_on(async {
        tokio::select! {
            () = signals.next() => stopper(),
            () = wait_finished(&daemon_thread) => return EXIT_OK,
        }
        tokio::select! {
            () = signals.next() => EXIT_FORCED,
            () = wait_finished(&daemon_thread) => EXIT_OK,
        }
    });
    runtime.shutdown_background();
    if code == EXIT_FORCED {
        return Ok(code);
    }
    match daemon_thread.join() {
        Ok(outcome) => outcome.map_err(Box::<dyn Error>::from)?,
        Err(_) => return Err(ServeError::Panicked.into()),
    }
    Ok(code)
}

async fn wait_finished<T>(thread: &std::thread::JoinHandle<T>) {
    while !thread.is_finished() {
        tokio::time::sleep(std::time::Duration::from_millis(20)).await;
    }
}

struct Signals {
    terminate: Signal,
    interrupt: Signal,
}

impl Signals {
    fn new() -> std::io::Result<Self> {
        Ok(Self {
            terminate: signal(SignalKind::terminate())?,
            interrupt: signal(SignalKind::interrupt())?,
        })
    }

    async fn next(&mut self) {
        tokio::select! {
            _ = self.terminate.recv() => {}
            _ = self.interrupt.recv() => {}
        }
    }
}

fn start_log(log: &Log) -> Result<LoggerHandle, Box<dyn Error>> {
    // Libraries log at level warn, so that their lines do not hide the numbered events.
    let spec = format!("warn, coltsfootnotch={}", log.level);
    let logger = Logger::try_with_str(spec)?.format(format_line);
    let logger = match &log.file {
        Some(file) => logger.log_to_file(FileSpec::try_from(file)?).append(),
        None => logger.log_to_stderr(),
    };
    Ok(logger.start()?)
}

fn format_line(
    w: &mut dyn std::io::Write,
    now: &mut flexi_logger::DeferredNow,
    record: &log::Record<'_>,
) -> std::io::Result<()> {
    write!(
        w,
        "{} {} {}",
        now.format_rfc3339(),
        record.level(),
        record.args()
    )
}

fn report(error: &dyn Error) {
    print_causes(error);
    eprintln!("help: `coltsfootnotch check FILE` reports all findings of a settings file");
}
