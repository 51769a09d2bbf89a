//! The replicated state machine.

use crate::{
    Command, ConfigState, FinishedOrders, Leases, Ledger, LogTime, Op, OrderDone, OrderReply,
    Reply, SnapshotError, snapshot,
};

/// Everything the control group agrees on.
///
/// ```
/// use coltsfootnotch_state::{ApplyConfig, BodyDigest, Command, LogTime, Op, StateMachine};
/// let body = b"{}".to_vec();
/// let digest = BodyDigest::of(&body);
/// let op = Op::ApplyConfig(ApplyConfig { number: 1, digest, body });
/// let command = Command { at: LogTime(0), op };
/// let mut machine = StateMachine::default();
/// let first = machine.apply(1, &command);
/// assert_eq!(machine.apply(2, &command), first, "resent, answered alike");
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
}

impl StateMachine {
    /// Applies the command committed at `index`.
    ///
    /// Indexes may have gaps, where the log holds entries of its own.
    ///
    /// # Panics
    /// When `index` is not above every one applied before, and when an invariant of the state is
    /// broken: going on would spread the damage to every member's disk.
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
            "configuration goes back from {before} to {}",
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
        }
    }

    /// Records a finished order if its lease was not granted to another holder since. An expired
    /// lease that nobody else has taken is good enough: the order was given while it was held.
    fn order_done(&mut self, done: &OrderDone) -> OrderReply {
        let is_latest = self
            .leases
            .get(&done.lease)
            .is_some_and(|l| l.number == done.number);
        if !is_latest {
            return OrderReply::OldNumber;
        }
        self.finished.record(self.now, done);
        OrderReply::Recorded
    }

    /// The index of the last command applied; zero at first.
    #[must_use]
    pub fn applied(&self) -> u64 {
        self.applied
    }

    /// The log time reached.
    #[must_use]
    pub fn now(&self) -> LogTime {
        self.now
    }

    /// Configurations.
    #[must_use]
    pub fn config(&self) -> &ConfigState {
        &self.config
    }

    /// The ledger of calls that may not be repeated.
    #[must_use]
    pub fn ledger(&self) -> &Ledger {
        &self.ledger
    }

    /// Leases.
    #[must_use]
    pub fn leases(&self) -> &Leases {
        &self.leases
    }

    /// Orders that engines have carried out.
    #[must_use]
    pub fn finished(&self) -> &FinishedOrders {
        &self.finished
    }

    /// The whole state as bytes: a header with version and checksum, and the encoded state.
    #[must_use]
    pub fn snapshot(&self) -> Vec<u8> {
        snapshot::write(self)
    }

    /// Reads what [`StateMachine::snapshot`] wrote.
    ///
    /// # Errors
    /// Returns a [`SnapshotError`] for bytes that are damaged, of another version, or that contradict
    /// themselves.
    pub fn restore(bytes: &[u8]) -> Result<Self, SnapshotError> {
        snapshot::read(bytes)
    }
}
