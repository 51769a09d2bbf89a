//! Replacement of an upstream that is late with its response.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootnotch_forward::streams::{Takeover, TakeoverStep};
use hyper::StatusCode;
use tokio::time::sleep_until;

use super::exchange::UpstreamResponse;
use super::messages::{ForwardMsg, Silence, Ticket};
use super::server::Gateway;
use super::takeover_search::{Found, TakeoverSearch, sleep_for};

/// Where a request goes on if its upstream stays late. The upstream is given up only once the response of another one
/// has begun: it may be silent for a moment and still respond in time, and the other one may not.
pub(super) struct Replacement {
    gw: Arc<Gateway>,
    decision: Takeover,
    search: TakeoverSearch,
    /// The silence of the upstream, until it is reported.
    unreported: Option<Silence>,
    late_at: Instant,
    /// Number of upstreams that the request was sent to before the search, the late one included.
    earlier_attempts: u32,
    found: Option<Box<UpstreamResponse>>,
}

/// What a replacement leaves when the attempt that it was for has ended.
pub(super) struct Replaced {
    /// The response that has begun.
    pub(super) found: Option<Box<UpstreamResponse>>,
    /// Number of upstreams that the search sent the request to and that may have run it, that of `found` included.
    pub(super) attempts: u32,
    /// The upstreams that the request was sent to.
    pub(super) avoid: Vec<Arc<str>>,
}

impl Replacement {
    /// Has `search` find another upstream if that of `ticket` has not responded by `late_at`. The request was sent to
    /// `attempts` upstreams, this one the last of them.
    pub(super) fn new(
        gw: &Arc<Gateway>,
        search: TakeoverSearch,
        ticket: &Ticket,
        attempts: u32,
        late_at: Instant,
    ) -> Self {
        Self {
            gw: Arc::clone(gw),
            decision: Takeover::new(Duration::ZERO, attempts, search.max_attempts()),
            search,
            unreported: Some(Silence::of(ticket, false)),
            late_at,
            earlier_attempts: attempts,
            found: None,
        }
    }

    /// When the upstream is late.
    pub(super) fn late_at(&self) -> Instant {
        self.late_at
    }

    /// Number of upstreams that the search sent the request to and that may have run it.
    pub(super) fn attempts(&self) -> u32 {
        self.decision.attempts() - self.earlier_attempts + self.search.uncounted()
    }

    /// Completes when the response of another upstream has begun. May be dropped and called again.
    pub(super) async fn found(&mut self) {
        sleep_until(self.late_at.into()).await;
        // Boxed, as each open connection holds the space of a request's future.
        Box::pin(self.search()).await;
    }

    async fn search(&mut self) {
        while self.found.is_none() {
            let until = match self.decision.step(self.late_at.elapsed()) {
                TakeoverStep::Search => {
                    self.search.place();
                    None
                }
                TakeoverStep::Wait(until) => until,
                TakeoverStep::Switch | TakeoverStep::GiveUp(_) => {
                    unreachable!("the late upstream is not lost")
                }
            };
            let wait = until.map(|until| until.saturating_sub(self.late_at.elapsed()));
            tokio::select! {
                biased;
                found = self.search.next() => self.on_found(found),
                () = sleep_for(wait) => {}
            }
        }
    }

    fn on_found(&mut self, found: Found) {
        let now = self.late_at.elapsed();
        let is_response = |status: StatusCode| !status.is_server_error();
        let decision = &mut self.decision;
        self.found = self.search.advance(decision, now, found, is_response);
    }

    /// Reports once that the upstream is silent and still listened to.
    pub(super) fn report_silence(&mut self) {
        if let Some(silence) = self.unreported.take() {
            self.gw.tx.send(ForwardMsg::Silence(silence));
        }
    }

    /// Ends the search, as the upstream has responded: another one that was asked would work for nobody.
    pub(super) fn cancel(&mut self) {
        self.search.cancel();
    }

    /// Ends the search, as the upstream has failed. What is in progress is waited for, as another upstream may have
    /// the request.
    pub(super) async fn finish(mut self) -> Replaced {
        while self.found.is_none() && self.search.is_in_progress() {
            let found = self.search.next().await;
            self.on_found(found);
        }
        Replaced {
            attempts: self.attempts(),
            found: self.found,
            avoid: self.search.into_avoided(),
        }
    }
}

/// Completes at a time, if there is one.
pub(super) async fn late(at: Option<Instant>) {
    match at {
        Some(at) => sleep_until(at.into()).await,
        None => std::future::pending().await,
    }
}

/// Reports the silence of a late upstream, if it is silent. Returns when it is looked at again, if that is before
/// `unfinished_until`.
pub(super) fn on_late(
    replacement: &mut Option<&mut Replacement>,
    is_silent: bool,
    unfinished_until: Instant,
) -> Option<Instant> {
    if let Some(replacement) = replacement.as_mut().filter(|_| is_silent) {
        replacement.report_silence();
    }
    (Instant::now() < unfinished_until).then_some(unfinished_until)
}

/// Completes when the response of a replacement has begun, if one is sought.
pub(super) async fn found(replacement: &mut Option<&mut Replacement>) {
    match replacement {
        Some(replacement) => replacement.found().await,
        None => std::future::pending().await,
    }
}
