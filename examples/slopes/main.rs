//! Measures how the cost of a fleet grows with its size, for docs/CAPACITY.md.
//!
//! `cargo run --release --example slopes -- PART [SIZE...]`, where PART is `hosts`, `backlog`,
//! `requests`, `entries`, `streams`, `configuration`, `accounts`, `changes`, `connections`, `open`
//! or `roles`. The last five start daemon processes, built by `cargo build --release --bins`, and
//! measure each role separately; in the others all hosts and stand-ins run in this process. Traffic
//! uses loopback; CPU time is user and system time, which other load affects less than wall time.

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
        "hosts" => hosts::run(&parse_numbers(sizes, &[12, 24, 48, 96]))?,
        "backlog" => backlog::run(&parse_numbers(sizes, &[64, 128, 256, 570]))?,
        "requests" => requests::run(&parse_numbers(sizes, &[1, 32, 128, 256]))?,
        "entries" => requests::entries(&parse_numbers(sizes, &[1, 2, 4, 8]))?,
        "streams" => streams::run(&parse_numbers(sizes, &[250, 500, 1000]))?,
        "accounts" => roles::accounts(&parse_numbers(sizes, &[100, 1000, 5700]))?,
        "changes" => roles::changes(&parse_numbers(sizes, &[0, 10, 30, 60]))?,
        "connections" => roles::connections(&parse_numbers(sizes, &[4, 16, 64, 128]))?,
        "open" => roles::open_requests()?,
        "roles" => roles::requests()?,
        "configuration" => {
            let default = [(100, 12), (1000, 12), (5700, 12), (1000, 24), (1000, 48)];
            configuration::run(&parse_pairs(sizes, &default))?;
        }
        _ => {
            let parts = "hosts, backlog, requests, entries, streams, configuration, accounts, changes, connections, open or roles";
            return Err(format!("unknown part; expected {parts}").into());
        }
    }
    Ok(())
}

fn parse_numbers(texts: &[String], default: &[usize]) -> Vec<usize> {
    let parsed: Vec<usize> = texts.iter().filter_map(|text| text.parse().ok()).collect();
    if parsed.is_empty() {
        default.to_vec()
    } else {
        parsed
    }
}

/// Parses sizes given as `ACCOUNTSxHOSTS`.
fn parse_pairs(texts: &[String], default: &[(usize, usize)]) -> Vec<(usize, usize)> {
    let pair = |text: &String| {
        let (accounts, hosts) = text.split_once('x')?;
        Some((accounts.parse().ok()?, hosts.parse().ok()?))
    };
    let parsed: Vec<_> = texts.iter().filter_map(pair).collect();
    if parsed.is_empty() {
        default.to_vec()
    } else {
        parsed
    }
}
