//! Path patterns of plain service calls.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest pattern in bytes.
const MAX_PATTERN_BYTES: usize = 256;

/// An error from parsing a path pattern.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PathPatternError {
    /// The pattern does not begin with a slash.
    #[display("a path must begin with \"/\"")]
    NoSlash,
    /// The pattern is longer than 256 bytes.
    #[display("the path is longer than {MAX_PATTERN_BYTES} bytes")]
    TooLong,
    /// A segment is empty, a dot segment, or contains a brace, a query or a non-ASCII character.
    #[display("the path segment {segment:?} is neither plain text nor \"{{name}}\"")]
    BadSegment {
        /// The invalid segment.
        segment: String,
    },
}

/// A path in which a segment `{name}` matches any one segment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PathPattern(String);

impl PathPattern {
    /// Parses a pattern.
    ///
    /// # Errors
    /// Returns a [`PathPatternError`] if the text does not begin with a slash, is too long, or has
    /// a segment that is empty or contains a character not allowed in a path.
    ///
    /// ```
    /// use coltsfootnotch_manifest::PathPattern;
    /// let orders = PathPattern::new("/orders/{id}")?;
    /// assert!(orders.matches("/orders/17"));
    /// assert!(!orders.matches("/orders/17/lines"));
    /// assert_eq!(orders.fill("id", "17"), "/orders/17");
    /// # Ok::<(), coltsfootnotch_manifest::PathPatternError>(())
    /// ```
    pub fn new(text: &str) -> Result<Self, PathPatternError> {
        let rest = text.strip_prefix('/').ok_or(PathPatternError::NoSlash)?;
        if text.len() > MAX_PATTERN_BYTES {
            return Err(PathPatternError::TooLong);
        }
        match rest.split('/').find(|segment| !is_valid_segment(segment)) {
            Some(segment) => Err(PathPatternError::BadSegment {
                segment: segment.to_owned(),
            }),
            None => Ok(Self(text.to_owned())),
        }
    }

    /// The pattern as text.
    #[must_use]
    pub fn as_str(&self) -> &str {
        &self.0
    }

    /// Whether `path`, which has no query, matches the pattern.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        let mut segments = path.split('/');
        let all_match = self.0.split('/').all(|segment| match segments.next() {
            Some(text) if parameter_name(segment).is_some() => is_single_segment(text),
            Some(text) => text == segment,
            None => false,
        });
        all_match && segments.next().is_none()
    }

    /// Whether the pattern has a segment `{name}`.
    #[must_use]
    pub fn has_parameter(&self, name: &str) -> bool {
        self.0
            .split('/')
            .any(|segment| parameter_name(segment) == Some(name))
    }

    /// The path with the segment `{name}` replaced by `text`.
    #[must_use]
    pub fn fill(&self, name: &str, text: &str) -> String {
        self.0.replace(&format!("{{{name}}}"), text)
    }
}

/// The name of a segment `{name}`; `None` for plain text.
fn parameter_name(segment: &str) -> Option<&str> {
    segment.strip_prefix('{')?.strip_suffix('}')
}

/// Whether an upstream also treats `text` as one segment. This keeps a client from reaching an
/// unlisted call of the service by sending `..` or `%2F` as a segment.
fn is_single_segment(text: &str) -> bool {
    let decoded = text.to_ascii_lowercase().replace("%2e", ".");
    let has_separator =
        decoded.contains("%2f") || decoded.contains("%5c") || decoded.contains('\\');
    !has_separator && !matches!(decoded.as_str(), "" | "." | "..")
}

fn is_valid_segment(segment: &str) -> bool {
    let inner = parameter_name(segment).unwrap_or(segment);
    let is_allowed = |c: char| c.is_ascii_alphanumeric() || "-._~!$&'()*+,;=:@%".contains(c);
    !inner.is_empty() && !matches!(inner, "." | "..") && inner.chars().all(is_allowed)
}

impl TryFrom<String> for PathPattern {
    type Error = PathPatternError;

    fn try_from(text: String) -> Result<Self, PathPatternError> {
        Self::new(&text)
    }
}

impl From<PathPattern> for String {
    fn from(pattern: PathPattern) -> Self {
        pattern.0
    }
}
