//! The leader's sending: entries, heartbeats and snapshots, and the answers to them.

use super::{Core, Role};
use crate::progress::{Mode, Progress};
use crate::{Body, CoreConfig, LogIndex, MemberId, log::Log};

/// What every message to a follower states.
#[derive(Clone, Copy)]
struct Stated {
    commit: LogIndex,
    round: u64,
}

impl Core {
    /// Begins a round of heartbeats: a message to every member, whose answers show that this
    /// member still leads after the round began.
    pub(super) fn begin_round(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        leader.heartbeat_due = now + self.cfg.heartbeat;
        let stated = Stated {
            commit: self.commit,
            round: leader.round,
        };
        let mut bodies = Vec::new();
        for (peer, progress) in &mut leader.progress {
            progress.allow_resend();
            if matches!(progress.mode, Mode::Replicate) {
                let empty = append(&self.log, progress, stated, 0);
                bodies.extend(empty.map(|body| (peer.clone(), body)));
            }
        }
        self.send_all(bodies);
        self.confirm_rounds();
    }

    /// Sends every member what it lacks.
    pub(super) fn replicate(&mut self) {
        self.begin_round_for_reads();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let stated = Stated {
            commit: self.commit,
            round: leader.round,
        };
        let mut bodies = Vec::new();
        for (peer, progress) in &mut leader.progress {
            while let Some(body) = next_body(&self.cfg, &self.log, progress, stated) {
                bodies.push((peer.clone(), body));
            }
        }
        self.send_all(bodies);
    }

    fn send_all(&mut self, bodies: Vec<(MemberId, Body)>) {
        for (peer, body) in bodies {
            let msg = self.message(&peer, body);
            self.out.send(peer, msg);
        }
    }

    /// Notes that `from` answered in this term; false where it is no member.
    fn hear_member(&mut self, from: &MemberId, round: u64) -> bool {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return false;
        };
        progress.heard = now;
        progress.round = progress.round.max(round);
        self.confirm_rounds();
        true
    }

    fn progress_of(&mut self, member: &MemberId) -> Option<&mut Progress> {
        match &mut self.role {
            Role::Leader(leader) => leader.progress.get_mut(member),
            _ => None,
        }
    }

    pub(super) fn on_appended(&mut self, from: &MemberId, matched: LogIndex, round: u64) {
        if !self.hear_member(from, round) {
            return;
        }
        assert!(
            matched <= self.log.last_index(),
            "a member matches no more than the leader holds"
        );
        if let Some(progress) = self.progress_of(from) {
            progress.acknowledge(matched);
        }
        self.advance_commit();
        self.drive_members();
        self.drive_transfer();
    }

    pub(super) fn on_append_rejected(
        &mut self,
        from: &MemberId,
        prev_index: LogIndex,
        hint: LogIndex,
        round: u64,
    ) {
        if self.hear_member(from, round)
            && let Some(progress) = self.progress_of(from)
        {
            progress.reject(prev_index, hint);
        }
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        from: &MemberId,
        index: LogIndex,
        wanted: u64,
        round: u64,
    ) {
        if !self.hear_member(from, round) {
            return;
        }
        if let Some(progress) = self.progress_of(from)
            && let Mode::Snapshot {
                snapshot,
                offset,
                sent,
                ..
            } = &mut progress.mode
            && snapshot.meta.index == index
            && wanted < snapshot.data.len() as u64
            && wanted != *offset
        {
            *offset = wanted;
            *sent = false;
        }
    }
}

/// The next message to a member, if there is something to send to it now.
fn next_body(cfg: &CoreConfig, log: &Log, progress: &mut Progress, stated: Stated) -> Option<Body> {
    if progress.next <= log.base_index() && !matches!(progress.mode, Mode::Snapshot { .. }) {
        let snapshot = log.snapshot()?.clone();
        progress.mode = Mode::Snapshot {
            crc: crc32fast::hash(&snapshot.data),
            snapshot,
            offset: 0,
            sent: false,
        };
    }
    let behind = progress.next <= log.last_index();
    match &mut progress.mode {
        Mode::Probe { sent } => {
            if std::mem::replace(sent, true) {
                return None;
            }
            append(log, progress, stated, cfg.max_append_bytes)
        }
        Mode::Replicate => {
            let room = progress.inflight() < cfg.max_inflight_entries;
            let news = progress.commit_sent < stated.commit;
            if behind && room {
                let body = append(log, progress, stated, cfg.max_append_bytes)?;
                progress.next = after(&body)?;
                return Some(body);
            }
            news.then(|| append(log, progress, stated, 0)).flatten()
        }
        Mode::Snapshot { .. } => chunk(progress, stated, cfg.chunk_bytes),
    }
}

/// The entry after the last that the message holds.
fn after(body: &Body) -> Option<LogIndex> {
    match body {
        Body::Append { entries, .. } => entries.last().map(|e| e.index.next()),
        _ => None,
    }
}

/// Entries from the member's next on, up to `max_bytes`; none at all for 0.
fn append(log: &Log, progress: &mut Progress, stated: Stated, max_bytes: usize) -> Option<Body> {
    let prev_index = progress.next.prev();
    let prev_term = log.term_at(prev_index)?;
    let entries = match max_bytes {
        0 => Vec::new(),
        _ => log.slice(progress.next, max_bytes),
    };
    progress.commit_sent = stated.commit;
    Some(Body::Append {
        prev_index,
        prev_term,
        entries,
        commit: stated.commit,
        round: stated.round,
    })
}

fn chunk(progress: &mut Progress, stated: Stated, chunk_bytes: usize) -> Option<Body> {
    let Mode::Snapshot {
        snapshot,
        crc,
        offset,
        sent,
    } = &mut progress.mode
    else {
        return None;
    };
    if std::mem::replace(sent, true) {
        return None;
    }
    let start = usize::try_from(*offset).ok()?;
    let rest = snapshot.data.get(start..)?;
    let part = &rest[..rest.len().min(chunk_bytes)];
    Some(Body::Chunk {
        meta: snapshot.meta.clone(),
        offset: *offset,
        total: snapshot.data.len() as u64,
        crc: *crc,
        data: part.into(),
        round: stated.round,
    })
}
