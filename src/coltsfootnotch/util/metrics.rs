//! Metrics of one daemon, exported in the Prometheus text format.
//!
//! The recorder belongs to the daemon and is not installed globally, so that several daemons in one
//! process have separate metrics.

use std::collections::HashSet;
use std::fmt;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::Duration;

use coltsfootnotch_types::AccountName;
use metrics::{Counter, Gauge, Histogram, Key, Label, Level, Metadata, Recorder};
use metrics_exporter_prometheus::{Matcher, PrometheusBuilder, PrometheusRecorder};

use crate::util::events::EventDef;

/// Maximum number of accounts with their own histograms; the rest share the label `other`, which
/// bounds the memory and the size of each scrape.
const MAX_LABELLED_ACCOUNTS: usize = 200;

/// Upper bounds of latency buckets, in seconds, with bounds at the targets of 28 ms and 1.1 s.
const LATENCY_BUCKETS: [f64; 14] = [
    0.001, 0.002, 0.005, 0.01, 0.02, 0.028, 0.05, 0.1, 0.25, 0.5, 1.1, 2.5, 10.0, 60.0,
];
/// Upper bounds of service buckets, in service units.
const SERVICE_BUCKETS: [f64; 8] = [10.0, 50.0, 100.0, 500.0, 1000.0, 5000.0, 20000.0, 100_000.0];

/// Metrics registry of a daemon.
#[derive(Clone)]
pub struct Metrics {
    recorder: Arc<PrometheusRecorder>,
    accounts: Arc<Mutex<HashSet<AccountName>>>,
}

impl fmt::Debug for Metrics {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        f.write_str("Metrics")
    }
}

impl Default for Metrics {
    fn default() -> Self {
        Self::new()
    }
}

impl Metrics {
    /// Creates an empty registry.
    ///
    /// ```
    /// use coltsfootnotch::util::metrics::Metrics;
    /// let metrics = Metrics::new();
    /// metrics.counter("requests", &[]).increment(2);
    /// assert!(metrics.render().contains("cfn_requests 2"));
    /// ```
    #[must_use]
    pub fn new() -> Self {
        let service = Matcher::Prefix("cfn_account_service".to_owned());
        let builder = PrometheusBuilder::new();
        let builder = match builder.set_buckets(&LATENCY_BUCKETS) {
            Ok(builder) => builder,
            Err(_) => PrometheusBuilder::new(),
        };
        let builder = match builder.set_buckets_for_metric(service, &SERVICE_BUCKETS) {
            Ok(builder) => builder,
            Err(_) => PrometheusBuilder::new(),
        };
        Self {
            recorder: Arc::new(builder.build_recorder()),
            accounts: Arc::default(),
        }
    }

    /// Returns the counter with this name and these labels.
    pub fn counter(&self, name: &str, labels: &[(&'static str, &str)]) -> Counter {
        self.recorder
            .register_counter(&key(name, labels), &METADATA)
    }

    /// Returns the gauge with this name and these labels.
    pub fn gauge(&self, name: &str, labels: &[(&'static str, &str)]) -> Gauge {
        self.recorder.register_gauge(&key(name, labels), &METADATA)
    }

    /// Returns the histogram, in seconds, with this name and these labels.
    pub fn histogram(&self, name: &str, labels: &[(&'static str, &str)]) -> Histogram {
        self.recorder
            .register_histogram(&key(name, labels), &METADATA)
    }

    /// Records a duration, in seconds, in a histogram of an account.
    pub fn account_seconds(&self, name: &str, account: &AccountName, duration: Duration) {
        self.account_histogram(name, account)
            .record(duration.as_secs_f64());
    }

    /// Records service units in the `account_service` histogram of an account.
    pub fn account_service(&self, account: &AccountName, units: u64) {
        self.account_histogram("account_service", account)
            .record(units as f64);
    }

    /// Counts a logged event by its code.
    pub fn count_event(&self, event: &EventDef) {
        self.counter("log_events", &[("code", &event.code())])
            .increment(1);
    }

    /// Renders all metrics in the Prometheus text format.
    #[must_use]
    pub fn render(&self) -> String {
        self.recorder.handle().run_upkeep();
        self.recorder.handle().render()
    }

    /// Returns a histogram labelled with an account.
    pub fn account_histogram(&self, name: &str, account: &AccountName) -> Histogram {
        let label = self.account_label(account);
        self.recorder
            .register_histogram(&key(name, &[("account", &label)]), &METADATA)
    }

    fn account_label(&self, account: &AccountName) -> String {
        let mut accounts = self.accounts.lock().unwrap_or_else(PoisonError::into_inner);
        if accounts.contains(account) {
            return account.to_string();
        }
        if accounts.len() >= MAX_LABELLED_ACCOUNTS {
            return "other".to_owned();
        }
        accounts.insert(account.clone());
        account.to_string()
    }
}

const METADATA: Metadata<'static> = Metadata::new("coltsfootnotch", Level::INFO, None);

fn key(name: &str, labels: &[(&'static str, &str)]) -> Key {
    let labels: Vec<Label> = labels
        .iter()
        .map(|(name, value)| Label::new(*name, (*value).to_owned()))
        .collect();
    Key::from_parts(format!("cfn_{name}"), labels)
}
