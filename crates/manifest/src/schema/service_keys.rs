//! Keys of a manifest: plain services and the ledger of their calls.

use super::key::{Key, Kind, Need, number};
use super::manifest_keys::MAX_DEADLINE_MS;

/// Keys of plain services and the ledger.
pub(super) const SERVICE_KEYS: &[Key] = &[
    Key::new(
        "services",
        Kind::List { max: 1024 },
        Need::Default("[]"),
        "plain services; each is a pool",
    ),
    Key::new(
        "services[]",
        Kind::Object,
        Need::Required,
        "one plain service",
    ),
    Key::new(
        "services[].name",
        Kind::Name,
        Need::Required,
        "name of the service and of its pool",
    ),
    Key::new(
        "services[].prefix",
        Kind::PathPattern,
        Need::Required,
        "path under which callers reach it; it is cut off before the call is passed on",
    ),
    Key::new(
        "services[].cost",
        number(1, 1_000_000, "units a call"),
        Need::Default("100"),
        "service units that one call counts",
    ),
    Key::new(
        "services[].replicas",
        number(0, 10_000, "replicas"),
        Need::Default("1"),
        "replicas that are expected; `status` shows fewer as a warning",
    ),
    Key::new(
        "services[].deadline_ms",
        number(1, MAX_DEADLINE_MS, "milliseconds"),
        Need::Default("30000"),
        "time a call has from arrival to its last byte",
    ),
    Key::new(
        "services[].fenced",
        Kind::Flag,
        Need::Default("false"),
        "whether its processes refuse a call that carries an old fencing number",
    ),
    Key::new(
        "services[].calls",
        Kind::List { max: 256 },
        Need::Required,
        "calls that callers may make; others are refused with 404",
    ),
    Key::new(
        "services[].calls[]",
        Kind::Object,
        Need::Required,
        "one call",
    ),
    Key::new(
        "services[].calls[].method",
        Kind::Choice(&["GET", "HEAD", "POST", "PUT", "PATCH", "DELETE"]),
        Need::Required,
        "method of the call",
    ),
    Key::new(
        "services[].calls[].path",
        Kind::PathPattern,
        Need::Required,
        "path after the prefix; a segment `{name}` stands for any one segment",
    ),
    Key::new(
        "services[].calls[].repeatable",
        Kind::Flag,
        Need::Required,
        "whether it may be sent to a second upstream after a failure; one that may not needs an `Idempotency-Key`",
    ),
    Key::new(
        "services[].reread",
        Kind::Object,
        Need::Optional,
        "call that tells the outcome of an earlier call by its key; settles calls whose outcome was lost",
    ),
    Key::new(
        "services[].reread.method",
        Kind::Choice(&["GET", "HEAD"]),
        Need::Default("\"GET\""),
        "method of the call",
    ),
    Key::new(
        "services[].reread.path",
        Kind::PathPattern,
        Need::Required,
        "path after the prefix, with `{key}` for the idempotency key",
    ),
    Key::new(
        "ledger",
        Kind::Object,
        Need::Default("{}"),
        "record of calls that may not be repeated",
    ),
    Key::new(
        "ledger.keep_hours",
        number(1, 8760, "hours"),
        Need::Default("72"),
        "time for which the outcome of a call is kept; a key used again later is refused, never run",
    ),
];
