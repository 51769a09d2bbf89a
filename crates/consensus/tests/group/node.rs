//! One member of the fake group, with a disk that forgets what was not synced.

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
    /// What survives a crash.
    pub(crate) disk: Recovered,
    /// Real files that get the same work, where the run compares them.
    files: Option<Files>,
    /// Work that is not synced yet, and when the sync ends.
    queue: Vec<Persist>,
    sync_due: Option<u64>,
    /// The sync takes no end while set.
    pub(crate) disk_hangs: bool,
    /// The state machine: every command by its place.
    pub(crate) state: BTreeMap<LogIndex, u64>,
    /// The entry that the state machine holds last.
    last: LogIndex,
    /// Rate of this member's clock, in parts per thousand.
    rate: u64,
    started_ms: u64,
}

impl Node {
    pub(crate) fn new(id: MemberId, rate: u64, with_files: bool) -> Self {
        Self {
            disk: Recovered::empty(id.clone()),
            core: None,
            files: with_files.then(|| Files::new(&id.host)),
            id,
            queue: Vec::new(),
            sync_due: None,
            disk_hangs: false,
            state: BTreeMap::new(),
            last: LogIndex(0),
            rate,
            started_ms: 0,
        }
    }

    pub(crate) fn start(&mut self, cfg: &CoreConfig, now_ms: u64, rng: &mut StdRng) {
        if self.core.is_none() {
            self.started_ms = now_ms;
            self.state.clear();
            self.last = LogIndex(0);
            if let Some(files) = &mut self.files {
                let found = files.reopen();
                assert_eq!(
                    found.entries, self.disk.entries,
                    "the files hold the entries"
                );
                assert_eq!(
                    found.snapshot, self.disk.snapshot,
                    "the files hold the snapshot"
                );
                assert_eq!(found.hard, self.disk.hard, "the files hold the vote");
            }
            let now = self.clock(now_ms);
            self.core = Some(Core::new(cfg.clone(), self.disk.clone(), now, rng));
        }
    }

    /// A part of the work that was under way may have reached the disk.
    pub(crate) fn crash(&mut self, rng: &mut StdRng) {
        let reached = rng.random_range(0..=self.queue.len());
        self.queue.truncate(reached);
        self.write_queue();
        self.sync_due = None;
        self.core = None;
    }

    fn clock(&self, now_ms: u64) -> Duration {
        Duration::from_micros((now_ms - self.started_ms) * self.rate)
    }

    pub(crate) fn found(&mut self, members: Vec<MemberId>) {
        let core = self.core.as_mut().expect("it runs");
        core.bootstrap(Duration::ZERO, members)
            .expect("it is empty");
    }

    pub(crate) fn receive(&mut self, now_ms: u64, from: &MemberId, msg: Message) {
        let now = self.clock(now_ms);
        if let Some(core) = &mut self.core {
            core.step(now, from, msg);
        }
    }

    fn end_sync(&mut self, now_ms: u64) {
        let now = self.clock(now_ms);
        let due = self.sync_due.is_some_and(|due| due <= now_ms) && !self.disk_hangs;
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

    /// One millisecond of this member.
    pub(crate) fn turn(&mut self, now_ms: u64, rng: &mut StdRng) -> Vec<Action> {
        let now = self.clock(now_ms);
        self.end_sync(now_ms);
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
                        self.last.next(),
                        "entries are applied without a gap"
                    );
                    self.last = *index;
                    if let Some(data) = data {
                        let command = data[..].try_into().expect("eight bytes");
                        self.state.insert(*index, u64::from_le_bytes(command));
                    }
                }
                Action::TakeSnapshot { index } => {
                    assert_eq!(*index, self.last, "a snapshot is asked for in its place");
                    let data = postcard::to_stdvec(&self.state).expect("it can be encoded");
                    core.snapshot_taken(now, *index, data);
                }
                Action::InstallSnapshot(snapshot) => {
                    self.last = snapshot.meta.index;
                    self.state = postcard::from_bytes(&snapshot.data).expect("it can be decoded");
                }
                _ => {}
            }
        }
        actions
    }

    pub(crate) fn leads(&self) -> bool {
        self.core.as_ref().is_some_and(Core::is_leader)
    }

    pub(crate) fn status(&self) -> Status {
        self.core.as_ref().expect("it runs").status()
    }

    pub(crate) fn term(&self) -> Term {
        self.status().term
    }

    pub(crate) fn applied(&self) -> LogIndex {
        self.status().applied
    }

    pub(crate) fn propose(&mut self, now_ms: u64, command: u64) -> Option<(LogIndex, Term)> {
        let now = self.clock(now_ms);
        let proposed = self.core.as_mut()?.propose(now, command.to_le_bytes());
        proposed.ok().map(|p| (p.index, p.term))
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

    /// Whether a committed membership has gone beyond `old`.
    pub(crate) fn has_members_without(&self, old: &MemberId) -> bool {
        let status = self.status();
        let settled = status.commit == status.last && status.members.learners.is_empty();
        settled && !status.members.contains(old)
    }
}
