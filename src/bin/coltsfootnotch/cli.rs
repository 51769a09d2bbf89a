//! Command line: options, error reports and exit codes.

use std::error::Error;
use std::process::ExitCode;

use bpaf::{OptionParser, Parser, construct};
use coltsfootnotch::ops::error::{FailureKind, OpsError};
use coltsfootnotch::util::print_causes;

use crate::commands::{self, Command};

/// The command succeeded.
pub(crate) const EXIT_OK: u8 = 0;
/// The command failed, or `check` has findings. Exit code 2 is used by the daemon only.
pub(crate) const EXIT_FAILED: u8 = 1;
/// The control group refused the command: a conflict, a stale number, or a membership change.
pub(crate) const EXIT_REFUSED: u8 = 3;
/// There was no answer, or the configuration was not in force everywhere in time.
pub(crate) const EXIT_UNANSWERED: u8 = 4;

fn options() -> OptionParser<Command> {
    let apply = commands::apply::cli();
    let check = commands::check::cli();
    let demo = commands::demo::cli();
    let evacuate = commands::evacuate::cli();
    let explain = commands::explain::cli();
    let keys = commands::keys::cli();
    let load = commands::load::cli();
    let member = commands::member::cli();
    let status = commands::status::cli();
    let trace = commands::trace::cli();
    construct!([
        apply, check, demo, evacuate, explain, keys, load, member, status, trace
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

/// Parses the command line and runs the command.
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

/// Prints an error, the chain of its causes and a suggestion.
fn report(error: &(dyn Error + 'static)) {
    print_causes(error);
    if let Some(help) = error.downcast_ref().and_then(OpsError::help) {
        eprintln!("help: {help}");
    }
}
