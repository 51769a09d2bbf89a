//! Problems of a configuration and their locations.

use derive_more::{Display, Error};

/// The kind of a problem.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ProblemKind {
    /// A route names a service that does not exist.
    #[display("names the unknown service {name:?}")]
    UnknownService {
        /// The name.
        name: String,
    },
    /// Two routes have the same host and prefix.
    #[display("has the host and prefix of {first}")]
    DuplicateRoute {
        /// Location of the earlier route.
        first: String,
    },
    /// The weights of a route add up to 0.
    #[display("has weights that add up to 0")]
    ZeroWeight,
    /// A route has a timeout of 0.
    #[display("has a timeout of 0")]
    ZeroTimeout,
    /// A prefix does not begin and end with a slash.
    #[display("has the prefix {prefix:?}, which does not begin and end with a slash")]
    InvalidPrefix {
        /// The prefix.
        prefix: String,
    },
    /// Two accounts share a key.
    #[display("has a key of {first}")]
    SharedKey {
        /// Location of the earlier account.
        first: String,
    },
    /// Two services or accounts have the same name.
    #[display("has the name of {first}")]
    DuplicateName {
        /// Location of the earlier one.
        first: String,
    },
    /// A value is missing or of another type.
    #[display("{what}")]
    Malformed {
        /// What was expected, and what was found.
        what: String,
    },
}

/// Most problems of a configuration that are reported; a long one may have many more.
pub const MAX_PROBLEMS: usize = 100;

/// A problem of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{location}: {kind}")]
pub struct Problem {
    /// Its location, as a path from the root.
    pub location: String,
    /// Its kind.
    pub kind: ProblemKind,
}

impl Problem {
    /// A problem at `location`.
    #[must_use]
    pub fn new(location: impl Into<String>, kind: ProblemKind) -> Self {
        Self {
            location: location.into(),
            kind,
        }
    }

    /// Adds the problem to those that are reported, unless they are [`MAX_PROBLEMS`].
    ///
    /// ```
    /// use coltsfootnotch_forward::config::{MAX_PROBLEMS, Problem, ProblemKind};
    /// let mut problems = Vec::new();
    /// for index in 0..=MAX_PROBLEMS {
    ///     Problem::new(format!("routes[{index}]"), ProblemKind::ZeroTimeout).report(&mut problems);
    /// }
    /// assert_eq!(problems.len(), MAX_PROBLEMS);
    /// ```
    pub fn report(self, problems: &mut Vec<Self>) {
        if problems.len() < MAX_PROBLEMS {
            problems.push(self);
        }
    }
}
