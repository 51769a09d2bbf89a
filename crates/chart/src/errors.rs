//! Problems of a chart, reported together.

use std::fmt;

use derive_more::{Display, Error};

/// A problem of a chart.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Display, Error)]
#[display("{place}: {message}")]
pub struct ChartError {
    /// The state or event concerned, or the line and column of invalid JSON.
    pub place: String,
    /// A description of the problem.
    pub message: String,
}

/// All problems of a chart; displayed one per line.
#[derive(Debug, Clone, Default, PartialEq, Eq, Error)]
pub struct ChartErrors {
    errors: Vec<ChartError>,
}

impl ChartErrors {
    pub(crate) fn add(&mut self, place: impl Into<String>, message: impl Into<String>) {
        self.errors.push(ChartError {
            place: place.into(),
            message: message.into(),
        });
    }

    pub(crate) fn extend(&mut self, chart: &str, more: Self) {
        for error in more.errors {
            self.add(format!("{chart}: {}", error.place), error.message);
        }
    }

    /// Returns `Ok(value)` if there are no problems.
    pub(crate) fn into_result<T>(self, value: T) -> Result<T, Self> {
        if self.is_empty() {
            Ok(value)
        } else {
            Err(self)
        }
    }

    /// Whether there are no problems.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.errors.is_empty()
    }

    /// The problems in file order.
    pub fn iter(&self) -> impl Iterator<Item = &ChartError> {
        self.errors.iter()
    }
}

impl fmt::Display for ChartErrors {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        for (index, error) in self.errors.iter().enumerate() {
            if index > 0 {
                writeln!(f)?;
            }
            write!(f, "{error}")?;
        }
        Ok(())
    }
}
