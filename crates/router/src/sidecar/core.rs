//! The sidecar core: pulls work into free slots and decides which attempts start.

use std::time::Duration;

use coltsfootnotch_decide::fair::{Backlog, ChoicePolicy, FairLedger};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AccountWait, AttemptId, FromSidecar, ToSidecar};

use super::entry_updates::{EntryTable, Slots};
use super::runs::Runs;
use super::wait_table::RemainingWait;
use super::{
    CrashLog, DispatchLog, InFlightRequests, PullTable, SidecarAction, UpstreamTable, WaitTable,
};

/// Configuration of a sidecar core.
#[derive(Debug, Clone)]
pub struct SidecarConfig {
    /// Its host.
    pub host: HostName,
    /// The incarnation of its process.
    pub incarnation: Incarnation,
    /// How it chooses the account whose work it pulls.
    pub policy: ChoicePolicy,
    /// Largest difference between two waiting accounts, in service units at weight 1.
    pub horizon: ServiceUnits,
}

/// A sidecar's view of slots, waiting requests and service.
#[derive(Debug)]
pub struct SidecarCore {
    pub(super) incarnation: Incarnation,
    pub(super) upstreams: UpstreamTable,
    pub(super) waits: WaitTable,
    pub(super) pulls: PullTable,
    pub(super) ledger: FairLedger,
    pub(super) runs: Runs,
    pub(super) dispatched: DispatchLog,
    pub(super) crashes: CrashLog,
    pub(super) entries: EntryTable,
    pub(super) draining: bool,
    /// Whether the failure domain of its host is evacuated.
    pub(super) evacuated: bool,
    pub(super) actions: Vec<SidecarAction>,
}

impl SidecarCore {
    /// Creates a sidecar core without upstreams or waiting requests.
    #[must_use]
    pub fn new(cfg: SidecarConfig) -> Self {
        Self {
            incarnation: cfg.incarnation,
            upstreams: UpstreamTable::default(),
            waits: WaitTable::default(),
            pulls: PullTable::default(),
            ledger: FairLedger::new(cfg.policy, cfg.horizon),
            runs: Runs::default(),
            dispatched: DispatchLog::default(),
            crashes: CrashLog::new(cfg.host, cfg.incarnation),
            entries: EntryTable::default(),
            draining: false,
            evacuated: false,
            actions: Vec::new(),
        }
    }

    /// The upstreams.
    #[must_use]
    pub fn upstreams(&self) -> &UpstreamTable {
        &self.upstreams
    }

    /// The upstreams, mutable; the next [`SidecarCore::take_actions`] pulls into new slots.
    pub fn upstreams_mut(&mut self) -> &mut UpstreamTable {
        &mut self.upstreams
    }

    /// Service per account, by which the next account is chosen.
    #[must_use]
    pub fn fair_ledger(&self) -> &FairLedger {
        &self.ledger
    }

    /// Service per account, mutable, to set weights and to merge service on other hosts.
    pub fn fair_ledger_mut(&mut self) -> &mut FairLedger {
        &mut self.ledger
    }

    /// Service per account, mutable, and the requests that wait at the entries.
    pub fn fair_ledger_and_waits(&mut self) -> (&mut FairLedger, &WaitTable) {
        (&mut self.ledger, &self.waits)
    }

    /// Starts to drain: the sidecar accepts no new work from now on.
    pub fn start_drain(&mut self) {
        self.draining = true;
    }

    /// Sets whether the failure domain of its host is evacuated: the sidecar accepts no new work while
    /// it is. Afterwards work returns at the ramp of an upstream that was down, since caches may be cold.
    pub fn set_evacuated(&mut self, now: Duration, evacuated: bool) {
        if self.evacuated && !evacuated {
            self.upstreams.restart_ramps(now);
        }
        self.evacuated = evacuated;
    }

    /// Whether new work is accepted.
    pub(super) fn accepts_work(&self) -> bool {
        !self.draining && !self.evacuated
    }

    /// Number of running attempts.
    #[must_use]
    pub fn running(&self) -> usize {
        self.runs.len()
    }

    /// The upstream that runs an attempt.
    #[must_use]
    pub fn upstream_of(&self, attempt: AttemptId) -> Option<&UpstreamName> {
        self.runs.get(attempt).map(|run| &run.upstream)
    }

