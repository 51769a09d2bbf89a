//! Random runs in virtual time of several sidecars that order one engine, with delayed, lost and
//! reordered messages, crashes and restarts, and clocks at both ends of the drift bound.
//!
//! A longer run: `ORDERS_CASES=2000 ORDERS_SEED=1 cargo test --release --test testsuite
//! orders_random`.

use std::time::Duration;

use coltsfootnotch::core::{decode_op, encode_reply};
use coltsfootnotch::daemon::sidecar::orders::{EngineOrders, OrderCall, OrderOutcome};
use coltsfootnotch::ops::fleet::FleetPlan;
use coltsfootnotch_manifest::{Adapter, ConfigIndex, Manifest};
use coltsfootnotch_state::{Command, DriftBound, LogTime, Op, ProcessId, StateMachine};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::announce::{Announcement, AnnouncementBody, Capabilities, UpstreamKind};
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

const CASES: u64 = 12;
const FIRST_SEED: u64 = 1;
/// Large enough for the drift to exceed the steps of the simulation.
const DRIFT_PPM: u32 = 100_000;
const STEP: Duration = Duration::from_millis(50);
const STEPS: u32 = 6_000;
const SIDECARS: usize = 3;

fn from_env(name: &str, default: u64) -> u64 {
    let set = std::env::var(name).ok();
    set.and_then(|text| text.parse().ok()).unwrap_or(default)
}

struct Process {
    orders: EngineOrders,
    id: ProcessId,
    /// Rate of its clock, relative to simulated time.
    clock_rate: f64,
    next_id: u64,
    /// Time until which it has no connection to its relay.
    offline_until: Duration,
    order: Option<(Duration, OrderOutcome)>,
}

enum Packet {
    Proposal(Vec<u8>),
    Reply(Vec<u8>),
}

struct Sim {
    rng: StdRng,
    now: Duration,
    config: ConfigIndex,
    machine: StateMachine,
    leader_clock_rate: f64,
    index: u64,
    /// Maximum delay of a proposal, in milliseconds.
    max_delay_ms: u64,
    processes: Vec<Process>,
    packets: Vec<(Duration, ProcessId, u64, Packet)>,
    /// EngineOrders received by the engine: fencing number, start and end.
    received: Vec<(u64, Duration, Duration)>,
}

fn start(host: usize, rng: &mut StdRng) -> Process {
    let id = ProcessId {
        host: HostName::new(format!("sidecar-{host}")).unwrap(),
        incarnation: Incarnation(rng.random()),
    };
    Process {
        orders: EngineOrders::new(id.clone(), DriftBound::new(DRIFT_PPM)),
        id,
        clock_rate: if rng.random() { 0.9 } else { 1.1 },
        next_id: 0,
        offline_until: Duration::ZERO,
        order: None,
    }
}

fn announcement(models: &[&str]) -> Announcement {
    let body = AnnouncementBody {
        name: "spec-llm-1".into(),
        pool: "spec-llm".into(),
        kind: UpstreamKind::Engine,
        address: "127.0.0.1:8000".into(),
        capabilities: Capabilities::default(),
        models: models.iter().map(ToString::to_string).collect(),
        load: Default::default(),
        cache_events: vec![],
        leaving: false,
        ttl_ms: 3000,
    };
    Announcement::try_from(body).unwrap()
}

impl Sim {
    fn new(seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut manifest = FleetPlan::demo().manifest().unwrap();
        // Leaves replicas and loads beside those of crashed processes, which have yet to expire.
        manifest.models[0].versions[0].replicas = 64;
        manifest.weight_store.loads = 64;
        Self {
            now: Duration::from_secs(1),
            config: ConfigIndex::new(manifest),
            machine: StateMachine::default(),
            leader_clock_rate: if rng.random() { 0.9 } else { 1.1 },
            index: 0,
            processes: (0..SIDECARS).map(|host| start(host, &mut rng)).collect(),
            packets: vec![],
            received: vec![],
            max_delay_ms: [50, 500, 1_000][rng.random_range(0..3)],
            rng,
        }
    }

    fn step(&mut self, number: u32) {
        self.now += STEP;
        self.deliver();
        for at in 0..SIDECARS {
            self.inject_fault(at);
            self.run_process(at, number);
        }
    }

    /// Crashes a process or disconnects it from its relay, at random.
    fn inject_fault(&mut self, at: usize) {
        // Crashes are more likely during an order.
        let crash_probability = if self.processes[at].order.is_some() {
            0.01
        } else {
            0.0005
        };
        if self.rng.random_bool(crash_probability) {
            self.processes[at] = start(at, &mut self.rng);
        }
        if self.rng.random_bool(0.005) {
            let length = Duration::from_millis(self.rng.random_range(500..15_000));
            self.processes[at].offline_until = self.now + length;
        }
    }

    fn run_process(&mut self, at: usize, number: u32) {
        let process = &mut self.processes[at];
        let local = self.now.mul_f64(process.clock_rate);
        let upstream = UpstreamName::new("spec-llm-1").unwrap();
        if number.is_multiple_of(20) {
            process
                .orders
                .on_announcement(local, &announcement(&["spec-llm"]));
        }
        if let Some((_, end)) = process.order.take_if(|(end_at, _)| self.now >= *end_at) {
            process.orders.on_order_finished(local, &upstream, end);
        }
        let (id, is_offline) = (process.id.clone(), self.now < process.offline_until);
        let (packets, rng, now) = (&mut self.packets, &mut self.rng, self.now);
        let max_delay_ms = self.max_delay_ms;
        let next_id = &mut process.next_id;
        let propose = |command| {
            *next_id += 1;
            if !is_offline && !rng.random_bool(0.1) {
                let delay = Duration::from_millis(rng.random_range(1..max_delay_ms));
                packets.push((now + delay, id.clone(), *next_id, Packet::Proposal(command)));
            }
            Some(*next_id)
        };
        let calls = process.orders.tick(local, Some(&self.config), propose);
        for (_, call) in calls {
            self.execute_order(at, &call);
        }
    }

