//! Applies the steps of a schedule to the fleet and the simulated upstreams.

use std::io;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::disturbances::Disturbances;
use crate::fleet::{Fleet, GRACE_S};
use crate::kept_caller::{KEPT_CALLERS, call_until_refused};
use crate::notices::Notices;
use crate::operator::{Operator, STREAM_SERVICE};
use crate::process::wait_until;
use crate::proxy::{Endpoint, Path, Rule};
use crate::recorder::{Invariant, Recorder};
use crate::run::Outcome;
use crate::schedule::{Action, Step};
use crate::upstream::Upstream;

/// Minimum share of requests served after the last fault.
const MIN_SERVED_SHARE: f64 = 0.9;
/// Time limit for reading the last configuration.
const READ_BACK_TIMEOUT: Duration = Duration::from_secs(10);
/// Time between the departures of two upstreams in a release.
const DEPARTURE_INTERVAL: Duration = Duration::from_millis(200);
/// Time in which the first upstream of a release gets streams.
const SETTLE_TIME: Duration = Duration::from_millis(1_200);

/// The fleet with its operators and simulated upstreams.
pub(crate) struct Scenario {
    pub(crate) fleet: Fleet,
    pub(crate) recorder: Recorder,
    pub(crate) notices: Notices,
    pub(crate) operator: Operator,
    pub(crate) upstreams: Vec<Mutex<Upstream>>,
    pub(crate) disturbances: Disturbances,
    /// Whether a control host that loses its disk is replaced by another.
    pub(crate) replaces_hosts: bool,
    /// Whether routers that are stopped are called on kept connections meanwhile.
    pub(crate) has_kept_callers: bool,
}

impl Scenario {
    /// Performs one step and waits until its fault has ended.
    pub(crate) async fn run_step(&self, step: Step) {
        if let Err(e) = self.run_action(step.action).await {
            self.recorder
                .report(Invariant::NoUnexpectedExit, format!("{}: {e}", step.action));
        }
    }

    async fn run_action(&self, action: Action) -> io::Result<()> {
        match action {
            Action::KillControl { host, down } => self.kill_controls(&[host], down, false).await,
            Action::WipeControl { host, down } => self.kill_controls(&[host], down, true).await,
            Action::KillAllControls { down } => {
                let all: Vec<usize> = (0..self.fleet.control_count()).collect();
                self.kill_controls(&all, down, false).await
            }
            Action::PauseControl { host, pause } => {
                self.disturb_control(pause);
                self.fleet.control(host).set_paused(true)?;
                sleep(pause).await;
                self.fleet.control(host).set_paused(false)
            }
            Action::KillRouter { host, down } => {
                self.disturb_router(host, down);
                self.interrupt_router(host, down);
                self.fleet.router(host).kill()?;
                sleep(down).await;
                self.fleet.router(host).ensure_running()?;
                self.interrupt_router(host, Duration::ZERO);
                Ok(())
            }
            Action::PauseRouter { host, pause } => {
                self.disturb_router(host, pause);
                self.interrupt_router(host, pause);
                self.fleet.router(host).set_paused(true)?;
                sleep(pause).await;
                self.fleet.router(host).set_paused(false)?;
                self.interrupt_router(host, Duration::ZERO);
                Ok(())
            }
            Action::StopRouter { host } => self.stop_router(host).await,
            Action::ReloadRouter { host } => self.fleet.router(host).reload(),
            Action::LinkRouter {
                router,
                control,
                rule,
                time,
            } => {
                self.disturb_router(router, time);
                let (from, to) = (Endpoint::Router(router), self.control_endpoint(control));
                self.apply_rule(&[Path { from, to }], rule, time).await
            }
            Action::LinkControl { host, rule, time } => {
                self.disturb_control(time);
                let others = (0..self.fleet.control_count()).filter(|n| *n != host);
                let one = self.control_endpoint(host);
                let both = others.flat_map(|n| {
                    let other = self.control_endpoint(n);
                    [(one, other), (other, one)].map(|(from, to)| Path { from, to })
                });
                self.apply_rule(&both.collect::<Vec<_>>(), rule, time).await
            }
            Action::LinkUpstream {
                upstream,
                rule,
                time,
            } => {
                let disturb = |end| self.disturbances.extend_upstream_link(upstream, end);
                disturb(self.recorder.now() + time);
                let endpoint = Endpoint::Upstream(upstream);
                let applied = self.apply_rule_from_outside(endpoint, rule, time).await;
                disturb(self.recorder.now());
                applied
            }
            Action::LinkClients { router, rule, time } => {
                self.disturb_router(router, time);
                self.apply_rule_from_outside(Endpoint::Router(router), rule, time)
                    .await
            }
            Action::CrashUpstream { upstream, down } => {
                let mut upstream = self.upstreams[upstream].lock().await;
                upstream.crash();
                sleep(down).await;
                upstream.start().await
            }
            Action::DrainUpstream { upstream } => {
                let mut upstream = self.upstreams[upstream].lock().await;
                upstream.drain().await;
                upstream.start().await
            }
            Action::DropAnswers { upstream, time } => {
                let upstream = &self.upstreams[upstream];
                upstream.lock().await.set_drops_answers(true);
                sleep(time).await;
                upstream.lock().await.set_drops_answers(false);
                Ok(())
            }
            Action::RefuseRequests {
                upstream,
                time,
                backoff,
            } => {
                let upstream = &self.upstreams[upstream];
                upstream.lock().await.set_refusing(Some(backoff));
                sleep(time).await;
                upstream.lock().await.set_refusing(None);
                Ok(())
            }
            Action::OmitFraming { upstream, time } => {
                let upstream = &self.upstreams[upstream];
                upstream.lock().await.set_omits_framing(true);
                sleep(time).await;
                upstream.lock().await.set_omits_framing(false);
                Ok(())
            }
            Action::ReleaseAndKillAll {
                kill_after,
                down,
                absent,
            } => self.release_and_kill_all(absent, kill_after, down).await,
            Action::ConflictingPuts => {
                self.operator.put_conflicting().await;
                Ok(())
            }
            Action::RotateKey => {
                self.operator.rotate_key().await;
                Ok(())
            }
        }
    }

