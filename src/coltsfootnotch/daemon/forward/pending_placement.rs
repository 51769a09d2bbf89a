//! A placement that the actor was asked for.

use stakker::sync::Channel;
use tokio::sync::oneshot;

use super::exchange_guard::ExchangeGuard;
use super::messages::{ForwardMsg, Outcome, PlaceRequest, PlacementError, Ticket};

/// A request that waits for its placement. If dropped, as when its caller leaves, a placement that has been granted
/// meanwhile is given back: its place at the upstream would stay taken for good.
pub(super) struct PendingPlacement {
    tx: Channel<ForwardMsg>,
    rx: oneshot::Receiver<Result<Ticket, PlacementError>>,
}

impl PendingPlacement {
    /// Asks the actor for a placement.
    pub(super) fn request(tx: &Channel<ForwardMsg>, req: PlaceRequest) -> Self {
        let (placed_tx, rx) = oneshot::channel();
        tx.send(ForwardMsg::Place(Box::new(req), placed_tx));
        Self { tx: tx.clone(), rx }
    }

    /// Waits for the placement.
    ///
    /// # Errors
    /// Returns why the request is not placed.
    pub(super) async fn wait(mut self) -> Result<ExchangeGuard, PlacementError> {
        // The actor stops only with the process.
        let ticket = (&mut self.rx)
            .await
            .unwrap_or(Err(PlacementError::NoLease))?;
        Ok(ExchangeGuard::new(self.tx.clone(), ticket))
    }
}

impl Drop for PendingPlacement {
    fn drop(&mut self) {
        // After this the actor keeps what it would grant.
        self.rx.close();
        if let Ok(Ok(ticket)) = self.rx.try_recv() {
            ExchangeGuard::new(self.tx.clone(), ticket).finish(Outcome::NotRun);
        }
    }
}
