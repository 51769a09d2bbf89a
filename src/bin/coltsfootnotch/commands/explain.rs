//! `coltsfootnotch explain`.

use std::error::Error;

use bpaf::{Parser, construct, positional};
use coltsfootnotch::ops::explain::explain;
use coltsfootnotch::util::events::{CATALOGUE, EventDef};

use super::Command;

#[derive(Debug, Clone)]
pub(crate) struct Args {
    code: String,
}

pub(crate) fn cli() -> impl Parser<Command> {
    let code = positional::<String>("CODE")
        .help("number of the event, such as CFN-0020")
        .complete(|start: &String| completions(start));
    construct!(Args { code })
        .map(Command::Explain)
        .to_options()
        .descr("says what an event of the log means and what to do about it")
        .command("explain")
}

fn completions(start: &str) -> Vec<(String, Option<String>)> {
    let events = CATALOGUE.iter().copied();
    let named = events.map(|event: &'static EventDef| (event.code(), Some(event.text.to_owned())));
    named.filter(|(code, _)| code.starts_with(start)).collect()
}

pub(crate) fn exec(args: &Args) -> Result<(), Box<dyn Error>> {
    Ok(explain(&args.code, &mut std::io::stdout().lock())?)
}
