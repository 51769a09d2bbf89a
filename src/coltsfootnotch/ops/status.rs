//! `coltsfootnotch status`: prints the state of the fleet.

use std::collections::BTreeMap;
use std::io::{self, Write};
use std::time::{Duration, Instant};

use serde::Serialize;

use super::access::Access;
use super::error::OpsError;
use super::fleet_status::{FleetStatus, MemberStatus, most_recent};
use super::operator_client::{OperatorClient, OperatorError};

/// Time for the other control hosts to connect after the first.
const CONNECT_GRACE: Duration = Duration::from_millis(300);

/// Options of `status`.
#[derive(Debug, Clone)]
pub struct StatusOptions {
    /// How to connect to the control group.
    pub access: Access,
    /// Whether to print JSON.
    pub json: bool,
}

/// The group as each control host sees it, and the most recent status of the fleet.
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
    let connection = opts.access.connect()?;
    std::thread::sleep(CONNECT_GRACE.min(opts.access.timeout));
    let statuses = query_status(&connection.client, opts.access.timeout)?;
    let fleet = most_recent(&statuses).ok_or(OperatorError::NoControl)?;
    let members = statuses.iter().map(|status| &status.group).collect();
    let report = Report { members, fleet };
    if opts.json {
        writeln!(out, "{}", serde_json::to_string(&report)?)?;
    } else {
        print(&report, out)?;
    }
    Ok(())
}

fn query_status(client: &OperatorClient, timeout: Duration) -> Result<Vec<FleetStatus>, OpsError> {
    let deadline = Instant::now() + timeout;
    loop {
        let replies = client.status_of_each()?;
        if !replies.is_empty() || Instant::now() >= deadline {
            let statuses = replies.iter().map(|json| serde_json::from_str(json));
            return Ok(statuses.collect::<Result<_, _>>()?);
        }
    }
}

fn print(report: &Report<'_>, out: &mut impl Write) -> io::Result<()> {
    print_members(report, out)?;
    print_configuration(report.fleet, out)?;
    print_evacuated(report.fleet, out)?;
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
    let group = &report.fleet.group;
    let unanswered = |host: &&_| !report.members.iter().any(|m| m.host == **host);
    for host in group.voters.iter().filter(unanswered) {
        writeln!(out, "{:<24} no answer", host.as_str())?;
    }
    for host in &group.learners {
        writeln!(out, "{:<24} catching up, not voting yet", host.as_str())?;
    }
    Ok(())
}

fn print_configuration(fleet: &FleetStatus, out: &mut impl Write) -> io::Result<()> {
    match &fleet.configuration {
        Some(c) => writeln!(out, "\nconfiguration {}, digest {}", c.number, c.digest),
        None => writeln!(out, "\nno configuration is accepted yet"),
    }
}

fn print_evacuated(fleet: &FleetStatus, out: &mut impl Write) -> io::Result<()> {
    for domain in &fleet.evacuated {
        writeln!(out, "evacuated failure domain {domain}")?;
    }
    Ok(())
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
