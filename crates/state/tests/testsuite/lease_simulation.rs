//! Simulation of lease holders and leaders with drifting clocks and messages in flight.

use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{
    DriftBound, FenceCheck, FencingMode, Grant, LeaderClock, LeaseHolder, LeaseReply, Release,
};
use coltsfootnotch_types::LeaseName;

use crate::support::{Log, process};

/// Drift bound in parts per million, far above the default so that violations show.
const DRIFT: u32 = 50_000;
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
pub(crate) const HOLDERS: usize = 3;

fn lease() -> LeaseName {
    LeaseName::new("orders").expect("a valid name")
}

pub(crate) fn grant(holder: usize, ttl: Duration) -> Op {
    Op::Grant(Grant {
        lease: lease(),
        holder: process("control", holder as u64),
        ttl,
    })
}

#[derive(Debug, Clone, Copy)]
pub(crate) enum Step {
    /// Real time passes.
    Advance { millis: u64 },
    /// A holder requests the lease and receives the reply at once.
    Acquire { holder: usize, ttl: u64 },
    /// A holder sends a request for the lease.
    Request { holder: usize, ttl: u64 },
    /// A request reaches the leader, which stamps and proposes it.
    Propose { at: usize, duplicate: bool },
    /// The oldest proposal is committed.
    Commit { lose_reply: bool },
    /// A reply reaches its holder.
    DeliverReply { at: usize, duplicate: bool },
    /// Another process becomes the leader.
    Elect { leader: usize, keep_proposals: bool },
    /// A holder sends an order to the engine.
    SendOrder { holder: usize },
    /// A holder without orders in flight releases the lease.
    Release { holder: usize },
}

/// A request with its sending time on the holder's clock.
#[derive(Clone)]
struct Request {
    holder: usize,
    sent: Duration,
    op: Op,
}

pub(crate) struct Simulation {
    real: Duration,
    rates: [i64; HOLDERS],
    log: Log,
    clock: LeaderClock,
    leader: usize,
    holders: Vec<LeaseHolder>,
    requests: Vec<Request>,
    proposals: Vec<(LogTime, Request)>,
    replies: Vec<(Request, LeaseReply)>,
    orders: Vec<(usize, Duration)>,
    engine: FenceCheck,
}

impl Simulation {
    pub(crate) fn new(rates: [i64; HOLDERS]) -> Self {
        let mut log = Log::default();
        log.apply(Op::Expire);
        let mut simulation = Self {
            real: Duration::from_secs(1_000),
            rates,
            log,
            clock: LeaderClock::start(LogTime(0), Duration::from_secs(1_000)),
            leader: 0,
            holders: vec![LeaseHolder::new(DriftBound::new(DRIFT)); HOLDERS],
            requests: Vec::new(),
            proposals: Vec::new(),
            replies: Vec::new(),
            orders: Vec::new(),
            engine: FenceCheck::default(),
        };
        simulation.clock = LeaderClock::start(LogTime(0), simulation.now(0));
        simulation
    }

    /// The local time of process `n`, which can be both holder and leader.
    fn now(&self, n: usize) -> Duration {
        let real = i64::try_from(self.real.as_micros()).expect("real time fits in an i64");
        let micros = real + real * self.rates[n] / 1_000_000;
        Duration::from_micros(u64::try_from(micros).expect("a positive time"))
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Advance { millis } => self.real += Duration::from_millis(millis),
            Step::Acquire { holder, ttl } => self.acquire(holder, ttl),
            Step::Request { holder, ttl } => {
                let op = grant(holder, Duration::from_millis(ttl));
                self.requests.push(Request {
                    holder,
                    sent: self.now(holder),
                    op,
                });
            }
            Step::Propose { at, duplicate } => {
                if let Some(req) = take_message(&mut self.requests, at, duplicate) {
                    self.proposals
                        .push((self.clock.stamp(self.now(self.leader)), req));
                }
            }
            Step::Commit { lose_reply } => self.commit(lose_reply),
            Step::DeliverReply { at, duplicate } => {
                if let Some((req, reply)) = take_message(&mut self.replies, at, duplicate) {
                    let now = self.now(req.holder);
                    self.holders[req.holder].on_reply(req.sent, now, &reply);
                }
            }
            Step::Elect {
                leader,
                keep_proposals,
            } => {
                if !keep_proposals {
                    self.proposals.clear();
                }
                self.leader = leader;
                self.clock = LeaderClock::start(self.log.machine.now(), self.now(leader));
            }
            Step::SendOrder { holder } => self.send_order(holder),
            Step::Release { holder } => self.release(holder),
        }
    }

    fn acquire(&mut self, holder: usize, ttl: u64) {
        while !self.proposals.is_empty() {
            self.commit(true);
        }
        let sent = self.now(holder);
        self.log.at = self.clock.stamp(self.now(self.leader));
        let op = grant(holder, Duration::from_millis(ttl));
        if let Reply::Lease(reply) = self.log.apply(op) {
            self.holders[holder].on_reply(sent, sent, &reply);
        }
    }

    fn commit(&mut self, lose_reply: bool) {
        if self.proposals.is_empty() {
            return;
        }
        let (at, req) = self.proposals.remove(0);
        self.log.at = at;
        let Reply::Lease(reply) = self.log.apply(req.op.clone()) else {
            panic!("unexpected reply to a lease request");
        };
        if !lose_reply {
            self.replies.push((req, reply));
        }
    }

    /// Sends an order to an engine that ignores numbers; a slow sidecar clock may delay its abort.
    fn send_order(&mut self, holder: usize) {
        let mode = FencingMode::Wait {
            order_timeout: ORDER_TIMEOUT,
        };
        let now = self.now(holder);
        if !self.holders[holder].can_order(now, mode) {
            return;
        }
        let real = self.real;
        self.orders.retain(|(_, end)| *end > real);
        let conflicting = self.orders.iter().find(|(h, _)| *h != holder);
        assert!(
            conflicting.is_none(),
            "an order of an earlier holder is still in flight"
        );
        let max_duration = ORDER_TIMEOUT.mul_f64(1.0 + f64::from(DRIFT) / 1e6);
        self.orders.push((holder, real + max_duration));
        let number = self.holders[holder]
            .number(now)
            .expect("the holder can send orders");
        assert!(
            self.engine.accept(number),
            "the number of the current holder is refused"
        );
    }

    fn release(&mut self, holder: usize) {
        let real = self.real;
        if self
            .orders
            .iter()
            .any(|(h, end)| *h == holder && *end > real)
        {
            return;
        }
        if let Some(number) = self.holders[holder].start_release() {
            let op = Op::Release(Release {
                lease: lease(),
                number,
            });
            self.requests.push(Request {
                holder,
                sent: self.now(holder),
                op,
            });
        }
    }

    pub(crate) fn check(&self) {
        let active = (0..HOLDERS).filter(|n| self.holders[*n].is_held(self.now(*n)));
        let active: Vec<_> = active.collect();
        assert!(
            active.len() <= 1,
            "processes {active:?} hold the lease at once"
        );
    }
}

/// Takes a message out of `queue`, or copies it if `duplicate`.
fn take_message<T: Clone>(queue: &mut Vec<T>, at: usize, duplicate: bool) -> Option<T> {
    let at = at % queue.len().max(1);
    match duplicate {
        true => queue.get(at).cloned(),
        false => (!queue.is_empty()).then(|| queue.swap_remove(at)),
    }
}
