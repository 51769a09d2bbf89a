//! What a forwarding entry does by time: reports, and dropping what fell silent.

use std::time::{Duration, Instant};

use coltsfootnotch_forward::load::reporting_period;
use coltsfootnotch_wire::ToRelay;

use super::ForwardActor;
use super::ForwardMsg;
use super::Reporter::{Nobody, Own};
use crate::daemon::forward::messages::Paused;
use crate::util::events;

/// Reports to the followed control host for one to each of the others. Entries follow the same one
/// unless they are cut off from it; who follows another hears of this entry half a second late.
const REPORTS_TO_OTHERS: u64 = 5;

/// Silence after which an upstream is dropped, while control hosts tell of others. Upstreams announce
/// themselves about each second, and are seen to do so late by seconds.
const SILENCE: Duration = Duration::from_secs(8);

impl ForwardActor {
    /// Tells the followed control host what this entry does; the others as well, since other entries
    /// may follow those, but less often.
    pub(super) fn report(&mut self, now: Duration) {
        if now < self.report_due {
            return;
        }
        self.report_due = now + reporting_period(self.state.entries);
        self.reports += 1;
        let load = self.state.report();
        self.for_others.record(now, Own, load.clone());
        self.links.send_followed(ToRelay::Load {
            follows: true,
            load,
        });
        if self.reports.is_multiple_of(REPORTS_TO_OTHERS) {
            let totals = self.for_others.totals(now);
            let load = self.for_others.excluding(now, &totals, &Nobody);
            self.for_others.start_period(now);
            self.links.send_others(&ToRelay::Load {
                follows: false,
                load,
            });
        }
    }

    /// Measures how long a task waits for its turn.
    pub(super) fn probe(&self) {
        let tx = self.tx.clone();
        self.cx.runtime.spawn(async move {
            let began = Instant::now();
            tokio::task::yield_now().await;
            tx.send(ForwardMsg::Waited(began.elapsed()));
        });
    }

    /// A task has waited for its turn: decides whether callers are better off at another host.
    pub(super) fn on_waited(&mut self, now: Duration, waited: Duration) {
        let times = self.state.times_even_part(now);
        self.overload.observe(now, waited, times);
        let overloaded = self.overload.is_overloaded(now);
        let refused = self.overload.refused_share();
        if overloaded != self.overload_flags.set(overloaded, refused) {
            let event = if overloaded {
                &events::OVERLOADED
            } else {
                &events::NOT_OVERLOADED
            };
            let (waited_ms, connections) = (waited.as_millis(), self.connections.count());
            self.cx.log(
                event,
                &[
                    ("waited_ms", &waited_ms),
                    ("times_even_part", &times),
                    ("connections", &connections),
                ],
            );
        }
    }

    /// A stream had no event for a while: less may wait at its upstream.
    pub(super) fn on_paused(&mut self, now: Duration, paused: &Paused) {
        let Some(limit) = self.state.paused(now, paused) else {
            return;
        };
        let (pause_ms, limit_ms) = (paused.time.as_millis(), limit.as_millis());
        self.cx.log(
            &events::BACKLOG_CUT,
            &[
                ("upstream", &paused.upstream),
                ("pause_ms", &pause_ms),
                ("limit_ms", &limit_ms),
            ],
        );
    }

    /// Drops upstreams that fell silent, unless it is the control hosts that say nothing.
    pub(super) fn expire(&mut self, now: Duration) {
        let is_told = now.saturating_sub(self.heard_upstreams) < SILENCE / 4;
        if !is_told {
            return;
        }
        for said in self.state.registry.expire(now, SILENCE) {
            self.cx.log(
                &events::UPSTREAM_SILENT,
                &[("upstream", &said.id), ("service", &said.service)],
            );
        }
        let registry = &self.state.registry;
        self.state.loads.retain(|id| registry.get(id).is_some());
        self.pool.sweep(|id, born_ms| {
            registry
                .get(id)
                .is_some_and(|u| u.announcement.born_ms == born_ms)
        });
    }
}