    /// Executes an order for up to twice its timeout, which the holder's clock enforces.
    fn execute_order(&mut self, at: usize, call: &OrderCall) {
        let duration = call.timeout.mul_f64(self.rng.random_range(0.0..2.0));
        let timeout = call.timeout.div_f64(self.processes[at].clock_rate);
        let end_at = self.now + duration.min(timeout);
        let end = match duration < timeout {
            true => OrderOutcome::Done,
            false => OrderOutcome::NoResponse,
        };
        self.processes[at].order = Some((end_at, end));
        self.received.push((call.fence.0, self.now, end_at));
    }

    fn deliver(&mut self) {
        let now = self.now;
        let due: Vec<_> = self
            .packets
            .extract_if(.., |packet| packet.0 <= now)
            .collect();
        for (_, to, id, packet) in due {
            match packet {
                Packet::Proposal(bytes) => {
                    let reply = self.commit(decode_op(&bytes).unwrap());
                    // A late reply leaves the holder little of its lease.
                    let max_reply_delay_ms = self.max_delay_ms * 8;
                    let delay = Duration::from_millis(self.rng.random_range(1..max_reply_delay_ms));
                    self.packets
                        .push((now + delay, to, id, Packet::Reply(reply)));
                }
                Packet::Reply(bytes) => {
                    let process = self.processes.iter_mut().find(|process| process.id == to);
                    if let Some(process) = process.filter(|process| now >= process.offline_until) {
                        let local = now.mul_f64(process.clock_rate);
                        process.orders.on_reply(local, id, &Ok(bytes));
                    }
                }
            }
        }
    }

    fn commit(&mut self, op: Op) -> Vec<u8> {
        self.index += 1;
        let at = LogTime(self.now.mul_f64(self.leader_clock_rate).as_millis() as u64);
        encode_reply(&self.machine.apply(self.index, &Command { at, op }))
    }
}

// Three sidecars order an engine that ignores fencing numbers, crash during orders, and receive
// lease replies late or never. Fencing numbers must never decrease and orders with different ones
// never overlap, or two processes load the engine at once.
#[gtest]
fn an_engine_that_ignores_numbers_has_one_holder_at_a_time() {
    let cases = from_env("ORDERS_CASES", CASES);
    let first = from_env("ORDERS_SEED", FIRST_SEED);
    let (mut orders, mut holders) = (0, 0);
    for seed in first..first + cases {
        let mut sim = Sim::new(seed);
        (0..STEPS).for_each(|number| sim.step(number));
        orders += sim.received.len();
        for pair in sim.received.windows(2) {
            let (before, after) = (pair[0], pair[1]);
            assert!(
                after.0 >= before.0,
                "seed {seed}: {after:?} after {before:?}"
            );
            assert!(
                after.1 >= before.2,
                "seed {seed}: {after:?} during {before:?}"
            );
            holders += usize::from(after.0 != before.0);
        }
    }
    println!("{orders} orders, {holders} changes of holder, {cases} cases");
    expect_that!(orders as u64, ge(cases * 5));
    expect_that!(holders as u64, ge(cases));
}

/// Runs a process for some seconds with a log that replies at once, and returns its orders.
fn run(sim: &mut Sim, at: usize, seconds: u32, models: &[&str]) -> Vec<String> {
    let mut sent = vec![];
    for _ in 0..seconds * 20 {
        sim.now += STEP;
        let now = sim.now;
        let orders = &mut sim.processes[at].orders;
        orders.on_announcement(now, &announcement(models));
        let mut proposed = vec![];
        let propose = |command| {
            proposed.push(command);
            Some(proposed.len() as u64)
        };
        let calls = orders.tick(now, Some(&sim.config), propose);
        sent.extend(
            calls
                .into_iter()
                .map(|(_, call)| format!("{} {}", call.order, call.value)),
        );
        for (id, command) in (1..).zip(proposed) {
            let reply = sim.commit(decode_op(&command).unwrap());
            sim.processes[at].orders.on_reply(now, id, &Ok(reply));
        }
    }
    sent
}

// After a crash, the adapter's place belongs to the earlier run of the sidecar until it expires.
// The new run must not unload the adapter meanwhile, only to load it again afterwards.
#[gtest]
fn a_crashed_sidecar_repeats_and_undoes_no_order() {
    let mut sim = Sim::new(1);
    let mut manifest = Manifest::clone(sim.config.manifest());
    manifest.models[0].adapters = vec![Adapter {
        name: "screed-notes".into(),
        version: "v1".into(),
        replicas: 1,
        megabytes: 1,
    }];
    sim.config = ConfigIndex::new(manifest);
    sim.leader_clock_rate = 1.0;
    let loaded = ["spec-llm", "spec-llm:v1", "spec-llm:v1:screed-notes"];
    expect_that!(run(&mut sim, 0, 10, &loaded), is_empty());
    sim.processes[0] = start(0, &mut sim.rng);
    expect_that!(run(&mut sim, 0, 400, &loaded), is_empty());
    expect_that!(
        run(&mut sim, 0, 10, &loaded[..2]),
        eq(&["load spec-llm:v1:screed-notes"])
    );
}
