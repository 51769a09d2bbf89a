//! Models served by engines, and the store of their weights.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{PoolName, ServiceUnits};
use serde::{Deserialize, Serialize};

use crate::schema::Tree;

/// One model; every engine that serves it belongs to its pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model and of its pool.
    pub name: PoolName,
    /// Time a request has from arrival to its last byte, in milliseconds.
    pub deadline_ms: u64,
    /// Service units that a token counts.
    pub token_weights: TokenWeights,
    /// Times that 95 in 100 requests should meet.
    pub targets: Targets,
    /// Whether its engines refuse an order that carries an old fencing number.
    pub fenced: bool,
    /// Versions to keep loaded.
    pub versions: Vec<Version>,
    /// Adapters to keep loaded.
    pub adapters: Vec<Adapter>,
}

/// Service units that a token counts.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenWeights {
    /// Units of one token of the prompt.
    pub input: u32,
    /// Units of one generated token.
    pub output: u32,
}

/// Times that 95 in 100 requests should meet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    /// Arrival to first token, in milliseconds.
    pub first_token_ms: u64,
    /// One token to the next, in milliseconds.
    pub between_tokens_ms: u64,
}

/// A version of a model that is to be kept loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Name of the version.
    pub name: String,
    /// Replicas that shall serve it.
    pub replicas: u32,
    /// Size of its weights, in megabytes.
    pub megabytes: u64,
}

/// An adapter of a version that is to be kept loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Name of the adapter.
    pub name: String,
    /// Name of the version it belongs to.
    pub version: String,
    /// Replicas that shall hold it.
    pub replicas: u32,
    /// Size of the adapter, in megabytes.
    pub megabytes: u64,
}

/// What the store of model weights can give the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStore {
    /// Rate over all loads together, in megabytes a second.
    pub megabytes_per_s: u64,
    /// Loads at once.
    pub loads: u32,
}

impl Model {
    /// The time a request has from arrival to its last byte.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl TokenWeights {
    /// The service that so many tokens of prompt and answer count.
    ///
    /// ```
    /// use coltsfootnotch_manifest::TokenWeights;
    /// let weights = TokenWeights { input: 1, output: 4 };
    /// assert_eq!(weights.service(100, 10).0, 140);
    /// ```
    #[must_use]
    pub fn service(self, input_tokens: u64, output_tokens: u64) -> ServiceUnits {
        let input = input_tokens.saturating_mul(u64::from(self.input));
        let output = output_tokens.saturating_mul(u64::from(self.output));
        ServiceUnits(input.saturating_add(output))
    }
}

impl Targets {
    /// Arrival to first token.
    #[must_use]
    pub fn first_token(self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// One token to the next.
    #[must_use]
    pub fn between_tokens(self) -> Duration {
        Duration::from_millis(self.between_tokens_ms)
    }
}

impl WeightStore {
    /// The time that a load of so many megabytes takes when it has the store to itself.
    #[must_use]
    pub fn load_time(self, megabytes: u64) -> Duration {
        Duration::from_millis(megabytes.saturating_mul(1000) / self.megabytes_per_s.max(1))
    }
}

/// Versions and adapters are named within their model.
pub(super) fn check_models(tree: &mut Tree<'_>) {
    let count = tree
        .value
        .get("models")
        .and_then(|models| models.as_array())
        .map_or(0, Vec::len);
    for at in 0..count {
        let model = format!("models[{at}]");
        unique_within(tree, &model, "models[].versions[].name", "version");
        unique_within(tree, &model, "models[].adapters[].name", "adapter");
        let versions = within(tree, &model, "models[].versions[].name");
        for (path, version) in within(tree, &model, "models[].adapters[].version") {
            if !versions.iter().any(|(_, known)| *known == version) {
                let help = "list the version under \"versions\" of the same model".to_owned();
                tree.add(
                    &path,
                    format!("the model has no version {version:?}"),
                    Some(help),
                );
            }
        }
    }
}

fn within(tree: &Tree<'_>, model: &str, pattern: &str) -> Vec<(String, String)> {
    let start = format!("{model}.");
    tree.texts(pattern)
        .into_iter()
        .filter(|(path, _)| path.starts_with(&start))
        .collect()
}

fn unique_within(tree: &mut Tree<'_>, model: &str, pattern: &str, what: &str) {
    let mut seen = BTreeMap::new();
    for (path, name) in within(tree, model, pattern) {
        if seen.insert(name.clone(), ()).is_some() {
            let help = "give each its own name within the model".to_owned();
            tree.add(
                &path,
                format!("the {what} {name:?} is given twice"),
                Some(help),
            );
        }
    }
}
