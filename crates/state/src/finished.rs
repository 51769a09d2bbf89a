//! Orders that engines have carried out, kept in the replicated state.

use std::collections::BTreeMap;
use std::time::Duration;

use coltsfootnotch_types::{Incarnation, UpstreamName};

use crate::{Action, LogTime, OrderDone, Placement, Reported};

/// Finished orders that are kept for one upstream. Only those of the last report lag matter, and an
/// engine gets one order at a time.
const MAX_FINISHED: usize = 32;

/// One finished order.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Finished {
    /// When the log recorded it.
    pub at: LogTime,
    /// What was done.
    pub action: Action,
}

/// The finished orders of each upstream's present engine run.
///
/// They stand in for the engine's report for as long as it may lag. After that the report counts
/// alone, so that an engine which has lost an adapter gets it again.
#[derive(Debug, Clone, Default)]
pub struct FinishedOrders {
    pub(crate) by_upstream: BTreeMap<UpstreamName, (Incarnation, Vec<Finished>)>,
}

impl FinishedOrders {
    /// Every upstream with its engine run and finished orders, oldest first.
    pub fn iter(&self) -> impl Iterator<Item = (&UpstreamName, Incarnation, &[Finished])> {
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
        // The same order twice in a row was either proposed twice, or given again since the engine
        // had lost what it loaded; in both cases the report lags behind the later one.
        if let Some(last) = orders.last_mut()
            && last.action == done.action
        {
            last.at = at;
            return;
        }
        orders.push(Finished {
            at,
            action: done.action.clone(),
        });
        if orders.len() > MAX_FINISHED {
            orders.remove(0);
        }
    }

    /// What an engine has: its report, and what it has carried out since a report that lags by up to
    /// `lag` may have been made.
    #[must_use]
    pub fn overlay(&self, reported: &Reported, at: LogTime, lag: Duration) -> Placement {
        let mut placement = reported.placement.clone();
        let Some((incarnation, done)) = self.by_upstream.get(&reported.upstream) else {
            return placement;
        };
        if *incarnation != reported.incarnation {
            return placement;
        }
        let fresh = done.iter().filter(|f| at.since(f.at) < lag);
        fresh.for_each(|f| f.action.carry_out(&mut placement));
        placement
    }
}
