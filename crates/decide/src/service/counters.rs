//! Service tallies of every origin, with their sums and the sequence of their changes.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_types::{AccountName, PoolName, ServiceUnits, Weight};

use super::{
    AccountSum, Cursor, Offset, OffsetRecord, Origin, ServiceDelta, ServiceNews, Tally,
    TallyRecord, VirtualService,
};

/// A value and the place of its last change in the local sequence.
#[derive(Debug, Clone, Copy, Default)]
struct Placed<T> {
    value: T,
    place: u64,
}

#[derive(Debug, Clone, PartialEq, Eq, PartialOrd, Ord)]
enum Changed {
    Tally(Origin, AccountName),
    Offset(PoolName, AccountName),
}

#[derive(Debug, Clone, Copy, Default)]
struct Total {
    service: ServiceUnits,
    normalised: VirtualService,
}

/// Counters of service per origin and account that merge in any order.
///
/// Merging is idempotent and commutative: of two copies of a tally the later version is kept, and
/// only the origin itself raises versions.
#[derive(Debug, Clone)]
pub struct ServiceCounters {
    own: Origin,
    own_version: u64,
    tallies: BTreeMap<AccountName, BTreeMap<Origin, Placed<Tally>>>,
    totals: BTreeMap<AccountName, Total>,
    offsets: BTreeMap<(PoolName, AccountName), Placed<Offset>>,
    changes: BTreeMap<u64, Changed>,
    last_place: u64,
}

impl ServiceCounters {
    /// Counters that charge under `own` and know of nothing else yet.
    ///
    /// ```
    /// use coltsfootnotch_decide::service::{Cursor, Origin, ServiceCounters};
    /// use coltsfootnotch_types::{AccountName, HostName, Incarnation, ServiceUnits, Weight};
    /// let account = AccountName::new("bistro")?;
    /// let mut sidecar = ServiceCounters::new(Origin::new(HostName::new("s1")?, Incarnation(7)));
    /// let mut relay = ServiceCounters::new(Origin::new(HostName::new("c1")?, Incarnation(8)));
    /// sidecar.charge(&account, Weight::DEFAULT, ServiceUnits(120));
    /// let delta = sidecar.delta_since(Cursor::default());
    /// relay.merge(&delta);
    /// relay.merge(&delta);
    /// assert_eq!(relay.total(&account).service, ServiceUnits(120));
    /// # Ok::<(), coltsfootnotch_types::NameError>(())
    /// ```
    #[must_use]
    pub fn new(own: Origin) -> Self {
        Self {
            own,
            own_version: 0,
            tallies: BTreeMap::new(),
            totals: BTreeMap::new(),
            offsets: BTreeMap::new(),
            changes: BTreeMap::new(),
            last_place: 0,
        }
    }

    /// The origin under which this host charges.
    #[must_use]
    pub fn own(&self) -> &Origin {
        &self.own
    }

    /// Counts service given here; returns it per unit of weight.
    pub fn charge(
        &mut self,
        account: &AccountName,
        weight: Weight,
        units: ServiceUnits,
    ) -> VirtualService {
        let normalised = VirtualService::of(units, weight);
        let mut tally = self.own_tally(account);
        tally.service += units;
        tally.normalised += normalised;
        self.write_own(account, tally);
        normalised
    }

    /// Takes back service charged here that was not used; returns it per unit of weight.
    ///
    /// # Panics
    /// If more is taken back than this origin has charged: a run was settled twice.
    pub fn refund(
        &mut self,
        account: &AccountName,
        weight: Weight,
        units: ServiceUnits,
    ) -> VirtualService {
        let normalised = VirtualService::of(units, weight);
        let mut tally = self.own_tally(account);
        let left = tally.service.0.checked_sub(units.0);
        tally.service = ServiceUnits(left.expect("a refund is at most what was charged"));
        tally.normalised -= normalised;
        self.write_own(account, tally);
        normalised
    }

    /// Stores a local offset unless a later one is known; returns whether it was stored.
    pub fn set_offset(&mut self, pool: &PoolName, account: &AccountName, offset: Offset) -> bool {
        let key = (pool.clone(), account.clone());
        let known = self.offsets.get(&key).copied().unwrap_or_default();
        if !offset.supersedes(&known.value) {
            return false;
        }
        let changed = Changed::Offset(pool.clone(), account.clone());
        let place = self.place_change(known.place, changed);
        self.offsets.insert(
            key,
            Placed {
                value: offset,
                place,
            },
        );
        true
    }

    /// Takes in what other counters know; returns the accounts whose sum changed.
    pub fn merge(&mut self, delta: &ServiceDelta) -> BTreeSet<AccountName> {
        let mut changed = BTreeSet::new();
        for record in &delta.tallies {
            // Only this process writes under its own origin. An echo can't be newer, and one that
            // claims to be must not overwrite live counts.
            if record.origin == self.own {
                continue;
            }
            if self.write(&record.origin, &record.account, record.tally) {
                changed.insert(record.account.clone());
            }
        }
        for record in &delta.offsets {
            self.set_offset(&record.pool, &record.account, record.offset);
        }
        changed
    }

