//! Requests that wait for an engine with room, and whose turn comes first.

use std::sync::Arc;
use std::time::Duration;

/// Most requests that wait. Each is placed again with every change of the engines' load, at some tens of
/// microseconds.
const MAX_WAITING: usize = 64;

/// One in this many turns goes to the request that has waited longest, whatever its priority, so that the
/// least urgent ones are not passed over for ever.
const TURNS_PER_OLDEST: usize = 8;

/// Urgency of a request; less is more urgent. The account's counts before the route's.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord, Default)]
pub struct Priority {
    /// Of the client account; that of the route if it has none.
    pub account: u32,
    /// Of the route.
    pub route: u32,
}

/// A request that waits.
#[derive(Debug)]
pub struct Waiting<T> {
    /// Its account.
    pub account: Option<Arc<str>>,
    /// Its urgency.
    pub priority: Priority,
    /// When it began to wait.
    pub since: Duration,
    /// When it is refused.
    pub until: Duration,
    /// The request.
    pub item: T,
}

/// Requests that wait for an engine with room.
///
/// ```
/// use std::time::Duration;
/// use coltsfootnotch_forward::line::{Priority, Waiting, WaitingLine};
/// let at = Duration::from_millis;
/// let mut line = WaitingLine::default();
/// let waiting = |item, route| Waiting {
///     account: None,
///     priority: Priority { account: route, route },
///     since: at(0),
///     until: at(200),
///     item,
/// };
/// line.add(waiting("later", 2)).unwrap();
/// line.add(waiting("urgent", 1)).unwrap();
/// let turns = line.take_turns(|_account| 0.0);
/// assert_eq!(turns[0].item, "urgent");
/// ```
#[derive(Debug)]
pub struct WaitingLine<T> {
    waiting: Vec<Waiting<T>>,
    rounds: usize,
}

impl<T> Default for WaitingLine<T> {
    fn default() -> Self {
        Self {
            waiting: Vec::new(),
            rounds: 0,
        }
    }
}

impl<T> WaitingLine<T> {
    /// Whether nothing waits.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.waiting.is_empty()
    }

    /// Number of requests that wait.
    #[must_use]
    pub fn len(&self) -> usize {
        self.waiting.len()
    }

    /// Adds a request. An account may have as many places as are free without it, so that the others find
    /// one.
    ///
    /// # Errors
    /// Returns the request if there is no place for it.
    pub fn add(&mut self, waiting: Waiting<T>) -> Result<(), Waiting<T>> {
        let of_account = self.waiting.iter().filter(|w| w.account == waiting.account);
        let free = MAX_WAITING.saturating_sub(self.waiting.len());
        if of_account.count() >= free {
            return Err(waiting);
        }
        self.waiting.push(waiting);
        Ok(())
    }

    /// Takes all requests, in the order of their turns: by priority, then the account that has least of its
    /// share by `pressure`, then the longest wait. Those that find no engine are to be put back.
    #[must_use]
    pub fn take_turns(
        &mut self,
        mut pressure: impl FnMut(Option<&Arc<str>>) -> f64,
    ) -> Vec<Waiting<T>> {
        let taken = std::mem::take(&mut self.waiting).into_iter();
        let mut ranked: Vec<(f64, Waiting<T>)> = taken
            .map(|waiting| (pressure(waiting.account.as_ref()), waiting))
            .collect();
        ranked.sort_by(|(a_pressure, a), (b_pressure, b)| {
            let by_priority = a.priority.cmp(&b.priority);
            let by_pressure = a_pressure.total_cmp(b_pressure);
            by_priority.then(by_pressure).then(a.since.cmp(&b.since))
        });
        self.rounds += 1;
        let oldest = ranked.iter().enumerate().min_by_key(|(_, (_, w))| w.since);
        if let Some((index, _)) = oldest
            && self.rounds.is_multiple_of(TURNS_PER_OLDEST)
        {
            ranked[..=index].rotate_right(1);
        }
        ranked.into_iter().map(|(_, waiting)| waiting).collect()
    }

    /// Puts a request back that found no engine.
    pub fn put_back(&mut self, waiting: Waiting<T>) {
        self.waiting.push(waiting);
    }
}
