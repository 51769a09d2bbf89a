//! The services of a configuration.

use std::sync::Arc;
use std::time::Duration;

use super::{Route, Service};

/// The services of a configuration, and what holds for all requests to them.
///
/// A request refers to these and to its route. It keeps no more of the configuration that it was matched by: beside
/// changes of one with many routes, streams of some seconds would keep dozens of them in memory.
///
/// ```
/// use coltsfootnotch_forward::config::{Bounds, ConfigDraft, ForwardConfig, Service};
/// let service = Service {
///     name: "desk".into(),
///     max_connections: 128,
///     engine: None,
///     warm_up_per_s: 0.0,
/// };
/// let draft = ConfigDraft {
///     number: 3,
///     routes: Vec::new(),
///     services: vec![service],
///     accounts: Vec::new(),
///     bounds: Bounds::default(),
///     units_per_s: None,
/// };
/// let config = ForwardConfig::try_from(draft).map_err(|problems| format!("{problems:?}"))?;
/// let services = config.service_config().clone();
/// drop(config);
/// assert_eq!(services.number(), 3);
/// assert!(services.service("desk").is_some());
/// # Ok::<(), String>(())
/// ```
#[derive(Debug, Clone, PartialEq)]
pub struct ServiceConfig {
    number: u64,
    services: Vec<Service>,
    units_per_s: Option<f64>,
    shortest_target: Vec<Option<Duration>>,
    shortest_gap: Vec<Option<Duration>>,
}

impl ServiceConfig {
    pub(super) fn new(
        number: u64,
        services: Vec<Service>,
        units_per_s: Option<f64>,
        routes: &[Arc<Route>],
    ) -> Self {
        let shortest = |stated: fn(&Route) -> Option<Duration>| {
            let of_service = |s| shortest_of_streams(routes, s, stated);
            (0..services.len()).map(of_service).collect()
        };
        Self {
            number,
            units_per_s,
            shortest_target: shortest(|route| route.target),
            shortest_gap: shortest(|route| route.gap),
            services,
        }
    }

    /// The number of the configuration.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.number
    }

    /// The services.
    #[must_use]
    pub fn services(&self) -> &[Service] {
        &self.services
    }

    /// The service with the name.
    #[must_use]
    pub fn service(&self, name: &str) -> Option<&Service> {
        self.services.iter().find(|s| &*s.name == name)
    }

    /// Service units per second of all engines together, if the operator states them.
    #[must_use]
    pub fn units_per_s(&self) -> Option<f64> {
        self.units_per_s
    }

    /// The shortest target among the stream routes of the service with this index.
    #[must_use]
    pub fn shortest_target(&self, service: usize) -> Option<Duration> {
        self.shortest_target[service]
    }

    /// The shortest target for pauses between events among the stream routes of the service with
    /// this index; none where no route states one.
    #[must_use]
    pub fn shortest_gap(&self, service: usize) -> Option<Duration> {
        self.shortest_gap[service]
    }
}

/// Shortest time that the stream routes to a service state; zero counts as not stated.
fn shortest_of_streams(
    routes: &[Arc<Route>],
    service: usize,
    stated: impl Fn(&Route) -> Option<Duration>,
) -> Option<Duration> {
    let streams = routes.iter().filter(|route| {
        let has_service = route.services.iter().any(|s| s.service == service);
        has_service && route.kind.is_stream()
    });
    let stated = streams.filter_map(|route| stated(route));
    stated.filter(|time| !time.is_zero()).min()
}