    async fn kill_controls(&self, hosts: &[usize], down: Duration, wipe: bool) -> io::Result<()> {
        self.disturb_control(down);
        let mut replaced = Vec::new();
        for host in hosts {
            self.fleet.control(*host).kill()?;
            if !wipe || !self.disturbances.try_lose_disk(self.recorder.now()) {
                continue;
            }
            if self.replaces_hosts {
                replaced.push(*host);
            } else {
                self.fleet.wipe_disk(*host)?;
            }
        }
        sleep(down).await;
        for host in hosts {
            if replaced.contains(host) {
                self.fleet.replace_control(*host)?;
            } else {
                self.fleet.control(*host).ensure_running()?;
            }
        }
        Ok(())
    }

    async fn kill_all(&self, down: Duration) -> io::Result<()> {
        self.disturb_control(down);
        for host in 0..self.fleet.control_count() {
            self.fleet.control(host).kill()?;
        }
        for host in 0..self.fleet.router_count() {
            self.disturb_router(host, down);
            self.interrupt_router(host, down);
            self.fleet.router(host).kill()?;
        }
        sleep(down).await;
        for host in 0..self.fleet.control_count() {
            self.fleet.control(host).ensure_running()?;
        }
        for host in 0..self.fleet.router_count() {
            self.fleet.router(host).ensure_running()?;
            self.interrupt_router(host, Duration::ZERO);
        }
        Ok(())
    }

    /// Has an upstream leave with its streams unfinished. No other one may go on with them, so that a router which is
    /// stopping has to break them off.
    async fn leave(&self, upstream: &mut Upstream) {
        for router in 0..self.fleet.router_count() {
            self.disturb_router(router, Duration::ZERO);
        }
        upstream.leave().await;
    }

    /// Starts the first upstream of streams with its next version, then has the others leave, which start with that
    /// version later. All hosts are killed `kill_after` the others begin to leave.
    async fn release_and_kill_all(
        &self,
        absent: Duration,
        kill_after: Duration,
        down: Duration,
    ) -> io::Result<()> {
        let mut upstreams = Vec::new();
        for upstream in &self.upstreams {
            let upstream = upstream.lock().await;
            if upstream.service() == STREAM_SERVICE {
                upstreams.push(upstream);
            }
        }
        let Some((first, others)) = upstreams.split_first_mut() else {
            return Ok(());
        };
        let next_version = first.next_version();
        self.leave(first).await;
        sleep(absent).await;
        first.start().await?;
        sleep(SETTLE_TIME).await;
        let kill = async {
            sleep(kill_after).await;
            self.kill_all(down).await
        };
        let depart = async {
            // Those that have the version already stay.
            for upstream in others {
                if upstream.next_version() == next_version {
                    self.leave(upstream).await;
                    sleep(DEPARTURE_INTERVAL).await;
                }
            }
            sleep(absent).await;
        };
        let (killed, ()) = tokio::join!(kill, depart);
        for upstream in &mut upstreams {
            if !upstream.is_running() {
                upstream.start().await?;
            }
        }
        killed
    }

