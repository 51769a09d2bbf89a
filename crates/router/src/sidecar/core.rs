//! The sidecar core: slots come free, work is pulled into them, and every start is decided here.

use std::time::Duration;

use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairLedger};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AccountWait, AttemptId, ContentKey, FromSidecar, ToSidecar};

use super::runs::Runs;
use super::told::{Entries, Slots};
use super::waits::Left;
use super::{Crashes, Dispatched, PullTable, SidecarAction, UpstreamTable, WaitTable};

/// What a sidecar core is made with.
#[derive(Debug, Clone)]
pub struct SidecarConfig {
    /// Its host.
    pub host: HostName,
    /// The run of its process.
    pub incarnation: Incarnation,
    /// How it chooses whose work it pulls.
    pub policy: ChoicePolicy,
    /// Furthest that two waiting accounts may stand apart, in units at weight 1.
    pub horizon: ServiceUnits,
}

/// Slots, waiting work and service as one sidecar knows them.
#[derive(Debug)]
pub struct SidecarCore {
    pub(super) me: Incarnation,
    pub(super) upstreams: UpstreamTable,
    pub(super) waits: WaitTable,
    pub(super) pulls: PullTable,
    pub(super) fair: FairLedger,
    pub(super) runs: Runs,
    pub(super) dispatched: Dispatched,
    pub(super) crashes: Crashes,
    pub(super) entries: Entries,
    pub(super) leaving: bool,
    pub(super) actions: Vec<SidecarAction>,
}

impl SidecarCore {
    /// A sidecar core with no upstream and nothing waiting.
    #[must_use]
    pub fn new(cfg: SidecarConfig) -> Self {
        Self {
            me: cfg.incarnation,
            upstreams: UpstreamTable::default(),
            waits: WaitTable::default(),
            pulls: PullTable::default(),
            fair: FairLedger::new(cfg.policy, cfg.horizon),
            runs: Runs::default(),
            dispatched: Dispatched::default(),
            crashes: Crashes::new(cfg.host, cfg.incarnation),
            entries: Entries::default(),
            leaving: false,
            actions: Vec::new(),
        }
    }

    /// The upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    /// The upstreams, to be changed; the next [`SidecarCore::take_actions`] pulls into new slots.
    pub fn upstreams_mut(&mut self) -> &mut UpstreamTable {
        &mut self.upstreams
    }

    /// Service per account, and whose turn it is.
    #[must_use]
    pub fn fair(&self) -> &FairLedger {
        &self.fair
    }

    /// Service per account, to take in weights and service elsewhere.
    pub fn fair_mut(&mut self) -> &mut FairLedger {
        &mut self.fair
    }

    /// Service per account, to be changed, and what waits at the entries.
    pub fn fair_and_waits(&mut self) -> (&mut FairLedger, &WaitTable) {
        (&mut self.fair, &self.waits)
    }

    /// Starts to leave: no new work from now on.
    pub fn leave(&mut self) {
        self.leaving = true;
    }

    /// Attempts in progress.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// The upstream that runs an attempt.
    #[must_use]
    pub fn upstream_of(&self, attempt: AttemptId) -> Option<&UpstreamName> {
        self.runs.get(attempt).map(|run| &run.upstream)
    }

    /// What an upstream runs.
    #[must_use]
    pub fn keys_on(&self, upstream: &UpstreamName) -> Vec<ContentKey> {
        self.runs.keys_on(upstream)
    }

    /// A connection from an entry came up: it is told of crashes, and of free slots with the next
    /// actions.
    ///
    /// What was asked over an earlier connection gets no answer: its end may not have been noticed
    /// yet, and its slots would stay reserved beside waiting work.
    pub fn entry_up(&mut self, now: Duration, entry: HostName) {
        self.forget_waits(now, &entry);
        self.end_pulls(now, Some(&entry));
        for news in self.crashes.recent(now) {
            let to = entry.clone();
            self.actions.push(SidecarAction::Send {
                to,
                message: FromSidecar::Crashed(news),
            });
        }
        self.entries.up(entry);
    }

