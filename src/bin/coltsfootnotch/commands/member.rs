//! `coltsfootnotch member`.

use std::error::Error;

use bpaf::{Parser, construct, long, positional};
use coltsfootnotch::ops::access::Access;
use coltsfootnotch::ops::member::{MemberChange, member};
use coltsfootnotch_types::prelude::*;

use super::Command;
use super::access::access;

#[derive(Debug, Clone)]
pub(crate) struct Args {
    access: Access,
    change: MemberChange,
}

pub(crate) fn cli() -> impl Parser<Command> {
    let add = add();
    let remove = remove();
    let replace = replace();
    construct!([add, remove, replace])
        .map(Command::Member)
        .to_options()
        .descr("changes the control group, one member at a time")
        .command("member")
}

fn add() -> impl Parser<Args> {
    let access = access();
    let host = host("the new member; its daemon runs with an empty data folder");
    construct!(access, host)
        .map(|(access, host)| Args {
            access,
            change: MemberChange::Add { host },
        })
        .to_options()
        .descr("adds a control host")
        .command("add")
}

fn remove() -> impl Parser<Args> {
    let access = access();
    let host = host("the host whose member is removed");
    construct!(access, host)
        .map(|(access, host)| Args {
            access,
            change: MemberChange::Remove { host },
        })
        .to_options()
        .descr("removes a control host")
        .command("remove")
}

fn replace() -> impl Parser<Args> {
    let access = access();
    let with = long("with")
        .help("the new member; by default the host itself, with an empty data folder")
        .argument::<String>("HOST")
        .parse(HostName::new)
        .optional();
    let host = host("the host whose member is removed once the new member has caught up");
    construct!(access, with, host)
        .map(|(access, with, host)| {
            let with = with.unwrap_or_else(|| host.clone());
            Args {
                access,
                change: MemberChange::Replace { host, with },
            }
        })
        .to_options()
        .descr("replaces a control host by another, or by itself after its disk was lost")
        .command("replace")
}

fn host(help: &'static str) -> impl Parser<HostName> {
    positional::<String>("HOST").help(help).parse(HostName::new)
}

pub(crate) fn exec(args: &Args) -> Result<(), Box<dyn Error>> {
    let out = &mut std::io::stdout().lock();
    Ok(member(&args.access, &args.change, out)?)
}
