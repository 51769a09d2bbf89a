//! What goes wrong when, drawn from a seed.

use std::time::Duration;

use derive_more::Display;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};

use crate::proxy::Rule;

/// Part of a run at its end in which nothing goes wrong, so that recovery can be seen.
const CALM_AT_THE_END: Duration = Duration::from_secs(8);
/// Part at its beginning, in which the fleet starts.
const CALM_AT_THE_START: Duration = Duration::from_secs(4);
/// Mean time between two faults. Most last for one to four seconds, so several overlap.
const MEAN_GAP_MS: u64 = 900;

/// How many of everything there are.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Shape {
    /// Control hosts: three, five or seven.
    pub controls: usize,
    /// Routers.
    pub routers: usize,
    /// Upstreams, of both kinds in turn.
    pub upstreams: usize,
}

/// One thing that goes wrong, or one piece of planned work.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
pub enum Action {
    /// A control host is killed and started again.
    #[display("control {host} is killed for {down:?}")]
    KillControl {
        /// Which.
        host: usize,
        /// Until it starts again.
        down: Duration,
    },
    /// A control host is killed and comes back with an empty disk.
    #[display("control {host} is killed for {down:?} and loses its disk")]
    WipeControl {
        /// Which.
        host: usize,
        /// Until it starts again.
        down: Duration,
    },
    /// All control hosts are killed at once.
    #[display("all control hosts are killed for {down:?}")]
    KillAllControls {
        /// Until they start again.
        down: Duration,
    },
    /// A control host stands still.
    #[display("control {host} stands still for {still:?}")]
    PauseControl {
        /// Which.
        host: usize,
        /// For how long.
        still: Duration,
    },
    /// A router is killed and started again.
    #[display("router {host} is killed for {down:?}")]
    KillRouter {
        /// Which.
        host: usize,
        /// Until it starts again.
        down: Duration,
    },
    /// A router stands still.
    #[display("router {host} stands still for {still:?}")]
    PauseRouter {
        /// Which.
        host: usize,
        /// For how long.
        still: Duration,
    },
    /// A router is told to stop, and starts again when it has ended.
    #[display("router {host} is told to stop")]
    StopRouter {
        /// Which.
        host: usize,
    },
    /// A router is told that its settings changed.
    #[display("router {host} is told to read its settings")]
    HangUpRouter {
        /// Which.
        host: usize,
    },
    /// The path of a router to a control host is disturbed.
    #[display("router {router} to control {control}: {rule} for {time:?}")]
    LinkRouter {
        /// The router.
        router: usize,
        /// The control host.
        control: usize,
        /// What happens on it.
        rule: Rule,
        /// For how long.
        time: Duration,
    },
    /// A control host is cut off from the others, or disturbed on its paths to them.
    #[display("control {host} to the others: {rule} for {time:?}")]
    LinkControl {
        /// Which.
        host: usize,
        /// What happens on its paths.
        rule: Rule,
        /// For how long.
        time: Duration,
    },
    /// The path of all routers to an upstream is disturbed.
    #[display("routers to upstream {upstream}: {rule} for {time:?}")]
    LinkUpstream {
        /// The upstream.
        upstream: usize,
        /// What happens on it.
        rule: Rule,
        /// For how long.
        time: Duration,
    },
    /// The path of clients to a router is disturbed.
    #[display("clients to router {router}: {rule} for {time:?}")]
    LinkClients {
        /// The router.
        router: usize,
        /// What happens on it.
        rule: Rule,
        /// For how long.
        time: Duration,
    },
    /// An upstream crashes; a new one starts in its place.
    #[display("upstream {upstream} crashes for {down:?}")]
    CrashUpstream {
        /// Which.
        upstream: usize,
        /// Until it starts again.
        down: Duration,
    },
    /// An upstream drains, leaves and is replaced.
    #[display("upstream {upstream} drains and leaves")]
    DrainUpstream {
        /// Which.
        upstream: usize,
    },
    /// An upstream loses the answers of what it runs.
    #[display("upstream {upstream} loses answers for {time:?}")]
    LoseAnswers {
        /// Which.
        upstream: usize,
        /// For how long.
        time: Duration,
    },
    /// Two operators put different configurations under the same number.
    #[display("two operators change the configuration at once")]
    Race,
    /// A key is taken away.
    #[display("a key is taken away")]
    Revoke,
}

/// An action and when it begins, from the start of the run.
#[derive(Debug, Clone, Copy, PartialEq, Display)]
#[display("{at:?} {action}")]
pub struct Step {
    /// When.
    pub at: Duration,
    /// What.
    pub action: Action,
}

/// Everything that goes wrong in a run.
#[derive(Debug, Clone, PartialEq)]
pub struct Schedule {
    /// By time.
    pub steps: Vec<Step>,
    /// How long the run lasts.
    pub length: Duration,
}

impl Schedule {
    /// Draws the schedule of a seed.
    ///
    /// ```
    /// use std::time::Duration;
    /// use coltsfootnotch_soak::schedule::{Schedule, Shape};
    /// let shape = Shape { controls: 3, routers: 2, upstreams: 4 };
    /// let length = Duration::from_secs(60);
    /// assert_eq!(Schedule::draw(7, length, shape), Schedule::draw(7, length, shape));
    /// assert_ne!(Schedule::draw(7, length, shape), Schedule::draw(8, length, shape));
    /// ```
    #[must_use]
    pub fn draw(seed: u64, length: Duration, shape: Shape) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let mut steps = Vec::new();
        let mut at = CALM_AT_THE_START;
        let end = length.saturating_sub(CALM_AT_THE_END);
        while at < end {
            let step = Step {
                at,
                action: draw_action(&mut rng, shape),
            };
            steps.push(step);
            at += Duration::from_millis(rng.random_range(50..2 * MEAN_GAP_MS));
        }
        Self { steps, length }
    }
}

fn draw_action(rng: &mut StdRng, shape: Shape) -> Action {
    let host = rng.random_range(0..shape.controls);
    let router = rng.random_range(0..shape.routers);
    let upstream = rng.random_range(0..shape.upstreams);
    let time = Duration::from_millis(rng.random_range(300..4_000));
    let down = Duration::from_millis(rng.random_range(100..2_000));
    let rule = draw_rule(rng);
    match rng.random_range(0..100) {
        0..8 => Action::KillControl { host, down },
        8..12 => Action::WipeControl { host, down },
        12..15 => Action::KillAllControls { down },
        15..22 => Action::PauseControl { host, still: time },
        22..29 => Action::KillRouter { host: router, down },
        29..35 => Action::PauseRouter {
            host: router,
            still: time,
        },
        35..43 => Action::StopRouter { host: router },
        43..47 => Action::HangUpRouter { host: router },
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
        87..92 => Action::LoseAnswers { upstream, time },
        92..96 => Action::Race,
        _ => Action::Revoke,
    }
}

fn draw_rule(rng: &mut StdRng) -> Rule {
    match rng.random_range(0..6) {
        0 => Rule::Delay(Duration::from_millis(rng.random_range(20..400))),
        1 => Rule::NotThere,
        2 => Rule::NotBack,
        3 => Rule::Reset,
        _ => Rule::Silent,
    }
}
