//! Measures how the cost of a fleet grows with its sizes, for docs/CAPACITY.md.
//!
//! `cargo run --release --example slopes -- PART [SIZE...]`, where PART is `hosts`, `backlog`,
//! `requests`, `entries`, `streams`, `configuration`, `accounts`, `changes`, `connections`, `open` or `roles`. The last five start real
//! daemons, built by `cargo build --release --bins`, so that each role is measured by itself; in the
//! others every host and stand-in of a fleet runs in this one process. All over loopback. Processor
//! figures are user and system time, which other programs on the machine disturb less than the clock
//! on the wall.

mod backlog;
mod caller;
mod configuration;
mod daemons;
mod fleets;
mod hosts;
mod process;
mod requests;
mod roles;
mod streams;

use std::error::Error;
use std::process::ExitCode;

fn main() -> ExitCode {
    let mut args = std::env::args().skip(1);
    let part = args.next().unwrap_or_default();
    let sizes: Vec<String> = args.collect();
    match run(&part, &sizes) {
        Ok(()) => ExitCode::SUCCESS,
        Err(e) => {
            eprintln!("error: {e}");
            ExitCode::FAILURE
        }
    }
}

fn run(part: &str, sizes: &[String]) -> Result<(), Box<dyn Error>> {
    match part {
        "hosts" => hosts::run(&numbers(sizes, &[12, 24, 48, 96]))?,
        "backlog" => backlog::run(&numbers(sizes, &[64, 128, 256, 570]))?,
        "requests" => requests::run(&numbers(sizes, &[1, 32, 128, 256]))?,
        "entries" => requests::entries(&numbers(sizes, &[1, 2, 4, 8]))?,
        "streams" => streams::run(&numbers(sizes, &[250, 500, 1000]))?,
        "accounts" => roles::accounts(&numbers(sizes, &[100, 1000, 5700]))?,
        "changes" => roles::changes(&numbers(sizes, &[0, 10, 30, 60]))?,
        "connections" => roles::connections(&numbers(sizes, &[4, 16, 64, 128]))?,
        "open" => roles::open_requests()?,
        "roles" => roles::requests()?,
        "configuration" => {
            let default = [(100, 12), (1000, 12), (5700, 12), (1000, 24), (1000, 48)];
            configuration::run(&pairs(sizes, &default))?;
        }
        _ => {
            let parts = "hosts, backlog, requests, entries, streams, configuration, accounts, changes, connections, open or roles";
            return Err(format!("give a part: {parts}").into());
        }
    }
    Ok(())
}

fn numbers(texts: &[String], default: &[usize]) -> Vec<usize> {
    let given: Vec<usize> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if given.is_empty() {
        default.to_vec()
    } else {
        given
    }
}

/// Sizes as `ACCOUNTSxHOSTS`.
fn pairs(texts: &[String], default: &[(usize, usize)]) -> Vec<(usize, usize)> {
    let pair = |text: &String| {
        let (accounts, hosts) = text.split_once('x')?;
        Some((accounts.parse().ok()?, hosts.parse().ok()?))
    };
    let given: Vec<_> = texts.iter().filter_map(pair).collect();
    if given.is_empty() {
        default.to_vec()
    } else {
        given
    }
}