    /// The connection from an entry is gone: its pulls end, its waiting work is forgotten.
    pub fn entry_down(&mut self, now: Duration, entry: &HostName) {
        self.entries.down(entry);
        self.forget_waits(now, entry);
        self.end_pulls(now, Some(entry));
    }

    /// Takes in a message from an entry.
    pub fn on_message(&mut self, now: Duration, from: &HostName, message: ToSidecar) {
        match message {
            ToSidecar::Waits {
                pool,
                full,
                changes,
            } => {
                self.on_waits(now, from, &pool, full, &changes);
            }
            ToSidecar::Nothing { pull } => {
                if let Some(reserved) = self.pulls.release(pull) {
                    self.unreserve(reserved);
                }
            }
            ToSidecar::Cancel { attempt } => {
                self.actions.push(SidecarAction::Cancel { attempt });
            }
            ToSidecar::Disown { attempt } => self.disown(now, from, attempt),
        }
        self.end_pulls(now, None);
    }

    /// Takes in prefixes that an upstream of the pool has cached, to be told to the entries.
    pub fn learn_cached(&mut self, pool: &PoolName, prefixes: &[u64]) {
        if !prefixes.is_empty() {
            self.entries.learn_cached(pool, prefixes);
        }
    }

    /// Ends expired reservations and forgets silent upstreams.
    pub fn tick(&mut self, now: Duration) {
        self.end_pulls(now, None);
        self.dispatched.tick(now);
        self.upstreams.tick(now);
        self.upstreams.forget_silent(now);
    }

    /// Takes the actions that have come up: pulls for free slots, and news of free slots.
    pub fn take_actions(&mut self, now: Duration) -> Vec<SidecarAction> {
        let served = self.served(now);
        for pool in &served {
            while self.pull_one(now, pool) {}
        }
        let free: Vec<Slots> = served
            .into_iter()
            .map(|pool| Slots {
                free: self.upstreams.free(now, &pool),
                usable: self.upstreams.usable(now, &pool),
                pool,
            })
            .collect();
        for (to, message) in self.entries.news(&free) {
            self.actions.push(SidecarAction::Send { to, message });
        }
        std::mem::take(&mut self.actions)
    }

    fn on_waits(
        &mut self,
        now: Duration,
        from: &HostName,
        pool: &PoolName,
        full: bool,
        changes: &[AccountWait],
    ) {
        if full {
            let gone = self.waits.forget_pool(from, pool);
            self.lower_waits(now, gone);
        }
        for change in changes {
            let (count, oldest) = self.waits.update(now, from, pool, change);
            self.fair
                .set_backlog(pool, &change.account, Backlog::new(count, oldest), now);
        }
    }

    fn forget_waits(&mut self, now: Duration, entry: &HostName) {
        let gone = self.waits.forget(entry);
        self.lower_waits(now, gone);
    }

    fn lower_waits(&mut self, now: Duration, left: Vec<Left>) {
        for Left {
            pool,
            account,
            count,
            oldest,
        } in left
        {
            let waiting = Backlog::new(count, oldest);
            self.fair.set_backlog(&pool, &account, waiting, now);
        }
    }

    /// The pools that it serves now: those with a live upstream that stays.
    fn served(&self, now: Duration) -> Vec<PoolName> {
        if self.leaving {
            return Vec::new();
        }
        let pools = self.upstreams.pools(now).into_iter();
        pools
            .filter(|(_, upstreams)| *upstreams > 0)
            .map(|(pool, _)| pool)
            .collect()
    }

    fn disown(&mut self, now: Duration, from: &HostName, attempt: AttemptId) {
        let never = self.dispatched.disown(now, attempt);
        let message = FromSidecar::Disowned { attempt, never };
        let to = from.clone();
        self.actions.push(SidecarAction::Send { to, message });
    }

    pub(super) fn tell_all(&mut self, message: &FromSidecar) {
        for to in self.entries.names() {
            let (to, message) = (to.clone(), message.clone());
            self.actions.push(SidecarAction::Send { to, message });
        }
    }
}