    fn control_endpoint(&self, control: usize) -> Endpoint {
        Endpoint::Control(self.fleet.slots.slot(control))
    }

    async fn stop_router(&self, host: usize) -> io::Result<()> {
        self.disturbances
            .record_planned_stop(host, self.recorder.now());
        if self.has_kept_callers {
            self.start_kept_callers(host);
        }
        self.fleet.router(host).request_stop()?;
        let within = Duration::from_secs_f64(GRACE_S);
        let ended = wait_until(within, || {
            let mut router = self.fleet.router(host);
            // Reloads of the settings overlap the stop; another stop may have started the next process already.
            if router.is_stop_requested()
                && let Err(e) = router.reload()
            {
                eprintln!("failed to have a router reload its settings: {e}");
            }
            !router.is_running().unwrap_or(true)
        });
        if !ended.await {
            // The grace period is over: kill as the platform does, which may cut requests in progress.
            self.disturb_router(host, Duration::ZERO);
            self.fleet.router(host).kill()?;
        }
        self.fleet.router(host).ensure_running()?;
        self.disturbances
            .record_planned_stop(host, self.recorder.now());
        Ok(())
    }

    fn start_kept_callers(&self, router: usize) {
        let address = self.fleet.addresses.direct_address(router);
        for _ in 0..KEPT_CALLERS {
            let (recorder, disturbances) = (self.recorder.clone(), self.disturbances.clone());
            tokio::task::spawn_blocking(move || {
                let waited = call_until_refused(address);
                if let Some(waited) = waited
                    && disturbances.is_planned_stop_only(router, recorder.now())
                {
                    recorder.record_unread(router, waited);
                }
            });
        }
    }

    async fn apply_rule_from_outside(
        &self,
        to: Endpoint,
        rule: Rule,
        time: Duration,
    ) -> io::Result<()> {
        let from = Endpoint::Outside;
        self.apply_rule(&[Path { from, to }], rule, time).await
    }

    async fn apply_rule(&self, paths: &[Path], rule: Rule, time: Duration) -> io::Result<()> {
        for path in paths {
            self.fleet.rules.set(*path, rule);
        }
        sleep(time).await;
        for path in paths {
            self.fleet.rules.set(*path, Rule::Pass);
        }
        Ok(())
    }

    /// Records that a router is disturbed for `time` from now on.
    fn disturb_router(&self, router: usize, time: Duration) {
        self.disturbances
            .extend_router(router, self.recorder.now() + time);
    }

    /// Records that the process of a router does not run for `time` from now on.
    fn interrupt_router(&self, router: usize, time: Duration) {
        self.disturbances
            .extend_interruption(router, self.recorder.now() + time);
    }

    fn disturb_control(&self, time: Duration) {
        self.disturbances.extend_control(self.recorder.now() + time);
    }

    /// Checks that some control host returns the newest accepted configuration.
    pub(crate) async fn check_last_configuration(&self, controls: usize) {
        let end = self.recorder.now() + READ_BACK_TIMEOUT;
        let mut attempt = 0;
        while self.recorder.now() < end {
            attempt += 1;
            if self.operator.read_back(attempt % controls).await {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let what = "no control host returns the configuration";
        self.recorder.report(Invariant::Recovery, what);
    }

    /// Checks recovery and unexpected exits, and returns the result of the run.
    pub(crate) fn finish(&self, steps: usize) -> Outcome {
        let (recovered, total) = self.recorder.recovery();
        if recovered < MIN_SERVED_SHARE {
            let what = format!("{recovered:.3} of {total} requests are served at the end");
            self.recorder.report(Invariant::Recovery, what);
        }
        for (name, exits) in self.fleet.unexpected_exits() {
            let what = format!("{name} exited unexpectedly {exits} times");
            self.recorder.report(Invariant::NoUnexpectedExit, what);
        }
        Outcome {
            findings: self.recorder.findings(),
            counts: self.recorder.counts(),
            recovered,
            steps,
        }
    }
}
