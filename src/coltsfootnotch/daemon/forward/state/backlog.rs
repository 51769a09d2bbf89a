//! Backlog limits and silences of upstreams, which requests and pauses of streams change.

use std::time::Duration;

use coltsfootnotch_forward::place::{Placement, Refusal};

use super::State;
use crate::daemon::forward::messages::{Silence, StreamPause};

impl State {
    /// Records at which engines the limit of the backlog blocks requests or nearly does.
    pub(super) fn record_blocking(
        &mut self,
        now: Duration,
        service: &str,
        placement: &Result<Placement, Refusal>,
    ) {
        match placement {
            Ok(placement) if placement.wait * 2 >= placement.bound => {
                let born_ms = self
                    .registry
                    .get(&placement.id)
                    .map(|u| u.announcement.born_ms);
                let load = born_ms.and_then(|born| self.loads.get_mut(&placement.id, born));
                load.into_iter()
                    .for_each(|l| l.backlog.record_blocking(now));
            }
            Err(refused) if refused.is_saturated => {
                for upstream in self.registry.ready(service) {
                    let announcement = &upstream.announcement;
                    let load = self.loads.get_mut(&announcement.id, announcement.born_ms);
                    load.into_iter()
                        .for_each(|l| l.backlog.record_blocking(now));
                }
            }
            _ => {}
        }
    }

    /// Handles a pause of a stream; returns the upstream's new backlog limit if the pause reduced
    /// it.
    pub(in crate::daemon::forward) fn on_stream_pause(
        &mut self,
        now: Duration,
        pause: &StreamPause,
    ) -> Option<Duration> {
        let load = self.loads.get_mut(&pause.upstream, pause.born_ms)?;
        let is_cut = load.backlog.observe_pause(now, pause.time, pause.tolerated);
        is_cut.then(|| load.backlog.get(pause.tolerated))
    }

    /// Handles a silence of an upstream, or its end.
    pub(in crate::daemon::forward) fn on_silence(&mut self, now: Duration, silence: &Silence) {
        let Some(load) = self.loads.get_mut(&silence.upstream, silence.born_ms) else {
            return;
        };
        if silence.is_over {
            load.on_progress();
        } else {
            load.on_silent(now);
        }
    }
}
