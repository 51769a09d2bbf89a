//! `coltsfootnotch status`: the fleet as its control hosts know it.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::access::Access;
use super::error::OpsError;
use super::fleet_status::{FleetStatus, MemberStatus, most_recent};
use super::operator_client::{OperatorClient, OperatorError};

/// Time for the other control hosts to connect once the first has.
const GATHER: Duration = Duration::from_millis(300);

/// What is shown, and how.
#[derive(Debug, Clone)]
pub struct StatusOptions {
    /// How the control group is reached.
    pub access: Access,
    /// Whether a program reads the output.
    pub json: bool,
}

/// What a program reads: each control host's own word on the group, and one view of the rest.
#[derive(Serialize)]
struct Report<'a> {
    members: Vec<&'a MemberStatus>,
    fleet: &'a FleetStatus,
}

/// Prints the state of the fleet.
///
/// # Errors
/// Returns an error when no control host answers.
pub fn status(opts: &StatusOptions, out: &mut impl Write) -> Result<(), OpsError> {
    let connected = opts.access.connect()?;
    std::thread::sleep(GATHER.min(opts.access.timeout));
    let answers = gather(&connected.client, opts.access.timeout)?;
    let fleet = most_recent(&answers).ok_or(OperatorError::NoControl)?;
    let members = answers.iter().map(|answer| &answer.group).collect();
    let report = Report { members, fleet };
    if opts.json {
        writeln!(out, "{}", serde_json::to_string(&report)?)?;
    } else {
        print(&report, out)?;
    }
    Ok(())
}

fn gather(client: &OperatorClient, patience: Duration) -> Result<Vec<FleetStatus>, OpsError> {
    let until = Instant::now() + patience;
    loop {
        let answers = client.status_of_each()?;
        if !answers.is_empty() || Instant::now() >= until {
            let parsed = answers.iter().map(|json| serde_json::from_str(json));
            return Ok(parsed.collect::<Result<_, _>>()?);
        }
    }
}

fn print(report: &Report<'_>, out: &mut impl Write) -> io::Result<()> {
    print_members(report, out)?;
    print_configuration(report.fleet, out)?;
    print_hosts(report.fleet, out)?;
    print_pools(report.fleet, out)?;
    print_accounts(report.fleet, out)
}

fn print_members(report: &Report<'_>, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "{:<24} {:<10} {:>6} {:>9} {:>9}",
        "control host", "role", "term", "commit", "applied"
    )?;
    for m in &report.members {
        let (host, role) = (m.host.as_str(), m.role.as_str());
        writeln!(
            out,
            "{host:<24} {role:<10} {:>6} {:>9} {:>9}",
            m.term, m.commit, m.applied
        )?;
    }
    let known = &report.fleet.group;
    let silent = |host: &&_| !report.members.iter().any(|m| m.host == **host);
    for host in known.voters.iter().filter(silent) {
        writeln!(out, "{:<24} no answer", host.as_str())?;
    }
    for host in &known.learners {
        writeln!(
            out,
            "{:<24} catches up and does not count yet",
            host.as_str()
        )?;
    }
    Ok(())
}

fn print_configuration(fleet: &FleetStatus, out: &mut impl Write) -> io::Result<()> {
    match &fleet.configuration {
        Some(c) => writeln!(out, "\nconfiguration {}, digest {}", c.number, c.digest),
        None => writeln!(out, "\nno configuration was accepted yet"),
    }
}

fn print_hosts(fleet: &FleetStatus, out: &mut impl Write) -> io::Result<()> {
    writeln!(
        out,
        "\n{:<24} {:<8} {:<16} {:<8} {:>13}",
        "host", "role", "failure domain", "is", "configuration"
    )?;
    for host in &fleet.hosts {
        let role = host.role.map_or(String::new(), |role| role.to_string());
        let domain = host.domain.as_ref().map_or("", |domain| domain.as_str());
        let (name, presence) = (host.host.as_str(), &host.presence);
        writeln!(
            out,
            "{name:<24} {role:<8} {domain:<16} {presence:<8} {:>13}",
            host.config
        )?;
    }
    Ok(())
}

fn print_pools(fleet: &FleetStatus, out: &mut impl Write) -> io::Result<()> {
    let mut pools: BTreeMap<&str, (usize, u32)> = BTreeMap::new();
    for pool in &fleet.pools {
        let (hosts, upstreams) = pools.entry(pool.pool.as_str()).or_default();
        *hosts += 1;
        *upstreams += pool.upstreams;
    }
    writeln!(out, "\n{:<24} {:>9} {:>9}", "pool", "sidecars", "upstreams")?;
    for (pool, (hosts, upstreams)) in pools {
        writeln!(out, "{pool:<24} {hosts:>9} {upstreams:>9}")?;
    }
    Ok(())
}

fn print_accounts(fleet: &FleetStatus, out: &mut impl Write) -> io::Result<()> {
    writeln!(out, "\n{:<24} {:>15}", "client account", "service units")?;
    for account in &fleet.accounts {
        writeln!(
            out,
            "{:<24} {:>15}",
            account.account.as_str(),
            account.service
        )?;
    }
    let ledger = &fleet.ledger;
    writeln!(
        out,
        "\ncalls that may not be repeated: {} recorded, {} open",
        ledger.records, ledger.open
    )
}
