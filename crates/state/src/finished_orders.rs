//! Finished orders of engines in the replicated state.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{Incarnation, UpstreamName};

use crate::{Action, LogTime, OrderDone, Placement, ReportedPlacement};

/// Finished orders kept for each upstream. Only those within the report lag are used, and an engine
/// runs one order at a time.
const MAX_FINISHED: usize = 32;

/// A finished order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct FinishedOrder {
    /// Log time at which it was recorded.
    pub at: LogTime,
    /// The executed action.
    pub action: Action,
}

/// The finished orders of the current engine run of each upstream.
///
/// They supplement the engine's report while it may lag. After that only the report is used, so
/// that an engine which has lost an adapter loads it again.
#[derive(Debug, Clone, Default)]
pub struct FinishedOrders {
    pub(crate) by_upstream: BTreeMap<UpstreamName, (Incarnation, Vec<FinishedOrder>)>,
}

impl FinishedOrders {
    /// Upstreams with their engine run and finished orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamName, Incarnation, &[FinishedOrder])> {
        self.by_upstream
            .iter()
            .map(|(upstream, (incarnation, done))| (upstream, *incarnation, done.as_slice()))
    }

    pub(crate) fn record(&mut self, at: LogTime, done: &OrderDone) {
        let entry = self
            .by_upstream
            .entry(done.upstream.clone())
            .or_insert_with(|| (done.incarnation, Vec::new()));
        if entry.0 != done.incarnation {
            *entry = (done.incarnation, Vec::new());
        }
        let orders = &mut entry.1;
        // A repeated order was proposed twice, or sent again because the engine had lost what it
        // loaded; in both cases the report lags behind the later one.
        if let Some(last) = orders.last_mut()
            && last.action == done.action
        {
            last.at = at;
            return;
        }
        orders.push(FinishedOrder {
            at,
            action: done.action.clone(),
        });
        if orders.len() > MAX_FINISHED {
            orders.remove(0);
        }
    }

    /// The placement of an engine at log time `at`: its report, updated with the orders that it has
    /// finished within `lag`, the maximum age of the report.
    #[must_use]
    pub fn current_placement(
        &self,
        reported: &ReportedPlacement,
        at: LogTime,
        lag: Duration,
    ) -> Placement {
        let mut placement = reported.placement.clone();
        let Some((incarnation, done)) = self.by_upstream.get(&reported.upstream) else {
            return placement;
        };
        if *incarnation != reported.incarnation {
            return placement;
        }
        let recent = done.iter().filter(|f| at.since(f.at) < lag);
        recent.for_each(|f| f.action.apply_to(&mut placement));
        placement
    }
}
