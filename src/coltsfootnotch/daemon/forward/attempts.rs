//! Attempts of a request, at one upstream after another.

use std::sync::Arc;
use std::time::{Duration, Instant};

use coltsfootnotch_forward::streams::StreamOrigin;

use super::delivery::{DeliveryResult, read_response};
use super::exchange::{ExchangeResult, UpstreamResponse, attempt_deadline, exchange};
use super::exchange_guard::ExchangeGuard;
use super::matched_request::MatchedRequest;
use super::messages::{PlaceRequest, PlacementError, RETRY_SOON, Ticket};
use super::pending_placement::PendingPlacement;
use super::replacement::Replacement;
use super::responses;
use super::resumption::RESUME_TIMEOUT;
use super::server::Gateway;
use super::stream::{OpenResult, open};
use super::takeover_search::TakeoverSearch;
use crate::util::events::{self, Field};
use crate::util::http_server::AnyResponse;

/// Share of the time left that an attempt may take where a retry is possible.
const ATTEMPT_TIME_SHARE: f64 = 0.5;

/// Least time left in which another upstream is tried. No upstream responds within it.
const MIN_RETRY_TIME: Duration = Duration::from_millis(5);

/// Outcome of an attempt at one upstream.
enum AttemptResult {
    Done(AnyResponse),
    /// A failure response of the upstream, which is delivered unless a retry succeeds.
    Failed(AnyResponse),
    /// The request did not reach the upstream.
    Unreached,
    /// The request was not sent, since the upstream accepts none now or a stop could cut it off.
    Withheld,
    /// The upstream received the request and did not run it.
    Rejected,
    /// The request may have run.
    Lost,
}

/// An attempt that begins.
enum Begun {
    /// The request is sent to the upstream.
    Placed(ExchangeGuard),
    /// The response of the upstream, which replaced the one before, has begun.
    Answered(Box<UpstreamResponse>),
}

impl Begun {
    fn ticket(&self) -> &Ticket {
        match self {
            Self::Placed(place) => place.ticket(),
            Self::Answered(received) => &received.ticket,
        }
    }
}

impl Gateway {
    /// Sends a request to upstreams until one responds or no retry is allowed.
    pub(super) async fn run(self: &Arc<Self>, req: &Arc<MatchedRequest>) -> AnyResponse {
        let mut avoid = Vec::new();
        // Attempts that reached an upstream, and those of them that may have run.
        let (mut reached, mut attempts) = (0, 0);
        let mut failure = None;
        let may_repeat_after =
            |attempts: u32| req.kind().is_idempotent() && attempts < req.route().max_attempts;
        let wait_until = Instant::now() + RESUME_TIMEOUT;
        // The response of an upstream that replaced the one before.
        let mut found = None;
        loop {
            let begun = match found.take() {
                Some(received) => Begun::Answered(received),
                // Its time may have passed while upstreams were connected to, or rejected it.
                None if !avoid.is_empty() && Instant::now() + MIN_RETRY_TIME >= req.deadline => {
                    return match failure {
                        Some(response) => response,
                        None if attempts > 0 => responses::deadline_exceeded(),
                        None => responses::not_run("the time is over", RETRY_SOON),
                    };
                }
                None => {
                    let placed = self.place_or_wait(req, &avoid, reached > 0, wait_until);
                    match placed.await {
                        Ok(place) => {
                            avoid.push(place.ticket().upstream.clone());
                            Begun::Placed(place)
                        }
                        Err(_) if attempts > 0 => return failure.unwrap_or_else(responses::lost),
                        Err(reason) => return self.refuse(req, reason),
                    }
                }
            };
            if req.resumes_stream() {
                self.log_taken_up(req, begun.ticket());
            }
            let mut replacement = may_repeat_after(attempts + 1).then(|| {
                let late_at = attempt_deadline(req, begun.ticket(), ATTEMPT_TIME_SHARE);
                let search = TakeoverSearch::of_request(self, req, &avoid);
                Replacement::new(self, search, begun.ticket(), attempts + 1, late_at)
            });
            let attempt = self.attempt(req, begun, attempts + 1, replacement.as_mut());
            let result = attempt.await;
            let has_run = matches!(result, AttemptResult::Failed(_) | AttemptResult::Lost);
            let has_reached = has_run || matches!(result, AttemptResult::Rejected);
            match result {
                AttemptResult::Done(response) => return response,
                AttemptResult::Failed(response) => failure = Some(response),
                AttemptResult::Unreached
                | AttemptResult::Withheld
                | AttemptResult::Rejected
                | AttemptResult::Lost => {}
            }
            reached += u32::from(has_reached);
            attempts += u32::from(has_run);
            if let Some(replacement) = replacement {
                // Boxed, as each open connection holds the space of a request's future.
                let replaced = Box::pin(replacement.finish()).await;
                avoid = replaced.avoid;
                reached += replaced.attempts;
                // That of the response counts as it ends.
                attempts += replaced.attempts - u32::from(replaced.found.is_some());
                found = replaced.found;
            }
            req.progress
                .set_may_have_run(attempts > 0 || found.is_some());
            if found.is_some() || !has_run {
                continue;
            }
            if Instant::now() >= req.deadline {
                return failure.unwrap_or_else(responses::deadline_exceeded);
            }
            if !may_repeat_after(attempts) {
                return failure.unwrap_or_else(responses::lost);
            }
        }
    }

