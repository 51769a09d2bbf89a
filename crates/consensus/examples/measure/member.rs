//! One member: a thread for the core and one for the storage.

use std::collections::BTreeMap;
use std::error::Error;
use std::sync::Arc;
use std::sync::mpsc::{self, Receiver, Sender};
use std::thread::{self, JoinHandle};
use std::time::Instant;

use coltsfootnotch_consensus::storage::Storage;
use coltsfootnotch_consensus::{Action, Core, MemberId, Message, Persist, PersistSeq, RoleKind};

/// What comes to a member.
pub(crate) enum Input {
    Message(MemberId, Message),
    Synced(PersistSeq),
    Propose(Vec<u8>),
    Stop,
}

/// What a member tells the measurement.
pub(crate) enum Report {
    Leads(usize),
    Committed,
    Refused,
}

/// How a member is reached and what it reaches.
pub(crate) struct Link {
    pub(crate) place: usize,
    pub(crate) began: Instant,
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

    /// Stops both threads; returns how often the storage has synced.
    pub(crate) fn stop(self) -> Result<u64, Box<dyn Error>> {
        self.tx.send(Input::Stop)?;
        self.core.join().map_err(|_| "the core failed")?;
        let syncs = self.storage.join().map_err(|_| "the storage failed")?;
        Ok(syncs)
    }
}

/// Syncs all work that has come since the last sync at once.
fn run_storage(mut storage: Storage, works: &Receiver<Persist>, synced: &Sender<Input>) -> u64 {
    while let Ok(first) = works.recv() {
        let batch: Vec<Persist> = std::iter::once(first).chain(works.try_iter()).collect();
        let seq = storage.run(&batch).expect("a sound disk");
        if synced.send(Input::Synced(seq)).is_err() {
            break;
        }
    }
    storage.syncs()
}

/// The state machine: the last value of each of some keys.
type State = BTreeMap<u8, Arc<[u8]>>;

fn run_core(mut core: Core, link: &Link, works: &Sender<Persist>) {
    let mut state = State::new();
    let id = core.status().member;
    loop {
        let wait = core.next_due().saturating_sub(link.began.elapsed());
        let first = link.rx.recv_timeout(wait).ok();
        for input in first.into_iter().chain(link.rx.try_iter()) {
            let now = link.began.elapsed();
            match input {
                Input::Message(from, msg) => core.step(now, &from, msg),
                Input::Synced(seq) => core.synced(now, seq),
                Input::Propose(data) => {
                    if core.propose(now, data).is_err() {
                        let _ = link.reports.send(Report::Refused);
                    }
                }
                Input::Stop => return,
            }
        }
        core.tick(link.began.elapsed());
        for action in core.take_actions() {
            carry_out(action, &id, &mut core, &mut state, link, works);
        }
    }
}

fn carry_out(
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
                let _ = tx.send(Input::Message(id.clone(), msg));
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
            let data = postcard::to_stdvec(state).expect("it can be encoded");
            core.snapshot_taken(link.began.elapsed(), index, data);
        }
        Action::InstallSnapshot(snapshot) => {
            *state = postcard::from_bytes(&snapshot.data).expect("it can be decoded");
        }
        Action::RoleChanged {
            role: RoleKind::Leader,
            ..
        } => {
            let _ = link.reports.send(Report::Leads(link.place));
        }
        _ => {}
    }
}
