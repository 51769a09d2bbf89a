//! Manifest keys: number, client accounts and classes.

use super::key::{Key, Kind, Presence, number};
use super::manifest_keys::MAX_DEADLINE_MS;

/// Keys of the number, client accounts and classes.
pub(super) const ACCOUNT_KEYS: &[Key] = &[
    Key::new(
        "number",
        number(1, 1 << 53, "count"),
        Presence::Required,
        "number of the manifest; one that is applied must have a higher number than the one in force",
    ),
    Key::new(
        "accounts",
        Kind::List { max: 20_000 },
        Presence::Required,
        "client accounts",
    ),
    Key::new(
        "accounts[]",
        Kind::Object,
        Presence::Required,
        "one client account",
    ),
    Key::new(
        "accounts[].name",
        Kind::Name,
        Presence::Required,
        "name of the account",
    ),
    Key::new(
        "accounts[].key_hashes",
        Kind::List { max: 8 },
        Presence::Required,
        "hashes of its bearer keys; more than one while keys are rotated",
    ),
    Key::new(
        "accounts[].key_hashes[]",
        Kind::Hash,
        Presence::Required,
        "SHA-256 of one bearer key",
    ),
    Key::new(
        "accounts[].weight",
        number(1, 10_000, "weight"),
        Presence::Default("1"),
        "share of contended capacity, in proportion to the weights of the others",
    ),
    Key::new(
        "accounts[].class",
        Kind::Name,
        Presence::Optional,
        "class whose deadline and histograms apply to its requests",
    ),
    Key::new(
        "accounts[].limits",
        Kind::Object,
        Presence::Default("{}"),
        "bounds on this account alone",
    ),
    Key::new(
        "accounts[].limits.queue",
        number(1, 1_000_000, "requests"),
        Presence::Default("1000"),
        "requests of the account that wait at once at one entry host; more are refused with 429",
    ),
    Key::new(
        "accounts[].limits.in_flight",
        number(1, 1_000_000, "requests"),
        Presence::Optional,
        "requests of the account that run at once through one entry host",
    ),
    Key::new(
        "accounts[].limits.requests_per_s",
        number(1, 1_000_000, "requests a second"),
        Presence::Optional,
        "requests of the account admitted a second at one entry host",
    ),
    Key::new(
        "classes",
        Kind::List { max: 64 },
        Presence::Default("[]"),
        "classes of accounts",
    ),
    Key::new("classes[]", Kind::Object, Presence::Required, "one class"),
    Key::new(
        "classes[].name",
        Kind::Name,
        Presence::Required,
        "name of the class",
    ),
    Key::new(
        "classes[].deadline_ms",
        number(1, MAX_DEADLINE_MS, "milliseconds"),
        Presence::Required,
        "time a request has from arrival to its last byte; the shorter of this and the pool's holds",
    ),
];
