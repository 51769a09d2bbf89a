//! A member with one thread for the core and one for the storage.

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use coltsfootnotch_consensus::storage::Storage;
use coltsfootnotch_consensus::{Action, Core, MemberId, Message, Persist, PersistSeq, RoleKind};

/// Input of a member.
pub(crate) enum Input {
    Message(MemberId, Box<Message>),
    Synced(PersistSeq),
    Propose(Vec<u8>),
    Stop,
}

/// Report from a member to the benchmark.
pub(crate) enum Report {
    Elected(usize),
    Committed,
    Refused,
}

/// Channels of a member.
pub(crate) struct Link {
    pub(crate) index: usize,
    pub(crate) start_time: Instant,
    pub(crate) tx: Sender<Input>,
    pub(crate) rx: Receiver<Input>,
    pub(crate) peers: Vec<(MemberId, Sender<Input>)>,
    pub(crate) reports: Sender<Report>,
}

pub(crate) struct Member {
    pub(crate) tx: Sender<Input>,
    core: JoinHandle<()>,
    storage: JoinHandle<u64>,
}

impl Member {
    pub(crate) fn start(core: Core, storage: Storage, link: Link) -> Self {
        let (work_tx, work_rx) = mpsc::channel();
        let tx = link.tx.clone();
        let synced = link.tx.clone();
        Self {
            tx,
            core: thread::spawn(move || run_core(core, &link, &work_tx)),
            storage: thread::spawn(move || run_storage(storage, &work_rx, &synced)),
        }
    }

    /// Stops both threads; returns the number of syncs of the storage.
    pub(crate) fn stop(self) -> Result<u64, Box<dyn Error>> {
        self.tx.send(Input::Stop)?;
        self.core.join().map_err(|_| "the core thread panicked")?;
        let syncs = self
            .storage
            .join()
            .map_err(|_| "the storage thread panicked")?;
        Ok(syncs)
    }
}

/// Syncs all work received since the last sync as one batch.
fn run_storage(mut storage: Storage, works: &Receiver<Persist>, synced: &Sender<Input>) -> u64 {
    while let Ok(first) = works.recv() {
        let batch: Vec<Persist> = std::iter::once(first).chain(works.try_iter()).collect();
        let seq = storage.run(&batch).expect("the disk works");
        if synced.send(Input::Synced(seq)).is_err() {
            break;
        }
    }
    storage.syncs()
}

/// The state machine: the last command for each value of its first byte.
type State = BTreeMap<u8, Arc<[u8]>>;

fn run_core(mut core: Core, link: &Link, works: &Sender<Persist>) {
    let mut state = State::new();
    let id = core.status().member;
    loop {
        let wait = core.next_due().saturating_sub(link.start_time.elapsed());
        let first = link.rx.recv_timeout(wait).ok();
        for input in first.into_iter().chain(link.rx.try_iter()) {
            let now = link.start_time.elapsed();
            match input {
                Input::Message(from, msg) => core.step(now, &from, *msg),
                Input::Synced(seq) => core.synced(now, seq),
                Input::Propose(data) => {
                    if core.propose(now, data).is_err() {
                        let _ = link.reports.send(Report::Refused);
                    }
                }
                Input::Stop => return,
            }
        }
        core.tick(link.start_time.elapsed());
        for action in core.take_actions() {
            execute(action, &id, &mut core, &mut state, link, works);
        }
    }
}

fn execute(
    action: Action,
    id: &MemberId,
    core: &mut Core,
    state: &mut State,
    link: &Link,
    works: &Sender<Persist>,
) {
    match action {
        Action::Send { to, msg } => {
            if let Some((_, tx)) = link.peers.iter().find(|(peer, _)| *peer == to) {
                let _ = tx.send(Input::Message(id.clone(), Box::new(msg)));
            }
        }
        Action::Persist(persist) => {
            let _ = works.send(persist);
        }
        Action::Apply {
            data: Some(data), ..
        } => {
            state.insert(data[0], data);
            if core.is_leader() {
                let _ = link.reports.send(Report::Committed);
            }
        }
        Action::TakeSnapshot { index } => {
            let data = postcard::to_stdvec(state).expect("the state can be encoded");
            core.snapshot_taken(link.start_time.elapsed(), index, data);
        }
        Action::InstallSnapshot(snapshot) => {
            *state = postcard::from_bytes(&snapshot.data).expect("the state can be decoded");
        }
        Action::RoleChanged {
            role: RoleKind::Leader,
            ..
        } => {
            let _ = link.reports.send(Report::Elected(link.index));
        }
        _ => {}
    }
}
