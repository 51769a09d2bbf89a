//! One problem in a text, with its position.

use std::fmt;

use derive_more::Error;

/// A problem found in a settings file or a manifest.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Error)]
pub struct Finding {
    /// Line, counted from 1.
    pub line: usize,
    /// Column in characters, counted from 1.
    pub column: usize,
    /// Description of the problem.
    pub message: String,
    /// How to fix it, if known.
    pub help: Option<String>,
}

impl fmt::Display for Finding {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{}:{}: {}", self.line, self.column, self.message)?;
        match &self.help {
            Some(help) => write!(f, "\n  help: {help}"),
            None => Ok(()),
        }
    }
}
