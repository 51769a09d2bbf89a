//! `coltsfootnotch apply`: applies a manifest and optionally waits until every live host has it in
//! force.

use std::io::Write;
use std::path::PathBuf;
use std::time::{Duration, Instant};

use coltsfootnotch_manifest::Manifest;
use coltsfootnotch_state::{ConfigReply, Reply};
use coltsfootnotch_types::prelude::*;
use serde::Serialize;

use super::access::{Access, read};
use super::error::OpsError;
use super::fleet_status::{FleetStatus, config_by_host};
use super::operator_client::OperatorClient;

/// Interval between status queries; a change usually takes about a second.
const POLL_INTERVAL: Duration = Duration::from_millis(100);

/// Options of `apply`.
#[derive(Debug, Clone)]
pub struct ApplyOptions {
    /// Path of the manifest.
    pub manifest: PathBuf,
    /// How to connect to the control group.
    pub access: Access,
    /// Whether to wait until every live host has the manifest in force.
    pub wait: bool,
    /// Whether to print JSON.
    pub json: bool,
}

/// Outcome of applying a manifest.
#[derive(Debug, Serialize)]
struct Report {
    number: u64,
    digest: String,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted_digest: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted_number: Option<u64>,
    /// Time until the control group acknowledged the manifest, in milliseconds.
    accepted_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    spread: Option<Rollout>,
}

/// Hosts on which a configuration is in force.
#[derive(Debug, Serialize)]
struct Rollout {
    in_force: Vec<HostName>,
    behind: Vec<HostName>,
    /// Time since the manifest was sent, in milliseconds.
    after_ms: u64,
}

/// Applies a manifest. An accepted manifest is durable on a majority of the control group.
///
/// # Errors
/// Returns an error when the manifest has findings, when the group refuses it or does not answer,
/// or when a live host does not have it in force in time.
pub fn apply(opts: &ApplyOptions, out: &mut impl Write) -> Result<(), OpsError> {
    let text = read(&opts.manifest)?;
    let manifest = Manifest::parse(&opts.manifest.display().to_string(), &text)?;
    let connection = opts.access.connect()?;
    let client = &connection.client;
    let sent = Instant::now();
    let reply = client.apply(&manifest, opts.access.timeout)?;
    let mut report = Report {
        number: manifest.number,
        digest: manifest.digest().to_string(),
        outcome: "accepted",
        accepted_digest: None,
        accepted_number: None,
        accepted_ms: millis(sent.elapsed()),
        spread: None,
    };
    let refusal = to_refusal(manifest.number, reply);
    match &refusal {
        Some(e) => record_refusal(&mut report, e),
        None if opts.wait => report.spread = Some(wait_for_rollout(client, &manifest, sent, opts)?),
        None => {}
    }
    print(&report, opts.json, out)?;
    if let Some(e) = refusal {
        return Err(e);
    }
    match report.spread {
        Some(rollout) if !rollout.behind.is_empty() => Err(OpsError::Behind {
            number: report.number,
            behind: rollout.behind,
        }),
        _ => Ok(()),
    }
}

/// The error for a reply; `None` when the configuration was accepted.
fn to_refusal(number: u64, reply: Reply) -> Option<OpsError> {
    match reply {
        Reply::Config(ConfigReply::Accepted { .. }) => None,
        Reply::Config(ConfigReply::Conflict { number, accepted }) => {
            Some(OpsError::Conflict { number, accepted })
        }
        Reply::Config(ConfigReply::Stale { accepted }) => {
            Some(OpsError::Stale { number, accepted })
        }
        Reply::Config(ConfigReply::TooLarge { max_bytes }) => Some(OpsError::Refused {
            reason: format!("its body is larger than {max_bytes} bytes"),
        }),
        Reply::Config(ConfigReply::DigestMismatch { found }) => Some(OpsError::Refused {
            reason: format!("its body was received with the digest {found}"),
        }),
        other => Some(OpsError::Refused {
            reason: format!("unexpected reply {other:?}"),
        }),
    }
}

fn record_refusal(report: &mut Report, refusal: &OpsError) {
    match refusal {
        OpsError::Conflict { accepted, .. } => {
            report.outcome = "conflict";
            report.accepted_digest = Some(accepted.to_string());
        }
        OpsError::Stale { accepted, .. } => {
            report.outcome = "stale";
            report.accepted_number = Some(*accepted);
        }
        _ => report.outcome = "refused",
    }
}

/// Waits until every live host known to any control host has the configuration in force.
fn wait_for_rollout(
    client: &OperatorClient,
    manifest: &Manifest,
    sent: Instant,
    opts: &ApplyOptions,
) -> Result<Rollout, OpsError> {
    let deadline = sent + opts.access.timeout;
    loop {
        let rollout = rollout(client, manifest.number, sent)?;
        let done = rollout.behind.is_empty() && !rollout.in_force.is_empty();
        if done || Instant::now() >= deadline {
            return Ok(rollout);
        }
        std::thread::sleep(POLL_INTERVAL);
    }
}

fn rollout(client: &OperatorClient, number: u64, sent: Instant) -> Result<Rollout, OpsError> {
    let replies = client.status_of_each()?;
    let statuses: Result<Vec<FleetStatus>, _> = replies
        .iter()
        .map(|json| serde_json::from_str(json))
        .collect();
    let hosts = config_by_host(&statuses?).into_iter();
    let (in_force, behind): (Vec<_>, Vec<_>) = hosts.partition(|(_, config)| *config >= number);
    let names = |hosts: Vec<(HostName, u64)>| hosts.into_iter().map(|(host, _)| host).collect();
    Ok(Rollout {
        in_force: names(in_force),
        behind: names(behind),
        after_ms: millis(sent.elapsed()),
    })
}

fn millis(time: Duration) -> u64 {
    u64::try_from(time.as_millis()).unwrap_or(u64::MAX)
}

fn print(report: &Report, json: bool, out: &mut impl Write) -> Result<(), OpsError> {
    if json {
        writeln!(out, "{}", serde_json::to_string(report)?)?;
        return Ok(());
    }
    let Report { number, digest, .. } = report;
    let (outcome, ms) = (report.outcome, report.accepted_ms);
    writeln!(
        out,
        "configuration {number} {outcome} after {ms} ms, digest {digest}"
    )?;
    if let Some(rollout) = &report.spread {
        let hosts = rollout.in_force.len();
        writeln!(
            out,
            "in force on {hosts} hosts after {} ms",
            rollout.after_ms
        )?;
    }
    Ok(())
}
