//! The commands: each parses its arguments and calls a function of `ops`.

mod access;

pub(crate) mod apply;
pub(crate) mod check;
pub(crate) mod demo;
pub(crate) mod evacuate;
pub(crate) mod explain;
pub(crate) mod keys;
pub(crate) mod load;
pub(crate) mod member;
pub(crate) mod status;
pub(crate) mod trace;

use std::error::Error;

use coltsfootnotch::ops::apply::ApplyOptions;
use coltsfootnotch::ops::check::CheckOptions;
use coltsfootnotch::ops::status::StatusOptions;

/// A command with its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Command {
    /// `apply`.
    Apply(ApplyOptions),
    /// `check`.
    Check(CheckOptions),
    /// `demo`.
    Demo(demo::Args),
    /// `evacuate`.
    Evacuate(evacuate::Args),
    /// `explain`.
    Explain(explain::Args),
    /// `keys`.
    Keys(keys::Args),
    /// `load`.
    Load(load::Args),
    /// `member`.
    Member(member::Args),
    /// `status`.
    Status(StatusOptions),
    /// `trace`.
    Trace(trace::Args),
}

/// Runs a command.
pub(crate) fn exec(command: Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::Apply(opts) => apply::exec(&opts),
        Command::Check(opts) => check::exec(&opts),
        Command::Demo(args) => demo::exec(&args),
        Command::Evacuate(args) => evacuate::exec(&args),
        Command::Explain(args) => explain::exec(&args),
        Command::Keys(args) => keys::exec(&args),
        Command::Load(args) => load::exec(&args),
        Command::Member(args) => member::exec(&args),
        Command::Status(opts) => status::exec(&opts),
        Command::Trace(args) => trace::exec(&args),
    }
}
