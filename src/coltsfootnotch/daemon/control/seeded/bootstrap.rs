//! Bootstrap of a control group whose members discover each other.
//!
//! A second group beside an existing one would lose acknowledged state. A host therefore bootstraps only
//! if it is the [bootstrap member](Membership::bootstrap_member) of the seeds that have a disk, and every seed is
//! connected, has an empty log, the same seeds and settings for the first start of the fleet. A host that
//! lost its disk is started without that setting and waits to be admitted.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_consensus::{MemberId, Membership};
use derive_more::Display;

use super::SeededHello;

/// How long the conditions must hold, so that hosts that are already up have reported whether their logs
/// are empty.
const BOOTSTRAP_DELAY: Duration = Duration::from_millis(300);

/// The reported state of a control host.
#[derive(Debug, Clone, Copy)]
pub struct ObservedHost<'a> {
    /// The member running on it.
    pub member: &'a MemberId,
    /// Whether its log is empty.
    pub empty: bool,
    /// Its discovery state.
    pub hello: &'a SeededHello,
}

/// Why a host doesn't bootstrap a group now.
#[derive(Debug, Clone, PartialEq, Eq, Display)]
pub enum BootstrapBlocked {
    /// A seed is not connected.
    #[display("the seed {_0} is not connected")]
    NotConnected(SocketAddr),
    /// A seed has log entries: a group exists and has to admit this host.
    #[display("the seed {_0} already belongs to a group")]
    NotEmpty(SocketAddr),
    /// A seed's settings are not those of the first start of the fleet.
    #[display("the settings of the seed {_0} are not for the first start of the fleet")]
    NotFirstStart(SocketAddr),
    /// A seed has other seeds in its settings.
    #[display("the seed {_0} has other seeds in its settings")]
    OtherSeeds(SocketAddr),
    /// No seed has a disk for the log.
    #[display("no seed has a disk")]
    NoDisk,
    /// Another host bootstraps the group.
    #[display("{_0} has to bootstrap the group")]
    OtherMember(MemberId),
    /// All conditions hold, but not for long enough.
    #[display("all seeds have only just agreed")]
    TooRecent,
}

/// Decides whether this host bootstraps the group.
#[derive(Debug, Clone, Default)]
pub struct SeededBootstrap {
    ready_since: Option<Duration>,
}

impl SeededBootstrap {
    /// The members of the new group, if this host has to bootstrap it now.
    ///
    /// # Errors
    /// Returns the condition that is not met.
    pub fn due<'a>(
        &mut self,
        now: Duration,
        local: ObservedHost<'a>,
        peers: impl IntoIterator<Item = ObservedHost<'a>>,
    ) -> Result<Membership, BootstrapBlocked> {
        let members = match bootstrap_members(local, peers) {
            Ok(members) => members,
            Err(why) => {
                self.ready_since = None;
                return Err(why);
            }
        };
        let since = *self.ready_since.get_or_insert(now);
        if now < since + BOOTSTRAP_DELAY {
            return Err(BootstrapBlocked::TooRecent);
        }
        Ok(members)
    }
}

fn bootstrap_members<'a>(
    local: ObservedHost<'a>,
    peers: impl IntoIterator<Item = ObservedHost<'a>>,
) -> Result<Membership, BootstrapBlocked> {
    let seeds = &local.hello.seeds;
    let all: Vec<_> = peers.into_iter().chain([local]).collect();
    let mut log_hosts = Vec::new();
    for seed in seeds {
        let observed = all.iter().find(|s| s.hello.address == *seed);
        let observed = observed.ok_or(BootstrapBlocked::NotConnected(*seed))?;
        check_fresh(observed)?;
        if observed.hello.seeds != *seeds {
            return Err(BootstrapBlocked::OtherSeeds(*seed));
        }
        // A seed without a disk is not a member, but its settings have to agree.
        if observed.hello.has_log {
            log_hosts.push(observed.member.clone());
        }
    }
    let members = Membership::of(log_hosts);
    match members.bootstrap_member() {
        None => Err(BootstrapBlocked::NoDisk),
        Some(bootstrap_member) if bootstrap_member != local.member => {
            Err(BootstrapBlocked::OtherMember(bootstrap_member.clone()))
        }
        Some(_) => Ok(members),
    }
}

fn check_fresh(observed: &ObservedHost<'_>) -> Result<(), BootstrapBlocked> {
    let seed = observed.hello.address;
    if !observed.empty {
        return Err(BootstrapBlocked::NotEmpty(seed));
    }
    if !observed.hello.first_start {
        return Err(BootstrapBlocked::NotFirstStart(seed));
    }
    Ok(())
}
