//! A validated configuration and its route index.

use std::collections::HashMap;
use std::sync::Arc;
use std::time::Duration;

use super::{
    Account, ConfigDraft, Problem, ProblemKind, Route, RouteDraft, Service, ServiceConfig,
    ServiceShare,
};

/// Limits on the size of a request and on the time to receive it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Bounds {
    /// Most bytes of request line and headers.
    pub header_bytes: usize,
    /// Most bytes of the body.
    pub body_bytes: usize,
    /// Time limit for receiving the headers.
    pub header_timeout: Duration,
    /// Time limit for an idle connection.
    pub idle_timeout: Duration,
}

impl Bounds {
    /// How long a connection is kept without a complete request head. One timer covers both limits:
    /// a caller may be idle for the full idle time before it sends headers.
    #[must_use]
    pub fn read_timeout(&self) -> Duration {
        self.idle_timeout + self.header_timeout
    }
}

impl Default for Bounds {
    /// Headers of 16 KiB and bodies of 4 MiB hold every prompt that engines take; the times are those of
    /// common HTTP servers.
    fn default() -> Self {
        Self {
            header_bytes: 16 * 1024,
            body_bytes: 4 * 1024 * 1024,
            header_timeout: Duration::from_secs(3),
            idle_timeout: Duration::from_secs(15),
        }
    }
}

/// A validated configuration.
#[derive(Debug, Clone)]
pub struct ForwardConfig {
    routes: Vec<Arc<Route>>,
    services: Arc<ServiceConfig>,
    accounts: Vec<Account>,
    bounds: Bounds,
    by_host: HashMap<Arc<str>, HashMap<Arc<str>, usize>>,
    by_key: HashMap<String, usize>,
}

impl ForwardConfig {
    /// Its number.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.services.number()
    }

    /// Its routes.
    #[must_use]
    pub fn routes(&self) -> &[Arc<Route>] {
        &self.routes
    }

    /// Its services.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        self.services.services()
    }

    /// The part of it that requests in progress keep.
    #[must_use]
    pub fn service_config(&self) -> &Arc<ServiceConfig> {
        &self.services
    }

    /// Its client accounts.
    #[must_use]
    pub fn accounts(&self) -> &[Account] {
        &self.accounts
    }

    /// Limits for callers.
    #[must_use]
    pub fn bounds(&self) -> Bounds {
        self.bounds
    }

    /// Service units per second of all engines together, if the operator states them.
    #[must_use]
    pub fn units_per_s(&self) -> Option<f64> {
        self.services.units_per_s()
    }

    /// Whether requests to routes that are not public need a key.
    #[must_use]
    pub fn needs_keys(&self) -> bool {
        !self.accounts.is_empty()
    }

    /// The route of `host` (without a port, case-insensitive) with the longest prefix of `path`.
    ///
    /// Looks up each slash of the path from the right, so the time depends on the path and not on
    /// the number of routes.
    #[must_use]
    pub fn route(&self, host: &str, path: &str) -> Option<&Arc<Route>> {
        let host = host.to_ascii_lowercase();
        let prefixes = self.by_host.get(host.as_str())?;
        let ends = path.char_indices().rev().filter(|(_, c)| *c == '/');
        let mut found = ends.filter_map(|(at, _)| prefixes.get(&path[..=at]));
        Some(&self.routes[*found.next()?])
    }

    /// The client account that holds `key`.
    #[must_use]
    pub fn account(&self, key: &str) -> Option<&Account> {
        self.by_key.get(key).map(|index| &self.accounts[*index])
    }

    /// The service with the name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.service(name)
    }
}

impl TryFrom<ConfigDraft> for ForwardConfig {
    type Error = Vec<Problem>;

