//! Manifest keys: models and the store of their weights.

use super::key::{Key, Kind, Presence, number};
use super::manifest_keys::MAX_DEADLINE_MS;

/// Keys of models and the store of their weights.
pub(super) const MODEL_KEYS: &[Key] = &[
    Key::new(
        "models",
        Kind::List { max: 1024 },
        Presence::Default("[]"),
        "models served by engines; each is a pool",
    ),
    Key::new("models[]", Kind::Object, Presence::Required, "one model"),
    Key::new(
        "models[].name",
        Kind::Name,
        Presence::Required,
        "name of the model and of its pool",
    ),
    Key::new(
        "models[].deadline_ms",
        number(1, MAX_DEADLINE_MS, "milliseconds"),
        Presence::Default("120000"),
        "time a request has from arrival to its last byte",
    ),
    Key::new(
        "models[].token_weights",
        Kind::Object,
        Presence::Default("{}"),
        "service units that a token counts",
    ),
    Key::new(
        "models[].token_weights.input",
        number(0, 1000, "units a token"),
        Presence::Default("1"),
        "units of one token of the prompt",
    ),
    Key::new(
        "models[].token_weights.output",
        number(1, 1000, "units a token"),
        Presence::Default("4"),
        "units of one generated token",
    ),
    Key::new(
        "models[].targets",
        Kind::Object,
        Presence::Default("{}"),
        "times that 95 in 100 requests should meet",
    ),
    Key::new(
        "models[].targets.first_token_ms",
        number(1, 600_000, "milliseconds"),
        Presence::Default("1100"),
        "arrival to first token",
    ),
    Key::new(
        "models[].targets.between_tokens_ms",
        number(1, 60_000, "milliseconds"),
        Presence::Default("28"),
        "one token to the next",
    ),
    Key::new(
        "models[].fenced",
        Kind::Bool,
        Presence::Default("false"),
        "whether its engines refuse an order that carries an old fencing number",
    ),
    Key::new(
        "models[].versions",
        Kind::List { max: 16 },
        Presence::Default("[]"),
        "versions to keep loaded",
    ),
    Key::new(
        "models[].versions[]",
        Kind::Object,
        Presence::Required,
        "one version",
    ),
    Key::new(
        "models[].versions[].name",
        Kind::Name,
        Presence::Required,
        "name of the version",
    ),
    Key::new(
        "models[].versions[].replicas",
        number(0, 10_000, "replicas"),
        Presence::Required,
        "replicas that shall serve it",
    ),
    Key::new(
        "models[].versions[].megabytes",
        number(1, 10_000_000, "megabytes"),
        Presence::Default("16000"),
        "size of its weights; paces the loading",
    ),
    Key::new(
        "models[].adapters",
        Kind::List { max: 256 },
        Presence::Default("[]"),
        "adapters to keep loaded",
    ),
    Key::new(
        "models[].adapters[]",
        Kind::Object,
        Presence::Required,
        "one adapter",
    ),
    Key::new(
        "models[].adapters[].name",
        Kind::Name,
        Presence::Required,
        "name of the adapter",
    ),
    Key::new(
        "models[].adapters[].version",
        Kind::Name,
        Presence::Required,
        "version it belongs to",
    ),
    Key::new(
        "models[].adapters[].replicas",
        number(0, 10_000, "replicas"),
        Presence::Required,
        "replicas that shall hold it",
    ),
    Key::new(
        "models[].adapters[].megabytes",
        number(1, 1_000_000, "megabytes"),
        Presence::Default("200"),
        "size of the adapter; paces the loading",
    ),
    Key::new(
        "weight_store",
        Kind::Object,
        Presence::Default("{}"),
        "what the store of model weights can give the whole fleet",
    ),
    Key::new(
        "weight_store.megabytes_per_s",
        number(1, 1_000_000, "megabytes a second"),
        Presence::Default("1000"),
        "rate over all loads together",
    ),
    Key::new(
        "weight_store.loads",
        number(1, 1000, "loads"),
        Presence::Default("4"),
        "loads at once",
    ),
];
