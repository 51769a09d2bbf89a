//! The fleet that a load run sends requests to.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fakes::{EngineHandle, OrderHandle};
use coltsfootnotch_manifest::TokenWeights;
use coltsfootnotch_types::{AccountName, Weight};

/// A client account whose callers the run simulates.
#[derive(Debug, Clone)]
pub struct LoadAccount {
    /// Name of the account.
    pub name: AccountName,
    /// Its bearer key.
    pub key: String,
    /// Its share of contended capacity.
    pub weight: Weight,
    /// Whether metrics count it among the large accounts.
    pub large: bool,
}

/// A running fleet.
///
/// `engines` and `services` are the stand-ins in this process. They are empty for a remote fleet,
/// for which utilisation, crashes, doubled and lost bookings and refused requests that ran are not
/// seen.
pub struct Target<'a> {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Accounts whose callers are simulated.
    pub accounts: Vec<LoadAccount>,
    /// Model that callers request.
    pub model: String,
    /// Service units per token, from the manifest.
    pub token_weights: TokenWeights,
    /// Path prefix of the order service, such as `/member-desk`; without it no orders are sent.
    pub booking_prefix: Option<String>,
    /// The stand-in engines.
    pub engines: &'a [EngineHandle],
    /// The stand-in order services.
    pub services: &'a [OrderHandle],
    /// Slots of engines outside this process.
    pub remote_slots: u32,
    /// Scheduling policy of the fleet, as printed.
    pub policy: String,
    /// Number of hosts of the fleet.
    pub hosts: usize,
    /// Maximum age of a sidecar's record of service on other hosts, for the fairness bound.
    pub staleness: Duration,
    /// Bytes that the hosts have sent to each other so far, answers excluded.
    pub control_bytes: Box<dyn Fn() -> u64 + Send + Sync + 'a>,
}

impl Target<'_> {
    /// Slots of all engines.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let local_slots: u32 = self.engines.iter().map(|engine| engine.stats().slots).sum();
        local_slots + self.remote_slots
    }

    /// Slot time used by the stand-in engines so far.
    #[must_use]
    pub fn busy_time(&self) -> Duration {
        self.engines
            .iter()
            .map(|engine| engine.stats().busy_time)
            .sum()
    }
}