    /// Everything that changed after `cursor`.
    #[must_use]
    pub fn delta_since(&self, cursor: Cursor) -> ServiceDelta {
        let mut delta = ServiceDelta {
            upto: Cursor(self.last_place),
            ..ServiceDelta::default()
        };
        for changed in self.changes_after(cursor) {
            match changed {
                Changed::Tally(origin, account) => delta.tallies.push(TallyRecord {
                    origin: origin.clone(),
                    account: account.clone(),
                    tally: self.tally(origin, account),
                }),
                Changed::Offset(pool, account) => delta.offsets.push(OffsetRecord {
                    pool: pool.clone(),
                    account: account.clone(),
                    offset: self.offset(pool, account),
                }),
            }
        }
        delta
    }

    /// Accounts of which service or an offset changed after `cursor`, each once.
    #[must_use]
    pub fn accounts_changed_since(&self, cursor: Cursor) -> BTreeSet<&AccountName> {
        let account_of = |changed| match changed {
            &Changed::Tally(_, ref account) | &Changed::Offset(_, ref account) => account,
        };
        self.changes_after(cursor).map(account_of).collect()
    }

    /// What `reader`, which serves `pools`, has to know of `accounts`.
    ///
    /// A relay sends it for accounts that begin to wait in these pools, all in one message, and then
    /// for those of them that changed since the reader's cursor.
    #[must_use]
    pub fn news_of<'a>(
        &self,
        reader: &Origin,
        pools: &[PoolName],
        accounts: impl IntoIterator<Item = &'a AccountName>,
    ) -> ServiceNews {
        let mut news = ServiceNews::default();
        for account in accounts {
            news.sums.push(self.sum_elsewhere(account, reader));
            let offsets = pools.iter().filter_map(|p| self.offset_record(p, account));
            news.offsets.extend(offsets);
        }
        news
    }

    /// The cursor after the latest change.
    #[must_use]
    pub fn cursor(&self) -> Cursor {
        Cursor(self.last_place)
    }

    /// Service of an account over all known origins.
    #[must_use]
    pub fn total(&self, account: &AccountName) -> AccountSum {
        let total = self.totals.get(account).copied().unwrap_or_default();
        sum_of(account, total)
    }

    /// Service of an account over all known origins but `origin`, which counts its own.
    #[must_use]
    pub fn sum_elsewhere(&self, account: &AccountName, origin: &Origin) -> AccountSum {
        let mut total = self.totals.get(account).copied().unwrap_or_default();
        let here = self.tally(origin, account);
        total.service = ServiceUnits(total.service.0 - here.service.0);
        total.normalised -= here.normalised;
        sum_of(account, total)
    }

    /// The offset of an account in a pool; zero when none is known.
    #[must_use]
    pub fn offset(&self, pool: &PoolName, account: &AccountName) -> Offset {
        let key = (pool.clone(), account.clone());
        self.offsets.get(&key).map(|o| o.value).unwrap_or_default()
    }

    /// The tally of one origin for one account; zero when none is known.
    #[must_use]
    pub fn tally(&self, origin: &Origin, account: &AccountName) -> Tally {
        let by_origin = self.tallies.get(account);
        let placed = by_origin.and_then(|t| t.get(origin));
        placed.map(|p| p.value).unwrap_or_default()
    }

    fn offset_record(&self, pool: &PoolName, account: &AccountName) -> Option<OffsetRecord> {
        let (pool, account) = (pool.clone(), account.clone());
        let offset = self.offset(&pool, &account);
        let is_set = offset != Offset::default();
        is_set.then_some(OffsetRecord {
            pool,
            account,
            offset,
        })
    }

    fn own_tally(&self, account: &AccountName) -> Tally {
        self.tally(&self.own, account)
    }

    fn write_own(&mut self, account: &AccountName, mut tally: Tally) {
        self.own_version += 1;
        tally.version = self.own_version;
        let own = self.own.clone();
        let written = self.write(&own, account, tally);
        assert!(written, "a charge has a version of its own");
    }

    fn write(&mut self, origin: &Origin, account: &AccountName, tally: Tally) -> bool {
        let by_origin = self.tallies.get(account);
        let known = by_origin.and_then(|t| t.get(origin));
        let known = known.copied().unwrap_or_default();
        if !tally.supersedes(&known.value) {
            return false;
        }
        let changed = Changed::Tally(origin.clone(), account.clone());
        let place = self.place_change(known.place, changed);
        let placed = Placed {
            value: tally,
            place,
        };
        let by_origin = self.tallies.entry(account.clone()).or_default();
        by_origin.insert(origin.clone(), placed);
        let total = self.totals.entry(account.clone()).or_default();
        total.service = ServiceUnits(total.service.0 + tally.service.0 - known.value.service.0);
        total.normalised += tally.normalised - known.value.normalised;
        true
    }

    fn place_change(&mut self, earlier: u64, changed: Changed) -> u64 {
        self.changes.remove(&earlier);
        self.last_place += 1;
        self.changes.insert(self.last_place, changed);
        self.last_place
    }

    fn changes_after(&self, cursor: Cursor) -> impl Iterator<Item = &Changed> {
        self.changes.range(cursor.0 + 1..).map(|(_, c)| c)
    }
}

fn sum_of(account: &AccountName, total: Total) -> AccountSum {
    AccountSum {
        account: account.clone(),
        service: total.service,
        normalised: total.normalised,
    }
}
