//! `coltsfootnotch status`.

use std::error::Error;

use bpaf::{Parser, construct};
use coltsfootnotch::ops::status::{StatusOptions, status};

use super::Command;
use super::access::{access, json};

pub(crate) fn cli() -> impl Parser<Command> {
    let json = json();
    let access = access();
    construct!(StatusOptions { json, access })
        .map(Command::Status)
        .to_options()
        .descr(
            "prints control hosts, hosts, upstreams, client accounts and configurations in force",
        )
        .command("status")
}

pub(crate) fn exec(opts: &StatusOptions) -> Result<(), Box<dyn Error>> {
    Ok(status(opts, &mut std::io::stdout().lock())?)
}
