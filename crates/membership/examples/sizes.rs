//! Prints the message sizes of membership and of service sums for three fleet sizes.
//!
//! Run with `cargo run --release -p coltsfootnotch-membership --example sizes`. Sizes are
//! those of the encoded messages of this package, without transport overhead.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfootnotch_membership::prelude::*;
use coltsfootnotch_membership::{Epoch, ServiceBatches, SumsFeed, ViewFeed};
use coltsfootnotch_types::{
    AccountName, DomainName, HostName, Incarnation, NameError, PoolName, RegionName, Role,
    ServiceUnits, UpstreamName,
};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde::Serialize;

const DOMAINS: usize = 6;
const POOLS: usize = 20;
const SLOTS: usize = 16;
const SECONDS: u64 = 10;

/// One fleet size. `hosts` excludes relays; every fourth host is an entry.
struct Size {
    hosts: usize,
    accounts: usize,
    backlogged: usize,
}

struct Fleet {
    registries: Vec<Registry>,
    directory: Directory,
    heartbeats: Vec<Heartbeat>,
}

fn bytes(message: &impl Serialize) -> usize {
    postcard::to_stdvec(message).map_or(0, |b| b.len())
}

fn relay(n: usize) -> Result<RelayId, NameError> {
    Ok(RelayId {
        host: HostName::new(format!("control-{n}"))?,
        epoch: Epoch(17),
    })
}

fn heartbeat(n: usize) -> Result<Heartbeat, NameError> {
    let is_entry = n.is_multiple_of(4);
    let mut serves = Vec::new();
    for upstream in (0..2).filter(|_| !is_entry) {
        serves.push(ServedUpstream {
            pool: PoolName::new(format!("model-{:02}", (n * 2 + upstream) % POOLS))?,
            upstream: UpstreamName::new(format!("engine-{n:04}-{upstream}"))?,
            slots: 16,
            leaving: false,
        });
    }
    let profile = Profile {
        role: if is_entry { Role::Entry } else { Role::Sidecar },
        domain: domain(n % DOMAINS)?,
        region: RegionName::new("za-gauteng")?,
        addresses: vec![SocketAddr::from((Ipv4Addr::new(10, 0, 0, 7), 7_001))],
        serves,
    };
    Ok(Heartbeat {
        host: HostName::new(format!("host-{n:04}"))?,
        incarnation: Incarnation(0x0123_4567_89ab_cdef ^ n as u64),
        started: 1_796_000_000,
        attach: 1,
        seq: 100_000,
        config: 510,
        leaving: false,
        profile_version: 3,
        profile: Some(profile),
    })
}

fn domain(n: usize) -> Result<DomainName, NameError> {
    DomainName::new(format!("domain-{n}"))
}

impl Fleet {
    fn new(hosts: usize) -> Result<Self, NameError> {
        let mut registries = Vec::new();
        for n in 0..DOMAINS {
            registries.push(Registry::new(relay(n)?, Timing::DEFAULT, Duration::ZERO));
        }
        let mut fleet = Self {
            registries,
            directory: Directory::new(relay(0)?, &Timing::DEFAULT, Duration::ZERO),
            heartbeats: (0..hosts).map(heartbeat).collect::<Result<_, _>>()?,
        };
        for (n, hb) in fleet.heartbeats.iter().enumerate() {
            fleet.registries[n % DOMAINS].on_heartbeat(Duration::ZERO, hb);
        }
        for registry in &fleet.registries {
            fleet
                .directory
                .merge(Duration::ZERO, &registry.delta_since(0));
        }
        Ok(fleet)
    }

    fn feed(&self, n: usize) -> Result<ViewFeed, NameError> {
        let hb = &self.heartbeats[n];
        let role = if n.is_multiple_of(4) {
            Role::Entry
        } else {
            Role::Sidecar
        };
        Ok(ViewFeed::new(hb.host.clone(), domain(n % DOMAINS)?, role))
    }
}

fn membership(size: &Size, contacts: usize) -> Result<(), NameError> {
    let now = Duration::from_secs(10);
    let mut fleet = Fleet::new(size.hosts)?;
    fleet.directory.set_remote_contacts(contacts);
    // Host 0 is an entry and host 6 a sidecar of the same failure domain.
    let mut feed = fleet.feed(0)?;
    let full = feed.next(now, &fleet.directory);
    let in_entry = full.as_ref().map_or(0, |v| v.upserts.len());
    let sidecar = fleet.feed(6)?.next(now, &fleet.directory);
    let in_sidecar = sidecar.as_ref().map_or(0, |v| v.upserts.len());
    let summary = fleet.registries[0].delta_since(0);
    let before = fleet.registries[0].summary().version();
    let lost = fleet.heartbeats[6].clone();
    fleet.registries[0].mark_left(&lost.host, lost.incarnation);
    let removal = fleet.registries[0].delta_since(before);
    fleet.directory.merge(now, &removal);
    let removed = feed.next(now, &fleet.directory);
    let known_profile = Heartbeat {
        profile: None,
        ..lost.clone()
    };
    println!(
        "| {} | {contacts} | {} | {} | {} | {} | {} | {in_entry} | {} | {in_sidecar} | {} |",
        size.hosts,
        bytes(&known_profile),
        bytes(&lost),
        bytes(&summary),
        bytes(&removal),
        bytes(&full),
        removed.as_ref().map_or(0, bytes),
        bytes(&sidecar),
    );
    Ok(())
}

