//! Keeps the waiting accounts of a pool within the horizon of each other.

use super::queue::Standing;
use super::{ChoicePolicy, FairQueue, VirtualService};

impl FairQueue {
    /// Draws accounts together that stand further apart than the horizon.
    ///
    /// After an hour's partition an account that was served on both sides would otherwise wait for
    /// as long as the others need to catch up. Each step narrows the spread, so the loop ends.
    pub(super) fn narrow(&mut self) {
        if self.policy == ChoicePolicy::Fifo {
            return;
        }
        while let Some((low, high)) = self.ends_too_far_apart() {
            let half = VirtualService(self.horizon.0 / 2);
            if self.low_end_is_outlier() {
                self.move_to(low.1, high.0 - half);
            } else {
                self.move_to(high.1, low.0 + half);
            }
        }
    }

    fn ends_too_far_apart(&self) -> Option<(Standing, Standing)> {
        let low = *self.order.first()?;
        let high = *self.order.last()?;
        (high.0 - low.0 > self.horizon).then_some((low, high))
    }

    /// Whether the lowest account, rather than the highest, stands apart from the rest.
    fn low_end_is_outlier(&self) -> bool {
        let mut up = self.order.iter().map(|(place, _)| place.0);
        let mut down = self.order.iter().rev().map(|(place, _)| place.0);
        let gap_below = up.next().zip(up.next()).map_or(0, |(a, b)| b - a);
        let gap_above = down.next().zip(down.next()).map_or(0, |(a, b)| a - b);
        gap_below > gap_above
    }
}
