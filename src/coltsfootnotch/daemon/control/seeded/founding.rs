//! When a group of control hosts that found each other is founded.
//!
//! A second group beside one that still remembers would forget what was acknowledged. So a host
//! founds only if it is the [founder](Membership::bootstrap_member) of the seeds that have a disk, its settings say
//! that the whole fleet starts for the first time, and every seed is connected, says the same, names the
//! same seeds and holds no entry. A host that lost its disk is started with other settings and never
//! founds; it waits to be admitted.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};
use derive_more::Display;

use super::SeededHello;

/// How long the conditions must hold: a host that was up before has shown by then that it holds
/// entries.
const FOUND_AFTER: Duration = Duration::from_millis(300);

/// A control host as a founder sees it.
#[derive(Debug, Clone, Copy)]
pub struct Seen<'a> {
    /// The member that it runs.
    pub member: &'a MemberId,
    /// Whether it holds no entry.
    pub empty: bool,
    /// What it says of itself.
    pub hello: &'a SeededHello,
}

/// Why a host founds no group now.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum NotFounding {
    /// A seed is not connected.
    #[display("the seed {_0} is not heard")]
    NotHeard(SocketAddr),
    /// A seed holds entries: there is a group, which has to admit this host.
    #[display("the seed {_0} holds entries of a group")]
    NotEmpty(SocketAddr),
    /// A seed joins a fleet that has started before.
    #[display("the seed {_0} does not start for the first time")]
    NotFirstStart(SocketAddr),
    /// A seed's settings name other seeds.
    #[display("the seed {_0} names other seeds")]
    OtherSeeds(SocketAddr),
    /// No seed has a disk to keep a log on.
    #[display("no seed has a disk")]
    NoDisk,
    /// Another host founds the group.
    #[display("{_0} founds it")]
    OtherFounder(MemberId),
    /// All seeds agree, but have not done so for long enough.
    #[display("all seeds have just agreed")]
    Settling,
}

/// Decides whether this host founds the group.
#[derive(Debug, Clone, Default)]
pub struct SeededFounding {
    holds_since: Option<Duration>,
}

impl SeededFounding {
    /// The members of the group, if this host is to found it now.
    ///
    /// # Errors
    /// Says why it is not.
    pub fn due<'a>(
        &mut self,
        now: Duration,
        own: Seen<'a>,
        others: impl IntoIterator<Item = Seen<'a>>,
    ) -> Result<Membership, NotFounding> {
        let members = match founders(own, others) {
            Ok(members) => members,
            Err(why) => {
                self.holds_since = None;
                return Err(why);
            }
        };
        let since = *self.holds_since.get_or_insert(now);
        if now < since + FOUND_AFTER {
            return Err(NotFounding::Settling);
        }
        Ok(members)
    }
}

fn founders<'a>(
    own: Seen<'a>,
    others: impl IntoIterator<Item = Seen<'a>>,
) -> Result<Membership, NotFounding> {
    let seeds = &own.hello.seeds;
    let all: Vec<_> = others.into_iter().chain([own]).collect();
    let mut keepers = Vec::new();
    for seed in seeds {
        let seen = all.iter().find(|s| s.hello.address == *seed);
        let seen = seen.ok_or(NotFounding::NotHeard(*seed))?;
        check_fresh(seen)?;
        if seen.hello.seeds != *seeds {
            return Err(NotFounding::OtherSeeds(*seed));
        }
        // A seed without a disk has nothing to found with, but has to agree.
        if seen.hello.keeps_log {
            keepers.push(seen.member.clone());
        }
    }
    let members = Membership::of(keepers);
    match members.bootstrap_member() {
        None => Err(NotFounding::NoDisk),
        Some(founder) if founder != own.member => Err(NotFounding::OtherFounder(founder.clone())),
        Some(_) => Ok(members),
    }
}

fn check_fresh(seen: &Seen<'_>) -> Result<(), NotFounding> {
    let seed = seen.hello.address;
    if !seen.empty {
        return Err(NotFounding::NotEmpty(seed));
    }
    if !seen.hello.first_start {
        return Err(NotFounding::NotFirstStart(seed));
    }
    Ok(())
}
