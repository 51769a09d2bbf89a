//! Online measurement of the fairness gap.

use std::collections::HashMap;

use coltsfootnotch_types::{AccountName, ServiceUnits, Weight};

use super::FairnessBound;
use super::VirtualService;

/// A difference in service per weight between two accounts.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Gap {
    /// The difference in service per weight.
    pub size: VirtualService,
    /// The pair of accounts.
    pub between: (AccountName, AccountName),
}

#[derive(Debug, Clone)]
struct Account {
    name: AccountName,
    weight: Weight,
    service: VirtualService,
    backlogged: bool,
}

/// Lowest and highest difference of one pair since both became backlogged.
#[derive(Debug, Clone, Copy, Default)]
struct Range {
    low: VirtualService,
    high: VirtualService,
    /// Restarts counted before both became backlogged.
    restarts: u32,
}

/// Largest difference in service per weight over any window in which two accounts are backlogged.
///
/// Over all windows within an interval the largest change of a pair's difference is its highest
/// minus its lowest value, so two numbers per pair are enough. Each event takes time linear in the
/// number of backlogged accounts: the meter is meant for up to hundreds of accounts.
#[derive(Debug, Clone, Default)]
pub struct FairnessMeter {
    accounts: Vec<Account>,
    index: HashMap<AccountName, usize>,
    /// By pair of indices, the smaller first.
    ranges: HashMap<(usize, usize), Range>,
    largest_gap: Option<Gap>,
    bound: Option<FairnessBound>,
    restarts: u32,
}

impl FairnessMeter {
    /// A meter without a bound.
    #[must_use]
    pub fn new() -> Self {
        Self::default()
    }

    /// A meter that panics when a gap exceeds `bound`.
    #[must_use]
    pub fn asserting(bound: FairnessBound) -> Self {
        Self {
            bound: Some(bound),
            ..Self::default()
        }
    }

    /// Sets whether an account is backlogged, that is, has waiting requests.
    pub fn set_backlogged(&mut self, account: &AccountName, weight: Weight, backlogged: bool) {
        let i = self.index_or_insert(account, weight);
        if self.accounts[i].backlogged == backlogged {
            return;
        }
        self.accounts[i].backlogged = backlogged;
        for j in 0..self.accounts.len() {
            if j == i || !self.accounts[j].backlogged {
                continue;
            }
            let pair = (i.min(j), i.max(j));
            let now = self.difference(pair);
            if backlogged {
                self.ranges.insert(
                    pair,
                    Range {
                        low: now,
                        high: now,
                        restarts: self.restarts,
                    },
                );
            } else {
                self.ranges.remove(&pair);
            }
        }
    }

    /// Records that a sidecar restarted without state, which widens the bound of open windows.
    pub fn on_restart(&mut self) {
        self.restarts += 1;
    }

    /// Counts service that an account received.
    ///
    /// # Panics
    /// If the meter asserts a bound and a gap exceeds it.
    ///
    /// ```
    /// use coltsfootnotch_decide::fair::FairnessMeter;
    /// use coltsfootnotch_types::{AccountName, ServiceUnits, Weight};
    /// let (a, b) = (AccountName::new("a")?, AccountName::new("b")?);
    /// let mut meter = FairnessMeter::new();
    /// meter.set_backlogged(&a, Weight::DEFAULT, true);
    /// meter.set_backlogged(&b, Weight::DEFAULT, true);
    /// meter.record_service(&a, Weight::DEFAULT, ServiceUnits(30));
    /// meter.record_service(&b, Weight::DEFAULT, ServiceUnits(50));
    /// let gap = meter.largest_gap().expect("one gap was seen");
    /// assert_eq!(gap.size.to_units(), ServiceUnits(50));
    /// # Ok::<(), coltsfootnotch_types::NameError>(())
    /// ```
    pub fn record_service(&mut self, account: &AccountName, weight: Weight, units: ServiceUnits) {
        let i = self.index_or_insert(account, weight);
        self.accounts[i].service += VirtualService::of(units, weight);
        if !self.accounts[i].backlogged {
            return;
        }
        for j in 0..self.accounts.len() {
            if j != i && self.accounts[j].backlogged {
                self.update_range((i.min(j), i.max(j)));
            }
        }
    }

    /// The largest gap so far; `None` if no account was served while another was backlogged too.
    #[must_use]
    pub fn largest_gap(&self) -> Option<&Gap> {
        self.largest_gap.as_ref()
    }

    fn index_or_insert(&mut self, account: &AccountName, weight: Weight) -> usize {
        if let Some(i) = self.index.get(account) {
            self.accounts[*i].weight = weight;
            return *i;
        }
        let i = self.accounts.len();
        self.index.insert(account.clone(), i);
        self.accounts.push(Account {
            name: account.clone(),
            weight,
            service: VirtualService::ZERO,
            backlogged: false,
        });
        i
    }

    fn difference(&self, (i, j): (usize, usize)) -> VirtualService {
        self.accounts[i].service - self.accounts[j].service
    }

    fn update_range(&mut self, pair: (usize, usize)) {
        let now = self.difference(pair);
        let range = self.ranges.entry(pair).or_default();
        range.low = range.low.min(now);
        range.high = range.high.max(now);
        let (size, since) = (range.high - range.low, range.restarts);
        self.check(pair, size, self.restarts - since);
        if self.largest_gap.as_ref().is_none_or(|gap| gap.size < size) {
            let name = |i: usize| self.accounts[i].name.clone();
            let between = (name(pair.0), name(pair.1));
            self.largest_gap = Some(Gap { size, between });
        }
    }

    fn check(&self, pair: (usize, usize), size: VirtualService, restarts: u32) {
        let Some(bound) = self.bound else {
            return;
        };
        let (a, b) = (&self.accounts[pair.0], &self.accounts[pair.1]);
        let most = bound.gap_with_restarts(a.weight, b.weight, restarts);
        assert!(
            size <= most,
            "fairness gap between {} and {} is {size}, above the bound of {most}",
            a.name,
            b.name,
        );
    }
}
