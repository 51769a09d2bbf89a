//! Clients: they keep connections open, and judge every answer.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_platform_peers::{DEADLINE_MS, REQUEST_ID, RESPONSE_STAMP, TOKEN_USAGE};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::book::{Book, Ended, Promise};
use crate::fleet::Addresses;
use crate::operator::{HOST, Operator, STEADY_KEY};
use crate::upstream::{EVENTS, event_text};

/// How long a client waits.
const PATIENCE: Duration = Duration::from_secs(3);
/// Between two requests of a client.
const PAUSE_MS: (u64, u64) = (5, 60);

/// What a client knows.
#[derive(Clone)]
pub struct Client {
    /// Its number.
    pub number: usize,
    /// The fleet's addresses.
    pub addresses: Addresses,
    /// Routers.
    pub routers: usize,
    /// What it sees.
    pub book: Book,
    /// Who hands out keys.
    pub operator: Operator,
    /// Whether a router is undisturbed but for being told to stop.
    pub planned_only: Arc<dyn Fn(usize) -> bool + Send + Sync>,
}

/// What came back of a request.
struct Got {
    status: u16,
    marked: bool,
    body: std::result::Result<String, String>,
}

impl Client {
    /// Sends requests for ever. It stays with a router while that answers, as clients behind a balancer
    /// do.
    pub async fn work(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let agent: ureq::Agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(PATIENCE))
            .max_idle_age(Duration::from_secs(12))
            .build()
            .into();
        let mut router = self.number % self.routers;
        for n in 0_u64.. {
            let id = format!("c{}-{n}", self.number);
            let ended = self.request(&agent, router, &id, &mut rng).await;
            if matches!(ended, Ended::Cut | Ended::Refused) {
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
    ) -> Ended {
        let kind = ["once", "read", "stream"][rng.random_range(0..3)];
        let key = self.operator.any_key(rng);
        let url = format!("http://{}/{kind}/x", self.addresses.callers(router));
        self.book.sent(id, kind != "once", key == STEADY_KEY);
        let sent = self.book.now();
        let (agent, own) = (agent.clone(), id.to_owned());
        let bearer = format!("Bearer {key}");
        let call = move || call(&agent, &url, &own, &bearer);
        let got = tokio::task::spawn_blocking(call).await.ok().flatten();
        if self.operator.is_revoked(&key, sent) && self.book.has_run(id) {
            let what = format!("{id} runs with {key}, which was taken away long before");
            self.book.find(Promise::KeyRevoked, what);
        }
        let ended = self.judge(id, kind, got.as_ref());
        if ended == Ended::Cut && (self.planned_only)(router) && self.book.has_run(id) {
            let took = self.book.now().saturating_sub(sent);
            // A request that used up its time was not cut by the stop.
            if took < PATIENCE * 7 / 10 {
                let what = format!("{id} is cut by router {router} after {took:?}");
                self.book.find(Promise::NothingCut, what);
            }
        }
        self.book.ended(id, sent, ended);
        ended
    }

    fn judge(&self, id: &str, kind: &str, got: Option<&Got>) -> Ended {
        let Some(got) = got else {
            return Ended::Cut;
        };
        match got.status {
            200 => self.judge_success(id, kind, got),
            408 | 421 | 429 | 503 => Ended::Refused,
            _ => Ended::Failed,
        }
    }

    fn judge_success(&self, id: &str, kind: &str, got: &Got) -> Ended {
        let body = match &got.body {
            Ok(body) => body,
            // An end that is told apart from a whole answer breaks no promise by itself.
            Err(_) => return Ended::Cut,
        };
        let (promise, expected) = if kind == "stream" {
            let events = (1..=EVENTS).map(|n| event_text(id, n)).collect();
            (Promise::StreamOrder, events)
        } else {
            (Promise::RightAnswer, format!("answer to {id}"))
        };
        if !got.marked {
            let what = format!("{id} gets a success that no upstream marked");
            self.book.find(Promise::RightAnswer, what);
        }
        if *body != expected {
            self.book.find(promise, format!("{id} gets {body:?}"));
        }
        Ended::Served
    }
}

fn call(agent: &ureq::Agent, url: &str, id: &str, bearer: &str) -> Option<Got> {
    let req = agent
        .post(url)
        .header("host", HOST)
        .header(REQUEST_ID, id)
        .header(DEADLINE_MS, PATIENCE.as_millis().to_string())
        .header(TOKEN_USAGE, "200,24")
        .header("authorization", bearer);
    let mut answer = req.send("a body").ok()?;
    Some(Got {
        status: answer.status().as_u16(),
        marked: answer.headers().contains_key(RESPONSE_STAMP),
        body: answer
            .body_mut()
            .read_to_string()
            .map_err(|e| e.to_string()),
    })
}
