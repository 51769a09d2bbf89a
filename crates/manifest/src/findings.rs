//! All problems of one text, reported together.

use std::collections::BTreeSet;
use std::fmt;

use derive_more::Error;

use crate::Finding;

/// Most findings kept for one text; further ones are counted. Bounds the report on a generated
/// manifest with an error in every account, and on hostile texts.
const MAX_FINDINGS: usize = 200;

/// The findings of one text, ordered by position.
///
/// Displayed as one `file:line:col: message` per finding, each followed by its `help:` line.
#[derive(Debug, Clone, PartialEq, Eq, Error)]
pub struct Findings {
    file: String,
    kept: BTreeSet<Finding>,
    omitted: usize,
}

impl Findings {
    pub(crate) fn new(file: &str) -> Self {
        Self {
            file: file.to_owned(),
            kept: BTreeSet::new(),
            omitted: 0,
        }
    }

    pub(crate) fn add(&mut self, finding: Finding) {
        if self.kept.contains(&finding) {
            return;
        }
        if self.is_full() {
            self.count_omitted();
        } else {
            self.kept.insert(finding);
        }
    }

    /// Whether further findings are counted but not kept.
    pub(crate) fn is_full(&self) -> bool {
        self.kept.len() >= MAX_FINDINGS
    }

    pub(crate) fn count_omitted(&mut self) {
        self.omitted += 1;
    }

    /// Whether there are no findings.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.kept.is_empty()
    }

    /// Number of findings, including those omitted from the report.
    #[must_use]
    pub fn len(&self) -> usize {
        self.kept.len() + self.omitted
    }

    /// The file name given to `parse`.
    #[must_use]
    pub fn file(&self) -> &str {
        &self.file
    }

    /// The reported findings, at most 200, ordered by position.
    pub fn iter(&self) -> impl Iterator<Item = &Finding> {
        self.kept.iter()
    }
}

impl fmt::Display for Findings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, finding) in self.kept.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{}:{finding}", self.file)?;
        }
        if self.omitted > 0 {
            write!(f, "\n{}: and {} more findings", self.file, self.omitted)?;
        }
        Ok(())
    }
}
