//! One member of the fake group, with a disk that loses unsynced data in a crash.

use std::collections::BTreeMap;
use std::time::Duration;

use super::files::Files;
use coltsfootnotch_consensus::{
    Action, Core, CoreConfig, LogIndex, MemberChange, MemberId, Message, Persist, ReadId,
    Recovered, Status, Term,
};
use rand::Rng;
use rand::rngs::StdRng;

pub(crate) struct Node {
    pub(crate) id: MemberId,
    pub(crate) core: Option<Core>,
    /// State that survives a crash.
    pub(crate) disk: Recovered,
    /// Real files that receive the same work, in runs that compare them.
    files: Option<Files>,
    /// Work that is not synced yet.
    queue: Vec<Persist>,
    /// When the current sync completes, in milliseconds.
    sync_due: Option<u64>,
    /// No sync completes while set.
    pub(crate) disk_stalled: bool,
    /// The state machine: every command by its index.
    pub(crate) state: BTreeMap<LogIndex, u64>,
    /// The last entry applied to the state machine.
    last_applied: LogIndex,
    /// Rate of this member's clock, in parts per thousand.
    clock_rate: u64,
    started_ms: u64,
}

impl Node {
    pub(crate) fn new(id: MemberId, clock_rate: u64, with_files: bool) -> Self {
        Self {
            disk: Recovered::empty(id.clone()),
            core: None,
            files: with_files.then(|| Files::new(&id.host)),
            id,
            queue: Vec::new(),
            sync_due: None,
            disk_stalled: false,
            state: BTreeMap::new(),
            last_applied: LogIndex(0),
            clock_rate,
            started_ms: 0,
        }
    }

    pub(crate) fn start(&mut self, cfg: &CoreConfig, now_ms: u64, rng: &mut StdRng) {
        if self.core.is_none() {
            self.started_ms = now_ms;
            self.state.clear();
            self.last_applied = LogIndex(0);
            if let Some(files) = &mut self.files {
                let recovered = files.reopen();
                assert_eq!(
                    recovered.entries, self.disk.entries,
                    "the files contain the entries"
                );
                assert_eq!(
                    recovered.snapshot, self.disk.snapshot,
                    "the files contain the snapshot"
                );
                assert_eq!(
                    recovered.hard, self.disk.hard,
                    "the files contain the hard state"
                );
            }
            let now = self.clock(now_ms);
            self.core = Some(Core::new(cfg.clone(), self.disk.clone(), now, rng));
        }
    }

    /// Stops the member; a random part of the unsynced work reaches the disk.
    pub(crate) fn crash(&mut self, rng: &mut StdRng) {
        let reached = rng.random_range(0..=self.queue.len());
        self.queue.truncate(reached);
        self.write_queue();
        self.sync_due = None;
        self.core = None;
    }

    fn clock(&self, now_ms: u64) -> Duration {
        Duration::from_micros((now_ms - self.started_ms) * self.clock_rate)
    }

    pub(crate) fn bootstrap(&mut self, members: Vec<MemberId>) {
        let core = self.core.as_mut().expect("the member runs");
        core.bootstrap(Duration::ZERO, members)
            .expect("the log is empty");
    }

    pub(crate) fn receive(&mut self, now_ms: u64, from: &MemberId, msg: Message) {
        let now = self.clock(now_ms);
        if let Some(core) = &mut self.core {
            core.step(now, from, msg);
        }
    }

    fn complete_sync(&mut self, now_ms: u64) {
        let now = self.clock(now_ms);
        let due = self.sync_due.is_some_and(|due| due <= now_ms) && !self.disk_stalled;
        if let Some(core) = self.core.as_mut().filter(|_| due) {
            let last = self.queue.last().expect("a sync has work").seq;
            core.synced(now, last);
            self.sync_due = None;
            self.write_queue();
        }
    }

    fn write_queue(&mut self) {
        if let Some(files) = &mut self.files {
            files.write(&self.queue);
        }
        for persist in self.queue.drain(..) {
            self.disk.write(persist.work);
        }
    }

    /// Runs this member for one millisecond.
    pub(crate) fn step(&mut self, now_ms: u64, rng: &mut StdRng) -> Vec<Action> {
        let now = self.clock(now_ms);
        self.complete_sync(now_ms);
        let Some(core) = &mut self.core else {
            return Vec::new();
        };
        if now >= core.next_due() {
            core.tick(now);
        }
        let actions = core.take_actions();
        for action in &actions {
            match action {
                Action::Persist(persist) => {
                    self.queue.push(persist.clone());
                    let due = now_ms + rng.random_range(1..8);
                    self.sync_due.get_or_insert(due);
                }
                Action::Apply { index, data, .. } => {
                    assert_eq!(
                        *index,
                        self.last_applied.next(),
                        "entries are applied without gaps"
                    );
                    self.last_applied = *index;
                    if let Some(data) = data {
                        let command = data[..].try_into().expect("eight bytes");
                        self.state.insert(*index, u64::from_le_bytes(command));
                    }
                }
                Action::TakeSnapshot { index } => {
                    assert_eq!(
                        *index, self.last_applied,
                        "a snapshot is requested for the last applied entry"
                    );
                    let data = postcard::to_stdvec(&self.state).expect("the state can be encoded");
                    core.snapshot_taken(now, *index, data);
                }
                Action::InstallSnapshot(snapshot) => {
                    self.last_applied = snapshot.meta.index;
                    self.state =
                        postcard::from_bytes(&snapshot.data).expect("the state can be decoded");
                }
                _ => {}
            }
        }
        actions
    }

    pub(crate) fn is_leader(&self) -> bool {
        self.core.as_ref().is_some_and(Core::is_leader)
    }

    pub(crate) fn status(&self) -> Status {
        self.core.as_ref().expect("the member runs").status()
    }

    pub(crate) fn term(&self) -> Term {
        self.status().term
    }

    pub(crate) fn applied(&self) -> LogIndex {
        self.status().applied
    }

    pub(crate) fn propose(&mut self, now_ms: u64, command: u64) -> Option<(LogIndex, Term)> {
        let now = self.clock(now_ms);
        let proposal = self.core.as_mut()?.propose(now, command.to_le_bytes());
        proposal.ok().map(|p| (p.index, p.term))
    }

    pub(crate) fn read(&mut self, now_ms: u64) -> Option<ReadId> {
        let now = self.clock(now_ms);
        self.core.as_mut()?.read(now).ok()
    }

    pub(crate) fn transfer(&mut self, now_ms: u64) {
        let now = self.clock(now_ms);
        if let Some(core) = &mut self.core {
            let _ = core.transfer(now, None);
        }
    }

    pub(crate) fn change(&mut self, now_ms: u64, change: &MemberChange) {
        let now = self.clock(now_ms);
        if let Some(core) = &mut self.core {
            let _ = core.change_members(now, change);
        }
    }

    /// Whether the replacement of `old` is committed.
    pub(crate) fn has_committed_removal_of(&self, old: &MemberId) -> bool {
        let status = self.status();
        let is_stable = status.commit == status.last && status.members.learners.is_empty();
        is_stable && !status.members.contains(old)
    }
}
