//! The context of a daemon: its identity, clock, runtime and metrics.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use coltsfootnotch_types::prelude::*;
use tokio::runtime::Handle;

use crate::util::events::{EventDef, Field, log_event};
use crate::util::metrics::Metrics;

/// Identity of a daemon.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Host name.
    pub host: HostName,
    /// Role in the fleet.
    pub role: Role,
    /// Failure domain of the host.
    pub domain: DomainName,
    /// Identifies this run of the process.
    pub incarnation: Incarnation,
}

/// Context of a daemon, passed explicitly so that several daemons can run in one process.
#[derive(Debug, Clone)]
pub struct HostCx {
    /// Identity of the daemon.
    pub identity: Arc<HostIdentity>,
    /// Runtime for the tasks that own sockets.
    pub runtime: Handle,
    /// Metrics registry.
    pub metrics: Metrics,
    started: Instant,
    started_at: u64,
}

impl HostCx {
    /// Creates the context of a daemon that starts now.
    #[must_use]
    pub fn new(identity: HostIdentity, runtime: Handle) -> Self {
        Self {
            identity: Arc::new(identity),
            runtime,
            metrics: Metrics::new(),
            started: Instant::now(),
            started_at: unix_seconds(),
        }
    }

    /// Time since the daemon started, by the monotonic clock.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Start time in seconds since the Unix epoch; a hint only, since host clocks may be wrong.
    #[must_use]
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// Logs an event and counts it.
    pub fn log(&self, event: &EventDef, fields: &[Field<'_>]) {
        self.metrics.count_event(event);
        log_event(&self.identity, event, fields);
    }
}

/// Seconds since the Unix epoch; zero if the clock is set to an earlier time.
fn unix_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
