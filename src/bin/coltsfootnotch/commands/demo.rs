//! `coltsfootnotch demo`.

use std::error::Error;

use bpaf::{Parser, construct, long};
use coltsfootnotch::ops::demo::{DemoOptions, demo};

use super::Command;

#[derive(Debug, Clone)]
pub(crate) struct Args {
    once: bool,
    seed: u64,
}

pub(crate) fn cli() -> impl Parser<Command> {
    let once = long("once")
        .help("exit after the results have been printed")
        .switch();
    let seed = long("seed")
        .help("seed of the random numbers")
        .argument("N")
        .fallback(1);
    construct!(Args { once, seed })
        .map(Command::Demo)
        .to_options()
        .descr("runs a small fleet in this process and sends it a few requests")
        .command("demo")
}

pub(crate) fn exec(args: &Args) -> Result<(), Box<dyn Error>> {
    let opts = DemoOptions {
        once: args.once,
        seed: args.seed,
    };
    demo(&opts, &mut std::io::stdout().lock(), wait_for_interrupt)?;
    Ok(())
}

fn wait_for_interrupt() {
    let runtime = tokio::runtime::Builder::new_current_thread()
        .enable_all()
        .build();
    if let Ok(runtime) = runtime {
        // If the handler can't be installed, the signal terminates the process.
        let _interrupted = runtime.block_on(tokio::signal::ctrl_c());
    }
}
