//! The commands, their errors and their exit codes.

use std::error::Error;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use coltsfootnotch::ops::error::{FailureKind, OpsError};
use coltsfootnotch::util::print_causes;

use crate::commands::{self, Command};

/// The command did what it was asked.
pub(crate) const EXIT_OK: u8 = 0;
/// It failed, or `check` has findings. 2 is left to the daemon.
pub(crate) const EXIT_FAILED: u8 = 1;
/// The control group refused it: a conflict, a stale number, or a change of members.
pub(crate) const EXIT_REFUSED: u8 = 3;
/// Nobody answered, or the configuration is not in force everywhere in time.
pub(crate) const EXIT_UNANSWERED: u8 = 4;

fn options() -> OptionParser<Command> {
    let apply = commands::apply::cli();
    let check = commands::check::cli();
    let demo = commands::demo::cli();
    let explain = commands::explain::cli();
    let keys = commands::keys::cli();
    let load = commands::load::cli();
    let member = commands::member::cli();
    let status = commands::status::cli();
    let trace = commands::trace::cli();
    construct!([
        apply, check, demo, explain, keys, load, member, status, trace
    ])
    .to_options()
    .version(env!("CARGO_PKG_VERSION"))
    .descr("operates a coltsfootnotch fleet")
    .footer(
        "exit codes: 0 done, 1 failed or with findings, 3 refused by the control group, \
             4 no answer or not in force everywhere in time. Shell completion: source what \
             --bpaf-complete-style-bash (or -zsh, -fish, -elvish) prints.",
    )
}

/// Runs the command line.
pub(crate) fn main() -> ExitCode {
    let outcome = commands::exec(options().run());
    match outcome {
        Ok(()) => ExitCode::from(EXIT_OK),
        Err(e) => {
            report(e.as_ref());
            ExitCode::from(exit_code(e.as_ref()))
        }
    }
}

fn exit_code(error: &(dyn Error + 'static)) -> u8 {
    let kind = error.downcast_ref().map(OpsError::kind);
    match kind {
        None | Some(FailureKind::Failed) => EXIT_FAILED,
        Some(FailureKind::Refused) => EXIT_REFUSED,
        Some(FailureKind::Unanswered) => EXIT_UNANSWERED,
    }
}

/// Prints an error with the chain of its causes, and what to do about it.
fn report(error: &(dyn Error + 'static)) {
    print_causes(error);
    if let Some(help) = error.downcast_ref().and_then(OpsError::help) {
        eprintln!("help: {help}");
    }
}
