//! The fleet and its stand-ins, and what steps do to them.

use std::io;
use std::time::Duration;

use tokio::sync::Mutex;
use tokio::time::sleep;

use crate::book::{Book, Promise};
use crate::disturbed::Disturbed;
use crate::fleet::{Fleet, GRACE_S};
use crate::operator::Operator;
use crate::process::wait_until;
use crate::proxy::{Path, Place, Rule};
use crate::run::Outcome;
use crate::schedule::{Action, Step};
use crate::upstream::Upstream;

/// Share of the requests at the end that must be served.
const SERVED_SHARE: f64 = 0.9;
/// Longest time in which the last configuration is read back.
const READ_BACK_WITHIN: Duration = Duration::from_secs(10);

/// The fleet and its stand-ins.
pub(crate) struct Stage {
    pub(crate) fleet: Fleet,
    pub(crate) book: Book,
    pub(crate) operator: Operator,
    pub(crate) upstreams: Vec<Mutex<Upstream>>,
    pub(crate) disturbed: Disturbed,
    /// Whether a control host that loses its disk is gone for good and replaced by another.
    pub(crate) replaces: bool,
}

impl Stage {
    /// Plays one step to its end.
    pub(crate) async fn play(&self, step: Step) {
        if let Err(e) = self.act(step.action).await {
            self.book
                .find(Promise::KeepsRunning, format!("{}: {e}", step.action));
        }
    }

    async fn act(&self, action: Action) -> io::Result<()> {
        match action {
            Action::KillControl { host, down } => self.kill_controls(&[host], down, false).await,
            Action::WipeControl { host, down } => self.kill_controls(&[host], down, true).await,
            Action::KillAllControls { down } => {
                let all: Vec<usize> = (0..self.fleet.control_count()).collect();
                self.kill_controls(&all, down, false).await
            }
            Action::PauseControl { host, still } => {
                self.disturb_control(still);
                self.fleet.control(host).pause(true)?;
                sleep(still).await;
                self.fleet.control(host).pause(false)
            }
            Action::KillRouter { host, down } => {
                self.disturb_router(host, down);
                self.fleet.router(host).kill()?;
                sleep(down).await;
                self.fleet.router(host).start_again()
            }
            Action::PauseRouter { host, still } => {
                self.disturb_router(host, still);
                self.fleet.router(host).pause(true)?;
                sleep(still).await;
                self.fleet.router(host).pause(false)
            }
            Action::StopRouter { host } => self.stop_router(host).await,
            Action::HangUpRouter { host } => self.fleet.router(host).hang_up(),
            Action::LinkRouter {
                router,
                control,
                rule,
                time,
            } => {
                self.disturb_router(router, time);
                let (from, to) = (Place::Router(router), self.control_place(control));
                self.link(&[Path { from, to }], rule, time).await
            }
            Action::LinkControl { host, rule, time } => {
                self.disturb_control(time);
                let others = (0..self.fleet.control_count()).filter(|n| *n != host);
                let one = self.control_place(host);
                let both = others.flat_map(|n| {
                    let other = self.control_place(n);
                    [(one, other), (other, one)].map(|(from, to)| Path { from, to })
                });
                self.link(&both.collect::<Vec<_>>(), rule, time).await
            }
            Action::LinkUpstream {
                upstream,
                rule,
                time,
            } => {
                self.link_from_outside(Place::Upstream(upstream), rule, time)
                    .await
            }
            Action::LinkClients { router, rule, time } => {
                self.disturb_router(router, time);
                self.link_from_outside(Place::Router(router), rule, time)
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
            Action::LoseAnswers { upstream, time } => {
                let upstream = &self.upstreams[upstream];
                upstream.lock().await.lose_answers(true);
                sleep(time).await;
                upstream.lock().await.lose_answers(false);
                Ok(())
            }
            Action::Race => {
                self.operator.race().await;
                Ok(())
            }
            Action::Revoke => {
                self.operator.revoke().await;
                Ok(())
            }
        }
    }

    async fn kill_controls(&self, hosts: &[usize], down: Duration, wipe: bool) -> io::Result<()> {
        self.disturb_control(down);
        let mut replaced = Vec::new();
        for host in hosts {
            self.fleet.control(*host).kill()?;
            if !wipe || !self.disturbed.lose_a_disk(self.book.now()) {
                continue;
            }
            if self.replaces {
                replaced.push(*host);
            } else {
                self.fleet.wipe(*host)?;
            }
        }
        sleep(down).await;
        for host in hosts {
            if replaced.contains(host) {
                self.fleet.replace(*host)?;
            } else {
                self.fleet.control(*host).start_again()?;
            }
        }
        Ok(())
    }

    fn control_place(&self, control: usize) -> Place {
        Place::Control(self.fleet.places.place(control))
    }

    async fn stop_router(&self, host: usize) -> io::Result<()> {
        self.disturbed.planned(host, self.book.now());
        self.fleet.router(host).tell_to_stop()?;
        let within = Duration::from_secs_f64(GRACE_S);
        let ended = wait_until(within, || {
            !self.fleet.router(host).is_running().unwrap_or(true)
        });
        if !ended.await {
            // As the platform does; what is still going on there may be cut.
            self.disturb_router(host, Duration::ZERO);
            self.fleet.router(host).kill()?;
        }
        self.fleet.router(host).start_again()?;
        self.disturbed.planned(host, self.book.now());
        Ok(())
    }

    async fn link_from_outside(&self, to: Place, rule: Rule, time: Duration) -> io::Result<()> {
        let from = Place::Outside;
        self.link(&[Path { from, to }], rule, time).await
    }

    async fn link(&self, paths: &[Path], rule: Rule, time: Duration) -> io::Result<()> {
        for path in paths {
            self.fleet.rules.set(*path, rule);
        }
        sleep(time).await;
        for path in paths {
            self.fleet.rules.set(*path, Rule::Pass);
        }
        Ok(())
    }

    /// A router is disturbed from now on for `time`.
    fn disturb_router(&self, router: usize, time: Duration) {
        self.disturbed.router(router, self.book.now() + time);
    }

    fn disturb_control(&self, time: Duration) {
        self.disturbed.control(self.book.now() + time);
    }

    /// The newest accepted configuration must come back from some control host.
    pub(crate) async fn read_back_at_last(&self, controls: usize) {
        let end = self.book.now() + READ_BACK_WITHIN;
        let mut turn = 0;
        while self.book.now() < end {
            turn += 1;
            if self.operator.read_back(turn % controls).await {
                return;
            }
            sleep(Duration::from_millis(100)).await;
        }
        let what = "no control host reads the configuration back";
        self.book.find(Promise::Recovery, what);
    }

    /// Judges the whole run.
    pub(crate) fn verdict(&self, steps: usize) -> Outcome {
        let (recovered, calm) = self.book.recovery();
        if recovered < SERVED_SHARE {
            let what = format!("{recovered:.3} of {calm} requests are served at the end");
            self.book.find(Promise::Recovery, what);
        }
        for (name, ends) in self.fleet.own_ends() {
            let what = format!("{name} ended by itself {ends} times");
            self.book.find(Promise::KeepsRunning, what);
        }
        Outcome {
            findings: self.book.findings(),
            counts: self.book.counts(),
            recovered,
            steps,
        }
    }
}
