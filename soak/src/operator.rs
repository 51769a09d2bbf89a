//! Operators: they put configurations, race each other, take keys away and read back.

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

use crate::book::{Book, Promise};
use crate::controls::Controls;
use crate::fleet::{Addresses, REVOKE_MS};

/// Host of all routes.
pub const HOST: &str = "a.example";
/// Services, in the turn of the upstreams.
pub const SERVICES: [&str; 2] = ["desk", "writer"];
/// Name of the client account whose keys change.
const ACCOUNT: &str = "group";
/// The key that is never taken away.
pub const STEADY_KEY: &str = "key-steady";

/// Time for one call.
const CALL_TIMEOUT: Duration = Duration::from_secs(1);
/// Between two changes.
const CHANGE_EVERY: (u64, u64) = (200, 900);
/// After an acknowledgement, until every control host that answers a read must know it.
const READ_DEADLINE: Duration = Duration::from_millis(2_000);
/// How long an acknowledged change of keys may take, with what a request in progress may take.
const REVOKED_WITHIN: Duration = Duration::from_millis(REVOKE_MS);

/// Calls to control hosts, as operators and upstreams make them: any host, the next on a failure.
#[derive(Debug, Clone)]
pub struct Calls {
    agent: ureq::Agent,
    addresses: Addresses,
    controls: Controls,
}

impl Calls {
    /// Calls to the control hosts of a fleet.
    #[must_use]
    pub fn new(addresses: Addresses, controls: Controls) -> Self {
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
        self.addresses.operators(self.controls.place(control))
    }

    /// Posts to some control host; the status, zero where none came.
    pub async fn post(&self, path: &str, body: String) -> u16 {
        self.post_at(rand::random_range(0..self.controls.count()), path, body)
            .await
    }

    /// Posts to one control host.
    pub async fn post_at(&self, control: usize, path: &str, body: String) -> u16 {
        let url = format!("http://{}{path}", self.address(control));
        let agent = self.agent.clone();
        let call = move || {
            let sent = agent.post(&url).content_type("application/json").send(body);
            sent.map_or(0, |answer| answer.status().as_u16())
        };
        tokio::task::spawn_blocking(call).await.unwrap_or(0)
    }

    /// What one control host reads back.
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
struct Desk {
    number: u64,
    keys: BTreeSet<String>,
    /// Keys that were taken away, with when that was acknowledged.
    revoked: BTreeMap<String, Duration>,
    /// What was sent under each number: one text, or two that raced.
    sent: BTreeMap<u64, Vec<String>>,
    /// Acknowledged numbers, with when.
    accepted: Vec<(Duration, u64)>,
}

/// The operators' desk. Clones share it.
#[derive(Debug, Clone)]
pub struct Operator {
    calls: Calls,
    book: Book,
    desk: Arc<Mutex<Desk>>,
}

impl Operator {
    /// A desk that has put nothing yet.
    #[must_use]
    pub fn new(calls: Calls, book: Book) -> Self {
        let desk = Desk {
            keys: [STEADY_KEY, "key-0"].map(String::from).into(),
            ..Desk::default()
        };
        Self {
            calls,
            book,
            desk: Arc::new(Mutex::new(desk)),
        }
    }

    fn desk(&self) -> MutexGuard<'_, Desk> {
        self.desk.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// A key that clients may use, by lot; sometimes one that was taken away.
    #[must_use]
    pub fn any_key(&self, rng: &mut StdRng) -> String {
        let desk = self.desk();
        let all: Vec<&String> = desk.keys.iter().chain(desk.revoked.keys()).collect();
        match rng.random_range(0..10) {
            0 => all[rng.random_range(0..all.len())].clone(),
            _ => STEADY_KEY.to_owned(),
        }
    }

    /// Whether a request sent at `sent` with the key must not run any more.
    #[must_use]
    pub fn is_revoked(&self, key: &str, sent: Duration) -> bool {
        let desk = self.desk();
        let revoked = desk.revoked.get(key);
        revoked.is_some_and(|acknowledged| sent > *acknowledged + REVOKED_WITHIN)
    }

