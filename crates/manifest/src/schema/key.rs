//! The definition of a key of a settings file or a manifest.

use std::fmt;

/// The type of the values that a key accepts.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Kind {
    /// An object; its keys have their own rows in the table.
    Object,
    /// A list; its element type has its own row, whose path ends in `[]`.
    List {
        /// Largest number of elements.
        max: usize,
    },
    /// A name: 1 to 64 ASCII letters, digits, `.`, `_` and `-`.
    Name,
    /// A file-system path; a relative one is resolved against the folder of the settings file.
    FilePath,
    /// A path pattern of a call, whose segments are plain text or `{name}`.
    PathPattern,
    /// An IP address and a port.
    Address,
    /// A loopback IP address and a port.
    LoopbackAddress,
    /// `true` or `false`.
    Bool,
    /// A whole number.
    Number {
        /// Smallest accepted value.
        min: u64,
        /// Largest accepted value.
        max: u64,
        /// Unit of the number.
        unit: &'static str,
    },
    /// One of the listed words.
    Choice(&'static [&'static str]),
    /// A SHA-256 hash in 64 hex digits.
    Hash,
}

/// Whether a key must be present, and its value if it is absent.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Presence {
    /// The key must be present.
    Required,
    /// If absent, the feature that the key configures is off.
    Optional,
    /// If absent, the key has this value, written as JSON.
    Default(&'static str),
}

/// A row of the table of keys.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Key {
    /// Path of the key: names joined by `.`, with `[]` for the elements of a list.
    pub path: &'static str,
    /// Type of its value.
    pub kind: Kind,
    /// Whether it must be present.
    pub presence: Presence,
    /// Description for the reference page.
    pub doc: &'static str,
}

impl Key {
    /// The path of the object that contains the key; empty for top-level keys.
    #[must_use]
    pub fn parent(&self) -> &'static str {
        self.path.rsplit_once('.').map_or("", |(parent, _)| parent)
    }

    /// The last component of the path.
    #[must_use]
    pub fn name(&self) -> &'static str {
        self.path
            .rsplit_once('.')
            .map_or(self.path, |(_, name)| name)
    }

    pub(crate) const fn new(
        path: &'static str,
        kind: Kind,
        presence: Presence,
        doc: &'static str,
    ) -> Self {
        Self {
            path,
            kind,
            presence,
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
            Self::Bool => f.write_str("true or false"),
            Self::Number { min, max, unit } => {
                write!(f, "a whole number from {min} to {max} ({unit})")
            }
            Self::Choice(words) => write!(f, "one of {}", words.join(", ")),
            Self::Hash => f.write_str("a SHA-256 in 64 lower-case hex digits"),
        }
    }
}

impl fmt::Display for Presence {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Required => f.write_str("required"),
            Self::Optional => f.write_str("none"),
            Self::Default(json) => write!(f, "`{json}`"),
        }
    }
}

/// A whole number from `min` to `max`.
pub(crate) const fn number(min: u64, max: u64, unit: &'static str) -> Kind {
    Kind::Number { min, max, unit }
}
