//! One key of a settings file or a manifest.

use std::fmt;

/// What a key accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An object; its keys have rows of their own.
    Object,
    /// A list of at most `max` elements; the element has a row of its own, its path ends in `[]`.
    List {
        /// Most elements.
        max: usize,
    },
    /// A name: 1 to 64 ASCII letters, digits, `.`, `_` and `-`.
    Name,
    /// A path in the file system; a relative one starts at the folder of the file it stands in.
    FilePath,
    /// The path pattern of a call: segments of plain text or `{name}`.
    PathPattern,
    /// An IP address and a port.
    Address,
    /// An IP address of the loopback network and a port.
    LoopbackAddress,
    /// `true` or `false`.
    Flag,
    /// A whole number.
    Number {
        /// Smallest accepted.
        min: u64,
        /// Largest accepted.
        max: u64,
        /// What is counted.
        unit: &'static str,
    },
    /// One of a few words.
    Choice(&'static [&'static str]),
    /// A SHA-256 in 64 hex digits.
    Hash,
}

/// What holds when a key is not given.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Need {
    /// The key must be given.
    Required,
    /// Without the key the feature it describes is off.
    Optional,
    /// Without the key this value holds, written as JSON.
    Default(&'static str),
}

/// One row of the table of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Where it stands: keys joined by `.`, the element of a list marked by `[]`.
    pub path: &'static str,
    /// What it accepts.
    pub kind: Kind,
    /// What holds without it.
    pub need: Need,
    /// What it means.
    pub doc: &'static str,
}

impl Key {
    /// The path of the object that holds the key; empty for the outermost.
    #[must_use]
    pub fn parent(&self) -> &'static str {
        self.path.rsplit_once('.').map_or("", |(parent, _)| parent)
    }

    /// The key as it is written in its object.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.path
            .rsplit_once('.')
            .map_or(self.path, |(_, name)| name)
    }

    pub(crate) const fn new(path: &'static str, kind: Kind, need: Need, doc: &'static str) -> Self {
        Self {
            path,
            kind,
            need,
            doc,
        }
    }
}

impl fmt::Display for Kind {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Object => f.write_str("an object"),
            Self::List { max } => write!(f, "a list of at most {max}"),
            Self::Name => f.write_str("a name of 1 to 64 ASCII letters, digits, '.', '_' and '-'"),
            Self::FilePath => f.write_str("a path"),
            Self::PathPattern => f.write_str("a path like \"/orders/{id}\""),
            Self::Address => f.write_str("an IP address and port like \"10.0.0.7:7001\""),
            Self::LoopbackAddress => {
                f.write_str("a loopback address and port like \"127.0.0.1:7002\"")
            }
            Self::Flag => f.write_str("true or false"),
            Self::Number { min, max, unit } => {
                write!(f, "a whole number from {min} to {max} ({unit})")
            }
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Hash => f.write_str("a SHA-256 in 64 lower-case hex digits"),
        }
    }
}

impl fmt::Display for Need {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Required => f.write_str("required"),
            Self::Optional => f.write_str("none"),
            Self::Default(json) => write!(f, "`{json}`"),
        }
    }
}

/// A whole number between `min` and `max`.
pub(crate) const fn number(min: u64, max: u64, unit: &'static str) -> Kind {
    Kind::Number { min, max, unit }
}