    /// A new number with its text.
    fn next(&self, mark: u32) -> (u64, String) {
        let mut desk = self.desk();
        desk.number += 1 + u64::from(mark % 3);
        let (number, text) = (desk.number, text(&desk, mark));
        desk.sent.entry(number).or_default().push(text.clone());
        (number, text)
    }

    /// Puts a configuration until it is acknowledged.
    pub async fn change(&self) {
        let (number, text) = self.next(0);
        self.put(number, text).await;
    }

    async fn put(&self, number: u64, text: String) {
        // Every control host may be down for seconds; the order is sent again until one answers.
        loop {
            match self.calls.post(CONFIG_PUT_PATH, text.clone()).await {
                200 => return self.acknowledged(number),
                status @ (400 | 409 | 412 | 413 | 422) => {
                    let what = format!("number {number}, which is valid, is refused with {status}");
                    return self.book.find(Promise::ConfigKept, what);
                }
                _ => sleep(Duration::from_millis(150)).await,
            }
        }
    }

    fn acknowledged(&self, number: u64) {
        self.book.accepted();
        let now = self.book.now();
        self.desk().accepted.push((now, number));
    }

    /// Two operators put different texts under one number, at once.
    pub async fn race(&self) {
        let (number, one) = self.next(0);
        let other = {
            let mut desk = self.desk();
            let other = text(&desk, 1);
            desk.sent.entry(number).or_default().push(other.clone());
            other
        };
        tokio::join!(self.put(number, one), self.put(number, other));
    }

    /// Takes a key away and gives another.
    pub async fn revoke(&self) {
        let gone = {
            let mut desk = self.desk();
            let gone = desk.keys.iter().find(|key| *key != STEADY_KEY).cloned();
            let fresh = format!("key-{}", desk.number);
            desk.keys.insert(fresh);
            gone.inspect(|key| {
                desk.keys.remove(key);
            })
        };
        self.change().await;
        if let Some(key) = gone {
            let now = self.book.now();
            self.desk().revoked.insert(key, now);
        }
    }

    /// Changes the configuration and reads it back again and again.
    pub async fn work(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        loop {
            self.change().await;
            self.read_back(rng.random_range(0..self.calls.controls.count()))
                .await;
            let (from, to) = CHANGE_EVERY;
            sleep(Duration::from_millis(rng.random_range(from..to))).await;
        }
    }

    /// Reads back at one control host, and judges what it says; whether it said anything.
    pub async fn read_back(&self, control: usize) -> bool {
        let asked = self.book.now();
        let Some(body) = self.calls.read(control).await else {
            return false;
        };
        self.book.read_back();
        let desk = self.desk();
        let due = asked.saturating_sub(READ_DEADLINE);
        let accepted = desk.accepted.iter().filter(|(at, _)| *at <= due);
        let newest = accepted.map(|(_, number)| *number).max().unwrap_or(0);
        let found = desk.sent.iter().find(|(_, texts)| texts.contains(&body));
        let number = found.map(|(number, _)| *number);
        drop(desk);
        match number {
            None => self.book.find(
                Promise::ConfigKept,
                format!("control {control} reads back what nobody sent"),
            ),
            Some(number) if number < newest => self.book.find(
                Promise::ConfigKept,
                format!("control {control} reads back {number}, {newest} was accepted before"),
            ),
            Some(_) => {}
        }
        true
    }
}

fn text(desk: &Desk, mark: u32) -> String {
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
    if mark > 0 {
        // What tells two texts under one number apart.
        routes.push(route("other", "/other/", "safe", false, plain, 1));
    }
    let keys = desk.keys.iter().cloned().collect();
    OperatorConfig {
        number: desk.number,
        host: HOST,
        routes: &routes,
        plain_services: &[plain],
        engine_services: &[engine],
        accounts: &[(ACCOUNT, keys)],
    }
    .to_json()
}
