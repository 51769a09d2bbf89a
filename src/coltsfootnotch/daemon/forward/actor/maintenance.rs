//! Periodic work of a forwarding entry: load reports, overload detection, and expiry of upstreams.

use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use coltsfootnotch_forward::held::{HeldKind, Load};
use coltsfootnotch_forward::streams::{StreamOrigin, group_streams};
use coltsfootnotch_wire::ToRelay;

use super::ForwardActor;
use super::ForwardMsg;
use crate::daemon::forward::messages::StreamPause;
use crate::util::events;

/// Time for which streams count as begun lately: until a control host that does not pass them on has been
/// replaced, which takes two timeouts of a lease request.
const BEGUN_LATELY: Duration = Duration::from_secs(2);

/// Time without an announcement after which an upstream expires. Upstreams announce themselves
/// about each second, with delays of up to some seconds.
const EXPIRY: Duration = Duration::from_secs(8);

/// Time without any announcement after which those known may be out of date.
pub(super) const UPDATES_CURRENT_FOR: Duration = Duration::from_secs(2);

/// Age from which the load of the other entries counts as old. It comes ten times a second.
const OLD_LOAD_AGE: Duration = Duration::from_secs(1);

/// Interval of the lines that sum refusals by account.
const REFUSED_INTERVAL: Duration = Duration::from_secs(2);

impl ForwardActor {
    /// Reports the load of this entry to the selected control host.
    pub(super) fn report(&mut self, now: Duration) {
        if now < self.report_due {
            return;
        }
        self.report_due = now + self.report_period;
        // A report without a receiver is lost.
        if self.links.selected().is_none() || self.links.changes_receiver() {
            self.state.repeat_crash_reports(now);
        }
        let load = self.state.report(now);
        let begun = self.take_begun_streams(now);
        let number = self.own_reports.record(now, &load);
        // A control host that had no report from this process yet gets all, so that it alone knows them.
        let is_whole = self.links.changes_receiver();
        let retries = self.state.retries.take_report(now, is_whole);
        self.links.send_load(ToRelay::Load {
            number,
            load: Box::new(load),
            streams: group_streams(begun),
            retries,
        });
    }

    /// Reports retries before the next period if many were sent: this process may be killed until then.
    pub(super) fn report_retries(&mut self, now: Duration) {
        if !self.state.retries.is_report_due() || self.links.changes_receiver() {
            return;
        }
        if let Some(report) = self.state.retries.take_report(now, false) {
            self.links.send_to_receiver(ToRelay::Retries(report));
        }
    }

    /// Publishes whether it is known what earlier processes of this host have sent, and logs once if not.
    pub(super) fn observe_earlier_retries(&mut self, now: Duration) {
        let is_known = self.state.retries.knows_earlier(now);
        let gauge = self.cx.metrics.gauge("earlier_retries_known", &[]);
        gauge.set(f64::from(u8::from(is_known)));
        if !is_known && now >= self.earlier_retries_due && self.number > 0 {
            self.earlier_retries_due = Duration::MAX;
            self.cx.log(&events::EARLIER_RETRIES_UNKNOWN, &[]);
        }
    }

    /// The streams begun since the last report, or lately if that went to another control host.
    fn take_begun_streams(&mut self, now: Duration) -> Vec<(u64, StreamOrigin)> {
        let begun = self.state.take_begun_streams();
        let is_old = |at: &Duration| now.saturating_sub(*at) >= BEGUN_LATELY;
        while self
            .begun_lately
            .pop_front_if(|(at, ..)| is_old(at))
            .is_some()
        {}
        let added = begun.iter().cloned();
        self.begun_lately
            .extend(added.map(|(stream, origin)| (now, stream, origin)));
        if !self.links.changes_receiver() {
            return begun;
        }
        let lately = self.begun_lately.iter();
        lately
            .map(|(_, stream, origin)| (*stream, origin.clone()))
            .collect()
    }

    /// Logs when what this entry knows of the others has become old.
    pub(super) fn check_load_age(&mut self, now: Duration) {
        let age = now.saturating_sub(self.state.load_received_at());
        let is_old = age >= OLD_LOAD_AGE;
        if is_old && !self.is_load_old {
            let age_ms = age.as_millis();
            self.cx.log(&events::LOAD_OLD, &[("age_ms", &age_ms)]);
        }
        self.is_load_old = is_old;
    }

    /// Logs the refusals per account whose own lines were held back.
    pub(super) fn log_refused_accounts(&mut self, now: Duration) {
        if now < self.refused_due {
            return;
        }
        self.refused_due = now + REFUSED_INTERVAL;
        for count in self.refused_accounts.take() {
            self.cx.log(
                &events::REFUSALS_SUMMED,
                &[
                    ("account", &count.account),
                    ("reason", &count.reason),
                    ("refused", &count.refused),
                ],
            );
        }
    }

