//! Manifest keys: plain services and the ledger of their calls.

use super::key::{Key, Kind, Presence, number};
use super::manifest_keys::MAX_DEADLINE_MS;

/// Keys of plain services and the ledger.
pub(super) const SERVICE_KEYS: &[Key] = &[
    Key::new(
        "services",
        Kind::List { max: 1024 },
        Presence::Default("[]"),
        "plain services; each is a pool",
    ),
    Key::new(
        "services[]",
        Kind::Object,
        Presence::Required,
        "one plain service",
    ),
    Key::new(
        "services[].name",
        Kind::Name,
        Presence::Required,
        "name of the service and of its pool",
    ),
    Key::new(
        "services[].prefix",
        Kind::PathPattern,
        Presence::Required,
        "path under which callers reach it; it is cut off before the call is passed on",
    ),
    Key::new(
        "services[].cost",
        number(1, 1_000_000, "units a call"),
        Presence::Default("100"),
        "service units that one call counts",
    ),
    Key::new(
        "services[].replicas",
        number(0, 10_000, "replicas"),
        Presence::Default("1"),
        "replicas that are expected; `status` shows fewer as a warning",
    ),
    Key::new(
        "services[].deadline_ms",
        number(1, MAX_DEADLINE_MS, "milliseconds"),
        Presence::Default("30000"),
        "time a call has from arrival to its last byte",
    ),
    Key::new(
        "services[].fenced",
        Kind::Bool,
        Presence::Default("false"),
        "whether its processes refuse a call that carries an old fencing number",
    ),
    Key::new(
        "services[].calls",
        Kind::List { max: 256 },
        Presence::Required,
        "calls that callers may make; others are refused with 404",
    ),
    Key::new(
        "services[].calls[]",
        Kind::Object,
        Presence::Required,
        "one call",
    ),
    Key::new(
        "services[].calls[].method",
        Kind::Choice(&["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
        Presence::Required,
        "method of the call",
    ),
    Key::new(
        "services[].calls[].path",
        Kind::PathPattern,
        Presence::Required,
        "path after the prefix; a segment `{name}` stands for any one segment",
    ),
    Key::new(
        "services[].calls[].repeatable",
        Kind::Bool,
        Presence::Required,
        "whether it may be sent to a second upstream after a failure; one that may not needs an `Idempotency-Key`",
    ),
    Key::new(
        "services[].reread",
        Kind::Object,
        Presence::Optional,
        "call that tells the outcome of an earlier call by its key; settles calls whose outcome was lost",
    ),
    Key::new(
        "services[].reread.method",
        Kind::Choice(&["GET", "HEAD"]),
        Presence::Default("\"GET\""),
        "method of the call",
    ),
    Key::new(
        "services[].reread.path",
        Kind::PathPattern,
        Presence::Required,
        "path after the prefix, with `{key}` for the idempotency key",
    ),
    Key::new(
        "ledger",
        Kind::Object,
        Presence::Default("{}"),
        "record of calls that may not be repeated",
    ),
    Key::new(
        "ledger.keep_hours",
        number(1, 8760, "hours"),
        Presence::Default("72"),
        "time for which the outcome of a call is kept; a key used again later is refused, never run",
    ),
];
