//! Leases under drifting clocks, changing leaders and lost messages.

use std::time::Duration;

use coltsfootnotch_state::prelude::*;
use coltsfootnotch_state::{
    DriftBound, FenceCheck, FencingNumber, Grant, Guard, LeaderClock, LeaseHolder, LeaseReply,
    Release,
};
use coltsfootnotch_types::LeaseName;
use googletest::prelude::*;
use proptest::prelude::{Just, Strategy, any, prop, prop_oneof, proptest};

use crate::support::{Log, process, randomised};

/// Bound on drift, in parts per million. Far above the default, so that a mistake shows.
const DRIFT: u32 = 50_000;
const ORDER_TIMEOUT: Duration = Duration::from_millis(700);
const HOLDERS: usize = 3;

fn lease() -> LeaseName {
    LeaseName::new("orders").expect("a valid name")
}

fn grant(holder: usize, ttl: Duration) -> Op {
    Op::Grant(Grant {
        lease: lease(),
        holder: process("control", holder as u64),
        ttl,
    })
}

#[derive(Debug, Clone, Copy)]
enum Step {
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

fn steps() -> impl Strategy<Value = Vec<Step>> {
    let step = prop_oneof![
        8 => (1u64..500).prop_map(|millis| Step::Pass { millis }),
        8 => (0..HOLDERS, 1_000u64..3_000).prop_map(|(holder, ttl)| Step::Acquire { holder, ttl }),
        4 => (0..HOLDERS, 1_000u64..6_000).prop_map(|(holder, ttl)| Step::Ask { holder, ttl }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(at, again)| Step::Arrive { at, again }),
        4 => prop::bool::weighted(0.1).prop_map(|lose| Step::Commit { lose }),
        4 => (any::<usize>(), prop::bool::weighted(0.2))
            .prop_map(|(at, again)| Step::Reply { at, again }),
        1 => (0usize..3, any::<bool>()).prop_map(|(leader, keep)| Step::Elect { leader, keep }),
        4 => (0..HOLDERS).prop_map(|holder| Step::Order { holder }),
        1 => (0..HOLDERS).prop_map(|holder| Step::Release { holder }),
    ];
    prop::collection::vec(step, 1..160)
}

/// A request, with its sending time on the holder's own clock.
#[derive(Clone)]
struct Request {
    holder: usize,
    sent: Duration,
    op: Op,
}

struct World {
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
    fn new(rates: [i64; HOLDERS]) -> Self {
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

    fn step(&mut self, step: Step) {
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

    fn check(&self) {
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

proptest! {
    #![proptest_config(randomised(1_024, 0x1ea5e))]

    #[test]
    fn randomised_leases_have_one_holder_at_a_time(
        rates in prop_oneof![
            Just([50_000i64, -50_000, 0]),
            Just([-50_000, 50_000, 50_000]),
            Just([0, 0, 0]),
        ],
        steps in steps(),
    ) {
        let mut world = World::new(rates);
        for step in steps {
            world.step(step);
            world.check();
        }
    }
}

#[gtest]
fn a_new_holder_waits_for_the_orders_of_one_that_was_lost() {
    // A holder is cut off and never gives its lease back. Another asks until the lease has expired.
    // It may order an engine that refuses old numbers at once, and one that ignores them only when
    // an order that was sent at the last moment has surely ended. The reply that said so was lost.
    let sec = Duration::from_secs;
    let mut log = Log::default();
    log.apply(grant(0, sec(10)));
    log.at = LogTime(10_000);
    let held = log.apply(grant(1, sec(10)));
    expect_that!(
        held,
        matches_pattern!(Reply::Lease(matches_pattern!(LeaseReply::Held { .. })))
    );
    log.at = LogTime(10_001);
    log.apply(grant(1, sec(10)));
    let Reply::Lease(reply) = log.apply(grant(1, sec(10))) else {
        panic!("a lease is answered by a lease");
    };
    let mut holder = LeaseHolder::new(DriftBound::DEFAULT);
    holder.on_reply(sec(50), sec(51), &reply);
    expect_that!(holder.number(sec(51)), some(eq(FencingNumber(3))));
    let wait = Guard::Wait {
        order_timeout: sec(2),
    };
    expect_that!(holder.may_order(sec(51), Guard::Numbers), eq(true));
    expect_that!(holder.may_order(sec(53), wait), eq(false));
    expect_that!(holder.may_order(sec(54), wait), eq(true));
    expect_that!(
        holder.may_order(sec(58), wait),
        eq(false),
        "it would end too late"
    );
}
