//! A bound on second sends, kept by all entries together without asking each other.

use std::collections::{HashMap, VecDeque};
use std::sync::Arc;
use std::time::Duration;

/// Share of the operator's bound that is used. Requests are spread unevenly over entries, and what an
/// entry believes of their number is some hundred milliseconds old.
const USED_SHARE: f64 = 0.7;

/// Length of the pieces in which a window is counted.
const PIECE: Duration = Duration::from_millis(500);

/// The operator's bound on second sends, per service.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct RetryBound {
    /// Second sends for each request in a window.
    pub ratio: f64,
    /// Second sends in a window that need no request, over all entries.
    pub slack: f64,
    /// The window.
    pub window: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Piece {
    requests: u32,
    sends: u32,
}

/// Second sends of this entry.
///
/// Each entry uses its share: the ratio of its own requests, and the slack divided by the entries. So
/// the sum keeps the bound however the requests are spread.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::retry::{RetryBound, SecondSends};
/// let bound = RetryBound { ratio: 0.2, slack: 30.0, window: Duration::from_secs(10) };
/// let mut sends = SecondSends::new(bound);
/// let now = Duration::from_secs(1);
/// assert!(sends.try_take(now, "orders", 10));
/// let more = (0..10).filter(|_| sends.try_take(now, "orders", 10)).count();
/// assert_eq!(more, 1, "a tenth of the slack, less the margin");
/// ```
#[derive(Debug, Clone)]
pub struct SecondSends {
    bound: RetryBound,
    by_service: HashMap<Arc<str>, VecDeque<(u64, Piece)>>,
}

impl SecondSends {
    /// Nothing was sent yet.
    #[must_use]
    pub fn new(bound: RetryBound) -> Self {
        Self {
            bound,
            by_service: HashMap::new(),
        }
    }

    /// A request came for the service.
    pub fn on_request(&mut self, now: Duration, service: &str) {
        self.piece(now, service).requests += 1;
    }

    /// Takes one second send from this entry's share, if it has one; `entries` is how many share.
    pub fn try_take(&mut self, now: Duration, service: &str, entries: u32) -> bool {
        self.piece(now, service);
        let pieces = &self.by_service[service];
        let requests: u32 = pieces.iter().map(|(_, p)| p.requests).sum();
        let sends: u32 = pieces.iter().map(|(_, p)| p.sends).sum();
        let slack = self.bound.slack / f64::from(entries.max(1));
        let allowed = (f64::from(requests) * self.bound.ratio + slack) * USED_SHARE;
        if f64::from(sends + 1) > allowed {
            return false;
        }
        self.piece(now, service).sends += 1;
        true
    }

    /// The piece of now, with those before the window dropped.
    fn piece(&mut self, now: Duration, service: &str) -> &mut Piece {
        let number = (now.as_millis() / PIECE.as_millis()) as u64;
        let kept = (self.bound.window.as_millis() / PIECE.as_millis()) as u64 + 1;
        if !self.by_service.contains_key(service) {
            self.by_service.insert(service.into(), VecDeque::new());
        }
        let pieces = self.by_service.get_mut(service).expect("inserted above");
        while pieces.pop_front_if(|(n, _)| *n + kept <= number).is_some() {}
        if pieces.back().is_none_or(|(n, _)| *n < number) {
            pieces.push_back((number, Piece::default()));
        }
        &mut pieces.back_mut().expect("pushed above").1
    }
}
