//! Floods that begin and end at any time, and reach single entries.

use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_forward::place::Prompt;
use googletest::prelude::*;
use rand::rngs::StdRng;
use rand::seq::IndexedRandom;
use rand::{Rng, SeedableRng};

use super::fair_rule::{Second, Unfair, unfair};
use super::fleet::{Fleet, Outcomes, Setup, TARGET};
use super::reader::{Read, Reader, Unread};

const DOMAINS: usize = 3;
const SECONDS: usize = 14;
/// Prompts of the three kinds of requests.
const TOKENS: [u32; 3] = [543, 1_800, 2_890];
const MEAN_UNITS: f64 = 1_744.0;
/// Interval of the entries' measurements of their delay.
const OBSERVE_MS: u64 = 100;

/// An account and its callers.
struct Account {
    name: Arc<str>,
    /// Requests per second outside of its flood.
    usual_per_s: f64,
    /// Factor of its requests in its flood, and when that begins and ends.
    flood: f64,
    from: Duration,
    to: Duration,
    /// Hashes by which the balancer of each domain assigns its callers to entries.
    callers: Vec<(usize, u64)>,
}

impl Account {
    fn draw(n: usize, even_per_s: f64, rng: &mut StdRng) -> Self {
        let is_flood = rng.random_bool(0.3);
        let from = Duration::from_millis(rng.random_range(0..6_000));
        let caller = |rng: &mut StdRng| (rng.random_range(0..DOMAINS), rng.random());
        // The callers of some accounts are one client, those of others a whole fleet.
        let callers = [1, 2, 8, 32].choose(rng).copied().unwrap_or(1);
        Self {
            name: format!("account-{n}").into(),
            usual_per_s: even_per_s * rng.random_range(0.1..0.9),
            flood: if is_flood {
                rng.random_range(3.0..12.0)
            } else {
                1.0
            },
            from,
            to: from + Duration::from_millis(rng.random_range(6_500..8_000)),
            callers: (0..callers).map(|_| caller(rng)).collect(),
        }
    }

    fn per_s(&self, now: Duration) -> f64 {
        if (self.from..self.to).contains(&now) {
            self.usual_per_s * self.flood
        } else {
            self.usual_per_s
        }
    }
}

/// Entries with shares of a core, and the accounts whose callers reach them.
struct Crowd {
    fleet: Fleet,
    readers: Vec<Reader>,
    accounts: Vec<Account>,
    outcomes: Vec<Outcomes>,
    seconds: Vec<Vec<Second>>,
    rng: StdRng,
}

impl Crowd {
    /// Draws a fleet and its accounts. `strongest` are the cores of the first entry of each domain; the
    /// others have one of `cores`.
    fn draw(seed: u64, strongest: f64, cores: &[f64]) -> Self {
        let mut rng = StdRng::seed_from_u64(seed);
        let engines = rng.random_range(8..16);
        let entries = DOMAINS * rng.random_range(3..6);
        let fleet = Fleet::new(Setup {
            entries,
            engines,
            tokens_per_ms: 60.0,
            stated_share: 0.9,
            memory_tokens: 300_000,
            copy_rate: None,
            target: TARGET,
            period_ms: 100,
            prompt: |_, _| unreachable!("prompts are drawn here"),
        });
        let accounts = rng.random_range(8..20);
        let even_per_s = fleet.capacity() / accounts as f64 / MEAN_UNITS;
        let accounts: Vec<_> = (0..accounts)
            .map(|n| Account::draw(n, even_per_s, &mut rng))
            .collect();
        let reader = |n: usize, rng: &mut StdRng| {
            let drawn = cores[rng.random_range(0..cores.len())];
            Reader::new(if n < DOMAINS { strongest } else { drawn })
        };
        Self {
            readers: (0..entries).map(|n| reader(n, &mut rng)).collect(),
            outcomes: vec![Outcomes::default(); accounts.len()],
            seconds: vec![vec![Second::default(); SECONDS]; accounts.len()],
            fleet,
            accounts,
            rng,
        }
    }

    /// Simulates the whole time; returns the accounts that got too little.
    fn run(mut self) -> Vec<Unfair> {
        for _ in 0..SECONDS * 1_000 - 1 {
            self.fleet.step(&mut self.outcomes);
            self.observe();
            self.arrive();
            for entry in 0..self.readers.len() {
                self.read(entry);
            }
        }
        unfair(&self.seconds, TOKENS[2].into())
    }

    fn second(&mut self, account: usize) -> &mut Second {
        let second = self.fleet.now().as_secs() as usize;
        &mut self.seconds[account][second]
    }

    fn observe(&mut self) {
        let now = self.fleet.now();
        if !(now.as_millis() as u64).is_multiple_of(OBSERVE_MS) {
            return;
        }
        for entry in 0..self.readers.len() {
            let ratio = self.fleet.load_ratio(entry);
            let has_neighbours = self.neighbours(entry).next().is_some();
            self.readers[entry].observe(now, ratio, has_neighbours);
        }
    }

    /// The entries of the same domain that take connections over.
    fn neighbours(&self, entry: usize) -> impl Iterator<Item = usize> {
        let now = self.fleet.now();
        let readers = self.readers.iter().enumerate();
        let near = readers.filter(move |(n, _)| *n != entry && n % DOMAINS == entry % DOMAINS);
        near.filter(move |(_, r)| r.accepts_handover(now))
            .map(|(n, _)| n)
    }

