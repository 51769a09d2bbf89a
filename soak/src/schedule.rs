//! Schedules of faults and planned operations, drawn from a seed.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::Rule;

/// Final part of a run without faults, in which recovery is checked.
const QUIET_END: Duration = Duration::from_secs(8);
/// First part of a run without faults, in which the fleet starts.
const QUIET_START: Duration = Duration::from_secs(4);
/// Mean time between two steps. Most faults last longer, so several overlap.
const MEAN_GAP_MS: u64 = 900;
/// Time for a release beside a kill of all hosts, until streams are resumed or given up.
const RELEASE_TIME: Duration = Duration::from_secs(8);

/// Number of hosts and upstreams.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct FleetSize {
    /// Number of control hosts: three, five or seven.
    pub controls: usize,
    /// Number of routers.
    pub routers: usize,
    /// Number of upstreams, assigned to the services in turn.
    pub upstreams: usize,
}

/// A fault or a planned operation.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
pub enum Action {
    /// Kills a control host and restarts it.
    #[display("control {host} is killed for {down:?}")]
    KillControl {
        /// Index of the target.
        host: usize,
        /// Downtime before the restart.
        down: Duration,
    },
    /// Kills a control host and restarts it with an empty disk.
    #[display("control {host} is killed for {down:?} and loses its disk")]
    WipeControl {
        /// Index of the target.
        host: usize,
        /// Downtime before the restart.
        down: Duration,
    },
    /// Kills all control hosts at once and restarts them.
    #[display("all control hosts are killed for {down:?}")]
    KillAllControls {
        /// Downtime before the restart.
        down: Duration,
    },
    /// Pauses a control host.
    #[display("control {host} is paused for {pause:?}")]
    PauseControl {
        /// Index of the target.
        host: usize,
        /// Duration of the fault.
        pause: Duration,
    },
    /// Kills a router and restarts it.
    #[display("router {host} is killed for {down:?}")]
    KillRouter {
        /// Index of the target.
        host: usize,
        /// Downtime before the restart.
        down: Duration,
    },
    /// Pauses a router.
    #[display("router {host} is paused for {pause:?}")]
    PauseRouter {
        /// Index of the target.
        host: usize,
        /// Duration of the fault.
        pause: Duration,
    },
    /// Stops a router gracefully and restarts it once it has exited.
    #[display("router {host} is stopped gracefully")]
    StopRouter {
        /// Index of the target.
        host: usize,
    },
    /// Signals a router to reload its settings.
    #[display("router {host} is told to reload its settings")]
    ReloadRouter {
        /// Index of the target.
        host: usize,
    },
    /// Applies a rule to the path from a router to a control host.
    #[display("router {router} to control {control}: {rule} for {time:?}")]
    LinkRouter {
        /// The router.
        router: usize,
        /// The control host.
        control: usize,
        /// The rule.
        rule: Rule,
        /// Duration of the fault.
        time: Duration,
    },
    /// Applies a rule to all paths between a control host and the others.
    #[display("control {host} to the others: {rule} for {time:?}")]
    LinkControl {
        /// Index of the target.
        host: usize,
        /// The rule.
        rule: Rule,
        /// Duration of the fault.
        time: Duration,
    },
    /// Applies a rule to the path from all routers to an upstream.
    #[display("routers to upstream {upstream}: {rule} for {time:?}")]
    LinkUpstream {
        /// The upstream.
        upstream: usize,
        /// The rule.
        rule: Rule,
        /// Duration of the fault.
        time: Duration,
    },
    /// Applies a rule to the path from clients to a router.
    #[display("clients to router {router}: {rule} for {time:?}")]
    LinkClients {
        /// The router.
        router: usize,
        /// The rule.
        rule: Rule,
        /// Duration of the fault.
        time: Duration,
    },
    /// Crashes an upstream and starts a new run of it.
    #[display("upstream {upstream} crashes for {down:?}")]
    CrashUpstream {
        /// Index of the target.
        upstream: usize,
        /// Downtime before the restart.
        down: Duration,
    },
    /// Drains an upstream, lets it leave and starts a new run of it.
    #[display("upstream {upstream} drains and leaves")]
    DrainUpstream {
        /// Index of the target.
        upstream: usize,
    },
    /// Makes an upstream run requests without answering them.
    #[display("upstream {upstream} loses answers for {time:?}")]
    DropAnswers {
        /// Index of the target.
        upstream: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// Makes an upstream refuse all requests and ask for none for `backoff` with each refusal.
    #[display("upstream {upstream} refuses requests for {time:?}, with pauses of {backoff:?}")]
    RefuseRequests {
        /// Index of the target.
        upstream: usize,
        /// Duration of the fault.
        time: Duration,
        /// The pause that it asks for.
        backoff: Duration,
    },
    /// Makes an upstream send responses with neither a length nor chunks, and cut some of them short.
    #[display("upstream {upstream} states no end of its responses for {time:?}")]
    OmitFraming {
        /// Index of the target.
        upstream: usize,
        /// Duration of the fault.
        time: Duration,
    },
    /// Replaces all upstreams of streams by the next version, and kills all hosts before, while or after the last
    /// upstreams of the one before leave.
    #[display(
        "upstreams leave for {absent:?}, and all hosts are killed {kill_after:?} later for {down:?}"
    )]
    ReleaseAndKillAll {
        /// Time from when the last upstreams begin to leave to the kill.
        kill_after: Duration,
        /// Downtime of the hosts before the restart.
        down: Duration,
        /// Downtime of each upstream before it starts with the next version.
        absent: Duration,
    },
    /// Puts two different configurations with the same number concurrently.
    #[display("two operators put conflicting configurations")]
    ConflictingPuts,
    /// Revokes a key and adds a new one.
    #[display("a key is revoked")]
    RotateKey,
}

