//! Leader side of replication: sends entries, heartbeats and snapshots, and handles the replies.

use super::{Core, Role};
use crate::progress::{Mode, Progress};
use crate::{Body, CoreConfig, LogIndex, MemberId, log::Log};

/// Fields common to all messages to followers.
#[derive(Clone, Copy)]
struct Header {
    commit: LogIndex,
    round: u64,
}

impl Core {
    /// Starts a heartbeat round: a message to every member. Replies from a majority confirm that
    /// this member still led after the round started.
    pub(super) fn start_round(&mut self) {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        leader.round += 1;
        leader.rounds.push_back((leader.round, now));
        leader.heartbeat_due = now + self.cfg.heartbeat;
        let header = Header {
            commit: self.commit,
            round: leader.round,
        };
        let mut bodies = Vec::new();
        for (peer, progress) in &mut leader.progress {
            progress.allow_resend();
            if matches!(progress.mode, Mode::Replicate) {
                let empty = append(&self.log, progress, header, 0);
                bodies.extend(empty.map(|body| (peer.clone(), body)));
            }
        }
        self.send_all(bodies);
        self.confirm_rounds();
    }

    /// Sends every member the entries or snapshot chunks it lacks.
    pub(super) fn replicate(&mut self) {
        self.start_round_for_reads();
        let Role::Leader(leader) = &mut self.role else {
            return;
        };
        let header = Header {
            commit: self.commit,
            round: leader.round,
        };
        let mut bodies = Vec::new();
        for (peer, progress) in &mut leader.progress {
            while let Some(body) = next_body(&self.cfg, &self.log, progress, header) {
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

    /// Records that `from` replied in this term; returns false if it is not a member.
    fn record_member_contact(&mut self, from: &MemberId, round: u64) -> bool {
        let now = self.now;
        let Role::Leader(leader) = &mut self.role else {
            return false;
        };
        let Some(progress) = leader.progress.get_mut(from) else {
            return false;
        };
        progress.last_contact = now;
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
        if !self.record_member_contact(from, round) {
            return;
        }
        assert!(
            matched <= self.log.last_index(),
            "a member's log never matches beyond the leader's log"
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
        if self.record_member_contact(from, round)
            && let Some(progress) = self.progress_of(from)
        {
            progress.reject(prev_index, hint);
        }
    }

    pub(super) fn on_chunk_reply(
        &mut self,
        from: &MemberId,
        index: LogIndex,
        next_offset: u64,
        round: u64,
    ) {
        if !self.record_member_contact(from, round) {
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
            && next_offset < snapshot.data.len() as u64
            && next_offset != *offset
        {
            *offset = next_offset;
            *sent = false;
        }
    }
}

/// The next message to a member, if one is due.
fn next_body(cfg: &CoreConfig, log: &Log, progress: &mut Progress, header: Header) -> Option<Body> {
    if progress.next <= log.base_index() && !matches!(progress.mode, Mode::Snapshot { .. }) {
        let snapshot = log.snapshot()?.clone();
        progress.mode = Mode::Snapshot {
            crc: crc32fast::hash(&snapshot.data),
            snapshot,
            offset: 0,
            sent: false,
        };
    }
    let is_behind = progress.next <= log.last_index();
    match &mut progress.mode {
        Mode::Probe { sent } => {
            if std::mem::replace(sent, true) {
                return None;
            }
            append(log, progress, header, cfg.max_append_bytes)
        }
        Mode::Replicate => {
            let has_capacity = progress.inflight() < cfg.max_inflight_entries;
            let commit_changed = progress.commit_sent < header.commit;
            if is_behind && has_capacity {
                let body = append(log, progress, header, cfg.max_append_bytes)?;
                progress.next = index_after(&body)?;
                return Some(body);
            }
            commit_changed
                .then(|| append(log, progress, header, 0))
                .flatten()
        }
        Mode::Snapshot { .. } => chunk(progress, header, cfg.chunk_bytes),
    }
}

/// The index after the last entry in the message.
fn index_after(body: &Body) -> Option<LogIndex> {
    match body {
        Body::Append { entries, .. } => entries.last().map(|e| e.index.next()),
        _ => None,
    }
}

/// An append from the member's next entry on, up to `max_bytes`; without entries if 0.
fn append(log: &Log, progress: &mut Progress, header: Header, max_bytes: usize) -> Option<Body> {
    let prev_index = progress.next.prev();
    let prev_term = log.term_at(prev_index)?;
    let entries = match max_bytes {
        0 => Vec::new(),
        _ => log.slice(progress.next, max_bytes),
    };
    progress.commit_sent = header.commit;
    Some(Body::Append {
        prev_index,
        prev_term,
        entries,
        commit: header.commit,
        round: header.round,
    })
}

fn chunk(progress: &mut Progress, header: Header, chunk_bytes: usize) -> Option<Body> {
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
    let data = &rest[..rest.len().min(chunk_bytes)];
    Some(Body::Chunk {
        meta: snapshot.meta.clone(),
        offset: *offset,
        total: snapshot.data.len() as u64,
        crc: *crc,
        data: data.into(),
        round: header.round,
    })
}
