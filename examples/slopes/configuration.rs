//! Cost of a change of one account, and the time until it is in force on all hosts.

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
const TIMEOUT: Duration = Duration::from_secs(60);
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
        let resident_before = resident_bytes();
        let fleet = start(&Size {
            entries: ENTRIES,
            engines: hosts.saturating_sub(CONTROL + ENTRIES).max(1),
            slots: 8,
            token: Duration::from_millis(2),
            accounts,
        })?;
        sleep(SETTLE);
        print_row(&fleet, accounts, resident_before)?;
        fleet.stop();
        sleep(SETTLE);
    }
    Ok(())
}

fn print_row(fleet: &Fleet, accounts: usize, resident_before: u64) -> Result<(), FleetError> {
    let operator = fleet.operator()?;
    let mut manifest = fleet.manifest().clone();
    let (mut accepted, mut in_force) = (Duration::ZERO, Duration::ZERO);
    let mut status_bytes = 0;
    let (bytes, cpu) = (fleet.control_bytes_by_role(), cpu_time());
    for _ in 0..CHANGES {
        change_account(&mut manifest);
        let started = Instant::now();
        operator.apply(&manifest, TIMEOUT)?;
        accepted += started.elapsed();
        status_bytes += wait_in_force(&operator, manifest.number)?;
        in_force += started.elapsed();
    }
    let sent = fleet.control_bytes_by_role().since(&bytes);
    let control = sent.control.saturating_sub(status_bytes);
    let cpu = cpu_time() - cpu;
    let per_change = |total: f64| total / CHANGES as f64;
    let others = (fleet.hosts() - CONTROL) as f64;
    println!(
        "{accounts:>9} {:>6} {:>11} {:>14.0} {:>14.0} {:>10.2} {:>11.2} {:>10.2} {:>12.1}",
        fleet.hosts(),
        manifest.to_body().len(),
        per_change(control as f64),
        per_change(control as f64) / others,
        per_change(accepted.as_secs_f64()),
        per_change(in_force.as_secs_f64()),
        per_change(cpu.as_secs_f64()),
        resident_bytes().saturating_sub(resident_before) as f64 / 1e6,
    );
    Ok(())
}

fn change_account(manifest: &mut Manifest) {
    manifest.number += 1;
    if let Some(account) = manifest.accounts.first_mut() {
        account.limits.queue -= 1;
    }
}

/// Waits until the control host reports no host with an older configuration. Returns the bytes of
/// its status answers, which are not part of the change's cost.
fn wait_in_force(operator: &OperatorClient, number: u64) -> Result<u64, FleetError> {
    let mut status_bytes = 0;
    let deadline = Instant::now() + TIMEOUT;
    while Instant::now() < deadline {
        let answer = operator.status(TIMEOUT)?;
        status_bytes += answer.len() as u64;
        let status: Value = serde_json::from_str(&answer).unwrap_or_default();
        let configuration = &status["configuration"];
        let is_in_force = configuration["behind"]
            .as_array()
            .is_some_and(Vec::is_empty);
        if configuration["number"] == number && is_in_force {
            return Ok(status_bytes);
        }
        sleep(POLL);
    }
    Err(FleetError::NotReady)
}
