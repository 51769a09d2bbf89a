//! Arguments for connecting to the control group.

use std::path::PathBuf;
use std::time::Duration;

use bpaf::{Parser, construct, long};
use coltsfootnotch::ops::access::{Access, ControlArg};

/// Default timeout in seconds: longer than an election and a reconnection.
const DEFAULT_TIMEOUT_S: u64 = 20;

/// Parses `--settings`, `--control`, `--keys`, `--without-keys` and `--timeout`.
pub(crate) fn access() -> impl Parser<Access> {
    let settings = long("settings")
        .help("settings of any host of the fleet, with the control hosts and the keys")
        .argument::<PathBuf>("FILE")
        .complete_shell(bpaf::ShellComp::File { mask: None })
        .optional();
    let control = long("control")
        .help("a control host; may be given several times, overrides --settings")
        .argument::<ControlArg>("HOST=IP:PORT")
        .many();
    let keys = long("keys")
        .help("folder with ca.pem, operator.pem and operator.key; overrides --settings")
        .argument::<PathBuf>("DIR")
        .complete_shell(bpaf::ShellComp::Dir { mask: None })
        .optional();
    let without_keys = long("without-keys")
        .help("the fleet has no authority and accepts any key, as on the users' platform")
        .switch();
    let timeout = long("timeout")
        .help("maximum time to wait for the fleet, in seconds")
        .argument::<u64>("S")
        .fallback(DEFAULT_TIMEOUT_S)
        .display_fallback()
        .map(Duration::from_secs);
    construct!(Access {
        settings,
        control,
        keys,
        without_keys,
        timeout
    })
}

/// Parses `--json`.
pub(crate) fn json() -> impl Parser<bool> {
    long("json").help("print JSON").switch()
}
