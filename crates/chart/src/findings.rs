//! What is wrong with a chart, reported together.

use std::fmt;

use derive_more::{Display, Error};

/// One problem of a chart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Error)]
#[display("{place}: {message}")]
pub struct ChartFinding {
    /// The state or event it is about, or the line and column of a text that is not JSON.
    pub place: String,
    /// What is wrong.
    pub message: String,
}

/// All problems of a chart, one a line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error)]
pub struct ChartFindings {
    found: Vec<ChartFinding>,
}

impl ChartFindings {
    pub(crate) fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.found.push(ChartFinding {
            place: place.into(),
            message: message.into(),
        });
    }

    pub(crate) fn extend(&mut self, chart: &str, more: Self) {
        for finding in more.found {
            self.add(format!("{chart}: {}", finding.place), finding.message);
        }
    }

    /// Passes `value` on when nothing was found.
    pub(crate) fn or<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }

    /// Whether nothing was found.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.found.is_empty()
    }

    /// The findings, in the order of the file.
    pub fn iter(&self) -> impl Iterator<Item = &ChartFinding> {
        self.found.iter()
    }
}

impl fmt::Display for ChartFindings {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (at, finding) in self.found.iter().enumerate() {
            if at > 0 {
                writeln!(f)?;
            }
            write!(f, "{finding}")?;
        }
        Ok(())
    }
}
