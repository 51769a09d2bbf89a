//! `coltsfootnotch trace`: from a request's identity to its cause, by the logs of many hosts.

mod cause;
mod line;

use std::collections::BTreeSet;
use std::io::Write;
use std::path::PathBuf;

use self::cause::cause;
use self::line::Line;
use super::error::OpsError;

/// Seconds before a request's first line in which what its host or upstream went through may explain
/// it: connections are found dead, and upstreams silent, within this time.
const BEFORE_S: f64 = 8.0;
/// The same after its last line: a host that was killed writes again when it is back.
const AFTER_S: f64 = 4.0;

/// Prints every line about the request `id` in the logs, with what its hosts and upstreams went through
/// around it, in the order of their times, and says the cause.
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
    let chosen = around(id, &lines);
    if !chosen.iter().any(|line| line.is_about(id)) {
        return Err(OpsError::NoRequest { id: id.to_owned() });
    }
    for line in &chosen {
        writeln!(out, "{line}")?;
    }
    if skipped > 0 {
        writeln!(out, "({skipped} lines are no events)")?;
    }
    writeln!(out, "cause: {}", cause(id, &chosen))?;
    Ok(())
}

/// The request's lines, and those around them that may explain it.
fn around<'a>(id: &str, lines: &'a [Line]) -> Vec<&'a Line> {
    let own: Vec<_> = lines.iter().filter(|line| line.is_about(id)).collect();
    let (Some(first), Some(last)) = (own.first(), own.last()) else {
        return Vec::new();
    };
    let span = first.at - BEFORE_S..=last.at + AFTER_S;
    let hosts: BTreeSet<_> = own.iter().map(|line| line.host.as_str()).collect();
    let upstreams: BTreeSet<_> = own
        .iter()
        .filter_map(|line| line.field("upstream"))
        .collect();
    let explains = |line: &&Line| {
        let of_host = line.is_state() && hosts.contains(line.host.as_str());
        let named = line.field("upstream");
        let of_upstream = named.is_some_and(|named| upstreams.contains(&named));
        let is_other_request = line.field("request").is_some();
        span.contains(&line.at) && !is_other_request && (of_host || of_upstream)
    };
    lines
        .iter()
        .filter(|line| line.is_about(id) || explains(line))
        .collect()
}