    /// The requests that an upstream runs.
    #[must_use]
    pub fn running_requests(&self, upstream: &UpstreamName) -> InFlightRequests {
        self.runs.requests_on(upstream)
    }

    /// Registers a newly connected entry: sends it the recent crashes, and the free slots with the
    /// next actions.
    ///
    /// Pulls over an earlier connection get no answer, and its loss may not have been detected yet.
    /// They are released here, so that their slots don't stay reserved while requests wait.
    pub fn on_entry_connected(&mut self, now: Duration, entry: HostName) {
        self.remove_waits(now, &entry);
        self.expire_pulls(now, Some(&entry));
        for report in self.crashes.recent(now) {
            let to = entry.clone();
            self.actions.push(SidecarAction::Send {
                to,
                message: FromSidecar::Crashed(report),
            });
        }
        self.entries.on_connected(entry);
    }

    /// Removes an entry whose connection was lost, with its pulls and waiting requests.
    pub fn on_entry_disconnected(&mut self, now: Duration, entry: &HostName) {
        self.entries.on_disconnected(entry);
        self.remove_waits(now, entry);
        self.expire_pulls(now, Some(entry));
    }

    /// Handles a message from an entry.
    pub fn on_message(&mut self, now: Duration, from: &HostName, message: ToSidecar) {
        match message {
            ToSidecar::Waits {
                pool,
                full,
                changes,
            } => {
                self.on_waits(now, from, &pool, full, &changes);
            }
            ToSidecar::NoWork { pull } => {
                if let Some(reservation) = self.pulls.release(pull) {
                    self.unreserve(reservation);
                }
            }
            ToSidecar::Cancel { attempt } => {
                self.actions.push(SidecarAction::Cancel { attempt });
            }
            ToSidecar::CloseAttempt { attempt } => self.on_close_attempt(now, from, attempt),
        }
        self.expire_pulls(now, None);
    }

    /// Adds prefixes that an upstream of the pool has cached, to be reported to the entries.
    pub fn add_cached_prefixes(&mut self, pool: &PoolName, prefixes: &[u64]) {
        if !prefixes.is_empty() {
            self.entries.add_cached_prefixes(pool, prefixes);
        }
    }

    /// Releases expired reservations and removes upstreams whose announcements have expired.
    pub fn tick(&mut self, now: Duration) {
        self.expire_pulls(now, None);
        self.dispatched.tick(now);
        self.upstreams.tick(now);
        self.upstreams.remove_expired(now);
    }

    /// Pulls into free slots, reports free slots to the entries, and returns all pending actions.
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
        for (to, message) in self.entries.updates(&free) {
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
            let remaining = self.waits.remove_pool(from, pool);
            self.apply_remaining(now, remaining);
        }
        for change in changes {
            let (count, oldest) = self.waits.update(now, from, pool, change);
            self.ledger
                .set_backlog(pool, &change.account, Backlog::new(count, oldest), now);
        }
    }

    fn remove_waits(&mut self, now: Duration, entry: &HostName) {
        let remaining = self.waits.remove_entry(entry);
        self.apply_remaining(now, remaining);
    }

    fn apply_remaining(&mut self, now: Duration, remaining: Vec<RemainingWait>) {
        for RemainingWait {
            pool,
            account,
            count,
            oldest,
        } in remaining
        {
            let waiting = Backlog::new(count, oldest);
            self.ledger.set_backlog(&pool, &account, waiting, now);
        }
    }

    /// The pools with a live upstream that is not leaving; none while the sidecar accepts no work.
    fn served(&self, now: Duration) -> Vec<PoolName> {
        if !self.accepts_work() {
            return Vec::new();
        }
        let pools = self.upstreams.pools(now).into_iter();
        pools
            .filter(|(_, upstreams)| *upstreams > 0)
            .map(|(pool, _)| pool)
            .collect()
    }

    fn on_close_attempt(&mut self, now: Duration, from: &HostName, attempt: AttemptId) {
        let never_dispatched = self.dispatched.abandon(now, attempt);
        let message = FromSidecar::AttemptClosed {
            attempt,
            never_dispatched,
        };
        let to = from.clone();
        self.actions.push(SidecarAction::Send { to, message });
    }

    pub(super) fn broadcast(&mut self, message: &FromSidecar) {
        for to in self.entries.hosts() {
            let (to, message) = (to.clone(), message.clone());
            self.actions.push(SidecarAction::Send { to, message });
        }
    }
}
