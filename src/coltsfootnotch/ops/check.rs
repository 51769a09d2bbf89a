//! `coltsfootnotch check`: reports all findings of settings and manifests.

use std::io::Write;
use std::path::{Path, PathBuf};

use coltsfootnotch_manifest::{Findings, Manifest, Settings, TextKind};
use serde::Serialize;

use super::error::OpsError;

/// Options of `check`.
#[derive(Debug, Clone)]
pub struct CheckOptions {
    /// The files to check.
    pub files: Vec<PathBuf>,
    /// Kind of the files; detected from their keys when it is not given.
    pub kind: Option<TextKind>,
    /// Whether to print JSON.
    pub json: bool,
}

/// A finding with its file.
#[derive(Debug, Serialize)]
struct FileFinding {
    file: String,
    line: usize,
    column: usize,
    message: String,
    help: Option<String>,
}

#[derive(Serialize)]
struct Report<'a> {
    files: usize,
    findings: &'a [FileFinding],
}

/// Prints the findings of all files.
///
/// # Errors
/// Returns [`OpsError::Found`] when there are any.
///
/// ```
/// use coltsfootnotch::ops::check::{CheckOptions, check};
/// let opts = CheckOptions { files: vec!["no-such-file".into()], kind: None, json: false };
/// let mut out = Vec::new();
/// assert!(check(&opts, &mut out).is_err());
/// assert!(String::from_utf8(out).unwrap().starts_with("no-such-file:1:1: "));
/// ```
pub fn check(opts: &CheckOptions, out: &mut impl Write) -> Result<(), OpsError> {
    let mut found = Vec::new();
    let mut count = 0;
    for file in &opts.files {
        count += check_file(file, opts.kind, &mut found);
    }
    if opts.json {
        let report = Report {
            files: opts.files.len(),
            findings: &found,
        };
        writeln!(out, "{}", serde_json::to_string(&report)?)?;
    } else {
        print_text(&found, count, opts.files.len(), out)?;
    }
    match count {
        0 => Ok(()),
        count => Err(OpsError::Found { count }),
    }
}

fn print_text(
    found: &[FileFinding],
    count: usize,
    files: usize,
    out: &mut impl Write,
) -> std::io::Result<()> {
    for f in found {
        writeln!(out, "{}:{}:{}: {}", f.file, f.line, f.column, f.message)?;
        if let Some(help) = &f.help {
            writeln!(out, "  help: {help}")?;
        }
    }
    if count > found.len() {
        writeln!(out, "and {} more findings", count - found.len())?;
    }
    if count == 0 {
        writeln!(out, "no findings, files checked: {files}")?;
    }
    Ok(())
}

/// Adds the findings of a file; returns their total number, including those that were not recorded.
fn check_file(path: &Path, kind: Option<TextKind>, found: &mut Vec<FileFinding>) -> usize {
    let file = path.display().to_string();
    let text = match std::fs::read_to_string(path) {
        Ok(text) => text,
        Err(e) => return add_finding(found, file, format!("the file can't be read: {e}"), None),
    };
    let findings = match kind.or_else(|| TextKind::detect(&text)) {
        Some(TextKind::Settings) => Settings::parse(&file, &text).err(),
        Some(TextKind::Manifest) => Manifest::parse(&file, &text).err(),
        None => {
            let message = "the file is neither settings nor a manifest".to_owned();
            let help = Some("give --kind settings or --kind manifest");
            return add_finding(found, file, message, help);
        }
    };
    let Some(findings) = findings else {
        return 0;
    };
    found.extend(to_file_findings(&findings));
    findings.len()
}

fn add_finding(
    found: &mut Vec<FileFinding>,
    file: String,
    message: String,
    help: Option<&str>,
) -> usize {
    found.push(FileFinding {
        file,
        line: 1,
        column: 1,
        message,
        help: help.map(str::to_owned),
    });
    1
}

fn to_file_findings(findings: &Findings) -> impl Iterator<Item = FileFinding> {
    findings.iter().map(|finding| FileFinding {
        file: findings.file().to_owned(),
        line: finding.line,
        column: finding.column,
        message: finding.message.clone(),
        help: finding.help.clone(),
    })
}
