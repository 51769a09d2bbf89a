//! Plain services, their calls, and the ledger of calls that may not be repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{PoolName, ServiceUnits};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::PathPattern;
use crate::schema::Document;

/// First path segments that entry hosts serve themselves.
const RESERVED_PREFIXES: [&str; 4] = ["v1", "healthz", "readyz", "metrics"];

/// One plain service; every process that serves it belongs to its pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service and of its pool.
    pub name: PoolName,
    /// Path under which clients reach the service.
    pub prefix: PathPattern,
    /// Service units per call.
    pub cost: u64,
    /// Expected number of replicas.
    pub replicas: u32,
    /// Longest time from arrival to the last byte of the answer, in milliseconds.
    pub deadline_ms: u64,
    /// Whether its processes refuse calls with a stale fencing number.
    pub fenced: bool,
    /// Calls that clients may make.
    pub calls: Vec<Call>,
    /// Call that looks up the outcome of an earlier call by its idempotency key.
    pub reread: Option<Reread>,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// HTTP method.
    pub method: Method,
    /// Path below the prefix.
    pub path: PathPattern,
    /// Whether the call may be retried on another upstream after a failure.
    pub repeatable: bool,
}

/// The call that looks up the outcome of an earlier call by its idempotency key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reread {
    /// HTTP method.
    pub method: Method,
    /// Path below the prefix, with `{key}` for the idempotency key.
    pub path: PathPattern,
}

/// HTTP methods of service calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Retrieves a resource.
    #[display("GET")]
    Get,
    /// Retrieves the headers of a resource.
    #[display("HEAD")]
    Head,
    /// Submits data; repeating it has a further effect.
    #[display("POST")]
    Post,
    /// Replaces a resource.
    #[display("PUT")]
    Put,
    /// Modifies a part of a resource.
    #[display("PATCH")]
    Patch,
    /// Deletes a resource.
    #[display("DELETE")]
    Delete,
}

/// Settings of the ledger of calls that may not be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Time for which outcomes of calls are retained, in hours.
    pub keep_hours: u32,
}

impl Service {
    /// Longest time from arrival to the last byte of the answer.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// Service units of one call.
    #[must_use]
    pub fn service_units(&self) -> ServiceUnits {
        ServiceUnits(self.cost)
    }

    /// The part of `path` after the prefix, or `/` if it is empty; `None` if `path` is outside of
    /// the service.
    #[must_use]
    pub fn path_within<'p>(&self, path: &'p str) -> Option<&'p str> {
        match path.strip_prefix(self.prefix.as_str())? {
            "" => Some("/"),
            rest => rest.starts_with('/').then_some(rest),
        }
    }
}

impl Method {
    /// Parses the method of a request line.
    #[must_use]
    pub fn parse(text: &str) -> Option<Self> {
        match text {
            "GET" => Some(Self::Get),
            "HEAD" => Some(Self::Head),
            "POST" => Some(Self::Post),
            "PUT" => Some(Self::Put),
            "PATCH" => Some(Self::Patch),
            "DELETE" => Some(Self::Delete),
            _ => None,
        }
    }
}

impl Ledger {
    /// Time for which outcomes of calls are retained.
    #[must_use]
    pub fn retention(self) -> Duration {
        Duration::from_secs(u64::from(self.keep_hours) * 3600)
    }
}

pub(super) fn check_services(document: &mut Document<'_>) {
    check_prefixes(document);
    check_calls(document);
    for (path, pattern) in document.strings_at("services[].reread.path") {
        if !pattern.split('/').any(|segment| segment == "{key}") {
            let help = "add a segment {key} for the idempotency key".to_owned();
            document.report(
                &path,
                "the path of the reread call has no segment {key}".to_owned(),
                Some(help),
            );
        }
    }
}

fn check_prefixes(document: &mut Document<'_>) {
    for (path, prefix) in document.strings_at("services[].prefix") {
        let first = prefix
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        if RESERVED_PREFIXES.contains(&first) {
            let help = format!("entry hosts serve paths below /{first} themselves");
            document.report(
                &path,
                format!("the prefix {prefix:?} is reserved"),
                Some(help),
            );
        }
        if prefix.contains('{') {
            let help = "use only plain segments".to_owned();
            document.report(
                &path,
                "a prefix cannot have a segment {name}".to_owned(),
                Some(help),
            );
        }
    }
}

/// Rejects calls listed twice, which could disagree on whether they may be repeated.
fn check_calls(document: &mut Document<'_>) {
    let methods = document.strings_at("services[].calls[].method");
    let methods: BTreeMap<String, String> = methods.into_iter().collect();
    let mut seen = BTreeMap::new();
    for (path, pattern) in document.strings_at("services[].calls[].path") {
        let call = path.trim_end_matches(".path");
        let service = call.rfind('[').map_or(call, |end| &call[..end]).to_owned();
        let Some(method) = methods.get(&format!("{call}.method")) else {
            continue;
        };
        if seen
            .insert((service, method.clone(), pattern.clone()), ())
            .is_some()
        {
            let help = "keep one of them".to_owned();
            document.report(
                &path,
                format!("duplicate call {method} {pattern}"),
                Some(help),
            );
        }
    }
}
