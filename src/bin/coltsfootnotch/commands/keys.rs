//! `coltsfootnotch keys`.

use std::error::Error;
use std::path::PathBuf;

use bpaf::{Parser, construct, long, positional};
use coltsfootnotch::ops::keys::{init, issue, issue_for};
use coltsfootnotch_types::prelude::*;

use super::Command;

#[derive(Debug, Clone)]
pub(crate) enum Args {
    Init {
        force: bool,
        folder: PathBuf,
    },
    Issue {
        role: Role,
        host: HostName,
        force: bool,
        folder: PathBuf,
    },
    For {
        force: bool,
        paths: Vec<PathBuf>,
    },
}

pub(crate) fn cli() -> impl Parser<Command> {
    let init = init_args();
    let issue = issue_args();
    let for_settings = for_args();
    construct!([init, issue, for_settings])
        .map(Command::Keys)
        .to_options()
        .descr("issues the certificates by which the fleet's processes authenticate each other")
        .command("keys")
}

fn init_args() -> impl Parser<Args> {
    let force = force();
    let folder = folder();
    construct!(Args::Init { force, folder })
        .to_options()
        .descr("generates the fleet's authority and an operator's key")
        .command("init")
}

fn issue_args() -> impl Parser<Args> {
    let role = long("role")
        .help("entry, sidecar, control or operator")
        .argument::<String>("ROLE")
        .parse(|text| role(&text).ok_or("expected entry, sidecar, control or operator"));
    let host = long("host")
        .help("the host that the certificate names")
        .argument::<String>("HOST")
        .parse(HostName::new);
    let force = force();
    let folder = folder();
    construct!(Args::Issue {
        role,
        host,
        force,
        folder
    })
    .to_options()
    .descr("issues a key, signed by the authority in a folder")
    .command("issue")
}

fn for_args() -> impl Parser<Args> {
    let force = force();
    let paths = positional::<PathBuf>("PATH")
        .help("settings files, or folders of them")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .some("name at least one settings file or folder");
    construct!(Args::For { force, paths })
        .to_options()
        .descr("issues the keys that settings files name, generating the authority if needed")
        .command("for")
}

fn force() -> impl Parser<bool> {
    long("force").help("overwrite existing keys").switch()
}

fn folder() -> impl Parser<PathBuf> {
    positional::<PathBuf>("DIR")
        .help("folder of the keys")
        .complete_shell(bpaf::ShellComp::Dir { mask: None })
}

fn role(text: &str) -> Option<Role> {
    [Role::Entry, Role::Sidecar, Role::Control, Role::Operator]
        .into_iter()
        .find(|role| role.to_string() == text)
}

pub(crate) fn exec(args: &Args) -> Result<(), Box<dyn Error>> {
    let out = &mut std::io::stdout().lock();
    match args {
        Args::Init { force, folder } => init(folder, *force, out)?,
        Args::Issue {
            role,
            host,
            force,
            folder,
        } => issue(folder, *role, host, *force, out)?,
        Args::For { force, paths } => issue_for(paths, *force, out)?,
    }
    Ok(())
}
