//! `coltsfootnotchd`: the daemon, whose role is given by its settings.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
