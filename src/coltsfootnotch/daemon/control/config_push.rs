//! The configuration in force as it is sent to hosts: in full, or as a delta from an earlier one.
//!
//! A change is sent to every host of the failure domain at once. With 5,700 accounts a full body has
//! 1.1 MB, a delta of one account under 200 bytes. Each delta is computed once and shared by all hosts
//! with the same base.

use std::collections::{BTreeMap, VecDeque};
use std::sync::Arc;

use coltsfootnotch_manifest::{Manifest, ManifestDelta};
use coltsfootnotch_wire::{ConfigBody, FromRelay};

/// Number of earlier configurations kept as bases of deltas. Each takes some megabytes of memory with
/// 5,700 accounts.
const BASES: usize = 4;

/// The configuration in force and some earlier ones.
#[derive(Debug, Default)]
pub struct ConfigPush {
    body: Option<ConfigBody>,
    manifest: Option<Arc<Manifest>>,
    bases: VecDeque<Arc<Manifest>>,
    deltas: BTreeMap<u64, Vec<u8>>,
}

impl ConfigPush {
    /// Number of the configuration in force; zero without one.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.body.as_ref().map_or(0, |body| body.number)
    }

    /// The manifest in force, if this program can read it.
    #[must_use]
    pub fn manifest(&self) -> Option<&Arc<Manifest>> {
        self.manifest.as_ref()
    }

    /// Sets the configuration that has come into force.
    ///
    /// # Panics
    /// Panics when its number is not higher than the current one, since hosts would go back.
    pub fn accept(&mut self, body: ConfigBody) {
        assert!(
            body.number > self.number(),
            "configuration goes back from {} to {}",
            self.number(),
            body.number
        );
        self.bases.extend(self.manifest.take());
        while self.bases.len() > BASES {
            self.bases.pop_front();
        }
        self.manifest = Manifest::from_body(&body.body).ok().map(Arc::new);
        self.deltas.clear();
        self.body = Some(body);
    }

    /// The full configuration.
    #[must_use]
    pub fn full(&self) -> Option<FromRelay> {
        self.body.clone().map(FromRelay::Config)
    }

    /// The delta for a host that has the configuration `from` in force, if that base is kept.
    pub fn delta(&mut self, from: u64) -> Option<FromRelay> {
        if !self.deltas.contains_key(&from) {
            let base = self.bases.iter().find(|base| base.number == from)?;
            let delta = ManifestDelta::between(base, self.manifest.as_ref()?);
            self.deltas
                .insert(from, postcard::to_allocvec(&delta).ok()?);
        }
        let delta = self.deltas.get(&from)?.clone();
        let number = self.number();
        Some(FromRelay::ConfigDelta { number, delta })
    }
}
