//! All problems of one text, reported together.

use std::collections::BTreeSet;
use std::fmt;

use derive_more::Error;

use crate::Finding;

/// Findings kept for one text. A generated manifest with one fault per account would otherwise
/// print thousands of lines, and a hostile text could make the report larger than itself.
const MAX_FINDINGS: usize = 200;

/// The findings of one text, in the order of their places.
///
/// Displays one `file:line:col: message` a finding, each followed by its `help:` line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Findings {
    file: String,
    kept: BTreeSet<Finding>,
    left_out: usize,
}

impl Findings {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            kept: BTreeSet::new(),
            left_out: 0,
        }
    }

    pub(crate) fn add(&mut self, finding: Finding) {
        if self.kept.contains(&finding) {
            return;
        }
        if self.is_full() {
            self.leave_out();
        } else {
            self.kept.insert(finding);
        }
    }

    /// Whether further findings are only counted.
    pub(crate) fn is_full(&self) -> bool {
        self.kept.len() >= MAX_FINDINGS
    }

    pub(crate) fn leave_out(&mut self) {
        self.left_out += 1;
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// How many findings there are, those left out of the report included.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len() + self.left_out
    }

    /// The name of the text, as given to `parse`.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// The findings in the order of their places; at most 200.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.kept.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, finding) in self.kept.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{finding}", self.file)?;
        }
        if self.left_out > 0 {
            write!(f, "\n{}: and {} more findings", self.file, self.left_out)?;
        }
        Ok(())
    }
}
