//! Numbered log events: the catalogue, and the one place that writes them.
//!
//! An operator finds an event by its number in `docs/EVENTS.md` or with `coltsfootnotch explain`;
//! a test holds both together.

use std::fmt::Display;

use log::kv::Value;
use log::{Level, Record};

use crate::core::HostIdentity;
use crate::util::json_log::REQUEST_TARGET;

/// One event of the catalogue.
#[derive(Debug, PartialEq, Eq)]
pub struct EventDef {
    /// Its number, written `CFN-0001`.
    pub number: u16,
    /// How severe it is.
    pub level: Level,
    /// What happened.
    pub text: &'static str,
    /// What an operator does about it.
    pub action: &'static str,
}

impl EventDef {
    /// The code by which the event is looked up.
    #[must_use]
    pub fn code(&self) -> String {
        format!("CFN-{:04}", self.number)
    }
}

/// A named value of an event.
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

        /// Every event, by number.
        pub const CATALOGUE: &[&EventDef] = &[$(&$name),*];
    };
}

catalogue! {
    DAEMON_STARTED = 1 Info "daemon started" => "nothing";
    CONFIG_IN_FORCE = 2 Info "configuration in force" => "nothing";
    SHUTDOWN_STARTED = 3 Info "graceful shutdown started" => "nothing; a second signal ends the daemon at once";
    DAEMON_STOPPED = 4 Info "daemon stopped" => "nothing";
    CONFIG_UNDECODABLE = 5 Error "a configuration does not decode and is not taken" => "compare the versions of the daemons; the configuration before stays in force";
    SHUTDOWN_FORCED = 6 Warn "ended with requests in progress" => "raise shutdown_ms if requests run longer";
    LINK_UP = 10 Info "connection to a host is up" => "nothing";
    LINK_DOWN = 11 Warn "connection to a host is gone" => "if it stays away, look at that host and the network between";
    MESSAGE_FORBIDDEN = 12 Error "a host sent what its role may not send" => "treat that host's key as stolen: see SECURITY.md";
    UPSTREAM_ANNOUNCED = 20 Info "an upstream announced itself" => "nothing";
    UPSTREAM_SILENT = 21 Warn "an upstream stopped announcing itself" => "look at the upstream; it receives no new work";
    UPSTREAM_LEAVING = 22 Info "an upstream is leaving" => "nothing";
    ANNOUNCEMENT_REFUSED = 23 Warn "an announcement is not valid" => "mend what the upstream sends: see INTERFACE.md";
    ATTEMPT_FAILED = 30 Warn "an attempt failed after it had started" => "look at the upstream named";
    RESPONSE_CHUNK_DROPPED = 31 Warn "a late or crossed piece of an answer was dropped" => "nothing: it reached no caller; report it if it repeats";
    CRASH_SUSPECTED = 32 Warn "a request is suspected of crashing upstreams" => "nothing; it is refused after a second crash";
    UPSTREAM_CRASHED = 33 Warn "an upstream crashed with requests in flight" => "look at the upstream; requests that were in flight are suspects and run apart";
    LEADER_ELECTED = 40 Info "this control host leads the group" => "nothing";
    LEADER_LOST = 41 Info "this control host no longer leads" => "nothing unless no other host reports CFN-0040";
    STORAGE_CORRUPT = 42 Error "the replicated log on disk is corrupt" => "replace this member: see OPERATIONS.md";
    SYNC_FAILED = 43 Error "a write could not be synced; the daemon stops" => "check the disk, then replace this member: see OPERATIONS.md";
    CONFIG_ACCEPTED = 44 Info "a configuration was accepted" => "nothing";
    HOST_SILENT = 45 Warn "a host of the failure domain is silent" => "look at that host; it receives no new work";
    GROUP_BOOTSTRAPPED = 46 Info "this control host founds the group" => "nothing; once in the life of a fleet";
    MEMBERS_CHANGING = 47 Info "the leader changes the members of the control group" => "nothing unless it repeats: then a control host comes and goes";
    NO_GROUP = 48 Warn "this control host belongs to no control group" => "nothing on a host without a disk; otherwise the reason names what is missing: a seed that is not heard, holds entries of a group that has yet to admit this host, or names others; see OPERATIONS.md";
    BOOTSTRAP_FAILED = 49 Error "the control group could not be founded" => "a fault of this program unless the reason says that there is a group already";
    OUTCOME_UNKNOWN = 50 Warn "whether a call that may not be repeated ran is not known" => "nothing: later calls with its key are told so; a rereading call may settle it";
    ORDER_SENT = 60 Info "an engine is given an order" => "nothing";
    ORDER_COMPLETED = 61 Info "an engine has carried out an order" => "nothing";
    ORDER_REFUSED = 62 Warn "an engine refused an order for its old fencing number" => "nothing unless it repeats: then the engine has been given a number from elsewhere";
    ORDER_FAILED = 63 Warn "an order to an engine failed; it is given again after a pause" => "look at the engine named";
    REQUEST_ANSWERED = 70 Info "an upstream answered a request" => "nothing; one request in 32 has this line";
    REQUEST_REFUSED = 71 Info "a request was refused; it did not run" => "nothing unless it repeats: the reason says what is short";
    UPSTREAM_REQUEST_FAILED = 72 Warn "a request sent to an upstream had no whole answer" => "look at the upstream named";
    STREAM_RESUMED = 73 Info "another upstream goes on with a stream" => "look at the upstream of the lines before";
    STREAM_ABORTED = 74 Warn "a stream was broken off" => "look at the upstream of the lines before";
    LEASE_LOST = 75 Warn "whether the configuration is the newest is not confirmed any more" => "look at the control hosts; requests with keys are refused until it is";
    LEASE_REGAINED = 76 Info "the configuration is confirmed again" => "nothing";
    CONTROL_HOST_CHANGED = 77 Info "another control host is followed" => "nothing";
    PROCESS_PAUSED = 78 Warn "this host stood still; what waited meanwhile is refused" => "look at the machine if it repeats";
    OVERLOADED = 79 Warn "this host has more callers than it can read and sends them elsewhere" => "look at how the balancer spreads callers if it repeats";
    NOT_OVERLOADED = 80 Info "this host takes callers again" => "nothing";
    BACKLOG_LIMIT_LOWERED = 81 Info "streams of an engine paused for long; less may wait there" => "nothing unless it repeats for one engine and not the others: then that engine is slow";
    MEMBERS_CHANGED = 90 Info "the members of the control group have changed" => "nothing; a voter that left for good has to disappear from the voters soon after";
    NO_LEADER = 91 Error "this member of the control group knows no leader" => "if fewer voters are connected than needed, start the missing ones again with their disks; otherwise look at the connections between the voters";
}

/// Looks an event up by its code, in any case, with or without the prefix.
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

/// Writes one event as a structured line: as text, and as fields for whoever writes those.
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
