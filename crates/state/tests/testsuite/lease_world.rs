//! The world of the randomised lease runs: holders and leaders with clocks of their own, and messages on
//! their way.

use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{
    DriftBound, FenceCheck, Grant, Guard, LeaderClock, LeaseHolder, LeaseReply, Release,
};
use coltsfootnotch_types::LeaseName;

use crate::support::{Log, process};

/// Bound on drift, in parts per million. Far above the default, so that a mistake shows.
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
    Pass {
        millis: u64,
    },
    /// Nothing is lost between asking and the reply.
    Acquire {
        holder: usize,
        ttl: u64,
    },
    Ask {
        holder: usize,
        ttl: u64,
    },
    Arrive {
        at: usize,
        again: bool,
    },
    Commit {
        lose: bool,
    },
    Reply {
        at: usize,
        again: bool,
    },
    Elect {
        leader: usize,
        keep: bool,
    },
    Order {
        holder: usize,
    },
    Release {
        holder: usize,
    },
}

/// A request, with its sending time on the holder's own clock.
#[derive(Clone)]
struct Request {
    holder: usize,
    sent: Duration,
    op: Op,
}

pub(crate) struct World {
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

impl World {
    pub(crate) fn new(rates: [i64; HOLDERS]) -> Self {
        let mut log = Log::default();
        log.apply(Op::Expire);
        let mut world = Self {
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
        world.clock = LeaderClock::start(LogTime(0), world.now(0));
        world
    }

    /// The time on the clock of process `n`, which holds leases and leads the log.
    fn now(&self, n: usize) -> Duration {
        let real = i64::try_from(self.real.as_micros()).expect("a short run");
        let micros = real + real * self.rates[n] / 1_000_000;
        Duration::from_micros(u64::try_from(micros).expect("a clock ahead of zero"))
    }

    pub(crate) fn step(&mut self, step: Step) {
        match step {
            Step::Pass { millis } => self.real += Duration::from_millis(millis),
            Step::Acquire { holder, ttl } => self.acquire(holder, ttl),
            Step::Ask { holder, ttl } => {
                let op = grant(holder, Duration::from_millis(ttl));
                self.requests.push(Request {
                    holder,
                    sent: self.now(holder),
                    op,
                });
            }
            Step::Arrive { at, again } => {
                if let Some(req) = take(&mut self.requests, at, again) {
                    self.proposals
                        .push((self.clock.stamp(self.now(self.leader)), req));
                }
            }
            Step::Commit { lose } => self.commit(lose),
            Step::Reply { at, again } => {
                if let Some((req, reply)) = take(&mut self.replies, at, again) {
                    let now = self.now(req.holder);
                    self.holders[req.holder].on_reply(req.sent, now, &reply);
                }
            }
            Step::Elect { leader, keep } => {
                if !keep {
                    self.proposals.clear();
                }
                self.leader = leader;
                self.clock = LeaderClock::start(self.log.machine.now(), self.now(leader));
            }
            Step::Order { holder } => self.order(holder),
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

    fn commit(&mut self, lose: bool) {
        if self.proposals.is_empty() {
            return;
        }
        let (at, req) = self.proposals.remove(0);
        self.log.at = at;
        let Reply::Lease(reply) = self.log.apply(req.op.clone()) else {
            panic!("a lease is answered by a lease");
        };
        if !lose {
            self.replies.push((req, reply));
        }
    }

    /// A holder orders an engine that ignores numbers; the sidecar's clock may be slow in aborting.
    fn order(&mut self, holder: usize) {
        let guard = Guard::Wait {
            order_timeout: ORDER_TIMEOUT,
        };
        let now = self.now(holder);
        if !self.holders[holder].may_order(now, guard) {
            return;
        }
        let real = self.real;
        self.orders.retain(|(_, end)| *end > real);
        let other = self.orders.iter().find(|(h, _)| *h != holder);
        assert!(
            other.is_none(),
            "an order of an earlier holder is still under way"
        );
        let longest = ORDER_TIMEOUT.mul_f64(1.0 + f64::from(DRIFT) / 1e6);
        self.orders.push((holder, real + longest));
        let number = self.holders[holder].number(now).expect("it may order");
        assert!(
            self.engine.accept(number),
            "the present holder's number is refused"
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
        if let Some(number) = self.holders[holder].give_up() {
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
        let acting = (0..HOLDERS).filter(|n| self.holders[*n].may_act(self.now(*n)));
        let acting: Vec<_> = acting.collect();
        assert!(acting.len() <= 1, "{acting:?} hold one lease at once");
    }
}

fn take<T: Clone>(queue: &mut Vec<T>, at: usize, again: bool) -> Option<T> {
    let at = at % queue.len().max(1);
    match again {
        true => queue.get(at).cloned(),
        false => (!queue.is_empty()).then(|| queue.swap_remove(at)),
    }
}
