//! The configuration in force, and which ones were accepted before.

use std::collections::BTreeMap;

use crate::{ApplyConfig, BodyDigest, ConfigReply};

/// Digests that are remembered; an operator who resends a change older than 4,096 accepted ones is
/// told that it is stale rather than that it was accepted.
pub(crate) const HISTORY: usize = 4_096;

/// Largest manifest in bytes; 5,700 accounts take about a megabyte.
const MAX_BODY_BYTES: usize = 4 << 20;

/// The configuration in force.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Accepted {
    /// Its number.
    pub number: u64,
    /// Its digest.
    pub digest: BodyDigest,
    /// The manifest.
    pub body: Vec<u8>,
}

/// Configurations that were accepted. The highest number is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    pub(crate) in_force: Option<Accepted>,
    pub(crate) history: BTreeMap<u64, BodyDigest>,
}

impl ConfigState {
    /// The configuration in force, if any was ever accepted.
    #[must_use]
    pub fn in_force(&self) -> Option<&Accepted> {
        self.in_force.as_ref()
    }

    /// The number in force; zero when none was ever accepted.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |c| c.number)
    }

    /// The digest accepted under `number`, if it is still remembered.
    #[must_use]
    pub fn digest_of(&self, number: u64) -> Option<BodyDigest> {
        self.history.get(&number).copied()
    }

    /// The answer to `req` without any change, for a host that wants to know before it proposes.
    /// `None` when the log has to decide.
    #[must_use]
    pub fn known(&self, req: &ApplyConfig) -> Option<ConfigReply> {
        let (number, digest) = (req.number, req.digest);
        if let Some(accepted) = self.digest_of(number) {
            return Some(if accepted == digest {
                ConfigReply::Accepted { number, digest }
            } else {
                ConfigReply::Conflict { number, accepted }
            });
        }
        let accepted = self.number();
        (number <= accepted).then_some(ConfigReply::Stale { accepted })
    }

    pub(crate) fn apply(&mut self, req: &ApplyConfig) -> ConfigReply {
        if req.body.len() > MAX_BODY_BYTES {
            return ConfigReply::TooLarge {
                max_bytes: MAX_BODY_BYTES as u64,
            };
        }
        let found = BodyDigest::of(&req.body);
        if found != req.digest {
            return ConfigReply::DigestMismatch { found };
        }
        if let Some(reply) = self.known(req) {
            return reply;
        }
        self.accept(req)
    }

    fn accept(&mut self, req: &ApplyConfig) -> ConfigReply {
        assert!(
            req.number > self.number(),
            "configuration {} would go back to {}",
            self.number(),
            req.number
        );
        self.in_force = Some(Accepted {
            number: req.number,
            digest: req.digest,
            body: req.body.clone(),
        });
        self.history.insert(req.number, req.digest);
        while self.history.len() > HISTORY {
            self.history.pop_first();
        }
        ConfigReply::Accepted {
            number: req.number,
            digest: req.digest,
        }
    }
}
