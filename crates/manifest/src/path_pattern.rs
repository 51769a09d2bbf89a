//! Patterns for the paths of plain service calls.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

/// Longest pattern in bytes.
const MAX_PATTERN_BYTES: usize = 256;

/// Why a text is not a path pattern.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum PathPatternError {
    /// The pattern does not begin with a slash.
    #[display("a path does not begin with \"/\"")]
    NoSlash,
    /// The pattern is longer than 256 bytes.
    #[display("a path is longer than {MAX_PATTERN_BYTES} bytes")]
    TooLong,
    /// A segment is empty, a dot segment, or holds a brace, a query or a character outside of ASCII.
    #[display("the path segment {segment:?} is neither plain text nor \"{{name}}\"")]
    BadSegment {
        /// The segment found.
        segment: String,
    },
}

/// A path in which a segment written `{name}` stands for any one segment.
#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord, Hash, Display, Serialize, Deserialize)]
#[serde(try_from = "String", into = "String")]
pub struct PathPattern(String);

impl PathPattern {
    /// Checks and stores a pattern.
    ///
    /// # Errors
    /// Returns a [`PathPatternError`] when the text does not begin with a slash, is too long, or a
    /// segment is empty or holds other characters than a path may.
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
        match rest.split('/').find(|segment| !is_segment(segment)) {
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

    /// Whether `path`, without its query, fits the pattern.
    #[must_use]
    pub fn matches(&self, path: &str) -> bool {
        let mut given = path.split('/');
        let fits = self.0.split('/').all(|segment| match given.next() {
            Some(text) if parameter(segment).is_some() => is_one_segment(text),
            Some(text) => text == segment,
            None => false,
        });
        fits && given.next().is_none()
    }

    /// Whether a segment `{name}` is in the pattern.
    #[must_use]
    pub fn has_parameter(&self, name: &str) -> bool {
        self.0
            .split('/')
            .any(|segment| parameter(segment) == Some(name))
    }

    /// The path in which `text` stands for the segment `{name}`.
    #[must_use]
    pub fn fill(&self, name: &str, text: &str) -> String {
        self.0.replace(&format!("{{{name}}}"), text)
    }
}

/// The name in a segment written `{name}`.
fn parameter(segment: &str) -> Option<&str> {
    segment.strip_prefix('{')?.strip_suffix('}')
}

/// Whether an upstream will take `text` as one segment too. A caller who sends `..` or `%2F` for a
/// segment would otherwise reach a call of the service that the manifest does not list.
fn is_one_segment(text: &str) -> bool {
    let decoded = text.to_ascii_lowercase().replace("%2e", ".");
    let splits = decoded.contains("%2f") || decoded.contains("%5c") || decoded.contains('\\');
    !splits && !matches!(decoded.as_str(), "" | "." | "..")
}

fn is_segment(segment: &str) -> bool {
    let inner = parameter(segment).unwrap_or(segment);
    let accepted = |c: char| c.is_ascii_alphanumeric() || "-._~!$&'()*+,;=:@%".contains(c);
    !inner.is_empty() && !matches!(inner, "." | "..") && inner.chars().all(accepted)
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
