//! The catalogue of numbered log events, and the function that logs them.
//!
//! Operators look an event up by its number in `docs/EVENTS.md` or with `coltsfootnotch explain`; a
//! test checks that the page matches the catalogue.

use std::fmt::Display;

use log::kv::Value;
use log::{Level, Record};

use crate::core::HostIdentity;
use crate::util::json_log::REQUEST_TARGET;

/// An event of the catalogue.
#[derive(Debug, PartialEq, Eq)]
pub struct EventDef {
    /// Event number; 1 is written `CFN-0001`.
    pub number: u16,
    /// Log level.
    pub level: Level,
    /// What happened.
    pub text: &'static str,
    /// What an operator should do.
    pub action: &'static str,
}

impl EventDef {
    /// The event code, such as `CFN-0001`.
    #[must_use]
    pub fn code(&self) -> String {
        format!("CFN-{:04}", self.number)
    }
}

/// A named field of an event.
pub type Field<'a> = (&'a str, &'a dyn Display);

macro_rules! catalogue {
    ($($(#[$doc:meta])* $name:ident = $number:literal $level:ident $text:literal => $action:literal;)*) => {
        $(
            $(#[$doc])*
            #[doc = $text]
            pub const $name: EventDef = EventDef {
                number: $number,
                level: Level::$level,
                text: $text,
                action: $action,
            };
        )*

        /// Every event, in ascending order of number.
        pub const CATALOGUE: &[&EventDef] = &[$(&$name),*];
    };
}

catalogue! {
    DAEMON_STARTED = 1 Info "daemon started" => "nothing";
    CONFIG_IN_FORCE = 2 Info "configuration in force" => "nothing";
    SHUTDOWN_STARTED = 3 Info "graceful shutdown started" => "nothing; a second signal ends the daemon at once";
    DAEMON_STOPPED = 4 Info "daemon stopped" => "nothing";
    CONFIG_UNDECODABLE = 5 Error "a configuration cannot be decoded and is rejected" => "compare the versions of the daemons; the previous configuration stays in force";
    SHUTDOWN_FORCED = 6 Warn "stopped with requests in progress" => "raise shutdown_ms if requests run longer";
    CONFIG_PATCH_REFUSED = 7 Warn "a patch of the configuration could not be applied; the whole one is requested" => "nothing unless it repeats: then compare the versions of the daemons";
    CONNECTIONS_CLOSING = 8 Info "a stopping host accepts no more connections and closes those without a request" => "nothing; late_ms tells how far its event loop is behind";
    CONNECTIONS_CLOSED_UNREAD = 9 Warn "connections were closed with bytes of their callers unread" => "callers may have got no response to a whole request: compare late_ms of CFN-0008, and report it with the lines of the stop";
    LINK_UP = 10 Info "connection to a host is up" => "nothing";
    LINK_DOWN = 11 Warn "connection to a host is lost" => "if it is not restored, check that host and the network in between";
    MESSAGE_FORBIDDEN = 12 Error "a host sent a message that its role may not send" => "treat that host's key as compromised: see SECURITY.md";
    UPSTREAM_ANNOUNCED = 20 Info "an upstream announced itself" => "nothing";
    UPSTREAM_SILENT = 21 Warn "an upstream stopped announcing itself" => "check the upstream; it receives no new work";
    UPSTREAM_LEAVING = 22 Info "an upstream is leaving" => "nothing";
    ANNOUNCEMENT_REFUSED = 23 Warn "an announcement is not valid" => "correct what the upstream sends: see INTERFACE.md";
    ATTEMPT_FAILED = 30 Warn "an attempt failed after it had started" => "check the upstream named";
    RESPONSE_CHUNK_DROPPED = 31 Warn "a late or misdirected chunk of a response was dropped" => "nothing: no caller received it; report it if it repeats";
    CRASH_SUSPECTED = 32 Warn "a request is suspected of crashing upstreams" => "nothing; it is refused after a second crash";
    UPSTREAM_CRASHED = 33 Warn "an upstream crashed with requests in flight" => "check the upstream; the requests in flight are suspects and run in isolation";
    LEADER_ELECTED = 40 Info "this control host leads the group" => "nothing";
    LEADER_LOST = 41 Info "this control host no longer leads" => "nothing unless no other host reports CFN-0040";
    STORAGE_CORRUPT = 42 Error "the replicated log on disk is corrupt" => "replace this member: see OPERATIONS.md";
    SYNC_FAILED = 43 Error "a write could not be synced; the daemon stops" => "check the disk, then replace this member: see OPERATIONS.md";
    CONFIG_ACCEPTED = 44 Info "a configuration was accepted" => "nothing";
    HOST_SILENT = 45 Warn "a host of the failure domain is silent" => "check that host; it receives no new work";
    GROUP_BOOTSTRAPPED = 46 Info "this control host bootstraps the group" => "nothing; once in the life of a fleet";
    MEMBERS_CHANGING = 47 Info "the leader changes the members of the control group" => "nothing unless it repeats: then a control host connects and disconnects repeatedly";
    NO_GROUP = 48 Warn "this control host belongs to no control group" => "nothing on a host without a disk; otherwise the reason names what is missing: a seed that is not connected, that holds entries of a group which has not yet admitted this host, or that names other seeds; see OPERATIONS.md";
    BOOTSTRAP_FAILED = 49 Error "the control group could not be bootstrapped" => "a bug in this program unless the reason says that a group exists already";
    OUTCOME_UNKNOWN = 50 Warn "it is not known whether a call that may not be repeated ran" => "nothing: later calls with its key report this; a reread call may resolve it";
    ORDER_SENT = 60 Info "an order was sent to an engine" => "nothing";
    ORDER_COMPLETED = 61 Info "an engine completed an order" => "nothing";
    ORDER_REFUSED = 62 Warn "an engine refused an order for its old fencing number" => "nothing unless it repeats: then the engine received a number from another source";
    ORDER_FAILED = 63 Warn "an order to an engine failed; it is retried after a delay" => "check the engine named";
    REQUEST_ANSWERED = 70 Info "an upstream answered a request" => "nothing; logged for one request in 32";
    REQUEST_REFUSED = 71 Info "a request was refused; it did not run" => "nothing unless it repeats: the reason names what is exhausted or missing";
    UPSTREAM_REQUEST_FAILED = 72 Warn "a request sent to an upstream got no complete response" => "check the upstream named";
    STREAM_RESUMED = 73 Info "a stream was resumed at another upstream" => "check the upstream named in the preceding events";
    STREAM_ABORTED = 74 Warn "a stream was aborted" => "check the upstream named in the preceding events";
    LEASE_LOST = 75 Warn "the configuration is no longer confirmed to be the newest" => "check the control hosts; requests with keys are refused until it is confirmed";
    LEASE_REGAINED = 76 Info "the configuration is confirmed again" => "nothing";
    CONTROL_HOST_CHANGED = 77 Info "switched to another control host" => "nothing";
    PROCESS_PAUSED = 78 Warn "the process was paused; requests that waited meanwhile are refused" => "check the machine if it repeats";
    OVERLOADED = 79 Warn "this host is overloaded and sends callers to other hosts" => "if it repeats, check how the load balancer distributes callers";
    NOT_OVERLOADED = 80 Info "this host accepts callers again" => "nothing";
    BACKLOG_LIMIT_LOWERED = 81 Info "streams of an engine paused for a long time; its backlog limit was lowered" => "nothing unless it repeats for one engine and not the others: then that engine is slow";
    EVACUATION_STARTED = 82 Info "a failure domain is evacuated; its upstreams get no new requests" => "nothing; the operator's order to end it makes its upstreams available again";
    EVACUATION_ENDED = 83 Info "the evacuation of a failure domain has ended" => "nothing; its upstreams count as cold at first";
    CALL_ABANDONED = 84 Info "an operator's call was dropped, since the caller left before it was proposed" => "nothing; the caller sends it again";
    HANDOVER_STARTED = 85 Warn "this host has more callers than it can serve and hands connections over to its neighbours" => "if it repeats, check how the load balancer distributes callers";
    HANDOVER_ENDED = 86 Info "this host serves all its connections again" => "nothing";
    REFUSALS_SUMMED = 87 Info "requests of an account were refused and not logged one by one" => "as for CFN-0071";
    ACCOUNT_LIMITED = 88 Info "an account got less than it asked for" => "compare the units of the accounts that ask for more than they get: if one gets less than half of another, look at CFN-0071, CFN-0087 and CFN-0079 of the entries that its callers use";
    NEIGHBOUR_LOST = 89 Warn "a neighbour was gone before it responded to a caller that was handed over to it" => "check the neighbour named; the caller got a 502";
    MEMBERS_CHANGED = 90 Info "the members of the control group have changed" => "nothing; a voter that left permanently should disappear from the voters soon after";
    NO_LEADER = 91 Error "this member of the control group knows no leader" => "if fewer voters are connected than needed, start the missing ones again with their disks; otherwise check the connections between the voters";
    UPSTREAM_BACKOFF_REQUESTED = 92 Info "an upstream refused a request and asked for no more for a time" => "nothing unless it repeats; then check the load of the upstream named";
    RESPONSE_ENDED_WITH_CONNECTION = 93 Info "a response had neither a length nor chunks and ended with its upstream's connection" => "nothing; whether it was complete can't be known, so if a caller misses a part, look for CFN-0021 and the end of the upstream named at that time";
    STREAM_TAKEN_UP = 94 Info "a caller resumes a stream that began with an earlier request" => "nothing; the versions of both requests' upstreams have to be the same, and known_by tells how that of the first is known";
    UPSTREAM_BROKE_OFF = 95 Warn "an upstream broke off a request before it began to answer" => "check the upstream; if several break off requests that share a segment, its caller should be asked about it";
    SEGMENTS_REFUSED = 96 Error "requests with prompt segments that crash upstreams are refused" => "find whose prompts have all of the segments named; they are accepted again ten minutes after the last crash, or after this host and the control hosts were restarted at once";
    HOST_FULL = 97 Warn "this host holds nearly as much for its callers as it may and refuses requests" => "see the metrics held_bytes and held_sockets for what it holds; callers that read or send slowly, or more callers than its memory and sockets allow for";
    HOST_NOT_FULL = 98 Info "this host has room for requests again" => "nothing";
    LOAD_OLD = 99 Warn "the load of the other entries is more than a second old" => "look at the control host that CFN-0077 names last: whether it runs, and how many entries report to it (metric entries_reporting)";
    EARLIER_RETRIES_KNOWN = 102 Info "it is known what earlier processes of this host have sent to upstreams lately" => "nothing; their retries count in the budget of this one";
    EARLIER_RETRIES_UNKNOWN = 103 Warn "control hosts don't know how much earlier processes of this host have sent again" => "nothing unless it repeats: for a window after its start the host uses a quarter of its retry budget and no slack, as after a start of the control hosts; check whether it is connected to all of them";
    RESPONSE_WITHOUT_END = 104 Warn "an upstream sends bytes that become no response; its connection was closed" => "check the upstream named: what it sends, and INTERFACE.md for what it may send";
    PANICKED = 105 Error "a panic ended a request, a connection or the process" => "report it with place and reason; if CFN-0001 follows, the process ended, and what it had in progress got no response";
    EVACUATION_SUPERSEDED = 106 Info "an order to start or end an evacuation was not applied, since another one for the failure domain was accepted that this host did not know" => "nothing; a caller that still waits sends it again";
}

/// Finds an event by its code, ignoring case; the prefix `CFN-` is optional.
///
/// ```
/// use coltsfootnotch::util::events::find;
/// assert_eq!(find("cfn-0001").map(|event| event.text), Some("daemon started"));
/// assert_eq!(find("CFN-9999"), None);
/// ```
#[must_use]
pub fn find(code: &str) -> Option<&'static EventDef> {
    let upper = code.trim().to_ascii_uppercase();
    let number: u16 = upper.strip_prefix("CFN-").unwrap_or(&upper).parse().ok()?;
    CATALOGUE
        .iter()
        .copied()
        .find(|event| event.number == number)
}

/// Logs an event, both as a line of text and as structured fields.
pub fn log_event(identity: &HostIdentity, event: &EventDef, fields: &[Field<'_>]) {
    let is_request = fields.iter().any(|(name, _)| *name == "request");
    let target = if is_request {
        REQUEST_TARGET
    } else {
        "coltsfootnotch"
    };
    let logger = log::logger();
    let record = Record::builder().level(event.level).target(target).build();
    if !logger.enabled(record.metadata()) {
        return;
    }
    let code = event.code();
    let (host, role) = (&identity.host, &identity.role);
    let mut line = format!("{code} {} host={host} role={role}", event.text);
    let mut pairs = vec![
        ("code", Value::from_display(&code)),
        ("event", Value::from_display(&event.text)),
        ("host", Value::from_display(host)),
        ("role", Value::from_display(role)),
    ];
    for (name, value) in fields {
        line.push_str(&format!(" {name}={value}"));
        pairs.push((*name, Value::from_display(value)));
    }
    logger.log(
        &Record::builder()
            .level(event.level)
            .target(target)
            .args(format_args!("{line}"))
            .key_values(&pairs)
            .build(),
    );
}
