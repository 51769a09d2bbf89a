//! Takeover of a stream by another upstream, while the one before is listened to.

use std::future::pending;
use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use coltsfootnotch_forward::streams::{Takeover, TakeoverStep};
use hyper::StatusCode;
use tokio::time::sleep_until;

use super::event_splitter::EventSplitter;
use super::messages::{ForwardMsg, Outcome, Silence};
use super::replacement::late;
use super::stream::Forwarder;
use super::stream_source::{Next, StreamSource};
use super::takeover_search::{Found, TakeoverSearch, sleep_for};
use crate::util::events;

/// Time for which an upstream is listened to at least that begins to send comments or a part of an event in a silence.
const COMMENTS_TIMEOUT: Duration = Duration::from_millis(800);
/// Time without any byte after which an upstream counts as silent that sends comments or a part of an event, and no
/// whole one.
const COMMENTS_PAUSE: Duration = Duration::from_millis(400);

/// How a takeover ended.
pub(super) enum TakeoverResult {
    /// The upstream that was silent goes on with this.
    Continued(StreamSource, Next),
    /// Another upstream has taken over, with its first events if they have come.
    Resumed(StreamSource, Option<Next>),
    /// No upstream goes on, and the response was aborted.
    GivenUp,
    /// The caller has left.
    CallerLeft,
}

/// A takeover in progress. Dropping it closes the connections of all upstreams.
pub(super) struct StreamTakeover<'a> {
    forwarder: &'a Forwarder,
    decision: Takeover,
    began_at: Instant,
    /// The upstream before the takeover.
    before: Arc<str>,
    /// The upstream that was silent, until it is lost.
    present: Option<StreamSource>,
    /// Comments of it that its caller has no room for yet. Nothing more is read of it until then, while the search goes
    /// on: no upstream may run the stream beside another for as long as its caller is slow.
    comments: Option<Bytes>,
    /// Since when it sends comments or a part of an event, if it does.
    sending_since: Option<Instant>,
    /// How it was lost.
    outcome: Outcome,
    /// The events that were forwarded.
    events: EventSplitter,
    search: TakeoverSearch,
    /// The upstream whose response has begun.
    other: Option<StreamSource>,
}

impl<'a> StreamTakeover<'a> {
    /// The takeover of a stream whose upstream is silent, after `attempts` at upstreams.
    pub(super) fn of_silent(forwarder: &'a Forwarder, source: StreamSource, attempts: u32) -> Self {
        let takeover = Self::new(forwarder, source, attempts);
        if Instant::now() < forwarder.req.deadline {
            takeover.report_silence(false);
        }
        takeover
    }

    /// The takeover of a stream whose upstream was lost, after `attempts` at upstreams.
    pub(super) fn of_lost(
        forwarder: &'a Forwarder,
        source: StreamSource,
        attempts: u32,
        outcome: Outcome,
    ) -> Self {
        let mut takeover = Self::new(forwarder, source, attempts);
        takeover.lose_present(outcome);
        takeover
    }

    fn new(forwarder: &'a Forwarder, source: StreamSource, attempts: u32) -> Self {
        let events = source.events.after_last_event();
        let max_attempts = forwarder.req.route().max_attempts;
        let search = TakeoverSearch::new(&forwarder.gw, &forwarder.req, &source);
        let decision = match TakeoverSearch::obstacle(&forwarder.req, &source) {
            Some(reason) => Takeover::impossible(attempts, reason),
            None => Takeover::new(Duration::ZERO, attempts, max_attempts),
        };
        Self {
            forwarder,
            decision,
            began_at: Instant::now(),
            before: source.received.ticket.upstream.clone(),
            events,
            search,
            sending_since: source
                .has_sent_without_event(COMMENTS_PAUSE)
                .then(Instant::now),
            present: Some(source),
            comments: None,
            outcome: Outcome::Silent,
            other: None,
        }
    }

    /// Runs until an upstream goes on, or none can. Returns the number of attempts as well.
    pub(super) async fn run(mut self) -> (u32, TakeoverResult) {
        let result = self.run_until_result().await;
        let attempts = self.decision.attempts() + self.search.uncounted();
        (attempts, result)
    }

    async fn run_until_result(&mut self) -> TakeoverResult {
        loop {
            let until = match self.decision.step(self.began_at.elapsed()) {
                TakeoverStep::Search => {
                    self.search.place();
                    None
                }
                TakeoverStep::Wait(until) => until,
                TakeoverStep::Switch => return self.switch(None),
                TakeoverStep::GiveUp(_) if self.searches_once_more() => continue,
                TakeoverStep::GiveUp(reason) => return self.give_up(reason),
            };
            if let Some(result) = self.wait(until).await {
                return result;
            }
        }
    }

    /// Whether the upstream whose connection broke is searched for as well, now that no other one can be found.
    fn searches_once_more(&mut self) -> bool {
        let now = self.began_at.elapsed();
        self.search.return_to_broken() && self.decision.search_once_more(now)
    }

    /// Waits for the next event of either upstream or of the search, until then if a time is given. The upstream
    /// that was silent comes first if both have an event.
    async fn wait(&mut self, until: Option<Duration>) -> Option<TakeoverResult> {
        let deadline = self.forwarder.req.deadline;
        let wait = until.map(|until| until.saturating_sub(self.began_at.elapsed()));
        let comments = self.comments.clone();
        let unfinished_due = self.unfinished_due();
        tokio::select! {
            biased;
            () = self.forwarder.tx.closed() => Some(TakeoverResult::CallerLeft),
            sent = self.forwarder.tx.send(comments.unwrap_or_default()), if self.comments.is_some() => {
                self.comments = None;
                sent.is_err().then_some(TakeoverResult::CallerLeft)
            }
            next = next_of(&mut self.present, deadline), if self.comments.is_none() => self.on_present(next),
            next = next_of(&mut self.other, deadline) => self.on_other(next),
            () = sleep_until(deadline.into()) => Some(self.on_deadline()),
            () = late(unfinished_due) => {
                self.on_unfinished();
                None
            }
            found = self.search.next() => {
                self.on_found(found);
                None
            }
            () = sleep_for(wait) => None,
        }
    }

