//! The commands: each reads its arguments and calls one function of `ops`.

pub(crate) mod demo;
pub(crate) mod load;

use std::error::Error;

/// A command with its arguments.
#[derive(Debug, Clone)]
pub(crate) enum Command {
    /// `demo`.
    Demo(demo::Args),
    /// `load`.
    Load(load::Args),
}

/// Runs a command.
pub(crate) fn exec(command: Command) -> Result<(), Box<dyn Error>> {
    match command {
        Command::Demo(args) => demo::exec(&args),
        Command::Load(args) => load::exec(&args),
    }
}
