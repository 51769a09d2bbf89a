//! The replicated state machine.

use crate::{
    Command, ConfigState, EvacuationOrder, Evacuations, FinishedOrders, Leases, Ledger, LogTime,
    Op, OrderDone, OrderReply, Reply, SnapshotError, snapshot,
};

/// The state that the control group replicates.
///
/// ```
/// use coltsfootnotch_state::{ApplyConfig, BodyDigest, Command, LogTime, Op, StateMachine};
/// let body = b"{}".to_vec();
/// let digest = BodyDigest::of(&body);
/// let op = Op::ApplyConfig(ApplyConfig { number: 1, digest, body });
/// let command = Command { at: LogTime(0), op };
/// let mut machine = StateMachine::default();
/// let first = machine.apply(1, &command);
/// assert_eq!(machine.apply(2, &command), first, "a resent configuration gets the same reply");
/// assert_eq!(machine.config().number(), 1);
/// ```
#[derive(Debug, Clone, Default)]
pub struct StateMachine {
    pub(crate) applied: u64,
    pub(crate) now: LogTime,
    pub(crate) config: ConfigState,
    pub(crate) ledger: Ledger,
    pub(crate) leases: Leases,
    pub(crate) finished: FinishedOrders,
    pub(crate) evacuations: Evacuations,
}

impl StateMachine {
    /// Applies the command committed at `index`.
    ///
    /// Indexes may have gaps, where the log has entries other than commands.
    ///
    /// # Panics
    /// If `index` is not above every one applied before, or if an invariant is violated: continuing
    /// could persist a corrupt state on every member.
    pub fn apply(&mut self, index: u64, command: &Command) -> Reply {
        assert!(
            index > self.applied,
            "log index {index} is applied after {}",
            self.applied
        );
        self.applied = index;
        self.now = self.now.max(command.at);
        self.ledger.advance(self.now);
        let before = self.config.number();
        let reply = self.dispatch(index, &command.op);
        assert!(
            self.config.number() >= before,
            "configuration number decreases from {before} to {}",
            self.config.number()
        );
        reply
    }

    fn dispatch(&mut self, index: u64, op: &Op) -> Reply {
        let now = self.now;
        match op {
            Op::ApplyConfig(req) => Reply::Config(self.config.apply(req)),
            Op::Ledger(op) => Reply::Ledger(self.ledger.apply(now, op)),
            Op::Batch(ops) => {
                let replies = ops.iter().map(|op| self.ledger.apply(now, op));
                Reply::Batch(replies.collect())
            }
            Op::Expire => Reply::Expired {
                records: self.ledger.expire(now),
            },
            Op::SetLimits(limits) => {
                self.ledger.set_limits(*limits);
                Reply::LimitsSet
            }
            Op::Grant(req) => Reply::Lease(self.leases.grant(index, now, req)),
            Op::Renew(req) => Reply::Lease(self.leases.renew(now, req)),
            Op::Release(req) => Reply::Lease(self.leases.release(req)),
            Op::OrderDone(done) => Reply::Order(self.order_done(done)),
            Op::SetEvacuation(req) => Reply::Evacuation(self.evacuations.apply(index, req, None)),
            Op::Evacuate(EvacuationOrder { order, known }) => {
                Reply::Evacuation(self.evacuations.apply(index, order, Some(*known)))
            }
        }
    }

    /// Records a finished order unless its lease was granted again since. An expired lease is
    /// accepted, since the order was sent while the lease was held.
    fn order_done(&mut self, done: &OrderDone) -> OrderReply {
        let is_latest = self
            .leases
            .get(&done.lease)
            .is_some_and(|l| l.number == done.number);
        if !is_latest {
            return OrderReply::StaleNumber;
        }
        self.finished.record(self.now, done);
        OrderReply::Recorded
    }

    /// The index of the last command applied; zero initially.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The current log time.
    #[must_use]
    pub fn now(&self) -> LogTime {
        self.now
    }

    /// The accepted configurations.
    #[must_use]
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// The ledger of at-most-once calls.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// The leases.
    #[must_use]
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// The finished orders of engines.
    #[must_use]
    pub fn finished(&self) -> &FinishedOrders {
        &self.finished
    }

    /// The evacuated failure domains.
    #[must_use]
    pub fn evacuations(&self) -> &Evacuations {
        &self.evacuations
    }

    /// Encodes the state, with a header that contains a version and a checksum.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::write(self)
    }

    /// Decodes a snapshot written by [`StateMachine::snapshot`].
    ///
    /// # Errors
    /// Returns a [`SnapshotError`] if the bytes are corrupt, of another version or inconsistent.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        snapshot::read(bytes)
    }
}
