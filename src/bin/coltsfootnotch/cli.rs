//! The commands, their errors and their exit codes.

use std::error::Error;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};

use crate::commands::{self, Command};

/// The command did what it was asked.
pub(crate) const EXIT_OK: u8 = 0;
/// It failed, or `check` has findings.
pub(crate) const EXIT_FAILED: u8 = 1;

fn options() -> OptionParser<Command> {
    let demo = commands::demo::cli();
    let load = commands::load::cli();
    construct!([demo, load])
        .to_options()
        .version(env!("CARGO_PKG_VERSION"))
        .descr("operates a coltsfootnotch fleet")
        .footer("exit codes: 0 done, 1 failed or with findings")
}

/// Runs the command line.
pub(crate) fn main() -> ExitCode {
    let outcome = commands::exec(options().run());
    match outcome {
        Ok(()) => ExitCode::from(EXIT_OK),
        Err(e) => {
            report(e.as_ref());
            ExitCode::from(EXIT_FAILED)
        }
    }
}

/// Prints an error with the chain of its causes.
fn report(error: &dyn Error) {
    eprintln!("error: {error}");
    let mut cause = error.source();
    while let Some(e) = cause {
        eprintln!("  caused by: {e}");
        cause = e.source();
    }
}