/// An action and its start time.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display("{at:?} {action}")]
pub struct Step {
    /// Time since the start of the schedule.
    pub at: Duration,
    /// The action.
    pub action: Action,
}

/// The steps of a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Schedule {
    /// Steps in order of time.
    pub steps: Vec<Step>,
    /// Length of the run.
    pub length: Duration,
}

impl Schedule {
    /// Draws the schedule for a seed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_soak::schedule::{Schedule, FleetSize};
    /// let size = FleetSize { controls: 3, routers: 2, upstreams: 4 };
    /// let length = Duration::from_secs(60);
    /// assert_eq!(Schedule::draw(7, length, size), Schedule::draw(7, length, size));
    /// assert_ne!(Schedule::draw(7, length, size), Schedule::draw(8, length, size));
    /// ```
    #[must_use]
    pub fn draw(seed: u64, length: Duration, size: FleetSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = QUIET_START;
        let end = length.saturating_sub(QUIET_END);
        while at < end {
            let step = Step {
                at,
                action: draw_action(&mut rng, size),
            };
            steps.push(step);
            at += Duration::from_millis(rng.random_range(50..2 * MEAN_GAP_MS));
        }
        Self { steps, length }
    }

    /// Adds upstreams that refuse requests, drawn for the same seed; the other steps stay.
    #[must_use]
    pub fn with_refusals(mut self, seed: u64, size: FleetSize) -> Self {
        let mut rng = StdRng::seed_from_u64(!seed);
        let mut at = QUIET_START;
        let end = self.length.saturating_sub(QUIET_END);
        while at < end {
            let action = Action::RefuseRequests {
                upstream: rng.random_range(0..size.upstreams),
                time: Duration::from_millis(rng.random_range(300..6_000)),
                backoff: Duration::from_millis(rng.random_range(700..4_000)),
            };
            self.steps.push(Step { at, action });
            at += Duration::from_millis(rng.random_range(50..4 * MEAN_GAP_MS));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds upstreams whose responses end with their connection, drawn for the same seed; the other steps
    /// stay.
    #[must_use]
    pub fn with_omitted_framing(mut self, seed: u64, size: FleetSize) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(32));
        let mut at = QUIET_START;
        let end = self.length.saturating_sub(QUIET_END);
        while at < end {
            let action = Action::OmitFraming {
                upstream: rng.random_range(0..size.upstreams),
                time: Duration::from_millis(rng.random_range(300..6_000)),
            };
            self.steps.push(Step { at, action });
            at += Duration::from_millis(rng.random_range(50..4 * MEAN_GAP_MS));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }

    /// Adds releases beside kills of all hosts, before, while and after the old version leaves, drawn for the same
    /// seed; the other steps stay.
    #[must_use]
    pub fn with_releases(mut self, seed: u64) -> Self {
        let mut rng = StdRng::seed_from_u64(seed.rotate_left(16));
        let mut at = QUIET_START;
        let end = self.length.saturating_sub(QUIET_END);
        while at + RELEASE_TIME <= end {
            let action = Action::ReleaseAndKillAll {
                kill_after: Duration::from_millis(rng.random_range(0..1_200)),
                down: Duration::from_millis(rng.random_range(100..600)),
                absent: Duration::from_millis(rng.random_range(100..1_500)),
            };
            self.steps.push(Step { at, action });
            at += RELEASE_TIME + Duration::from_millis(rng.random_range(0..1_000));
        }
        self.steps.sort_by_key(|step| step.at);
        self
    }
}

fn draw_action(rng: &mut StdRng, size: FleetSize) -> Action {
    let host = rng.random_range(0..size.controls);
    let router = rng.random_range(0..size.routers);
    let upstream = rng.random_range(0..size.upstreams);
    let time = Duration::from_millis(rng.random_range(300..4_000));
    let down = Duration::from_millis(rng.random_range(100..2_000));
    let rule = draw_rule(rng);
    match rng.random_range(0..100) {
        0..8 => Action::KillControl { host, down },
        8..12 => Action::WipeControl { host, down },
        12..15 => Action::KillAllControls { down },
        15..22 => Action::PauseControl { host, pause: time },
        22..29 => Action::KillRouter { host: router, down },
        29..35 => Action::PauseRouter {
            host: router,
            pause: time,
        },
        35..43 => Action::StopRouter { host: router },
        43..47 => Action::ReloadRouter { host: router },
        47..53 => Action::LinkRouter {
            router,
            control: host,
            rule,
            time,
        },
        53..61 => Action::LinkControl { host, rule, time },
        61..68 => Action::LinkUpstream {
            upstream,
            rule,
            time,
        },
        68..74 => Action::LinkClients { router, rule, time },
        74..80 => Action::CrashUpstream { upstream, down },
        80..87 => Action::DrainUpstream { upstream },
        87..92 => Action::DropAnswers { upstream, time },
        92..96 => Action::ConflictingPuts,
        _ => Action::RotateKey,
    }
}

fn draw_rule(rng: &mut StdRng) -> Rule {
    match rng.random_range(0..6) {
        0 => Rule::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 => Rule::DropForward,
        2 => Rule::DropBackward,
        3 => Rule::Reset,
        _ => Rule::DropAll,
    }
}
