//! Helpers shared by the tests.

use std::net::{Ipv4Addr, SocketAddr};
use std::time::Duration;

use coltsfootnotch_membership::{Epoch, Heartbeat, Profile, RelayId, ServedUpstream};
use coltsfootnotch_types::{
    AccountName, DomainName, HostName, Incarnation, PoolName, RegionName, Role, UpstreamName,
};
use proptest::test_runner::{Config, RngSeed};

/// Configuration with a fixed seed; `COLTSFOOTNOTCH_CASES` and `COLTSFOOTNOTCH_SEED` override the
/// number of cases and the seed.
pub(crate) fn randomised(cases: u32, seed: u64) -> Config {
    let number = |name| std::env::var(name).ok().and_then(|v| v.parse::<u64>().ok());
    let cases = number("COLTSFOOTNOTCH_CASES").map_or(cases, |n| u32::try_from(n).unwrap_or(cases));
    Config {
        cases,
        rng_seed: RngSeed::Fixed(number("COLTSFOOTNOTCH_SEED").unwrap_or(seed)),
        failure_persistence: None,
        ..Config::default()
    }
}

pub(crate) fn millis(n: u64) -> Duration {
    Duration::from_millis(n)
}

pub(crate) fn host(name: &str) -> HostName {
    HostName::new(name).expect("a valid name")
}

pub(crate) fn account(name: &str) -> AccountName {
    AccountName::new(name).expect("a valid name")
}

pub(crate) fn relay(name: &str, epoch: u64) -> RelayId {
    RelayId {
        host: host(name),
        epoch: Epoch(epoch),
    }
}

pub(crate) fn profile(role: Role, domain: &str, pools: &[&str]) -> Profile {
    let served = |pool: &&str| ServedUpstream {
        pool: PoolName::new(pool).expect("a valid name"),
        upstream: UpstreamName::new(format!("{pool}-upstream")).expect("a valid name"),
        slots: 16,
        leaving: false,
    };
    Profile {
        role,
        domain: DomainName::new(domain).expect("a valid name"),
        region: RegionName::new("lk-west").expect("a valid name"),
        addresses: vec![SocketAddr::from((Ipv4Addr::LOCALHOST, 7_000))],
        serves: pools.iter().map(served).collect(),
    }
}

/// Creates a heartbeat of a sidecar.
pub(crate) fn heartbeat(name: &str, incarnation: u64, seq: u64) -> Heartbeat {
    Heartbeat {
        host: host(name),
        incarnation: Incarnation(incarnation),
        started: incarnation,
        attach: 1,
        seq,
        config: 0,
        leaving: false,
        profile_version: 1,
        profile: Some(profile(Role::Sidecar, "jhb-north", &["menu-writer"])),
    }
}
