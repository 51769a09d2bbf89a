//! The keys of settings and manifests, and the validation of texts against them.
//!
//! A table defines type, range, default and description of each key. Validation, default values and
//! the reference page are all derived from it.

mod account_keys;
mod document;
mod key;
mod manifest_keys;
mod model_keys;
mod scalar;
mod service_keys;
mod settings_keys;
mod validate;

pub use key::{Key, Kind, Presence};
pub use manifest_keys::MANIFEST_KEYS;
pub use settings_keys::SETTINGS_KEYS;

pub(crate) use document::Document;
pub(crate) use validate::parse_and_validate;
