//! The state machine of one member: takes messages and time, returns actions.

mod apply;
mod election;
mod follower;
mod install;
mod leader_state;
mod leadership;
mod members;
mod reads;
mod replication;
mod status;
mod step;

use std::collections::BTreeSet;
use std::sync::Arc;
use std::time::Duration;

use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use self::install::Incoming;
use self::leader_state::Leader;
use crate::log::Log;
use crate::outbox::Outbox;
use crate::{
    Action, Body, BootstrapRefused, CoreConfig, Entry, HardState, LogIndex, MemberId, Membership,
    Message, Payload, PersistSeq, Recovered, RoleKind, Snapshot, Term,
};

/// Role of a member with the state of that role.
#[derive(Debug)]
enum Role {
    Follower,
    PreCandidate {
        granted: BTreeSet<MemberId>,
    },
    Candidate {
        granted: BTreeSet<MemberId>,
        /// The member's own vote counts once this work is synced.
        own_vote: PersistSeq,
    },
    Leader(Box<Leader>),
}

/// One member of the group.
///
/// Call [`Core::take_actions`] after every call or batch of calls, and [`Core::tick`] no later
/// than [`Core::next_due`].
///
/// ```
/// use coltsfootnotch_consensus::{Action, Core, CoreConfig, DiskId, MemberChange, MemberId};
/// use coltsfootnotch_consensus::Recovered;
/// use coltsfootnotch_types::HostName;
/// use std::time::Duration;
///
/// /// Executes the actions; a daemon also syncs the storage work and sends the messages.
/// fn run(core: &mut Core, now: Duration) -> Vec<Action> {
///     let mut done = Vec::new();
///     loop {
///         let actions = core.take_actions();
///         if actions.is_empty() {
///             return done;
///         }
///         for action in actions {
///             match action {
///                 Action::Persist(persist) => core.synced(now, persist.seq),
///                 other => done.push(other),
///             }
///         }
///     }
/// }
///
/// let member = |name: &str| HostName::new(name).map(|host| MemberId { host, disk: DiskId(1) });
/// let me = member("colombo-1")?;
/// let recovered = Recovered::empty(me.clone());
/// let mut core =
///     Core::new(CoreConfig::default(), recovered, Duration::ZERO, &mut rand::rng());
/// core.bootstrap(Duration::ZERO, [me])?;
/// let now = core.next_due();
/// core.tick(now);
/// run(&mut core, now);
/// assert!(core.is_leader());
///
/// let proposal = core.propose(now, *b"a command")?;
/// let done = run(&mut core, now);
/// let is_ours = |a: &Action| matches!(a, Action::Apply { index, .. } if *index == proposal.index);
/// assert!(done.iter().any(is_ours));
///
/// let id = core.read(now)?;
/// let done = run(&mut core, now);
/// let is_ours = |a: &Action| matches!(a, Action::ReadReady { id: ready, .. } if *ready == id);
/// assert!(done.iter().any(is_ours));
///
/// let new_member = member("gampaha-1")?;
/// let add = MemberChange::Add { member: new_member.clone(), replaces: None };
/// core.change_members(now, &add)?;
/// assert!(core.status().members.learners.contains_key(&new_member));
/// # Ok::<(), Box<dyn std::error::Error>>(())
/// ```
#[derive(Debug)]
pub struct Core {
    cfg: CoreConfig,
    me: MemberId,
    rng: StdRng,
    now: Duration,
    hard: HardState,
    log: Log,
    out: Outbox,
    commit: LogIndex,
    applied: LogIndex,
    role: Role,
    /// The leader to redirect to; cleared when it is no longer live.
    leader: Option<MemberId>,
    /// The leader of this term, once known.
    term_leader: Option<MemberId>,
    /// When the leader's last message was received.
    leader_contact: Option<Duration>,
    election_due: Duration,
    next_read: u64,
    incoming: Option<Incoming>,
    /// The leader's snapshot, until it is synced.
    installing: Option<(PersistSeq, Snapshot)>,
    /// The local snapshot, until it is synced.
    saving: Option<(PersistSeq, Snapshot)>,
    snapshot_requested: bool,
    /// Bytes applied since the last snapshot.
    applied_bytes: usize,
    reported: (RoleKind, Term, Option<MemberId>),
    reported_members: LogIndex,
}

