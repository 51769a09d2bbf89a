//! Load of the client accounts.

use std::time::Duration;

use coltsfootnotch_types::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

/// One client account's load.
#[derive(Clone)]
pub(crate) struct Source {
    pub(crate) account: AccountName,
    pub(crate) weight: Weight,
    /// Entries that its requests are sent to, round robin.
    pub(crate) entries: Vec<usize>,
    /// Number of requests kept waiting.
    pub(crate) backlog: usize,
    /// Mean rate of further requests, per second.
    pub(crate) rate: f64,
    /// Least and greatest cost, in tokens.
    pub(crate) cost: (u64, u64),
    /// Share of its requests that may not be repeated.
    pub(crate) bookings: f64,
    /// Share of its requests that are crash suspects.
    pub(crate) suspects: f64,
    pub(crate) timeout: Duration,
    pub(crate) waiting: usize,
    pub(crate) sent: usize,
    /// Draws costs and arrivals; it is separate, so that every policy gets the same load.
    rng: StdRng,
}

impl Source {
    pub(crate) fn new(name: &str) -> Self {
        Self {
            account: AccountName::new(name).expect("a valid name"),
            weight: Weight::DEFAULT,
            entries: vec![0],
            backlog: 0,
            rate: 0.0,
            cost: (100, 400),
            bookings: 0.0,
            suspects: 0.0,
            timeout: Duration::from_secs(60),
            waiting: 0,
            sent: 0,
            rng: StdRng::seed_from_u64(0),
        }
    }

    pub(crate) fn seed(&mut self, seed: u64, index: usize) {
        self.rng = StdRng::seed_from_u64(seed.wrapping_mul(10_007) + index as u64);
    }

    pub(crate) fn draw_cost(&mut self) -> u64 {
        self.rng.random_range(self.cost.0..=self.cost.1)
    }

    /// Time until its next request that is not part of the backlog.
    pub(crate) fn draw_gap(&mut self) -> Option<Duration> {
        let uniform: f64 = self.rng.random_range(f64::EPSILON..1.0);
        (self.rate > 0.0).then(|| Duration::from_secs_f64(-uniform.ln() / self.rate))
    }
}