    /// The entry to which the balancer of a domain sends a caller.
    fn balance(&self, domain: usize, hash: u64) -> usize {
        let now = self.fleet.now();
        let of_domain = (domain..self.readers.len()).step_by(DOMAINS);
        let in_rotation: Vec<_> = of_domain
            .clone()
            .filter(|n| self.readers[*n].is_in_rotation(now))
            .collect();
        let all: Vec<_> = of_domain.collect();
        // With less than half in rotation a balancer uses them all.
        let used = if in_rotation.len() * 2 < all.len() {
            all
        } else {
            in_rotation
        };
        used[(hash % used.len() as u64) as usize]
    }

    fn arrive(&mut self) {
        let now = self.fleet.now();
        for account in 0..self.accounts.len() {
            let mut due = self.accounts[account].per_s(now) / 1e3;
            while due > 0.0 {
                if self.rng.random_bool(due.min(1.0)) {
                    self.send(account);
                }
                due -= 1.0;
            }
        }
    }

    fn send(&mut self, account: usize) {
        let callers = self.accounts[account].callers.choose(&mut self.rng);
        let (domain, hash) = callers.copied().unwrap_or_default();
        let tokens = TOKENS.choose(&mut self.rng).copied().unwrap_or(TOKENS[0]);
        let prompt = Prompt {
            tokens,
            output_tokens: 0,
            shared: Vec::new(),
        };
        self.second(account).asked += prompt.service_units();
        let entry = self.balance(domain, hash);
        let unread = Unread {
            arrived_at: self.fleet.now(),
            account,
            prompt,
            is_handed_over: false,
        };
        if self.readers[entry].add(unread).is_some() {
            self.second(account).waited = true;
        }
    }

    fn read(&mut self, entry: usize) {
        let now = self.fleet.now();
        while self.readers[entry].can_read(now) {
            let neighbours: Vec<_> = self.neighbours(entry).collect();
            let neighbour = neighbours.choose(&mut self.rng).copied();
            let can_hand_over = neighbour.is_some();
            let draws = [self.rng.random(), self.rng.random()];
            let mut left = Vec::new();
            let read = self.readers[entry].read(now, can_hand_over, draws, |unread| {
                left.push(unread.account);
            });
            for account in left {
                self.second(account).waited = true;
            }
            let Some(read) = read else {
                return;
            };
            match (read, neighbour) {
                (Read::HandOver(mut unread), Some(neighbour)) => {
                    unread.is_handed_over = true;
                    if let Some(lost) = self.readers[neighbour].add(unread) {
                        self.second(lost.account).waited = true;
                    }
                }
                (Read::RefuseUnread(unread) | Read::HandOver(unread), _) => {
                    self.second(unread.account).waited = true;
                }
                (Read::Serve(unread), _) => self.serve(entry, unread),
            }
        }
    }

    fn serve(&mut self, entry: usize, unread: Unread) {
        let account = unread.account;
        let name = self.accounts[account].name.clone();
        let outcomes = &mut self.outcomes[account];
        let before = outcomes.clone();
        self.fleet
            .receive(entry, account, &name, unread.prompt, outcomes);
        let got = outcomes.units - before.units;
        let waited = outcomes.refused > before.refused || outcomes.late > before.late;
        let second = self.second(account);
        second.got += got;
        second.waited |= waited;
    }
}

/// The first account that got too little with each seed.
fn unfair_by_seed(
    seeds: impl IntoIterator<Item = u64>,
    strongest: f64,
    cores: &[f64],
) -> Vec<String> {
    let run = |seed| {
        let found = Crowd::draw(seed, strongest, cores).run();
        found.first().map(|first| format!("seed {seed}: {first}"))
    };
    seeds.into_iter().filter_map(run).collect()
}

/// Cores of an entry that reads whatever reaches it.
const STRONG: f64 = 4.0;
/// Cores of the first entry of each domain, and of the others, as in the deployments.
const FIRST: f64 = 0.45;
const WEAK: [f64; 2] = [0.063, 0.13];

/// Guards against a flood that gets less than half of another: what an account had asked for over two seconds told
/// neither that its flood had begun nor that it had ended, so that each new flood got several times its share for most
/// of a second, and the earlier ones were refused meanwhile.
#[googletest::test]
fn no_flood_gets_less_than_half_of_one_that_begins_later() {
    let failed = [171, 177, 186, 218, 231, 274, 450, 513, 552, 595];
    let seeds = (0..4).chain(failed);
    expect_that!(unfair_by_seed(seeds, STRONG, &[STRONG]), is_empty());
}

/// Guards against an account that is refused for what it got while nobody else asked for it: its usage counted as a
/// debt once others began to flood.
#[googletest::test]
fn an_account_that_used_idle_engines_gets_its_share_when_others_begin_to_flood() {
    let failed = [712, 1412, 1421, 1503, 1595];
    expect_that!(unfair_by_seed(failed, STRONG, &[STRONG]), is_empty());
}

/// Guards against an account that is refused unread: all its callers reach one entry, which can't read them, whoever
/// they are, while engines are idle. The seeds fail where that entry hands no connections over.
#[googletest::test]
fn an_account_whose_callers_crowd_one_entry_gets_its_share() {
    let failed = [10, 66, 374, 452, 552];
    expect_that!(unfair_by_seed(failed, FIRST, &WEAK), is_empty());
}

/// The same where its entry is too busy with handing over, or other floods begin meanwhile.
#[googletest::test]
fn an_account_whose_callers_crowd_one_entry_gets_its_share_beside_other_floods() {
    let failed = [162, 172, 592];
    expect_that!(unfair_by_seed(failed, FIRST, &WEAK), is_empty());
}
