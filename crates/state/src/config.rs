//! The configuration in force and the digests of earlier ones.

use std::collections::BTreeMap;

use crate::{ApplyConfig, BodyDigest, ConfigReply};

/// Number of digests kept. A resent configuration older than these is answered as stale.
pub(crate) const MAX_HISTORY: usize = 4_096;

/// Maximum size of a manifest in bytes; 5,700 accounts take about a megabyte.
const MAX_BODY_BYTES: usize = 4 << 20;

/// An accepted configuration.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct AcceptedConfig {
    /// Its number.
    pub number: u64,
    /// Its digest.
    pub digest: BodyDigest,
    /// The manifest.
    pub body: Vec<u8>,
}

/// Accepted configurations; the one with the highest number is in force.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct ConfigState {
    pub(crate) in_force: Option<AcceptedConfig>,
    pub(crate) history: BTreeMap<u64, BodyDigest>,
}

impl ConfigState {
    /// The configuration in force, or `None` before the first was accepted.
    #[must_use]
    pub fn in_force(&self) -> Option<&AcceptedConfig> {
        self.in_force.as_ref()
    }

    /// The number in force; zero before the first was accepted.
    #[must_use]
    pub fn number(&self) -> u64 {
        self.in_force.as_ref().map_or(0, |c| c.number)
    }

    /// The digest accepted under `number`, unless it was dropped from the history.
    #[must_use]
    pub fn digest_of(&self, number: u64) -> Option<BodyDigest> {
        self.history.get(&number).copied()
    }

    /// The reply to `req` if the accepted configurations already decide it, so that a host need not
    /// propose it. `None` if `req` would be a new configuration.
    #[must_use]
    pub fn decided_reply(&self, req: &ApplyConfig) -> Option<ConfigReply> {
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
        if let Some(reply) = self.decided_reply(req) {
            return reply;
        }
        self.accept(req)
    }

    fn accept(&mut self, req: &ApplyConfig) -> ConfigReply {
        assert!(
            req.number > self.number(),
            "configuration number {} decreases to {}",
            self.number(),
            req.number
        );
        self.in_force = Some(AcceptedConfig {
            number: req.number,
            digest: req.digest,
            body: req.body.clone(),
        });
        self.history.insert(req.number, req.digest);
        while self.history.len() > MAX_HISTORY {
            self.history.pop_first();
        }
        ConfigReply::Accepted {
            number: req.number,
            digest: req.digest,
        }
    }
}
