//! Selection of the entries and sidecars of different failure domains that connect to each other.
//!
//! Within a failure domain every entry connects to every sidecar. Across domains the number is
//! bounded for each pool and domain, so that the state and connections of a host grow with its own
//! domain and not with the fleet. Entries choose by rendezvous hashing: their choices differ,
//! together they cover the sidecars, and the loss of a sidecar affects only the entries that chose
//! it.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_types::{DomainName, HostName, PoolName, Role};

use crate::{HostRecord, Presence, Profile};

/// Maximum number of sidecars that an entry connects to for each pool of each other failure domain.
pub const REMOTE_CONTACTS: usize = 8;

/// Sidecars of one pool in one failure domain, and whether each accepts new work for it.
type Candidates<'a> = BTreeMap<&'a HostName, bool>;

/// Pairs of an entry and a sidecar in different failure domains.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Selection {
    sidecars_of: BTreeMap<HostName, BTreeSet<HostName>>,
    entries_of: BTreeMap<HostName, BTreeSet<HostName>>,
}

impl Selection {
    /// Selects the pairs among `hosts`: up to `max` sidecars for each entry, pool and other domain.
    pub fn of<'a>(hosts: impl Iterator<Item = &'a HostRecord>, max: usize) -> Self {
        let mut entries = Vec::new();
        let mut by_domain_and_pool: BTreeMap<(&DomainName, &PoolName), Candidates<'_>> =
            BTreeMap::new();
        for (record, profile) in hosts.filter_map(listed) {
            match profile.role {
                Role::Entry => entries.push((&record.host, &profile.domain)),
                Role::Sidecar => {
                    for served in &profile.serves {
                        let key = (&profile.domain, &served.pool);
                        let is_active = record.presence == Presence::Present && !served.leaving;
                        let candidates = by_domain_and_pool.entry(key).or_default();
                        *candidates.entry(&record.host).or_default() |= is_active;
                    }
                }
                Role::Control | Role::Operator => {}
            }
        }
        let mut selection = Self::default();
        for (entry, domain) in entries {
            for ((remote, _), sidecars) in &by_domain_and_pool {
                if *remote != domain {
                    selection.choose(entry, sidecars, max);
                }
            }
        }
        selection
    }

    /// Chooses the best-ranked active sidecars of an entry. Leaving ones that rank among them are
    /// kept in addition, so that the entry is notified and can finish its requests there.
    fn choose(&mut self, entry: &HostName, sidecars: &Candidates<'_>, max: usize) {
        let mut ranked: Vec<_> = sidecars
            .iter()
            .map(|(s, is_active)| (score(entry, s), *s, *is_active))
            .collect();
        ranked.sort_unstable();
        let mut active = 0;
        for (_, sidecar, is_active) in ranked {
            if active == max {
                break;
            }
            active += usize::from(is_active);
            let of_entry = self.sidecars_of.entry(entry.clone()).or_default();
            of_entry.insert(sidecar.clone());
            let of_sidecar = self.entries_of.entry(sidecar.clone()).or_default();
            of_sidecar.insert(entry.clone());
        }
    }

    /// The contacts of `host` in other failure domains.
    pub fn remote(&self, host: &HostName) -> impl Iterator<Item = &HostName> {
        let sidecars = self.sidecars_of.get(host).into_iter().flatten();
        sidecars.chain(self.entries_of.get(host).into_iter().flatten())
    }
}

fn listed(record: &HostRecord) -> Option<(&HostRecord, &Profile)> {
    let profile = record.profile.as_ref()?;
    (record.presence != Presence::Gone).then_some((record, profile))
}

/// Rendezvous score of a sidecar for an entry; lower is better. Uses FNV-1a, since the standard
/// library's hash may differ between builds and all relays must agree.
fn score(entry: &HostName, sidecar: &HostName) -> u64 {
    let bytes = entry
        .as_str()
        .bytes()
        .chain([0])
        .chain(sidecar.as_str().bytes());
    let hash = bytes.fold(0xcbf2_9ce4_8422_2325, |h: u64, b| {
        (h ^ u64::from(b)).wrapping_mul(0x0100_0000_01b3)
    });
    // The last bytes of a name affect only the low bits of the hash; mixing spreads them.
    let folded = (hash ^ (hash >> 32)).wrapping_mul(0x9e37_79b9_7f4a_7c15);
    folded ^ (folded >> 29)
}
