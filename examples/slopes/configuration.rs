//! What a change of one account costs, and how long it takes until it is in force everywhere.

use std::thread::sleep;
use std::time::{Duration, Instant};

use coltsfootnotch::ops::fleet::{Fleet, FleetError};
use coltsfootnotch::ops::operator_client::OperatorClient;
use coltsfootnotch_manifest::Manifest;
use serde_json::Value;

use crate::fleets::{CONTROL, Size, start};
use crate::process::{cpu_time, resident_bytes};

const ENTRIES: usize = 2;
const SETTLE: Duration = Duration::from_secs(3);
const PATIENCE: Duration = Duration::from_secs(60);
const CHANGES: u64 = 3;
const POLL: Duration = Duration::from_millis(50);

/// Prints one row for each size, given as `accounts x hosts`.
pub(crate) fn run(sizes: &[(usize, usize)]) -> Result<(), FleetError> {
    println!(
        "changes of one account, {CHANGES} a row, averages: {CONTROL} control hosts, {ENTRIES} \
         entries, the rest sidecars; control bytes sent by all hosts of a role until the change is \
         in force on every host, the idle traffic of that time included, answers about it not"
    );
    println!(
        "{:>9} {:>6} {:>11} {:>14} {:>14} {:>10} {:>11} {:>10} {:>12}",
        "accounts",
        "hosts",
        "body B",
        "control hosts B",
        "B/other host",
        "accepted s",
        "in force s",
        "cpu s",
        "resident MB"
    );
    for &(accounts, hosts) in sizes {
        let before = resident_bytes();
        let fleet = start(&Size {
            entries: ENTRIES,
            engines: hosts.saturating_sub(CONTROL + ENTRIES).max(1),
            slots: 8,
            token: Duration::from_millis(2),
            accounts,
        })?;
        sleep(SETTLE);
        row(&fleet, accounts, before)?;
        fleet.stop();
        sleep(SETTLE);
    }
    Ok(())
}

fn row(fleet: &Fleet, accounts: usize, resident_before: u64) -> Result<(), FleetError> {
    let operator = fleet.operator()?;
    let mut manifest = fleet.manifest().clone();
    let (mut accepted, mut in_force) = (Duration::ZERO, Duration::ZERO);
    let mut asked = 0;
    let (bytes, cpu) = (fleet.control_bytes_by_role(), cpu_time());
    for _ in 0..CHANGES {
        change(&mut manifest);
        let began = Instant::now();
        operator.apply(&manifest, PATIENCE)?;
        accepted += began.elapsed();
        asked += wait_in_force(&operator, manifest.number)?;
        in_force += began.elapsed();
    }
    let sent = fleet.control_bytes_by_role().since(&bytes);
    let control = sent.control.saturating_sub(asked);
    let cpu = cpu_time() - cpu;
    let each = |total: f64| total / CHANGES as f64;
    let others = (fleet.hosts() - CONTROL) as f64;
    println!(
        "{accounts:>9} {:>6} {:>11} {:>14.0} {:>14.0} {:>10.2} {:>11.2} {:>10.2} {:>12.1}",
        fleet.hosts(),
        manifest.to_body().len(),
        each(control as f64),
        each(control as f64) / others,
        each(accepted.as_secs_f64()),
        each(in_force.as_secs_f64()),
        each(cpu.as_secs_f64()),
        resident_bytes().saturating_sub(resident_before) as f64 / 1e6,
    );
    Ok(())
}

fn change(manifest: &mut Manifest) {
    manifest.number += 1;
    if let Some(account) = manifest.accounts.first_mut() {
        account.limits.queue -= 1;
    }
}

/// Waits until no host is behind, as the control host that answers knows it; the bytes of its answers,
/// which would otherwise be counted as the change's.
fn wait_in_force(operator: &OperatorClient, number: u64) -> Result<u64, FleetError> {
    let mut asked = 0;
    let until = Instant::now() + PATIENCE;
    while Instant::now() < until {
        let answer = operator.status(PATIENCE)?;
        asked += answer.len() as u64;
        let status: Value = serde_json::from_str(&answer).unwrap_or_default();
        let configuration = &status["configuration"];
        let none_behind = configuration["behind"]
            .as_array()
            .is_some_and(Vec::is_empty);
        if configuration["number"] == number && none_behind {
            return Ok(asked);
        }
        sleep(POLL);
    }
    Err(FleetError::NotReady)
}
