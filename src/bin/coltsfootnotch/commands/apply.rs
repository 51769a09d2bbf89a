//! `coltsfootnotch apply`.

use std::error::Error;
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use coltsfootnotch::ops::apply::{ApplyOptions, apply};

use super::Command;
use super::access::{access, json};

pub(crate) fn cli() -> impl Parser<Command> {
    let wait = long("wait")
        .help("wait until every live host has it in force")
        .switch();
    let json = json();
    let access = access();
    let manifest = positional::<PathBuf>("MANIFEST")
        .help("the manifest")
        .complete_shell(bpaf::ShellComp::File { mask: None });
    construct!(ApplyOptions {
        wait,
        json,
        access,
        manifest
    })
    .map(Command::Apply)
    .to_options()
    .descr("applies a manifest; accepted means durable on a majority of the control hosts")
    .command("apply")
}

pub(crate) fn exec(opts: &ApplyOptions) -> Result<(), Box<dyn Error>> {
    Ok(apply(opts, &mut std::io::stdout().lock())?)
}
