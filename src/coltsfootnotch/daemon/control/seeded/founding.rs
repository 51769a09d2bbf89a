//! When a group of control hosts that found each other is founded.
//!
//! A second group beside one that still remembers would forget what was acknowledged. So a host
//! founds only if it is the lowest seed that has a disk, its settings say that the whole fleet starts for the first
//! time, and every seed is connected, says the same, names the same seeds and holds no entry. A host
//! that lost its disk is started with other settings and never founds; it waits to be admitted.

use std::time::Duration;

use coltsfootnotch_consensus::MemberId;

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

/// Decides whether this host founds the group.
#[derive(Debug, Clone, Default)]
pub struct SeededFounding {
    holds_since: Option<Duration>,
}

impl SeededFounding {
    /// The members of the group to found now, the founder first, if this host is to found one.
    pub fn due<'a>(
        &mut self,
        now: Duration,
        own: Seen<'a>,
        others: impl IntoIterator<Item = Seen<'a>>,
    ) -> Option<Vec<MemberId>> {
        let Some(members) = founders(own, others) else {
            self.holds_since = None;
            return None;
        };
        let since = *self.holds_since.get_or_insert(now);
        (now >= since + FOUND_AFTER).then_some(members)
    }
}

fn founders<'a>(
    own: Seen<'a>,
    others: impl IntoIterator<Item = Seen<'a>>,
) -> Option<Vec<MemberId>> {
    let seeds = &own.hello.seeds;
    let all: Vec<_> = others.into_iter().chain([own]).collect();
    let mut found = Vec::new();
    for seed in seeds {
        let seen = all.iter().find(|s| s.hello.address == *seed)?;
        if !is_fresh(seen) || seen.hello.seeds != *seeds {
            return None;
        }
        // A seed without a disk has nothing to found with, but has to agree.
        if seen.hello.keeps_log {
            found.push(seen);
        }
    }
    let lowest = found.iter().map(|s| s.hello.address).min();
    let is_founder = lowest == Some(own.hello.address);
    is_founder.then(|| found.iter().map(|s| s.member.clone()).collect())
}

fn is_fresh(seen: &Seen<'_>) -> bool {
    seen.empty && seen.hello.first_start
}
