//! `coltsfootnotch evacuate`.

use std::error::Error;

use bpaf::{Parser, construct, positional};
use coltsfootnotch::ops::access::Access;
use coltsfootnotch::ops::evacuate::evacuate;
use coltsfootnotch_types::prelude::*;

use super::Command;
use super::access::access;

#[derive(Debug, Clone)]
pub(crate) struct Args {
    access: Access,
    domain: DomainName,
    evacuated: bool,
}

pub(crate) fn cli() -> impl Parser<Command> {
    let start = order(
        "start",
        "sends nothing more to the upstreams of a domain",
        true,
    );
    let end = order(
        "end",
        "makes the upstreams of a domain available again",
        false,
    );
    construct!([start, end])
        .map(Command::Evacuate)
        .to_options()
        .descr("evacuates a failure domain")
        .command("evacuate")
}

fn order(name: &'static str, descr: &'static str, evacuated: bool) -> impl Parser<Args> {
    let access = access();
    let domain = positional::<String>("DOMAIN")
        .help("the failure domain")
        .parse(DomainName::new);
    construct!(access, domain)
        .map(move |(access, domain)| Args {
            access,
            domain,
            evacuated,
        })
        .to_options()
        .descr(descr)
        .command(name)
}

pub(crate) fn exec(args: &Args) -> Result<(), Box<dyn Error>> {
    let out = &mut std::io::stdout().lock();
    Ok(evacuate(&args.access, &args.domain, args.evacuated, out)?)
}
