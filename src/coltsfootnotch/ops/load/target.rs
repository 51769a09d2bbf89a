//! The fleet that a load run drives, and what can be seen of it from outside.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fakes::{EngineHandle, OrderHandle};
use coltsfootnotch_manifest::TokenWeights;
use coltsfootnotch_types::{AccountName, Weight};

/// A client account whose callers the run plays.
#[derive(Debug, Clone)]
pub struct LoadAccount {
    /// Name of the account.
    pub name: AccountName,
    /// Its bearer key.
    pub key: String,
    /// Its share of contended capacity.
    pub weight: Weight,
    /// Whether figures count it among the large accounts.
    pub large: bool,
}

/// A running fleet.
///
/// `engines` and `services` are the stand-ins in this process; they are empty for a fleet elsewhere,
/// and then utilisation and doubled bookings can't be seen.
pub struct Target<'a> {
    /// Addresses of the entries.
    pub entries: Vec<SocketAddr>,
    /// Accounts to play.
    pub accounts: Vec<LoadAccount>,
    /// Model that callers ask for.
    pub model: String,
    /// Service units of a token, from the manifest.
    pub token_weights: TokenWeights,
    /// Path of the order service, such as `/member-desk`; without it nothing is booked.
    pub booking_prefix: Option<String>,
    /// The stand-in engines.
    pub engines: &'a [EngineHandle],
    /// The stand-in order services.
    pub services: &'a [OrderHandle],
    /// Slots of engines that are not in this process.
    pub slots_elsewhere: u32,
    /// Policy that the fleet chooses by, as it is printed.
    pub policy: String,
    /// Hosts of the fleet.
    pub hosts: usize,
    /// Longest time that a sidecar's knowledge of service elsewhere lags, for the fairness bound.
    pub knowledge_age: Duration,
    /// Bytes that the hosts have sent each other so far, answers excluded.
    pub control_bytes: Box<dyn Fn() -> u64 + Send + Sync + 'a>,
}

impl Target<'_> {
    /// Slots of all engines.
    #[must_use]
    pub fn slots(&self) -> u32 {
        let here: u32 = self.engines.iter().map(|engine| engine.stats().slots).sum();
        here + self.slots_elsewhere
    }

    /// Slot time that the stand-in engines have used so far.
    #[must_use]
    pub fn busy(&self) -> Duration {
        self.engines
            .iter()
            .map(|engine| engine.stats().busy_time)
            .sum()
    }
}
