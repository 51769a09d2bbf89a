//! Clients that keep connections open and check every answer.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch::util::http_client::agent;
use coltsfootnotch_platform_peers::{
    DEADLINE_MS, LEAVING, REQUEST_ID, RESPONSE_STAMP, TOKEN_USAGE,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::fleet::Addresses;
use crate::notices::Notices;
use crate::operator::{HOST, Operator, STEADY_KEY};
use crate::recorder::{Invariant, Recorder, RequestOutcome};
use crate::upstream::{EVENTS, answer_text, event_text};

/// Timeout of a request.
pub const REQUEST_TIMEOUT: Duration = Duration::from_secs(3);
/// Range of the pause between two requests of a client, in milliseconds.
const PAUSE_MS: (u64, u64) = (5, 60);

/// A client that sends requests to the routers.
#[derive(Clone)]
pub struct Client {
    /// Index of the client.
    pub number: usize,
    /// The fleet's addresses.
    pub addresses: Addresses,
    /// Number of routers.
    pub routers: usize,
    /// Records requests and their outcomes.
    pub recorder: Recorder,
    /// Checks what upstreams ask of routers.
    pub notices: Notices,
    /// Issues and revokes keys.
    pub operator: Operator,
    /// Returns whether a graceful stop is the only current disturbance of a router.
    pub is_planned_stop_only: Arc<dyn Fn(usize) -> bool + Send + Sync>,
}

/// The response to a request.
struct Answer {
    status: u16,
    /// The mark of the upstream, which ends with the identity of its run.
    mark: Option<String>,
    /// Whether it states that its upstream leaves.
    is_leaving: bool,
    /// Whether it states its end, by a length or chunks.
    states_end: bool,
    body: std::result::Result<String, String>,
}

impl Client {
    /// Sends requests until the task is aborted. Like a client behind a load balancer it keeps using one
    /// router until a request is cut or refused.
    pub async fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .max_idle_age(Duration::from_secs(12))
            .build();
        let agent = agent(config);
        let mut router = self.number % self.routers;
        for n in 0_u64.. {
            let id = format!("c{}-{n}", self.number);
            let outcome = self.request(&agent, router, &id, &mut rng).await;
            if matches!(outcome, RequestOutcome::Cut | RequestOutcome::Refused) {
                router = rng.random_range(0..self.routers);
            }
            let (from, to) = PAUSE_MS;
            sleep(Duration::from_millis(rng.random_range(from..to))).await;
        }
    }

    async fn request(
        &self,
        agent: &ureq::Agent,
        router: usize,
        id: &str,
        rng: &mut StdRng,
    ) -> RequestOutcome {
        let kind = ["once", "read", "stream"][rng.random_range(0..3)];
        let key = self.operator.draw_key(rng);
        let url = format!("http://{}/{kind}/x", self.addresses.client_address(router));
        self.recorder
            .record_sent(id, kind != "once", key == STEADY_KEY);
        let sent_at = self.recorder.now();
        self.notices.record_sent(sent_at, id, router);
        let (agent, request_id) = (agent.clone(), id.to_owned());
        let bearer = format!("Bearer {key}");
        let call = move || call(&agent, &url, &request_id, &bearer);
        let answer = tokio::task::spawn_blocking(call).await.ok().flatten();
        let leaving = answer.as_ref().filter(|answer| answer.is_leaving);
        let mark = leaving.and_then(|answer| answer.mark.as_deref());
        if let Some((_, run)) = mark.and_then(|mark| mark.rsplit_once('.')) {
            self.notices.record_leaving(self.recorder.now(), id, run);
        }
        if self.operator.is_revoked(&key, sent_at) && self.recorder.has_run(id) {
            let what = format!("{id} runs with {key}, which was revoked before it was sent");
            self.recorder.report(Invariant::KeyRevoked, what);
        }
        let outcome = self.classify(id, kind, answer.as_ref());
        if outcome == RequestOutcome::Cut
            && (self.is_planned_stop_only)(router)
            && self.recorder.has_run(id)
            // A stream that ends so after its first part was framed is not stated to be complete.
            && !self.recorder.is_unstated(id)
        {
            let took = self.recorder.now().saturating_sub(sent_at);
            if !is_near_timeout(took) {
                let what = format!("{id} is cut by router {router} after {took:?}");
                self.recorder.report(Invariant::GracefulStop, what);
            }
        }
        self.recorder.record_outcome(id, sent_at, outcome);
        outcome
    }

    fn classify(&self, id: &str, kind: &str, answer: Option<&Answer>) -> RequestOutcome {
        let Some(answer) = answer else {
            return RequestOutcome::Cut;
        };
        match answer.status {
            200 => self.check_success(id, kind, answer),
            408 | 421 | 429 | 503 => RequestOutcome::Refused,
            _ => RequestOutcome::Failed,
        }
    }

    fn check_success(&self, id: &str, kind: &str, answer: &Answer) -> RequestOutcome {
        let body = match &answer.body {
            Ok(body) => body,
            // A truncation that the client can detect violates no invariant.
            Err(_) => return RequestOutcome::Cut,
        };
        let (invariant, expected) = if kind == "stream" {
            let version = version_of_first_event(body);
            let events = (1..=EVENTS).map(|n| event_text(id, version, n)).collect();
            (Invariant::StreamOrder, events)
        } else {
            (Invariant::CorrectAnswer, answer_text(id))
        };
        if answer.mark.is_none() {
            let what = format!("{id} gets a success without the mark of an upstream");
            self.recorder.report(Invariant::CorrectAnswer, what);
        }
        // Where an upstream doesn't state the end of its response, neither may the router.
        if !answer.states_end && self.recorder.is_cut(id) && is_unstated_part(kind, body, &expected)
        {
            return RequestOutcome::Cut;
        }
        if *body != expected {
            let (states_end, is_cut) = (answer.states_end, self.recorder.is_cut(id));
            let what = format!(
                "{id} gets {body:?}; states its end: {states_end}, cut by an upstream: {is_cut}"
            );
            self.recorder.report(invariant, what);
        }
        RequestOutcome::Served
    }
}

