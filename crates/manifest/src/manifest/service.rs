//! Plain services and the ledger of their calls that may not be repeated.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{PoolName, ServiceUnits};
use derive_more::Display;
use serde::{Deserialize, Serialize};

use crate::PathPattern;
use crate::schema::Tree;

/// First segments of paths that entry hosts answer themselves.
const RESERVED_PREFIXES: [&str; 4] = ["v1", "healthz", "readyz", "metrics"];

/// One plain service; every process that serves it belongs to its pool.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Service {
    /// Name of the service and of its pool.
    pub name: PoolName,
    /// Path under which callers reach it.
    pub prefix: PathPattern,
    /// Service units that one call counts.
    pub cost: u64,
    /// Replicas that are expected.
    pub replicas: u32,
    /// Time a call has from arrival to its last byte, in milliseconds.
    pub deadline_ms: u64,
    /// Whether its processes refuse a call that carries an old fencing number.
    pub fenced: bool,
    /// Calls that callers may make.
    pub calls: Vec<Call>,
    /// Call that tells the outcome of an earlier call by its key.
    pub reread: Option<Reread>,
}

/// One call of a plain service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Call {
    /// Method of the call.
    pub method: Method,
    /// Path after the prefix.
    pub path: PathPattern,
    /// Whether it may be sent to a second upstream after a failure.
    pub repeatable: bool,
}

/// The call that tells the outcome of an earlier call by its key.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Reread {
    /// Method of the call.
    pub method: Method,
    /// Path after the prefix, with `{key}` for the idempotency key.
    pub path: PathPattern,
}

/// Methods of HTTP that a service call may have.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Hash, Display, Serialize, Deserialize)]
#[serde(rename_all = "UPPERCASE")]
pub enum Method {
    /// Reads.
    #[display("GET")]
    Get,
    /// Reads the headers alone.
    #[display("HEAD")]
    Head,
    /// Has an effect of its own each time.
    #[display("POST")]
    Post,
    /// Stores.
    #[display("PUT")]
    Put,
    /// Changes a part.
    #[display("PATCH")]
    Patch,
    /// Removes.
    #[display("DELETE")]
    Delete,
}

/// Record of calls that may not be repeated.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Ledger {
    /// Time for which the outcome of a call is kept, in hours.
    pub keep_hours: u32,
}

impl Service {
    /// The time a call has from arrival to its last byte.
    #[must_use]
    pub fn deadline(&self) -> Duration {
        Duration::from_millis(self.deadline_ms)
    }

    /// The service that one call counts.
    #[must_use]
    pub fn service(&self) -> ServiceUnits {
        ServiceUnits(self.cost)
    }

    /// What follows the prefix in `path`, `/` when nothing does; `None` outside of the service.
    #[must_use]
    pub fn path_within<'p>(&self, path: &'p str) -> Option<&'p str> {
        match path.strip_prefix(self.prefix.as_str())? {
            "" => Some("/"),
            rest => rest.starts_with('/').then_some(rest),
        }
    }
}

impl Method {
    /// The method written as `text`, as in a request line.
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
    /// The time for which the outcome of a call is kept.
    #[must_use]
    pub fn keep(self) -> Duration {
        Duration::from_secs(u64::from(self.keep_hours) * 3600)
    }
}

pub(super) fn check_services(tree: &mut Tree<'_>) {
    check_prefixes(tree);
    check_calls(tree);
    for (path, pattern) in tree.texts("services[].reread.path") {
        if !pattern.split('/').any(|segment| segment == "{key}") {
            let help = "write {key} where the idempotency key belongs".to_owned();
            tree.add(
                &path,
                "the path of the rereading call names no key".to_owned(),
                Some(help),
            );
        }
    }
}

fn check_prefixes(tree: &mut Tree<'_>) {
    for (path, prefix) in tree.texts("services[].prefix") {
        let first = prefix
            .trim_start_matches('/')
            .split('/')
            .next()
            .unwrap_or_default();
        if RESERVED_PREFIXES.contains(&first) {
            let help = format!("entry hosts answer below /{first} themselves");
            tree.add(
                &path,
                format!("the prefix {prefix:?} is reserved"),
                Some(help),
            );
        }
        if prefix.contains('{') {
            let help = "write the prefix in plain text".to_owned();
            tree.add(&path, "a prefix takes no {name}".to_owned(), Some(help));
        }
    }
}

/// The same call listed twice could be repeatable once and not repeatable once.
fn check_calls(tree: &mut Tree<'_>) {
    let methods = tree.texts("services[].calls[].method");
    let methods: BTreeMap<String, String> = methods.into_iter().collect();
    let mut seen = BTreeMap::new();
    for (path, pattern) in tree.texts("services[].calls[].path") {
        let call = path.trim_end_matches(".path");
        let service = call.rfind('[').map_or(call, |cut| &call[..cut]).to_owned();
        let Some(method) = methods.get(&format!("{call}.method")) else {
            continue;
        };
        if seen
            .insert((service, method.clone(), pattern.clone()), ())
            .is_some()
        {
            let help = "keep one of them".to_owned();
            tree.add(
                &path,
                format!("the call {method} {pattern} is given twice"),
                Some(help),
            );
        }
    }
}
