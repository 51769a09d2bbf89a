//! `coltsfootnotch trace`: finds the cause of a request's outcome in the logs of several hosts.

mod cause;
mod line;

use std::collections::BTreeSet;
use std::io::Write;
use std::path::PathBuf;

use self::cause::cause;
use self::line::Line;
use super::error::OpsError;

/// Seconds before a request's first line in which events of its hosts and upstreams are included.
/// Lost connections and silent upstreams are detected within this time.
const BEFORE_S: f64 = 8.0;
/// Seconds after a request's last line; a host that was killed logs again once it has restarted.
const AFTER_S: f64 = 4.0;

/// Prints every log line about the request `id` and the events of its hosts and upstreams around
/// it, in order of time, and the cause of its outcome.
///
/// # Errors
/// Returns an error when a file can't be read, or none of them names the request.
pub fn trace(id: &str, files: &[PathBuf], out: &mut impl Write) -> Result<(), OpsError> {
    let mut lines = Vec::new();
    let mut skipped = 0;
    for path in files {
        let text = std::fs::read_to_string(path).map_err(|source| OpsError::Read {
            path: path.clone(),
            source,
        })?;
        for text in text.lines() {
            match Line::parse(text) {
                Some(line) => lines.push(line),
                None => skipped += 1,
            }
        }
    }
    lines.sort_by(|a, b| a.at.total_cmp(&b.at).then_with(|| a.host.cmp(&b.host)));
    let relevant = relevant_lines(id, &lines);
    if !relevant.iter().any(|line| line.is_about(id)) {
        return Err(OpsError::NoRequest { id: id.to_owned() });
    }
    for line in &relevant {
        writeln!(out, "{line}")?;
    }
    if skipped > 0 {
        writeln!(out, "(skipped lines that are not events: {skipped})")?;
    }
    writeln!(out, "cause: {}", cause(id, &relevant))?;
    Ok(())
}

/// The lines about a request, and the events around it that may explain its outcome.
fn relevant_lines<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let request_lines: Vec<_> = lines.iter().filter(|line| line.is_about(id)).collect();
    let (Some(first), Some(last)) = (request_lines.first(), request_lines.last()) else {
        return Vec::new();
    };
    let span = first.at - BEFORE_S..=last.at + AFTER_S;
    let hosts: BTreeSet<_> = request_lines
        .iter()
        .map(|line| line.host.as_str())
        .collect();
    let upstreams: BTreeSet<_> = request_lines
        .iter()
        .filter_map(|line| line.field("upstream"))
        .collect();
    let may_explain = |line: &&Line| {
        let is_host_state = line.is_state() && hosts.contains(line.host.as_str());
        let upstream = line.field("upstream");
        let is_upstream_event = upstream.is_some_and(|upstream| upstreams.contains(&upstream));
        let is_other_request = line.field("request").is_some();
        span.contains(&line.at) && !is_other_request && (is_host_state || is_upstream_event)
    };
    lines
        .iter()
        .filter(|line| line.is_about(id) || may_explain(line))
        .collect()
}
