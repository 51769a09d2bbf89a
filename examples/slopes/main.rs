//! Measures how the cost of a fleet grows with its sizes, for docs/CAPACITY.md.
//!
//! `cargo run --release --example slopes -- PART [SIZE...]`, where PART is `hosts`, `backlog`,
//! `requests`, `streams` or `configuration`. Every host and stand-in of a fleet runs in this one
//! process, over loopback. Processor figures are user and system time, which other programs on the
//! machine disturb less than the clock on the wall.

mod backlog;
mod caller;
mod configuration;
mod fleets;
mod hosts;
mod process;
mod requests;
mod streams;

use std::process::ExitCode;

use coltsfootnotch::ops::fleet::FleetError;

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

fn run(part: &str, sizes: &[String]) -> Result<(), FleetError> {
    match part {
        "hosts" => hosts::run(&numbers(sizes, &[12, 24, 48, 96])),
        "backlog" => backlog::run(&numbers(sizes, &[64, 128, 256, 570])),
        "requests" => requests::run(&numbers(sizes, &[1, 32, 128, 256])),
        "streams" => streams::run(&numbers(sizes, &[250, 500, 1000])),
        "configuration" => {
            let default = [(100, 12), (1000, 12), (5700, 12), (1000, 24), (1000, 48)];
            configuration::run(&pairs(sizes, &default))
        }
        _ => {
            eprintln!("give a part: hosts, backlog, requests, streams or configuration");
            Ok(())
        }
    }
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
