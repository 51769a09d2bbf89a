//! Every upstream as this entry sees it.

use std::collections::BTreeMap;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_wire::{LoadWord, PartUse, UpstreamUse};

use super::{Part, UpstreamLoad};

/// Every upstream as this entry sees it, by identity and run.
#[derive(Debug, Clone, Default)]
pub struct UpstreamLoads {
    by_id: BTreeMap<Arc<str>, (u64, UpstreamLoad)>,
    read: Vec<PartUse>,
}

impl UpstreamLoads {
    /// The upstream's load; a later run starts with nothing, since it holds nothing of before.
    pub fn entry(&mut self, id: &Arc<str>, born_ms: u64) -> &mut UpstreamLoad {
        let (born, load) = self.by_id.entry(id.clone()).or_default();
        if *born != born_ms {
            *born = born_ms;
            *load = UpstreamLoad::default();
        }
        load
    }

    /// The run of the upstream, if it is still the one known.
    pub fn get_mut(&mut self, id: &str, born_ms: u64) -> Option<&mut UpstreamLoad> {
        let (born, load) = self.by_id.get_mut(id)?;
        (*born == born_ms).then_some(load)
    }

    /// The run of the upstream, if it is still the one known.
    #[must_use]
    pub fn get(&self, id: &str, born_ms: u64) -> Option<&UpstreamLoad> {
        let (born, load) = self.by_id.get(id)?;
        (*born == born_ms).then_some(load)
    }

    /// Notes the shared parts of a prompt that was sent, of which the upstream keeps `room` tokens.
    pub fn note_parts(&mut self, now: Duration, id: &Arc<str>, parts: &[Part], room: u64) {
        let Some((_, load)) = self.by_id.get_mut(id) else {
            return;
        };
        for part in parts {
            if load.kept.note(now, *part, room) {
                self.read.push(PartUse {
                    upstream: id.to_string(),
                    part: part.id,
                    tokens: part.tokens,
                });
            }
        }
    }

    /// Takes in what the other entries have sent and seen.
    pub fn take_others(&mut self, now: Duration, word: &LoadWord, room: impl Fn(&str) -> u64) {
        for (_, load) in self.by_id.values_mut() {
            load.clear_others();
        }
        for used in &word.upstreams {
            if let Some((_, load)) = self.by_id.get_mut(used.id.as_str()) {
                load.take_others(now, used);
            }
        }
        for read in &word.parts {
            if let Some((_, load)) = self.by_id.get_mut(read.upstream.as_str()) {
                let part = Part {
                    id: read.part,
                    tokens: read.tokens,
                };
                load.kept.note(now, part, room(&read.upstream));
            }
        }
    }

    /// What is to be reported; starts a new period.
    pub fn report(&mut self) -> (Vec<UpstreamUse>, Vec<PartUse>) {
        let all = self.by_id.iter_mut();
        let uses = all.filter_map(|(id, (_, load))| load.report(id)).collect();
        (uses, std::mem::take(&mut self.read))
    }

    /// Forgets upstreams that `keep` does not name and that have no request of this entry.
    pub fn retain(&mut self, keep: impl Fn(&str) -> bool) {
        self.by_id
            .retain(|id, (_, load)| keep(id) || load.own().running > 0);
    }
}
