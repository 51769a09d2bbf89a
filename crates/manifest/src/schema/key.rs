//! One key of a settings file or a manifest.

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

/// A whole number between `min` and `max`.
pub(crate) const fn number(min: u64, max: u64, unit: &'static str) -> Kind {
    Kind::Number { min, max, unit }
}
