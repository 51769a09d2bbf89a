//! Adds and restarts sidecars of a running fleet.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use rand::Rng;

use super::running::FleetError;
use super::{Fleet, FleetPlan};
use crate::daemon::StartError;

/// Maximum time to wait until an address is free again.
const REBIND_TIMEOUT: Duration = Duration::from_secs(2);

impl Fleet {
    /// The addresses on which the sidecars accept announcements.
    #[must_use]
    pub fn announce_addresses(&self) -> Vec<SocketAddr> {
        self.sidecars
            .iter()
            .map(|host| host.announce_address())
            .collect()
    }

    /// Starts another sidecar, without an upstream, and returns its address for announcements.
    ///
    /// # Errors
    /// Returns a [`FleetError`] when the sidecar can't be started.
    pub fn add_sidecar(
        &mut self,
        plan: &FleetPlan,
        rng: &mut impl Rng,
    ) -> Result<SocketAddr, FleetError> {
        let any = SocketAddr::new(Ipv4Addr::LOCALHOST.into(), 0);
        let handle = self.sidecar(plan, self.sidecars.len(), any, rng)?;
        let announce = handle.announce_address();
        self.sidecars.push(handle);
        Ok(announce)
    }

    /// Restarts sidecar `number` gracefully, with a new incarnation and the same address for
    /// announcements.
    ///
    /// # Errors
    /// Returns a [`FleetError`] when the sidecar can't be started.
    pub fn restart_sidecar(
        &mut self,
        plan: &FleetPlan,
        number: usize,
        rng: &mut impl Rng,
    ) -> Result<(), FleetError> {
        let old = self.sidecars.remove(number);
        let announce = old.announce_address();
        old.stop();
        old.join();
        // The address is released shortly after the sidecar has stopped.
        let deadline = Instant::now() + REBIND_TIMEOUT;
        let new = loop {
            match self.sidecar(plan, number, announce, rng) {
                Err(FleetError::Start(StartError::Io(_))) if Instant::now() < deadline => {
                    std::thread::sleep(Duration::from_millis(10));
                }
                started => break started?,
            }
        };
        self.sidecars.insert(number, new);
        Ok(())
    }
}
