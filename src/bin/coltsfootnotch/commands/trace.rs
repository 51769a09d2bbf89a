//! `coltsfootnotch trace`.

use std::error::Error;
use std::path::PathBuf;

use bpaf::{Parser, construct, positional};
use coltsfootnotch::ops::trace::trace;

use super::Command;

#[derive(Debug, Clone)]
pub(crate) struct Args {
    id: String,
    files: Vec<PathBuf>,
}

pub(crate) fn cli() -> impl Parser<Command> {
    let id = positional::<String>("ID").help("ID of the request, as its caller sent it");
    let files = positional::<PathBuf>("FILE")
        .help("logs of any number of hosts")
        .some("name at least one log");
    construct!(Args { id, files })
        .map(Command::Trace)
        .to_options()
        .descr("finds the cause of a request's outcome in the logs of entries and control hosts")
        .command("trace")
}

pub(crate) fn exec(args: &Args) -> Result<(), Box<dyn Error>> {
    Ok(trace(&args.id, &args.files, &mut std::io::stdout().lock())?)
}
