//! What control hosts know of where a stream is.

use super::StreamOrigin;

/// Where control hosts say that a stream is, as they answer its lookup.
///
/// A control host that was cut off or stood still as the stream was placed elsewhere still names where it
/// was before.
///
/// ```
/// use coltsfootnotch_forward::streams::{OriginReports, StreamOrigin};
/// let mut reports = OriginReports::default();
/// reports.record(StreamOrigin::new("spec", "v1"), false);
/// reports.record(StreamOrigin::new("spec", "v2"), true);
/// assert_eq!(reports.origin(), Some(&StreamOrigin::new("spec", "v2")));
/// ```
#[derive(Debug, Clone, Default)]
pub struct OriginReports {
    origin: Option<StreamOrigin>,
    has_moved: bool,
    is_contradictory: bool,
}

impl OriginReports {
    /// Records the answer of a control host; `has_moved` tells whether it knows that the stream was placed
    /// elsewhere before.
    pub fn record(&mut self, origin: StreamOrigin, has_moved: bool) {
        let is_newer = self.origin.is_none() || has_moved && !self.has_moved;
        if is_newer {
            self.origin = Some(origin);
            self.has_moved = has_moved;
            self.is_contradictory = false;
        } else if has_moved == self.has_moved && self.origin.as_ref() != Some(&origin) {
            self.is_contradictory = true;
        }
    }

    /// Where the stream is; none if no control host knows it, or if they contradict each other.
    #[must_use]
    pub fn origin(&self) -> Option<&StreamOrigin> {
        self.origin.as_ref().filter(|_| !self.is_contradictory)
    }

    /// Whether no control host knows the stream.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.origin.is_none()
    }
}
