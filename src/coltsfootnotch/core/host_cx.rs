//! What every part of one daemon is given: who it is, its clock, its runtime, its metrics.

use std::sync::Arc;
use std::time::{Duration, Instant, SystemTime};

use coltsfootnotch_types::prelude::*;
use tokio::runtime::Handle;

use crate::util::events::{EventDef, Field, log_event};
use crate::util::metrics::Metrics;

/// Who a daemon is.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct HostIdentity {
    /// Its host.
    pub host: HostName,
    /// Its role.
    pub role: Role,
    /// Its failure domain.
    pub domain: DomainName,
    /// This run of its process.
    pub incarnation: Incarnation,
}

/// The context of one daemon, passed explicitly; several daemons in one process each have their own.
#[derive(Debug, Clone)]
pub struct HostCx {
    /// Who the daemon is.
    pub identity: Arc<HostIdentity>,
    /// Runs the tasks that own sockets.
    pub runtime: Handle,
    /// Counters and histograms.
    pub metrics: Metrics,
    started: Instant,
    started_at: u64,
}

impl HostCx {
    /// A context for a daemon that starts now.
    #[must_use]
    pub fn new(identity: HostIdentity, runtime: Handle) -> Self {
        Self {
            identity: Arc::new(identity),
            runtime,
            metrics: Metrics::new(),
            started: Instant::now(),
            started_at: calendar_seconds(),
        }
    }

    /// Time since the daemon started; it never goes back.
    #[must_use]
    pub fn now(&self) -> Duration {
        self.started.elapsed()
    }

    /// Seconds of the calendar at the start. A hint only: clocks of hosts are not relied upon.
    #[must_use]
    pub fn started_at(&self) -> u64 {
        self.started_at
    }

    /// Writes a numbered event.
    pub fn log(&self, event: &EventDef, fields: &[Field<'_>]) {
        self.metrics.count_event(event);
        log_event(&self.identity, event, fields);
    }
}

/// Seconds since 1970; zero on a clock that stands before.
fn calendar_seconds() -> u64 {
    let since = SystemTime::now().duration_since(SystemTime::UNIX_EPOCH);
    since.map_or(0, |since| since.as_secs())
}
