//! Clients that resume streams which broke, and check that all parts of a stream fit together.

use std::io::Read;
use std::time::Duration;

use coltsfootnotch::util::http_client::agent;
use coltsfootnotch_platform_peers::{
    DEADLINE_MS, LAST_EVENT, REQUEST_ID, RESPONSE_STAMP, RESUMES, TOKEN_USAGE,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::client::REQUEST_TIMEOUT;
use crate::fleet::Addresses;
use crate::operator::{HOST, STEADY_KEY};
use crate::recorder::{Invariant, Recorder};
use crate::upstream::{EVENTS, event_text};

/// Clients per router that resume their streams.
pub const RESUMING_CLIENTS: usize = 8;
/// Time for which a client tries to resume a stream: longer than hosts take to restart and to know all upstreams.
const RESUME_TIMEOUT: Duration = Duration::from_secs(8);
/// Pause between two attempts of a client.
const PAUSE: Duration = Duration::from_millis(100);

/// A client that begins streams and resumes those that break.
#[derive(Clone)]
pub struct ResumingClient {
    /// Index of the client.
    pub number: usize,
    /// The fleet's addresses.
    pub addresses: Addresses,
    /// Number of routers.
    pub routers: usize,
    /// Records requests and what is wrong with streams.
    pub recorder: Recorder,
}

/// What a client has received of a stream.
#[derive(Default)]
struct Received {
    /// The request that brought the first event.
    began_with: Option<String>,
    version: String,
    events: u64,
}

/// One response, as far as it came.
struct Response {
    body: String,
    /// Whether it was received to its end, which it states.
    is_complete: bool,
    /// The upstream's mark.
    mark: String,
}

impl ResumingClient {
    /// Streams until the task is aborted.
    pub async fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let config = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .build();
        let agent = agent(config);
        loop {
            self.stream(&agent, &mut rng).await;
            sleep(PAUSE).await;
        }
    }

    /// Begins a stream and resumes it until it is complete or given up.
    async fn stream(&self, agent: &ureq::Agent, rng: &mut StdRng) {
        let mut received = Received::default();
        let give_up_at = self.recorder.now() + RESUME_TIMEOUT;
        while self.recorder.now() < give_up_at {
            let id = format!("r{}-{:x}", self.number, rng.random::<u32>());
            self.recorder.record_sent(&id, true, false);
            let router = self
                .addresses
                .client_address(rng.random_range(0..self.routers));
            let url = format!("http://{router}/stream/x");
            let resumed = received.began_with.clone().map(|id| (id, received.events));
            let (agent, sent_id) = (agent.clone(), id.clone());
            let call = move || call(&agent, &url, &sent_id, resumed);
            let response = tokio::task::spawn_blocking(call).await.ok().flatten();
            if let Some(response) = response
                && self.is_over(&mut received, &id, &response)
            {
                return;
            }
            sleep(PAUSE).await;
        }
    }

    /// Adds the events of a response, and returns whether the stream is over or wrong.
    fn is_over(&self, received: &mut Received, id: &str, response: &Response) -> bool {
        let is_resumed = received.began_with.is_some();
        if is_resumed {
            self.recorder.record_resumed();
        }
        let whole = response.body.split_inclusive("\n\n");
        for event in whole.filter(|event| event.ends_with("\n\n")) {
            if received.began_with.is_none() {
                received.began_with = Some(id.to_owned());
                received.version = version_of(event).to_owned();
            }
            let n = received.events + 1;
            if event != event_text(id, &received.version, n) {
                let (version, mark) = (&received.version, &response.mark);
                let what = format!(
                    "{id} gets {event:?} from {mark} for event {n} of {version}; resumed by its caller: {is_resumed}"
                );
                self.recorder.report(Invariant::StreamOrder, what);
                return true;
            }
            received.events = n;
        }
        if response.is_complete && received.events != EVENTS {
            let what = format!("{id} is complete after event {}", received.events);
            self.recorder.report(Invariant::StreamOrder, what);
        }
        response.is_complete || received.events == EVENTS
    }
}

fn version_of(event: &str) -> &str {
    let data = event.lines().find_map(|line| line.strip_prefix("data: "));
    data.and_then(|data| data.split(' ').nth(1))
        .unwrap_or_default()
}

/// Sends a request, which resumes the stream of another one after an event if given. Returns none without a success.
fn call(
    agent: &ureq::Agent,
    url: &str,
    id: &str,
    resumed: Option<(String, u64)>,
) -> Option<Response> {
    let mut req = agent
        .post(url)
        .header("host", HOST)
        .header(REQUEST_ID, id)
        .header(DEADLINE_MS, REQUEST_TIMEOUT.as_millis().to_string())
        .header(TOKEN_USAGE, "200,24")
        .header("authorization", format!("Bearer {STEADY_KEY}"));
    if let Some((began_with, last)) = resumed {
        req = req
            .header(RESUMES, began_with)
            .header(LAST_EVENT, last.to_string());
    }
    let mut answer = req.send("a body").ok()?;
    if answer.status() != 200 {
        return None;
    }
    let header = |name: &str| answer.headers().get(name)?.to_str().ok();
    let mark = header(RESPONSE_STAMP).unwrap_or("none").to_owned();
    let states_end = header("content-length").is_some() || header("transfer-encoding").is_some();
    let (mut body, mut reader) = (Vec::new(), answer.body_mut().as_reader());
    // What came before an error stays in `body`.
    let read = reader.read_to_end(&mut body);
    Some(Response {
        body: String::from_utf8_lossy(&body).into_owned(),
        is_complete: read.is_ok() && states_end,
        mark,
    })
}
