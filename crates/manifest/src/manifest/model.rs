//! Models served by engines, and the store of their weights.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{PoolName, ServiceUnits};
use serde::{Deserialize, Serialize};

use crate::schema::Document;

/// One model; every engine that serves it belongs to its pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Model {
    /// Name of the model and of its pool.
    pub name: PoolName,
    /// Longest time from arrival to the last byte of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Service units per token.
    pub token_weights: TokenWeights,
    /// Latency targets for the 95th percentile.
    pub targets: Targets,
    /// Whether its engines refuse orders with a stale fencing number.
    pub fenced: bool,
    /// Versions to keep loaded.
    pub versions: Vec<Version>,
    /// Adapters to keep loaded.
    pub adapters: Vec<Adapter>,
}

/// Service units per token.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct TokenWeights {
    /// Units per prompt token.
    pub input: u32,
    /// Units per generated token.
    pub output: u32,
}

/// Latency targets for the 95th percentile.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Targets {
    /// Time from arrival to the first token, in milliseconds.
    pub first_token_ms: u64,
    /// Time between tokens, in milliseconds.
    pub between_tokens_ms: u64,
}

/// A version of a model to keep loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Version {
    /// Name of the version.
    pub name: String,
    /// Desired number of replicas.
    pub replicas: u32,
    /// Size of its weights, in megabytes.
    pub megabytes: u64,
}

/// An adapter of a version to keep loaded.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Adapter {
    /// Name of the adapter.
    pub name: String,
    /// Name of the version it belongs to.
    pub version: String,
    /// Desired number of replicas that have it loaded.
    pub replicas: u32,
    /// Size of the adapter, in megabytes.
    pub megabytes: u64,
}

/// Limits of the store of model weights, over the whole fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct WeightStore {
    /// Transfer rate of all loads together, in megabytes per second.
    pub megabytes_per_s: u64,
    /// Most concurrent loads.
    pub loads: u32,
}

impl Model {
    /// Longest time from arrival to the last byte of the answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }
}

impl TokenWeights {
    /// Service units of a request with this many prompt and answer tokens.
    ///
    /// ```
    /// use coltsfootnotch_manifest::TokenWeights;
    /// let weights = TokenWeights { input: 1, output: 4 };
    /// assert_eq!(weights.service_units(100, 10).0, 140);
    /// ```
    #[must_use]
    pub fn service_units(self, input_tokens: u64, output_tokens: u64) -> ServiceUnits {
        let input = input_tokens.saturating_mul(u64::from(self.input));
        let output = output_tokens.saturating_mul(u64::from(self.output));
        ServiceUnits(input.saturating_add(output))
    }
}

impl Targets {
    /// Time from arrival to the first token.
    #[must_use]
    pub fn first_token(self) -> Duration {
        Duration::from_millis(self.first_token_ms)
    }

    /// Time between tokens.
    #[must_use]
    pub fn between_tokens(self) -> Duration {
        Duration::from_millis(self.between_tokens_ms)
    }
}

impl WeightStore {
    /// Duration of a load of this size when no other load shares the store.
    #[must_use]
    pub fn load_time(self, megabytes: u64) -> Duration {
        Duration::from_millis(megabytes.saturating_mul(1000) / self.megabytes_per_s.max(1))
    }
}

/// Checks versions and adapters, whose names are scoped to their model.
pub(super) fn check_models(document: &mut Document<'_>) {
    let count = document
        .value
        .get("models")
        .and_then(|models| models.as_array())
        .map_or(0, Vec::len);
    for index in 0..count {
        let model = format!("models[{index}]");
        check_unique_in_model(document, &model, "models[].versions[].name", "version");
        check_unique_in_model(document, &model, "models[].adapters[].name", "adapter");
        let versions = strings_in_model(document, &model, "models[].versions[].name");
        for (path, version) in strings_in_model(document, &model, "models[].adapters[].version") {
            if !versions.iter().any(|(_, name)| *name == version) {
                let help = "list the version under \"versions\" of the same model".to_owned();
                document.report(
                    &path,
                    format!("the model has no version {version:?}"),
                    Some(help),
                );
            }
        }
    }
}

fn strings_in_model(document: &Document<'_>, model: &str, pattern: &str) -> Vec<(String, String)> {
    let prefix = format!("{model}.");
    document
        .strings_at(pattern)
        .into_iter()
        .filter(|(path, _)| path.starts_with(&prefix))
        .collect()
}

fn check_unique_in_model(document: &mut Document<'_>, model: &str, pattern: &str, what: &str) {
    let mut seen = BTreeMap::new();
    for (path, name) in strings_in_model(document, model, pattern) {
        if seen.insert(name.clone(), ()).is_some() {
            let help = "use a name that is unique within the model".to_owned();
            document.report(&path, format!("duplicate {what} {name:?}"), Some(help));
        }
    }
}
