//! Operators that put and read configurations, put conflicting ones and rotate keys.

use std::collections::{BTreeMap, BTreeSet};
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use coltsfootnotch_platform_peers::{
    CONFIG_GET_PATH, CONFIG_PUT_PATH, OperatorConfig, RouteConfig,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::time::sleep;

use crate::control_slots::ControlSlots;
use crate::fleet::{Addresses, REVOKE_MS};
use crate::recorder::{Invariant, Recorder};

/// Host name of all routes.
pub const HOST: &str = "a.example";
/// Services, assigned to the upstreams in turn.
pub const SERVICES: [&str; 2] = ["desk", STREAM_SERVICE];
/// The service of streams.
pub const STREAM_SERVICE: &str = "writer";
/// Name of the client account whose keys change.
const ACCOUNT: &str = "group";
/// The account of clients that are slow.
const SLOW_ACCOUNT: &str = "slow";
/// The key of clients that are slow.
pub const SLOW_KEY: &str = "key-slow";
/// The key that is never revoked.
pub const STEADY_KEY: &str = "key-steady";

/// Timeout of one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Range of the pause between two changes, in milliseconds.
const CHANGE_PAUSE_MS: (u64, u64) = (200, 900);
/// Time from an acknowledgement until every control host that answers a read must return that configuration.
const READ_DEADLINE: Duration = Duration::from_millis(2_000);
/// Time from an acknowledged key rotation until the old key must be rejected.
const REVOCATION_BOUND: Duration = Duration::from_millis(REVOKE_MS);

/// HTTP client of operators and upstreams for the control hosts.
#[derive(Debug, Clone)]
pub struct ControlClient {
    agent: ureq::Agent,
    addresses: Addresses,
    controls: ControlSlots,
}

impl ControlClient {
    /// Creates a client for the control hosts of a fleet.
    #[must_use]
    pub fn new(addresses: Addresses, controls: ControlSlots) -> Self {
        let agent = ureq::Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(CALL_TIMEOUT))
            .build()
            .into();
        Self {
            agent,
            addresses,
            controls,
        }
    }

    fn address(&self, control: usize) -> SocketAddr {
        self.addresses.operator_address(self.controls.slot(control))
    }

    /// Posts to a random control host and returns the status, or zero if there was no response.
    pub async fn post(&self, path: &str, body: String) -> u16 {
        self.post_at(rand::random_range(0..self.controls.count()), path, body)
            .await
    }

    /// Posts to the given control host and returns the status, or zero if there was no response.
    pub async fn post_at(&self, control: usize, path: &str, body: String) -> u16 {
        let url = format!("http://{}{path}", self.address(control));
        let agent = self.agent.clone();
        let call = move || {
            let sent = agent.post(&url).content_type("application/json").send(body);
            sent.map_or(0, |answer| answer.status().as_u16())
        };
        tokio::task::spawn_blocking(call).await.unwrap_or(0)
    }

    /// Reads the configuration at the given control host.
    pub async fn read(&self, control: usize) -> Option<String> {
        let url = format!("http://{}{CONFIG_GET_PATH}", self.address(control));
        let agent = self.agent.clone();
        let call = move || {
            let mut answer = agent.get(&url).call().ok()?;
            let is_read = answer.status().as_u16() == 200;
            let body = answer.body_mut().read_to_string().ok()?;
            is_read.then_some(body)
        };
        tokio::task::spawn_blocking(call).await.ok().flatten()
    }
}

#[derive(Debug, Default)]
struct OperatorState {
    number: u64,
    keys: BTreeSet<String>,
    /// Revoked keys with the time of the acknowledgement.
    revoked: BTreeMap<String, Duration>,
    /// Configurations sent under each number: one, or two that conflict.
    sent: BTreeMap<u64, Vec<String>>,
    /// Acknowledged numbers with the time of the acknowledgement.
    accepted: Vec<(Duration, u64)>,
}

/// The operators of a run. Clones share their state.
#[derive(Debug, Clone)]
pub struct Operator {
    control_client: ControlClient,
    recorder: Recorder,
    state: Arc<Mutex<OperatorState>>,
}

impl Operator {
    /// Creates operators that have put no configuration yet.
    #[must_use]
    pub fn new(control_client: ControlClient, recorder: Recorder) -> Self {
        let state = OperatorState {
            keys: [STEADY_KEY, "key-0"].map(String::from).into(),
            ..OperatorState::default()
        };
        Self {
            control_client,
            recorder,
            state: Arc::new(Mutex::new(state)),
        }
    }

    fn state(&self) -> MutexGuard<'_, OperatorState> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Draws a key for a request: mostly the steady key, sometimes any key, revoked ones included.
    #[must_use]
    pub fn draw_key(&self, rng: &mut StdRng) -> String {
        let state = self.state();
        let all: Vec<&String> = state.keys.iter().chain(state.revoked.keys()).collect();
        match rng.random_range(0..10) {
            0 => all[rng.random_range(0..all.len())].clone(),
            _ => STEADY_KEY.to_owned(),
        }
    }

