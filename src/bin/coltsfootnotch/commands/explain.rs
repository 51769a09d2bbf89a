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
        .help("code of the event, such as CFN-0020")
        .complete(|prefix: &String| completions(prefix));
    construct!(Args { code })
        .map(Command::Explain)
        .to_options()
        .descr("describes a log event and what to do about it")
        .command("explain")
}

fn completions(prefix: &str) -> Vec<(String, Option<String>)> {
    let events = CATALOGUE.iter().copied();
    let entries =
        events.map(|event: &'static EventDef| (event.code(), Some(event.text.to_owned())));
    entries
        .filter(|(code, _)| code.starts_with(prefix))
        .collect()
}

pub(crate) fn exec(args: &Args) -> Result<(), Box<dyn Error>> {
    Ok(explain(&args.code, &mut std::io::stdout().lock())?)
}
