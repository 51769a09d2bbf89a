//! The configuration in force as it is sent to forwarding entries: as a patch of the one that an entry
//! has.
//!
//! Entries are many, and a change of one route must not cost them the whole configuration, which has
//! hundreds of kilobytes. Each patch is computed once and shared by all entries with the same base.

use std::collections::{BTreeMap, VecDeque};

use coltsfootnotch_wire::{ConfigBody, FromRelay};

use crate::core::config_patch;

/// Most earlier configurations kept as bases. Entries are rarely more than one behind; with several
/// changes in a row some are.
const MAX_BASES: usize = 3;
/// Most bytes of earlier configurations; one is kept whatever its size.
const MAX_BASE_BYTES: usize = 4 << 20;

/// The configuration in force, some earlier ones, and the patches between them.
#[derive(Debug, Default)]
pub struct ConfigPatches {
    body: Option<ConfigBody>,
    /// Latest last.
    bases: VecDeque<ConfigBody>,
    /// By the number of the base; zero for the whole.
    patches: BTreeMap<u64, FromRelay>,
}

impl ConfigPatches {
    /// Sets the configuration that has come into force.
    pub fn accept(&mut self, body: ConfigBody) {
        self.bases.extend(self.body.take());
        let too_many = |bases: &VecDeque<ConfigBody>| {
            let bytes: usize = bases.iter().map(|base| base.body.len()).sum();
            bases.len() > MAX_BASES || (bases.len() > 1 && bytes > MAX_BASE_BYTES)
        };
        while too_many(&self.bases) {
            self.bases.pop_front();
        }
        self.patches.clear();
        self.body = Some(body);
    }

    /// The number of the configuration that entries can be sent; zero before the first.
    pub fn number(&self) -> u64 {
        self.body.as_ref().map_or(0, |body| body.number)
    }

    /// The message that brings an entry with configuration `from` up to date; without that base it
    /// holds the whole configuration. None if there is no configuration or `from` is not older.
    pub fn message(&mut self, from: u64) -> Option<FromRelay> {
        let body = self.body.as_ref().filter(|body| from < body.number)?;
        let base = self.bases.iter().find(|base| base.number == from);
        let base_number = base.map_or(0, |base| base.number);
        if let Some(message) = self.patches.get(&base_number) {
            return Some(message.clone());
        }
        let base_body = base.map_or(&[][..], |base| &base.body);
        let patch = config_patch::diff(base_body, &body.body)
            .inspect_err(|e| log::error!("configuration {} can't be compressed: {e}", body.number))
            .ok()?;
        let message = FromRelay::ConfigPatch {
            base: base_number,
            number: body.number,
            digest: body.digest,
            patch,
        };
        self.patches.insert(base_number, message.clone());
        Some(message)
    }
}