    async fn attempt(
        self: &Arc<Self>,
        req: &Arc<MatchedRequest>,
        begun: Begun,
        attempts: u32,
        mut replacement: Option<&mut Replacement>,
    ) -> AttemptResult {
        let upstream = begun.ticket().upstream.clone();
        // Told before anything is written, since the caller may be cut off at any moment from then on.
        req.progress.set_may_have_run(true);
        let sought = replacement.as_deref_mut();
        let exchange_result = match begun {
            Begun::Placed(place) => exchange(self, req, place, None, req.deadline, sought).await,
            Begun::Answered(received) => ExchangeResult::Response(received),
        };
        let result = match exchange_result {
            ExchangeResult::Unreached => AttemptResult::Unreached,
            ExchangeResult::Withheld => AttemptResult::Withheld,
            ExchangeResult::Rejected => AttemptResult::Rejected,
            ExchangeResult::Lost => AttemptResult::Lost,
            ExchangeResult::Response(received) => {
                self.deliver(req, *received, replacement, attempts).await
            }
        };
        let outcome = match &result {
            AttemptResult::Done(_) => "answered",
            AttemptResult::Failed(_) => "failed",
            AttemptResult::Unreached => "not reached",
            AttemptResult::Withheld => "withheld",
            AttemptResult::Rejected => "rejected",
            AttemptResult::Lost => "lost",
        };
        let fields: [Field<'_>; 2] = [("upstream", &upstream), ("outcome", &outcome)];
        match &result {
            AttemptResult::Done(_) => self.log_sample(&events::REQUEST_ANSWERED, req, &fields),
            _ => self.log(&events::UPSTREAM_REQUEST_FAILED, req, &fields),
        }
        result
    }

    async fn deliver(
        self: &Arc<Self>,
        req: &Arc<MatchedRequest>,
        received: UpstreamResponse,
        replacement: Option<&mut Replacement>,
        attempts: u32,
    ) -> AttemptResult {
        let is_stream = req.kind().is_stream() && received.response.status().is_success();
        if is_stream {
            return match open(self, req, received, replacement, attempts).await {
                OpenResult::Streaming(response) => AttemptResult::Done(response),
                OpenResult::Lost => AttemptResult::Lost,
            };
        }
        let is_failure = received.response.status().is_server_error();
        if let Some(replacement) = replacement.filter(|_| !is_failure) {
            replacement.cancel();
        }
        match read_response(self, req, received).await {
            DeliveryResult::Complete(response) => AttemptResult::Done(response),
            DeliveryResult::Failure(response) => AttemptResult::Failed(response),
            DeliveryResult::Lost => AttemptResult::Lost,
        }
    }

    /// Has the actor place a request; one that resumes a stream, at an upstream of its `origin`.
    pub(super) async fn place(
        &self,
        req: &MatchedRequest,
        avoid: &[Arc<str>],
        is_retry: bool,
        origin: Option<&StreamOrigin>,
    ) -> Result<ExchangeGuard, PlacementError> {
        if self.is_too_late(req, is_retry) {
            return Err(PlacementError::Stopping);
        }
        let place = PlaceRequest {
            config: Arc::clone(&req.config),
            service: req.service,
            account: req.account.clone(),
            account_priority: req.account_priority,
            route_priority: req.route().priority,
            prompt: Arc::clone(&req.prompt),
            origin: origin.cloned(),
            avoid: avoid.to_vec(),
            is_stream: req.kind().is_stream(),
            is_retry,
            content: req.content,
            stream: req.stream,
            tie_breaker: ((self.draw)() * u64::MAX as f64) as u64,
            target_left: req.target_left(),
            has_waited: false,
        };
        let placed = PendingPlacement::request(&self.tx, place).wait().await;
        if placed.is_ok() {
            self.count_placement(req, is_retry);
        }
        placed
    }

    fn count_placement(&self, req: &MatchedRequest, is_retry: bool) {
        let service = &req.config.services()[req.service].name;
        let retry = if is_retry { "true" } else { "false" };
        let labels = [("service", &**service), ("retry", retry)];
        self.cx.metrics.counter("placements", &labels).increment(1);
    }
}