    /// Returns whether a request sent at `sent` with the key must not run.
    #[must_use]
    pub fn is_revoked(&self, key: &str, sent: Duration) -> bool {
        let state = self.state();
        let revoked = state.revoked.get(key);
        revoked.is_some_and(|acknowledged| sent > *acknowledged + REVOCATION_BOUND)
    }

    /// Returns the next number and its configuration.
    fn next_config(&self, variant: u32) -> (u64, String) {
        let mut state = self.state();
        state.number += 1 + u64::from(variant % 3);
        let (number, text) = (state.number, config_body(&state, variant));
        state.sent.entry(number).or_default().push(text.clone());
        (number, text)
    }

    /// Puts the next configuration, retrying until it is acknowledged.
    pub async fn put_next(&self) {
        let (number, text) = self.next_config(0);
        self.put(number, text).await;
    }

    async fn put(&self, number: u64, text: String) {
        // All control hosts may be down for seconds; retry until one answers.
        loop {
            match self
                .control_client
                .post(CONFIG_PUT_PATH, text.clone())
                .await
            {
                200 => return self.on_acknowledged(number),
                status @ (400 | 409 | 412 | 413 | 422) => {
                    let what = format!("valid configuration {number} is refused with {status}");
                    return self.recorder.report(Invariant::ConfigMonotonic, what);
                }
                _ => sleep(Duration::from_millis(150)).await,
            }
        }
    }

    fn on_acknowledged(&self, number: u64) {
        self.recorder.record_accepted();
        let now = self.recorder.now();
        self.state().accepted.push((now, number));
    }

    /// Puts two different configurations with the same number concurrently.
    pub async fn put_conflicting(&self) {
        let (number, one) = self.next_config(0);
        let other = {
            let mut state = self.state();
            let other = config_body(&state, 1);
            state.sent.entry(number).or_default().push(other.clone());
            other
        };
        tokio::join!(self.put(number, one), self.put(number, other));
    }

    /// Revokes a key and adds a new one.
    pub async fn rotate_key(&self) {
        let old = {
            let mut state = self.state();
            let old = state.keys.iter().find(|key| *key != STEADY_KEY).cloned();
            let new = format!("key-{}", state.number);
            state.keys.insert(new);
            old.inspect(|key| {
                state.keys.remove(key);
            })
        };
        self.put_next().await;
        if let Some(key) = old {
            let now = self.recorder.now();
            self.state().revoked.insert(key, now);
        }
    }

    /// Changes and reads the configuration until the task is aborted.
    pub async fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        loop {
            self.put_next().await;
            self.read_back(rng.random_range(0..self.control_client.controls.count()))
                .await;
            let (from, to) = CHANGE_PAUSE_MS;
            sleep(Duration::from_millis(rng.random_range(from..to))).await;
        }
    }

    /// Reads the configuration at one control host and checks it; returns whether the host answered.
    pub async fn read_back(&self, control: usize) -> bool {
        let requested_at = self.recorder.now();
        let Some(body) = self.control_client.read(control).await else {
            return false;
        };
        self.recorder.record_read_back();
        let state = self.state();
        let due = requested_at.saturating_sub(READ_DEADLINE);
        let accepted = state.accepted.iter().filter(|(at, _)| *at <= due);
        let newest = accepted.map(|(_, number)| *number).max().unwrap_or(0);
        let found = state.sent.iter().find(|(_, texts)| texts.contains(&body));
        let number = found.map(|(number, _)| *number);
        drop(state);
        match number {
            None => self.recorder.report(
                Invariant::ConfigMonotonic,
                format!("control {control} returns a configuration that no operator sent"),
            ),
            Some(number) if number < newest => self.recorder.report(
                Invariant::ConfigMonotonic,
                format!("control {control} returns configuration {number}, but {newest} was accepted before"),
            ),
            Some(_) => {}
        }
        true
    }
}

fn config_body(state: &OperatorState, variant: u32) -> String {
    let route = |name, prefix, kind, resumable, service, max_attempts| RouteConfig {
        name,
        prefix,
        kind,
        resumable,
        service,
        max_attempts,
        timeout_ms: 4_000,
    };
    let [plain, engine] = SERVICES;
    let mut routes = vec![
        route("once", "/once/", "unsafe", false, plain, 2),
        route("read", "/read/", "safe", false, plain, 2),
        route("stream", "/stream/", "streaming", true, engine, 3),
    ];
    if variant > 0 {
        // Makes the two configurations with one number differ.
        routes.push(route("other", "/other/", "safe", false, plain, 1));
    }
    let keys = state.keys.iter().cloned().collect();
    OperatorConfig {
        number: state.number,
        host: HOST,
        routes: &routes,
        plain_services: &[plain],
        engine_services: &[engine],
        accounts: &[(ACCOUNT, keys), (SLOW_ACCOUNT, vec![SLOW_KEY.to_owned()])],
    }
    .to_json()
}