/// Prints the bytes per second of service sums. All slots of each sidecar run four-second requests
/// of backlogged accounts, and it subscribes to the accounts that wait in its two pools; every
/// account uses two pools.
fn sums(size: &Size, interval: u64) -> Result<(), NameError> {
    let mut rng = StdRng::seed_from_u64(7);
    let names: Vec<_> = (0..size.accounts)
        .map(|n| AccountName::new(format!("account-{n:05}")))
        .collect::<Result<_, _>>()?;
    let sidecars: Vec<_> = (0..size.hosts).filter(|n| !n.is_multiple_of(4)).collect();
    let mut relays = Vec::new();
    for n in 0..DOMAINS {
        relays.push(RelaySums::new(relay(n)?));
    }
    let mut hosts = Vec::new();
    for n in &sidecars {
        let mut feed = SumsFeed::default();
        let waits = |a: &&AccountName| a.as_str().bytes().map(usize::from).sum::<usize>() + n;
        let backlogged = names[..size.backlogged].iter();
        feed.subscribe(backlogged.filter(|a| waits(a) * 7 % POOLS < 4));
        let host = HostName::new(format!("host-{n:04}"))?;
        let batches = ServiceBatches::new(host, Incarnation(*n as u64 | 1 << 60));
        let slots: Vec<_> = (0..2 * SLOTS)
            .map(|_| rng.random_range(0..size.backlogged))
            .collect();
        hosts.push((n % DOMAINS, batches, feed, slots));
    }
    let (mut sent_up, mut sent_down, mut exchanged) = (0, 0, 0);
    for _ in 0..SECONDS * 1_000 / interval {
        for (domain, batches, _, slots) in &mut hosts {
            for slot in slots {
                if rng.random_range(0..4_000) < interval {
                    *slot = rng.random_range(0..size.backlogged);
                }
                batches.add(&names[*slot], ServiceUnits(interval * 30 / 1_000));
            }
            if let Some(batch) = batches.next() {
                sent_up += bytes(batch);
                let ack = relays[*domain].apply_batch(batch);
                batches.on_ack(ack);
            }
        }
        for from in 0..DOMAINS {
            let known = relays[(from + 1) % DOMAINS].known_version(&relay(from)?);
            let Some(delta) = relays[from].delta_since(known) else {
                continue;
            };
            exchanged += bytes(&delta) * (DOMAINS - 1);
            for to in (0..DOMAINS).filter(|to| *to != from) {
                relays[to].merge(&delta);
            }
        }
        for (domain, _, feed, _) in &mut hosts {
            sent_down += bytes(&feed.next(&relays[*domain]));
        }
    }
    let per_second = |total: usize, senders: usize| total as u64 / SECONDS / senders as u64;
    println!(
        "| {} | {} | {} | {interval} | {} | {} | {} | {} |",
        size.hosts,
        size.accounts,
        size.backlogged,
        per_second(sent_up, hosts.len()),
        per_second(sent_down, hosts.len()),
        per_second(exchanged, DOMAINS),
        per_second(sent_up + sent_down, DOMAINS) + 2 * per_second(exchanged, DOMAINS),
    );
    Ok(())
}

fn main() -> Result<(), NameError> {
    let sizes = [(41, 570, 57), (410, 5_700, 570), (4_100, 57_000, 5_700)];
    let sizes = sizes.map(|(hosts, accounts, backlogged)| Size {
        hosts,
        accounts,
        backlogged,
    });
    println!(
        "| hosts | remote contacts | heartbeat, B | with profile, B | summary of a domain, B \
         | delta of a lost host, B | view of an entry, B | contacts in it | its delta, B \
         | contacts of a sidecar | its view, B |"
    );
    println!("|---|---|---|---|---|---|---|---|---|---|---|");
    for size in &sizes {
        membership(size, 8)?;
        membership(size, 2)?;
    }
    println!(
        "\n| hosts | accounts | backlogged | interval, ms | sidecar up, B/s | sidecar down, B/s \
         | relay to the others, B/s | relay in and out, B/s |"
    );
    println!("|---|---|---|---|---|---|---|---|");
    for size in &sizes {
        sums(size, 500)?;
        if size.hosts == 410 {
            sums(size, 250)?;
            sums(size, 1_000)?;
        }
    }
    Ok(())
}
