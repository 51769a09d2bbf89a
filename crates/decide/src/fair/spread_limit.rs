//! Limits the difference in virtual service between the waiting accounts of a pool.

use super::queue::OrderKey;
use super::{ChoicePolicy, FairQueue, VirtualService};

impl FairQueue {
    /// Moves outliers until all waiting accounts are within the horizon.
    ///
    /// Keeps an account that was served on both sides of a partition from starving until the others
    /// catch up. Each step reduces the spread, so the loop ends.
    pub(super) fn limit_spread(&mut self) {
        if self.policy == ChoicePolicy::Fifo {
            return;
        }
        while let Some((low, high)) = self.ends_beyond_horizon() {
            let half = VirtualService(self.horizon.0 / 2);
            if self.is_lowest_outlier() {
                self.set_virtual_service(low.1, high.0 - half);
            } else {
                self.set_virtual_service(high.1, low.0 + half);
            }
        }
    }

    fn ends_beyond_horizon(&self) -> Option<(OrderKey, OrderKey)> {
        let low = *self.order.first()?;
        let high = *self.order.last()?;
        (high.0 - low.0 > self.horizon).then_some((low, high))
    }

    /// Whether the lowest account is further from its neighbour than the highest is.
    fn is_lowest_outlier(&self) -> bool {
        let mut up = self.order.iter().map(|(key, _)| key.0);
        let mut down = self.order.iter().rev().map(|(key, _)| key.0);
        let gap_below = up
            .next()
            .zip(up.next())
            .map_or(0, |(a, b)| b.saturating_sub(a));
        let gap_above = down
            .next()
            .zip(down.next())
            .map_or(0, |(a, b)| a.saturating_sub(b));
        gap_below > gap_above
    }
}