    /// Publishes how many requests of this entry are at upstreams.
    pub(super) fn observe_running(&self) {
        let running = self.state.loads.local_running() as f64;
        let metrics = &self.cx.metrics;
        metrics.gauge("requests_at_upstreams", &[]).set(running);
    }

    /// Publishes which upstreams this entry may place requests at, and how many entries it shares limits with.
    pub(super) fn observe_fleet(&mut self) {
        let upstreams = self.state.registry.all().count() as f64;
        let entries = self.state.sharing_entries().unwrap_or(0);
        let metrics = &self.cx.metrics;
        metrics.gauge("known_upstreams", &[]).set(upstreams);
        metrics
            .gauge("sharing_entries", &[])
            .set(f64::from(entries));
    }

    /// Publishes what is held for callers, and logs when new requests start or stop to be refused for it.
    pub(super) fn observe_held(&mut self) {
        let metrics = &self.cx.metrics;
        for kind in HeldKind::ALL {
            let bytes = self.held.bytes_of(kind) as f64;
            metrics
                .gauge("held_bytes", &[("kind", kind.name())])
                .set(bytes);
        }
        let (bytes, sockets) = (self.held.memory_bytes(), self.held.sockets());
        metrics.gauge("held_sockets", &[]).set(sockets as f64);
        let is_full = self.held.load() >= Load::Refusing;
        if is_full == std::mem::replace(&mut self.is_full, is_full) {
            return;
        }
        let event = if is_full {
            &events::HOST_FULL
        } else {
            &events::HOST_NOT_FULL
        };
        self.cx
            .log(event, &[("held_bytes", &bytes), ("sockets", &sockets)]);
    }

    /// Measures how long a task waits to be scheduled.
    pub(super) fn measure_scheduling_delay(&self) {
        let tx = self.tx.clone();
        self.cx.runtime.spawn(async move {
            let start = Instant::now();
            tokio::task::yield_now().await;
            tx.send(ForwardMsg::SchedulingDelay(start.elapsed()));
        });
    }

    /// Handles a measured scheduling delay: updates whether the host is overloaded.
    pub(super) fn on_scheduling_delay(&mut self, now: Duration, waited: Duration) {
        let load_ratio = self.state.load_ratio(now);
        let has_neighbours = self.handover.has_neighbours();
        self.overload
            .observe(now, waited, load_ratio, has_neighbours);
        self.update_handover(waited);
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
                    ("times_even_part", &load_ratio),
                    ("connections", &connections),
                ],
            );
        }
    }

    /// Sets the share of connections that is handed over, and logs when that starts or ends.
    fn update_handover(&mut self, waited: Duration) {
        let share = self.overload.handover_share();
        self.handover.set_share(share);
        let is_handing_over = share > 0.0;
        if is_handing_over == std::mem::replace(&mut self.is_handing_over, is_handing_over) {
            return;
        }
        let event = if is_handing_over {
            &events::HANDOVER_STARTED
        } else {
            &events::HANDOVER_ENDED
        };
        let (waited_ms, connections) = (waited.as_millis(), self.connections.count());
        self.cx.log(
            event,
            &[("waited_ms", &waited_ms), ("connections", &connections)],
        );
    }

    /// Tells control hosts whether this entry takes connections over, if that has changed.
    pub(super) fn report_handover(&mut self) {
        let is_ready = self.ready.load(Ordering::Relaxed);
        let has_room = self.held.load() == Load::Normal;
        let accepts = is_ready && !self.is_handing_over && has_room;
        if accepts != std::mem::replace(&mut self.accepts_handover, accepts) {
            self.links.send_to_all(&self.handover_message());
        }
    }

    /// Whether this entry takes connections over, as control hosts are told.
    pub(super) fn handover_message(&self) -> ToRelay {
        ToRelay::Handover {
            domain: self.cx.identity.domain.clone(),
            address: self.handover_address,
            accepts: self.accepts_handover,
        }
    }

    /// Handles a pause of a stream, which may reduce the backlog limit of its upstream.
    pub(super) fn on_stream_pause(&mut self, now: Duration, pause: &StreamPause) {
        let Some(limit) = self.state.on_stream_pause(now, pause) else {
            return;
        };
        let (pause_ms, limit_ms) = (pause.time.as_millis(), limit.as_millis());
        self.cx.log(
            &events::BACKLOG_LIMIT_LOWERED,
            &[
                ("upstream", &pause.upstream),
                ("pause_ms", &pause_ms),
                ("limit_ms", &limit_ms),
            ],
        );
    }

    /// Removes expired upstreams, unless no control host has sent announcements recently.
    pub(super) fn expire_upstreams(&mut self, now: Duration) {
        let has_updates = now.saturating_sub(self.last_upstream_update) < UPDATES_CURRENT_FOR;
        if !has_updates {
            return;
        }
        for announcement in self.state.registry.expire(now, EXPIRY) {
            self.cx.log(
                &events::UPSTREAM_SILENT,
                &[
                    ("upstream", &announcement.id),
                    ("service", &announcement.service),
                ],
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
