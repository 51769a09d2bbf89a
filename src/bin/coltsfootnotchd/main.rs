//! `coltsfootnotchd`: the daemon; its settings give its role.

mod cli;

use std::process::ExitCode;

fn main() -> ExitCode {
    cli::main()
}