impl Core {
    /// Creates a member from the state that its storage recovered.
    ///
    /// A member that was in a group before refuses candidates for one election timeout, because its
    /// previous run may have answered a heartbeat on which the leader's lease still depends.
    pub fn new(cfg: CoreConfig, recovered: Recovered, now: Duration, rng: &mut impl Rng) -> Self {
        let me = recovered.member.clone();
        let hard = recovered.hard.clone();
        let snapshot = recovered.snapshot.clone();
        let log = Log::new(recovered);
        let start = log.snapshot_index();
        let leader_contact = (hard.term > Term(0)).then_some(now);
        let mut core = Self {
            cfg,
            me,
            rng: StdRng::from_rng(rng),
            now,
            reported: (RoleKind::Follower, hard.term, None),
            hard,
            log,
            out: Outbox::default(),
            commit: start,
            applied: start,
            role: Role::Follower,
            leader: None,
            term_leader: None,
            leader_contact,
            election_due: now,
            next_read: 0,
            incoming: None,
            installing: None,
            saving: None,
            snapshot_requested: false,
            applied_bytes: 0,
            reported_members: LogIndex(0),
        };
        core.reset_election();
        if let Some(snapshot) = snapshot {
            core.out.push(Action::InstallSnapshot(snapshot));
        }
        core
    }

    /// Bootstraps a group in which all of `members` are voters, by appending the first entry.
    ///
    /// Only for a new group: the caller must have checked that every member is reachable and has an
    /// empty log. This guards against hosts with lost disks bootstrapping a second group beside an
    /// existing one.
    ///
    /// # Errors
    /// [`BootstrapRefused`] if this member has entries or is not the
    /// [`Membership::bootstrap_member`] of `members`.
    pub fn bootstrap(
        &mut self,
        now: Duration,
        members: impl IntoIterator<Item = MemberId>,
    ) -> Result<(), BootstrapRefused> {
        self.advance(now);
        let members = Membership::of(members);
        let expected = members
            .bootstrap_member()
            .ok_or(BootstrapRefused::NoMembers)?;
        if *expected != self.me {
            let expected = expected.clone();
            return Err(BootstrapRefused::NotBootstrapMember { expected });
        }
        if self.log.last_index() > LogIndex(0) {
            return Err(BootstrapRefused::NotEmpty);
        }
        self.append(Entry {
            index: LogIndex(1),
            term: Term(0),
            payload: Payload::Members(members),
        });
        Ok(())
    }

    /// Handles timeouts: elections, heartbeats and stepping down.
    pub fn tick(&mut self, now: Duration) {
        self.advance(now);
        if self.is_leader() {
            self.tick_leader();
        } else if self.now >= self.election_due {
            self.on_election_due();
        }
    }

    /// The latest time at which [`Core::tick`] should be called next.
    #[must_use]
    pub fn next_due(&self) -> Duration {
        match &self.role {
            Role::Leader(leader) => leader.heartbeat_due,
            _ => self.election_due,
        }
    }

    /// Records that the storage has synced all work up to `seq`.
    pub fn synced(&mut self, now: Duration, seq: PersistSeq) {
        self.advance(now);
        self.out.mark_synced(seq);
        self.log.mark_synced(seq);
        self.finish_snapshots();
        self.count_own_vote();
        self.advance_commit();
        self.apply_committed();
    }

    /// Returns the actions requested since the last call.
    pub fn take_actions(&mut self) -> Vec<Action> {
        self.replicate();
        self.out.flush(&self.hard, &mut self.log);
        self.report_changes();
        self.out.take()
    }

    /// Whether this member believes that it leads; only [`Core::read`] confirms it.
    #[must_use]
    pub fn is_leader(&self) -> bool {
        matches!(self.role, Role::Leader(_))
    }

    /// Advances the clock, which never goes backwards.
    fn advance(&mut self, now: Duration) {
        self.now = self.now.max(now);
    }

    fn append(&mut self, entry: Entry) {
        self.out.mark_appended(entry.index);
        self.log.push(entry);
    }

    fn message(&self, to: &MemberId, body: Body) -> Message {
        Message {
            to: to.clone(),
            term: self.hard.term,
            body,
        }
    }

    /// Replies to `to` once the current state is synced.
    fn answer(&mut self, to: &MemberId, body: Body) {
        let msg = self.message(to, body);
        self.out.send_synced(to.clone(), msg);
    }
}

/// The state machine's command in an entry, if it has one.
fn command(payload: &Payload) -> Option<Arc<[u8]>> {
    match payload {
        Payload::Data(data) => Some(data.clone()),
        Payload::Noop | Payload::Members(_) => None,
    }
}
