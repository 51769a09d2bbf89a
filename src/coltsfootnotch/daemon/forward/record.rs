//! What is written and counted of a request.

use std::time::Duration;

use super::answer;
use super::messages::{NotPlaced, RETRY_SOON};
use super::requested::Requested;
use super::server::{Gateway, NOT_CONFIRMED};
use crate::util::events::{self, EventDef, Field};
use crate::util::http_server::AnyResponse;

/// One in so many requests, by its identity, has its routine lines written: the same on every host, so
/// that what is kept of a request is kept whole.
const SAMPLE_ONE_IN: u64 = 32;

/// Refusals written in a second. Making a line costs some 20 microseconds whether it is written or not;
/// in a flood of some hundred refusals a second on a small share of a core that is a tenth of all there
/// is.
pub(super) const REFUSAL_LINES: u16 = 50;

impl Gateway {
    pub(super) fn refuse(&self, req: &Requested, why: NotPlaced) -> AnyResponse {
        let (text, retry_after) = match why {
            NotPlaced::Refused(refusal) => (refusal.reason.to_string(), refusal.retry_after),
            NotPlaced::NoLease => (NOT_CONFIRMED.to_owned(), RETRY_SOON),
            NotPlaced::NoSecondSend => ("too much is sent again".to_owned(), RETRY_SOON),
            NotPlaced::Stopping => ("this host is stopping".to_owned(), Duration::ZERO),
            NotPlaced::Crashing => (
                "the request has crashed upstreams".to_owned(),
                Duration::from_secs(10),
            ),
        };
        let millis = retry_after.as_millis();
        let fields: [Field<'_>; 2] = [("reason", &text), ("retry_after_ms", &millis)];
        if self.refusals.take(self.cx.now()) {
            self.log(&events::REQUEST_REFUSED, req, &fields);
        } else {
            self.cx.metrics.count_event(&events::REQUEST_REFUSED);
        }
        answer::not_run(&text, retry_after)
    }

    pub(super) fn count(&self, req: &Requested, response: &AnyResponse) {
        let class = match response.status().as_u16() {
            200..=299 => "served",
            503 => "refused",
            _ => "failed",
        };
        let service = &req.config.services()[req.service].name;
        let labels = [("service", &**service), ("outcome", class)];
        self.cx.metrics.counter("requests", &labels).increment(1);
        let took = req.arrived.elapsed().as_secs_f64();
        let labels = [("service", &**service)];
        self.cx
            .metrics
            .histogram("answer_begun_seconds", &labels)
            .record(took);
    }

    /// Writes a line about a request.
    pub(super) fn log(&self, event: &EventDef, req: &Requested, fields: &[Field<'_>]) {
        let age_ms = req.arrived.elapsed().as_millis();
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

    pub(super) fn log_sample(&self, event: &EventDef, req: &Requested, fields: &[Field<'_>]) {
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
