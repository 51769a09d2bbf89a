//! The keys of settings and manifests, and the walk that checks a text against them.
//!
//! One table says for each key its type, range, default and meaning. The walk, the defaults that the
//! daemon runs with and the reference page come from the same rows, so they cannot disagree.

mod account_keys;
mod key;
mod manifest_keys;
mod model_keys;
mod scalar;
mod service_keys;
mod settings_keys;
mod tree;
mod walk;

pub use key::{Key, Kind, Need};
pub use manifest_keys::MANIFEST_KEYS;
pub use settings_keys::SETTINGS_KEYS;

pub(crate) use tree::Tree;
pub(crate) use walk::read;
