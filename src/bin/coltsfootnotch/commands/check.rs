//! `coltsfootnotch check`.

use std::error::Error;
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use coltsfootnotch::ops::check::{CheckOptions, check};
use coltsfootnotch_manifest::TextKind;

use super::Command;
use super::access::json;

pub(crate) fn cli() -> impl Parser<Command> {
    let kind = long("kind")
        .help("kind of the files, settings or manifest; detected from their keys by default")
        .argument::<TextKind>("KIND")
        .optional();
    let json = json();
    let files = positional::<PathBuf>("FILE")
        .help("settings and manifests")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .some("name at least one file");
    construct!(CheckOptions { kind, json, files })
        .map(Command::Check)
        .to_options()
        .descr("reports all findings of settings and manifests")
        .command("check")
}

pub(crate) fn exec(opts: &CheckOptions) -> Result<(), Box<dyn Error>> {
    Ok(check(opts, &mut std::io::stdout().lock())?)
}
