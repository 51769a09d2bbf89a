//! Parsing and validation of settings and manifests, which are written as JSON with comments.
//!
//! A text is parsed into a syntax tree with positions, validated against a table of [`Key`]s that
//! holds type, range, default and description of every key, and checked for duplicates and dangling
//! references. Every problem becomes a [`Finding`] with its line and column, and all findings are
//! reported together. Only a text without findings becomes a [`Settings`] or a [`Manifest`].
//!
//! Settings describe one daemon and are read once when it starts. A manifest describes the whole
//! fleet: an operator applies it, the replicated log commits it in its canonical form
//! ([`Manifest::to_body`]), and every host receives it in full or as a [`ManifestDelta`] and looks
//! up entries through a [`ConfigIndex`].

mod config_index;
mod delta;
mod digest;
mod edit_distance;
mod finding;
mod findings;
mod key_hash;
mod line_index;
mod manifest;
mod path_pattern;
mod reference;
mod schema;
mod settings;
mod text_kind;

pub use config_index::{CallMatch, ConfigIndex};
pub use delta::{DeltaError, ListDelta, ManifestDelta};
pub use digest::Digest;
pub use finding::Finding;
pub use findings::Findings;
pub use key_hash::{KeyHash, KeyHashError};
pub use manifest::{
    Account, AccountLimits, Adapter, BodyError, Call, Class, Ledger, MAX_BODY_BYTES, Manifest,
    Method, Model, Reread, Service, Targets, TokenWeights, Version, WeightStore,
};
pub use path_pattern::{PathPattern, PathPatternError};
pub use reference::reference;
pub use schema::{Key, Kind, MANIFEST_KEYS, Presence, SETTINGS_KEYS};
pub use settings::{ControlHost, KeyFiles, Limits, Listen, Log, LogLevel, Settings};
pub use text_kind::{TextKind, TextKindError};

/// The most commonly used types of this crate.
pub mod prelude {
    pub use crate::{ConfigIndex, Findings, Manifest, ManifestDelta, Settings};
}
