//! `coltsfootnotch apply`: a manifest to the control group, and on request to every live host.

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

/// Time between two looks at what the hosts have in force: a fraction of the second that a change
/// usually takes.
const LOOK_EVERY: Duration = Duration::from_millis(100);

/// What is applied, and how far the command waits.
#[derive(Debug, Clone)]
pub struct ApplyOptions {
    /// The manifest.
    pub manifest: PathBuf,
    /// How the control group is reached.
    pub access: Access,
    /// Whether to wait until every live host has it in force.
    pub wait: bool,
    /// Whether a program reads the output.
    pub json: bool,
}

/// What became of a manifest.
#[derive(Debug, Serialize)]
struct Report {
    number: u64,
    digest: String,
    outcome: &'static str,
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted_digest: Option<String>,
    #[serde(skip_serializing_if = "Option::is_none")]
    accepted_number: Option<u64>,
    /// Time to the acknowledgement, in milliseconds.
    accepted_ms: u64,
    #[serde(skip_serializing_if = "Option::is_none")]
    spread: Option<Spread>,
}

/// Where a configuration is in force.
#[derive(Debug, Serialize)]
struct Spread {
    in_force: Vec<HostName>,
    behind: Vec<HostName>,
    /// Time since the manifest was sent, in milliseconds.
    after_ms: u64,
}

/// Applies a manifest. It is durable on a majority of the control group when it is called accepted.
///
/// # Errors
/// Returns an error when the manifest has findings, the group refuses it or does not answer, or some
/// live host does not have it in force in time.
pub fn apply(opts: &ApplyOptions, out: &mut impl Write) -> Result<(), OpsError> {
    let text = read(&opts.manifest)?;
    let manifest = Manifest::parse(&opts.manifest.display().to_string(), &text)?;
    let connected = opts.access.connect()?;
    let client = &connected.client;
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
    let refused = refusal(manifest.number, reply);
    match &refused {
        Some(e) => note_refusal(&mut report, e),
        None if opts.wait => report.spread = Some(wait(client, &manifest, sent, opts)?),
        None => {}
    }
    print(&report, opts.json, out)?;
    if let Some(e) = refused {
        return Err(e);
    }
    match report.spread {
        Some(spread) if !spread.behind.is_empty() => Err(OpsError::Behind {
            number: report.number,
            behind: spread.behind,
        }),
        _ => Ok(()),
    }
}

fn refusal(number: u64, reply: Reply) -> Option<OpsError> {
    match reply {
        Reply::Config(ConfigReply::Accepted { .. }) => None,
        Reply::Config(ConfigReply::Conflict { number, accepted }) => {
            Some(OpsError::Conflict { number, accepted })
        }
        Reply::Config(ConfigReply::Stale { accepted }) => {
            Some(OpsError::Stale { number, accepted })
        }
        Reply::Config(ConfigReply::TooLarge { max_bytes }) => Some(OpsError::Refused {
            reason: format!("it is larger than {max_bytes} bytes"),
        }),
        Reply::Config(ConfigReply::DigestMismatch { found }) => Some(OpsError::Refused {
            reason: format!("its body arrived with the digest {found}"),
        }),
        other => Some(OpsError::Refused {
            reason: format!("it answered {other:?}"),
        }),
    }
}

fn note_refusal(report: &mut Report, refused: &OpsError) {
    match refused {
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

/// Waits until every live host that any control host knows has the configuration in force.
fn wait(
    client: &OperatorClient,
    manifest: &Manifest,
    sent: Instant,
    opts: &ApplyOptions,
) -> Result<Spread, OpsError> {
    let until = sent + opts.access.timeout;
    loop {
        let spread = spread(client, manifest.number, sent)?;
        let done = spread.behind.is_empty() && !spread.in_force.is_empty();
        if done || Instant::now() >= until {
            return Ok(spread);
        }
        std::thread::sleep(LOOK_EVERY);
    }
}

fn spread(client: &OperatorClient, number: u64, sent: Instant) -> Result<Spread, OpsError> {
    let answers = client.status_of_each()?;
    let parsed: Result<Vec<FleetStatus>, _> = answers
        .iter()
        .map(|json| serde_json::from_str(json))
        .collect();
    let hosts = config_by_host(&parsed?).into_iter();
    let (has, lacks): (Vec<_>, Vec<_>) = hosts.partition(|(_, config)| *config >= number);
    let names = |hosts: Vec<(HostName, u64)>| hosts.into_iter().map(|(host, _)| host).collect();
    Ok(Spread {
        in_force: names(has),
        behind: names(lacks),
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
    if let Some(spread) = &report.spread {
        let hosts = spread.in_force.len();
        writeln!(
            out,
            "in force on {hosts} hosts after {} ms",
            spread.after_ms
        )?;
    }
    Ok(())
}