/// Whether a request that ended after `took` may have reached its timeout instead of being cut by a stop.
#[must_use]
pub fn is_near_timeout(took: Duration) -> bool {
    took >= REQUEST_TIMEOUT * 7 / 10
}

/// The version that wrote the first event of a stream; all others have to be of the same.
fn version_of_first_event(body: &str) -> &str {
    let data = body.lines().find_map(|line| line.strip_prefix("data: "));
    let version = data.and_then(|data| data.split(' ').nth(1));
    version.unwrap_or_default()
}

/// Whether a body that ends with its connection may be a part of `expected`: any part of a plain answer, and
/// whole events of a stream.
fn is_unstated_part(kind: &str, body: &str, expected: &str) -> bool {
    let is_part = expected.starts_with(body) && body.len() < expected.len();
    is_part && (kind != "stream" || body.ends_with("\n\n"))
}

fn call(agent: &ureq::Agent, url: &str, id: &str, bearer: &str) -> Option<Answer> {
    let req = agent
        .post(url)
        .header("host", HOST)
        .header(REQUEST_ID, id)
        .header(DEADLINE_MS, REQUEST_TIMEOUT.as_millis().to_string())
        .header(TOKEN_USAGE, "200,24")
        .header("authorization", bearer);
    let mut answer = req.send("a body").ok()?;
    let header = |name: &str| answer.headers().get(name)?.to_str().ok();
    let mark = header(RESPONSE_STAMP).map(ToOwned::to_owned);
    let is_leaving = header(LEAVING) == Some("1");
    let states_end = header("content-length").is_some() || header("transfer-encoding").is_some();
    Some(Answer {
        status: answer.status().as_u16(),
        mark,
        is_leaving,
        states_end,
        body: answer
            .body_mut()
            .read_to_string()
            .map_err(|e| e.to_string()),
    })
}
