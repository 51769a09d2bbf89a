//! What is wrong with a configuration, and where.

use derive_more::{Display, Error};

/// What is wrong.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum ProblemKind {
    /// A route names a service that the configuration lacks.
    #[display("names the unknown service {name:?}")]
    UnknownService {
        /// The name.
        name: String,
    },
    /// Two routes have the same host and prefix.
    #[display("has the host and prefix of {first}")]
    SamePlace {
        /// Place of the earlier route.
        first: String,
    },
    /// The weights of a route add up to 0.
    #[display("has weights that add up to 0")]
    NoWeight,
    /// A timeout of 0.
    #[display("has a timeout of 0")]
    NoTimeout,
    /// A prefix that does not go from slash to slash.
    #[display("has the prefix {prefix:?}, which does not begin and end with a slash")]
    BadPrefix {
        /// The prefix.
        prefix: String,
    },
    /// Two accounts share a key.
    #[display("has a key of {first}")]
    SharedKey {
        /// Place of the earlier account.
        first: String,
    },
    /// Two services or accounts have one name.
    #[display("has the name of {first}")]
    SameName {
        /// Place of the earlier one.
        first: String,
    },
    /// A value is missing or of another type.
    #[display("{what}")]
    Unreadable {
        /// What was expected, and what was found.
        what: String,
    },
}

/// One problem of a configuration.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("{place}: {kind}")]
pub struct Problem {
    /// Where it is, as a path from the root.
    pub place: String,
    /// What it is.
    pub kind: ProblemKind,
}

impl Problem {
    /// A problem at `place`.
    #[must_use]
    pub fn new(place: impl Into<String>, kind: ProblemKind) -> Self {
        Self {
            place: place.into(),
            kind,
        }
    }
}