    fn try_from(draft: ConfigDraft) -> Result<Self, Vec<Problem>> {
        let mut problems = Vec::new();
        let services = index_names(
            "services",
            draft.services.iter().map(|s| &s.name),
            &mut problems,
        );
        index_names(
            "accounts",
            draft.accounts.iter().map(|a| &a.name),
            &mut problems,
        );
        let by_key = index_keys(&draft.accounts, &mut problems);
        let mut routes = Vec::with_capacity(draft.routes.len());
        let mut by_host: HashMap<Arc<str>, HashMap<Arc<str>, usize>> = HashMap::new();
        for (index, route) in draft.routes.into_iter().enumerate() {
            let location = format!("routes[{index}]");
            let route = check_route(route, &location, &services, &mut problems);
            let prefixes = by_host.entry(route.host.clone()).or_default();
            if let Some(first) = prefixes.insert(route.prefix.clone(), index) {
                let first = format!("routes[{first}]");
                let kind = ProblemKind::DuplicateRoute { first };
                Problem::new(location, kind).report(&mut problems);
            }
            routes.push(Arc::new(route));
        }
        if !problems.is_empty() {
            return Err(problems);
        }
        let services = ServiceConfig::new(draft.number, draft.services, draft.units_per_s, &routes);
        Ok(Self {
            routes,
            services: Arc::new(services),
            accounts: draft.accounts,
            bounds: draft.bounds,
            by_host,
            by_key,
        })
    }
}

fn index_names<'a>(
    list: &str,
    names: impl Iterator<Item = &'a Arc<str>>,
    problems: &mut Vec<Problem>,
) -> HashMap<Arc<str>, usize> {
    let mut found = HashMap::new();
    for (index, name) in names.enumerate() {
        if let Some(first) = found.insert(name.clone(), index) {
            let first = format!("{list}[{first}]");
            let location = format!("{list}[{index}]");
            Problem::new(location, ProblemKind::DuplicateName { first }).report(problems);
        }
    }
    found
}

fn index_keys(accounts: &[Account], problems: &mut Vec<Problem>) -> HashMap<String, usize> {
    let mut by_key = HashMap::new();
    for (index, account) in accounts.iter().enumerate() {
        for key in &account.keys {
            let previous = by_key.insert(key.clone(), index);
            // A duplicate key within one account is harmless.
            if let Some(first) = previous.filter(|first| *first != index) {
                let first = format!("accounts[{first}]");
                let location = format!("accounts[{index}]");
                Problem::new(location, ProblemKind::SharedKey { first }).report(problems);
            }
        }
    }
    by_key
}

fn check_route(
    draft: RouteDraft,
    location: &str,
    services: &HashMap<Arc<str>, usize>,
    problems: &mut Vec<Problem>,
) -> Route {
    if draft.timeout.is_zero() {
        Problem::new(location, ProblemKind::ZeroTimeout).report(problems);
    }
    if !draft.prefix.starts_with('/') || !draft.prefix.ends_with('/') {
        let prefix = draft.prefix.clone();
        Problem::new(location, ProblemKind::InvalidPrefix { prefix }).report(problems);
    }
    let total: u64 = draft.services.iter().map(|s| u64::from(s.weight)).sum();
    if total == 0 {
        Problem::new(location, ProblemKind::ZeroWeight).report(problems);
    }
    let mut shares = Vec::with_capacity(draft.services.len());
    for share in draft.services {
        match services.get(share.service.as_str()) {
            Some(service) => shares.push(ServiceShare {
                service: *service,
                weight: share.weight,
            }),
            None => {
                let name = share.service;
                Problem::new(location, ProblemKind::UnknownService { name }).report(problems);
            }
        }
    }
    Route {
        name: draft.name.into(),
        host: draft.host.to_ascii_lowercase().into(),
        prefix: draft.prefix.into(),
        kind: draft.kind,
        timeout: draft.timeout,
        target: draft.target,
        gap: draft.gap,
        priority: draft.priority,
        max_attempts: draft.max_attempts,
        public: draft.public,
        services: shares,
    }
}
