//! The keys of a daemon's settings.

use super::key::{Key, Kind, Presence, number};

/// Every key of a settings file, grouped by subject.
pub const SETTINGS_KEYS: &[&[Key]] = &[DAEMON_KEYS];

const DAEMON_KEYS: &[Key] = &[
    Key::new(
        "role",
        Kind::Choice(&["entry", "sidecar", "control"]),
        Presence::Required,
        "what the daemon does on its host",
    ),
    Key::new(
        "host",
        Kind::Name,
        Presence::Required,
        "name of the host; its certificate names the same",
    ),
    Key::new(
        "domain",
        Kind::Name,
        Presence::Required,
        "failure domain of the host",
    ),
    Key::new(
        "region",
        Kind::Name,
        Presence::Required,
        "region of the failure domain",
    ),
    Key::new(
        "listen",
        Kind::Object,
        Presence::Required,
        "addresses the daemon listens on",
    ),
    Key::new(
        "listen.fleet",
        Kind::Address,
        Presence::Required,
        "UDP address for the other hosts of the fleet (QUIC, mutual TLS)",
    ),
    Key::new(
        "listen.callers",
        Kind::Address,
        Presence::Optional,
        "role entry, required there: TCP address for callers (HTTP/1.1)",
    ),
    Key::new(
        "listen.announce",
        Kind::LoopbackAddress,
        Presence::Optional,
        "role sidecar, required there: TCP address on which the upstreams of the host announce themselves (HTTP/1.1)",
    ),
    Key::new(
        "listen.admin",
        Kind::Address,
        Presence::Required,
        "TCP address of `/healthz`, `/readyz` and `/metrics`",
    ),
    Key::new(
        "control",
        Kind::List { max: 7 },
        Presence::Required,
        "the control group as it is when the fleet is first started",
    ),
    Key::new(
        "control[]",
        Kind::Object,
        Presence::Required,
        "one control host",
    ),
    Key::new(
        "control[].host",
        Kind::Name,
        Presence::Required,
        "name of the control host",
    ),
    Key::new(
        "control[].address",
        Kind::Address,
        Presence::Required,
        "its `listen.fleet` as other hosts reach it",
    ),
    Key::new(
        "control[].domain",
        Kind::Name,
        Presence::Required,
        "its failure domain",
    ),
    Key::new(
        "keys",
        Kind::Object,
        Presence::Required,
        "certificate files, as `coltsfootnotch keys` writes them",
    ),
    Key::new(
        "keys.ca",
        Kind::FilePath,
        Presence::Required,
        "certificate of the fleet's authority (PEM)",
    ),
    Key::new(
        "keys.certificate",
        Kind::FilePath,
        Presence::Required,
        "certificate of this host (PEM); names its role and host",
    ),
    Key::new(
        "keys.key",
        Kind::FilePath,
        Presence::Required,
        "private key of this host (PEM)",
    ),
    Key::new(
        "data",
        Kind::FilePath,
        Presence::Optional,
        "role control, required there: folder of the replicated log",
    ),
    Key::new(
        "log",
        Kind::Object,
        Presence::Default("{}"),
        "what is logged and where",
    ),
    Key::new(
        "log.level",
        Kind::Choice(&["error", "warn", "info", "debug", "trace"]),
        Presence::Default("\"info\""),
        "least severe level that is written",
    ),
    Key::new(
        "log.file",
        Kind::FilePath,
        Presence::Optional,
        "file to append to; without it the log goes to standard error",
    ),
    Key::new(
        "limits",
        Kind::Object,
        Presence::Default("{}"),
        "bounds on what callers and other hosts can make the daemon hold",
    ),
    Key::new(
        "limits.connections",
        number(1, 65_536, "connections"),
        Presence::Default("4096"),
        "callers connected at once; for one more, the one is closed that has waited for its caller for the longest, or it is refused if none waits",
    ),
    Key::new(
        "limits.header_bytes",
        number(1024, 1 << 20, "bytes"),
        Presence::Default("16384"),
        "request line and headers of one request",
    ),
    Key::new(
        "limits.body_bytes",
        number(1024, 64 << 20, "bytes"),
        Presence::Default("1048576"),
        "body of one request; a larger one is refused with 413",
    ),
    Key::new(
        "limits.memory_bytes",
        number(16 << 20, 64 << 30, "bytes"),
        Presence::Default("268435456"),
        "bodies and answers held at once, each body counted twice for its copies; above it requests are refused with 503; a quarter of as much besides for heads beyond 8 KiB",
    ),
    Key::new(
        "limits.queue_requests",
        number(1, 1_000_000, "requests"),
        Presence::Default("20000"),
        "requests that wait at once, over all accounts",
    ),
    Key::new(
        "limits.read_timeout_ms",
        number(100, 600_000, "milliseconds"),
        Presence::Default("10000"),
        "time a caller has to send its whole request",
    ),
    Key::new(
        "limits.write_timeout_ms",
        number(100, 600_000, "milliseconds"),
        Presence::Default("10000"),
        "time in which a caller must take some bytes of its answer",
    ),
    Key::new(
        "limits.upstreams",
        number(1, 1024, "upstreams"),
        Presence::Default("64"),
        "upstreams that may be announced at once on the host of a sidecar",
    ),
    Key::new(
        "limits.hosts",
        number(1, 100_000, "hosts"),
        Presence::Default("4096"),
        "hosts of the fleet that are connected or known at once",
    ),
    Key::new(
        "clock_drift_ppm",
        number(0, 100_000, "parts per million"),
        Presence::Default("1000"),
        "most by which the clocks of two hosts run apart; leases are kept shorter by twice as much",
    ),
    Key::new(
        "shutdown_ms",
        number(1000, 86_400_000, "milliseconds"),
        Presence::Default("600000"),
        "time that requests in progress have to finish on a graceful shutdown",
    ),
];