    fn on_present(&mut self, next: Next) -> Option<TakeoverResult> {
        let source = self.present.as_ref()?;
        let (gw, req) = (&self.forwarder.gw, &self.forwarder.req);
        match next {
            Next::Events(_) | Next::End(_) => {
                self.report_silence(true);
                let source = self.present.take()?;
                return Some(TakeoverResult::Continued(source, next));
            }
            Next::Comments(comments) => {
                self.comments = Some(comments);
                self.sending_since.get_or_insert_with(Instant::now);
            }
            Next::Broken => {
                source.log_end(gw, req);
                self.lose_present(Outcome::Broken);
            }
            Next::Invalid => self.lose_invalid(),
            Next::Late => return Some(self.on_deadline()),
        }
        None
    }

    fn on_deadline(&mut self) -> TakeoverResult {
        if self.present.is_some() {
            self.finish_present(Outcome::Abandoned);
        }
        self.give_up("no time is left")
    }

    fn on_other(&mut self, next: Next) -> Option<TakeoverResult> {
        let source = self.other.as_ref()?;
        let (gw, req) = (&self.forwarder.gw, &self.forwarder.req);
        let is_whole = !source.ends_with_connection();
        let outcome = match next {
            // They show no progress of the stream.
            Next::Comments(_) => return None,
            Next::Events(_) => return Some(self.switch(Some(next))),
            Next::End(_) if is_whole => return Some(self.switch(Some(next))),
            Next::End(_) | Next::Broken => {
                source.log_end(gw, req);
                Outcome::Broken
            }
            Next::Invalid => {
                source.log_invalid(gw, req);
                Outcome::Failed
            }
            Next::Late => Outcome::Abandoned,
        };
        self.other.take()?.received.guard.finish(outcome);
        self.decision.on_answer_lost(self.began_at.elapsed());
        None
    }

    fn on_found(&mut self, found: Found) {
        let now = self.began_at.elapsed();
        let is_response = |status: StatusCode| status.is_success();
        let decision = &mut self.decision;
        let Some(received) = self.search.advance(decision, now, found, is_response) else {
            return;
        };
        let (gw, req) = (&self.forwarder.gw, &self.forwarder.req);
        let events = self.events.after_last_event();
        self.other = Some(StreamSource::new(*received, events, &gw.held, req));
    }

    /// Closes the connection of the upstream that was silent, for the one whose response has begun.
    fn switch(&mut self, next: Option<Next>) -> TakeoverResult {
        if let Some(present) = &self.present {
            let outcome = if present.has_sent_without_event(COMMENTS_PAUSE) {
                present.log_invalid(&self.forwarder.gw, &self.forwarder.req);
                Outcome::Failed
            } else {
                Outcome::Silent
            };
            self.finish_present(outcome);
        }
        let mut source = self.other.take().expect("another upstream has answered");
        source.received.guard.on_first_event();
        self.forwarder.gw.log(
            &events::STREAM_RESUMED,
            &self.forwarder.req,
            &[
                ("upstream", &source.received.ticket.upstream),
                ("version", &source.received.ticket.origin.version),
                ("events", &self.events.seen()),
            ],
        );
        TakeoverResult::Resumed(source, next)
    }

    /// Logs why no upstream goes on. The response ends as broken off, since its sender is dropped.
    fn give_up(&self, reason: &'static str) -> TakeoverResult {
        self.forwarder
            .log_broken_off(&self.before, &self.events, self.outcome, reason);
        TakeoverResult::GivenUp
    }

    /// When the present upstream is given up if it still sends what makes no event.
    fn unfinished_due(&self) -> Option<Instant> {
        let (source, since) = (self.present.as_ref()?, self.sending_since?);
        Some(source.unfinished_until().max(since + COMMENTS_TIMEOUT))
    }

    /// Gives up the present upstream if it still sends what makes no event.
    fn on_unfinished(&mut self) {
        self.sending_since = None;
        let present = self.present.as_ref();
        if present.is_some_and(|source| source.has_sent_without_event(COMMENTS_PAUSE)) {
            self.lose_invalid();
        }
    }

    /// Gives up the present upstream, which sends no stream.
    fn lose_invalid(&mut self) {
        if let Some(present) = &self.present {
            present.log_invalid(&self.forwarder.gw, &self.forwarder.req);
        }
        self.lose_present(Outcome::Failed);
    }

    fn lose_present(&mut self, outcome: Outcome) {
        if outcome == Outcome::Broken {
            self.search.on_connection_broken(&self.before);
        }
        self.finish_present(outcome);
        self.decision.on_present_lost(self.began_at.elapsed());
    }

    fn finish_present(&mut self, outcome: Outcome) {
        if let Some(source) = self.present.take() {
            source.received.guard.finish(outcome);
        }
        self.outcome = outcome;
    }

    /// Reports the silence of the present upstream to the actor, or its end.
    fn report_silence(&self, is_over: bool) {
        if let Some(source) = &self.present {
            let silence = Silence::of(&source.received.ticket, is_over);
            self.forwarder.gw.tx.send(ForwardMsg::Silence(silence));
        }
    }
}

async fn next_of(source: &mut Option<StreamSource>, deadline: Instant) -> Next {
    match source {
        Some(source) => source.next(deadline).await,
        None => pending().await,
    }
}
