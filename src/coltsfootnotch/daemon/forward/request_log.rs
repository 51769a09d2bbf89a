//! Log lines and metrics of requests, and responses to refused ones.

use std::time::Duration;

use super::matched_request::MatchedRequest;
use super::messages::{OriginSource, PlacementError, RETRY_SOON, Ticket};
use super::responses;
use super::server::{Gateway, NOT_CONFIRMED};
use crate::util::events::{self, EventDef, Field};
use crate::util::http_server::AnyResponse;

/// Routine lines are logged for one in this many requests. Requests are sampled by a hash of their
/// identity, so that all hosts log the same ones.
const SAMPLE_ONE_IN: u64 = 32;

/// Most refusals logged per second. Formatting a line takes about 20 microseconds, a considerable
/// part of a small share of a core in a flood of refusals.
pub(super) const REFUSAL_LINES: u16 = 50;

/// Most responses without end logged per second; an upstream that sends them does so for each request.
pub(super) const NO_RESPONSE_LINES: u16 = 10;

/// `Retry-After` of requests that crash upstreams. They are refused for minutes; a caller that repeats one
/// meanwhile only gets the same answer.
const POISON_RETRY_AFTER: Duration = Duration::from_secs(10);

impl Gateway {
    pub(super) fn refuse(&self, req: &MatchedRequest, reason: PlacementError) -> AnyResponse {
        let (text, retry_after) = match reason {
            PlacementError::Refused(refusal, _) => {
                (refusal.reason.to_string(), refusal.retry_after)
            }
            PlacementError::NoLease => (NOT_CONFIRMED.to_owned(), RETRY_SOON),
            PlacementError::NoRetryBudget => ("too much is sent again".to_owned(), RETRY_SOON),
            PlacementError::Stopping => (responses::STOPPING.to_owned(), Duration::ZERO),
            PlacementError::UnknownOrigin => (
                "the version that began the stream is not known".to_owned(),
                RETRY_SOON,
            ),
            PlacementError::PoisonRequest => (
                "the request has crashed upstreams".to_owned(),
                POISON_RETRY_AFTER,
            ),
            PlacementError::PoisonSegment => (
                "a segment of its prompt has crashed upstreams".to_owned(),
                POISON_RETRY_AFTER,
            ),
        };
        let service = &req.config.services()[req.service].name;
        self.cx
            .metrics
            .counter("refusals", &[("service", &**service), ("reason", &text)])
            .increment(1);
        if self.refusals.take(self.cx.now()) {
            self.log_refusal(req, reason, &text, retry_after);
        } else {
            self.cx.metrics.count_event(&events::REQUEST_REFUSED);
            self.refused_accounts.record(req.account.as_ref(), &text);
        }
        responses::not_run(&text, retry_after)
    }

