//! Settings and manifests: JSON with comments, checked, with findings by place.
//!
//! A text is parsed into a syntax tree with positions, walked against a table of [`Key`]s that holds
//! type, range, default and description of every key, and checked for duplicates and dangling
//! references. Every problem becomes a [`Finding`]; all of them are reported together, since an
//! operator who mends one key per run of `check` gives up. Only a text without findings becomes a
//! [`Settings`] or a [`Manifest`].
//!
//! Settings describe one daemon and are read once when it starts. A manifest describes the whole
//! fleet: it is applied by an operator, committed in the replicated log in its canonical form
//! ([`Manifest::to_body`]), sent to every host whole or as a [`ManifestDelta`], and looked up there
//! through a [`ConfigIndex`].

mod config_index;
mod delta;
mod digest;
mod finding;
mod findings;
mod key_hash;
mod line_index;
mod manifest;
mod nearest;
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
pub use schema::{Key, Kind, MANIFEST_KEYS, Need, SETTINGS_KEYS};
pub use settings::{ControlHost, KeyFiles, Limits, Listen, Log, LogLevel, Settings};
pub use text_kind::{TextKind, TextKindError};

/// The types that users of settings and manifests nearly always need.
pub mod prelude {
    pub use crate::{ConfigIndex, Findings, Manifest, ManifestDelta, Settings};
}
