//! Detection of the kind of a text: settings or manifest.

use std::str::FromStr;

use derive_more::{Display, Error};

use crate::schema::{Key, MANIFEST_KEYS, SETTINGS_KEYS};

/// The kind of a text.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum TextKind {
    /// Settings of one daemon.
    #[display("settings")]
    Settings,
    /// Manifest of the fleet.
    #[display("manifest")]
    Manifest,
}

/// An error from parsing the name of a kind.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, Error)]
#[display("expected settings or manifest")]
pub struct TextKindError;

impl FromStr for TextKind {
    type Err = TextKindError;

    fn from_str(text: &str) -> Result<Self, Self::Err> {
        match text {
            "settings" => Ok(Self::Settings),
            "manifest" => Ok(Self::Manifest),
            _ => Err(TextKindError),
        }
    }
}

impl TextKind {
    /// Detects the kind of a text by the top-level keys it contains, even if it is not valid JSON;
    /// `None` if both kinds have equally many.
    ///
    /// ```
    /// use coltsfootnotch_manifest::TextKind;
    /// assert_eq!(TextKind::detect("{ \"role\": \"entry\""), Some(TextKind::Settings));
    /// assert_eq!(TextKind::detect("{ \"number\": 1, \"accounts\": [] }"), Some(TextKind::Manifest));
    /// assert_eq!(TextKind::detect(""), None);
    /// ```
    #[must_use]
    pub fn detect(text: &str) -> Option<Self> {
        let settings = count_top_level_keys(text, SETTINGS_KEYS);
        let manifest = count_top_level_keys(text, MANIFEST_KEYS);
        match settings.cmp(&manifest) {
            std::cmp::Ordering::Greater => Some(Self::Settings),
            std::cmp::Ordering::Less => Some(Self::Manifest),
            std::cmp::Ordering::Equal => None,
        }
    }
}

/// Number of top-level keys of a table that appear in a text.
fn count_top_level_keys(text: &str, tables: &[&[Key]]) -> usize {
    let keys = tables.iter().copied().flatten();
    let top_level = keys.filter(|key| !key.path.contains(['.', '[']));
    top_level
        .filter(|key| text.contains(&format!("\"{}\"", key.path)))
        .count()
}