    /// Logs a refusal with what was known of its account's share.
    fn log_refusal(
        &self,
        req: &MatchedRequest,
        reason: PlacementError,
        text: &str,
        retry_after: Duration,
    ) {
        let millis = retry_after.as_millis();
        let account = req.account.as_deref().unwrap_or("-");
        let mut fields: Vec<Field<'_>> = vec![
            ("reason", &text),
            ("retry_after_ms", &millis),
            ("account", &account),
        ];
        let (share, wait) = match reason {
            PlacementError::Refused(refusal, share) => (share, refusal.wait),
            _ => (None, None),
        };
        let wait = wait.map(|(wait, bound)| (wait.as_millis(), bound.as_millis()));
        if let Some((wait_ms, bound_ms)) = &wait {
            fields.push(("wait_ms", wait_ms));
            fields.push(("wait_bound_ms", bound_ms));
        }
        let share = share.map(|s| {
            (
                format!("{:.2}", s.pressure),
                format!("{:.2}", s.fraction),
                s.age.as_millis(),
            )
        });
        if let Some((pressure, fraction, known_ms)) = &share {
            fields.push(("share_used", pressure));
            fields.push(("share_of_demand", fraction));
            fields.push(("share_age_ms", known_ms));
        }
        self.log(&events::REQUEST_REFUSED, req, &fields);
    }

    pub(super) fn count(&self, req: &MatchedRequest, response: &AnyResponse) {
        let class = match response.status().as_u16() {
            200..=299 => "served",
            503 => "refused",
            _ => "failed",
        };
        let service = &req.config.services()[req.service].name;
        let labels = [("service", &**service), ("outcome", class)];
        self.cx.metrics.counter("requests", &labels).increment(1);
        let elapsed = req.received_at.elapsed().as_secs_f64();
        let labels = [("service", &**service)];
        self.cx
            .metrics
            .histogram("answer_begun_seconds", &labels)
            .record(elapsed);
    }

    /// Logs an event of a request.
    pub(super) fn log(&self, event: &EventDef, req: &MatchedRequest, fields: &[Field<'_>]) {
        let age_ms = req.received_at.elapsed().as_millis();
        let number = req.config.number();
        let id = req.id();
        let route = &req.route().name;
        let mut all: Vec<Field<'_>> = vec![
            ("request", &id),
            ("route", route),
            ("config", &number),
            ("age_ms", &age_ms),
        ];
        all.extend_from_slice(fields);
        self.cx.log(event, &all);
    }

    /// Logs and counts bytes of an upstream that become no response: the `part` of the response at which they
    /// came, and how many if a limit of bytes was reached.
    pub(super) fn log_no_response(
        &self,
        req: &MatchedRequest,
        ticket: &Ticket,
        part: &'static str,
        bytes: Option<u64>,
    ) {
        let service = &req.config.services()[req.service].name;
        let labels = [("service", &**service), ("part", part)];
        self.cx
            .metrics
            .counter("responses_without_end", &labels)
            .increment(1);
        if !self.no_responses.take(self.cx.now()) {
            return;
        }
        let bytes = bytes.map_or_else(|| "-".to_owned(), |bytes| bytes.to_string());
        let fields: [Field<'_>; 3] = [
            ("upstream", &ticket.upstream),
            ("part", &part),
            ("bytes", &bytes),
        ];
        self.log(&events::RESPONSE_WITHOUT_END, req, &fields);
    }

    /// Counts a response that was given up, since this host has no room for it.
    pub(super) fn count_no_room(&self, req: &MatchedRequest) {
        let service = &req.config.services()[req.service].name;
        let counter = self
            .cx
            .metrics
            .counter("responses_without_room", &[("service", &**service)]);
        counter.increment(1);
    }

    /// Logs where a stream that its caller resumes goes on.
    pub(super) fn log_taken_up(&self, req: &MatchedRequest, ticket: &Ticket) {
        let began_with = req.head.resumes.as_deref().unwrap_or("-");
        let last_event = req.head.last_event.unwrap_or(0);
        let source = req.origin.as_ref().map(|known| known.source);
        let known_by = source.map_or_else(|| "-".to_owned(), |source| source.to_string());
        self.log(
            &events::STREAM_TAKEN_UP,
            req,
            &[
                ("began_with", &began_with),
                ("last_event", &last_event),
                ("upstream", &ticket.upstream),
                ("version", &ticket.origin.version),
                ("known_by", &known_by),
            ],
        );
    }

    /// Counts a stream that its caller resumes by how its origin is known, if it is.
    pub(super) fn count_origin(&self, req: &MatchedRequest, source: Option<OriginSource>) {
        let service = &req.config.services()[req.service].name;
        let known_by = source.map_or_else(|| "unknown".to_owned(), |source| source.to_string());
        let labels = [("service", &**service), ("known_by", &*known_by)];
        let counter = self.cx.metrics.counter("resumed_streams", &labels);
        counter.increment(1);
    }

    /// Logs the end of a response that ends with its upstream's connection: always if it was cut short,
    /// otherwise for the sampled requests. `received` tells how much came.
    pub(super) fn log_end_with_connection(
        &self,
        req: &MatchedRequest,
        ticket: &Ticket,
        received: Field<'_>,
        is_cut: bool,
    ) {
        let event = &events::RESPONSE_ENDED_WITH_CONNECTION;
        let fields = [
            ("upstream", &ticket.upstream as _),
            received,
            ("cut", &is_cut),
        ];
        if is_cut {
            self.log(event, req, &fields);
        } else {
            self.log_sample(event, req, &fields);
        }
    }

    pub(super) fn log_sample(&self, event: &EventDef, req: &MatchedRequest, fields: &[Field<'_>]) {
        if is_sampled(req.id()) {
            self.log(event, req, fields);
        }
    }
}

fn is_sampled(id: &str) -> bool {
    let sum = id.bytes().fold(0_u64, |sum, b| {
        sum.wrapping_mul(31).wrapping_add(u64::from(b))
    });
    sum % SAMPLE_ONE_IN == 0
}
