//! Whether a text is settings or a manifest.

use std::str::FromStr;

use derive_more::{Display, Error};

use crate::schema::{Key, MANIFEST_KEYS, SETTINGS_KEYS};

/// What a text describes.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum TextKind {
    /// One daemon.
    #[display("settings")]
    Settings,
    /// The whole fleet.
    #[display("manifest")]
    Manifest,
}

/// The text names no kind.
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
    /// Recognises a text by the keys it holds, also when it is not valid JSON; none when both kinds
    /// are as likely.
    ///
    /// ```
    /// use coltsfootnotch_manifest::TextKind;
    /// assert_eq!(TextKind::of("{ \"role\": \"entry\""), Some(TextKind::Settings));
    /// assert_eq!(TextKind::of("{ \"number\": 1, \"accounts\": [] }"), Some(TextKind::Manifest));
    /// assert_eq!(TextKind::of(""), None);
    /// ```
    #[must_use]
    pub fn of(text: &str) -> Option<Self> {
        let settings = held(text, SETTINGS_KEYS);
        let manifest = held(text, MANIFEST_KEYS);
        match settings.cmp(&manifest) {
            std::cmp::Ordering::Greater => Some(Self::Settings),
            std::cmp::Ordering::Less => Some(Self::Manifest),
            std::cmp::Ordering::Equal => None,
        }
    }
}

/// How many of the outermost keys of a table a text holds.
fn held(text: &str, tables: &[&[Key]]) -> usize {
    let keys = tables.iter().copied().flatten();
    let outermost = keys.filter(|key| !key.path.contains(['.', '[']));
    outermost
        .filter(|key| text.contains(&format!("\"{}\"", key.path)))
        .count()
}
