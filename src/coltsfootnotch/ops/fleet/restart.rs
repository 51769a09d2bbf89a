//! Sidecars of a running fleet that are reached, added and restarted one at a time.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use rand::Rng;

use super::running::FleetError;
use super::{Fleet, FleetPlan};
use crate::daemon::StartError;

/// Time for an address to be free again.
const REBIND_PATIENCE: Duration = Duration::from_secs(2);

impl Fleet {
    /// The addresses on which the sidecars take announcements.
    #[must_use]
    pub fn announce_addresses(&self) -> Vec<SocketAddr> {
        self.sidecars
            .iter()
            .map(|host| host.announce_address())
            .collect()
    }

    /// Starts one more sidecar, without an upstream; the address on which it takes announcements.
    ///
    /// # Errors
    /// Returns a [`FleetError`] when it can't be started.
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

    /// Stops sidecar `number` gracefully and starts it again, as another run of the same host, with
    /// the same address for announcements.
    ///
    /// # Errors
    /// Returns a [`FleetError`] when it can't be started.
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
        // The task that held the address ends a moment after its sidecar.
        let until = Instant::now() + REBIND_PATIENCE;
        let new = loop {
            match self.sidecar(plan, number, announce, rng) {
                Err(FleetError::Start(StartError::Io(_))) if Instant::now() < until => {
                    std::thread::sleep(Duration::from_millis(10));
                }
                started => break started?,
            }
        };
        self.sidecars.insert(number, new);
        Ok(())
    }
}
