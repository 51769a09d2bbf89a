//! Differences between two manifests, sent in place of a full manifest.
//!
//! Most changes touch one or a few accounts, while a manifest of 5,700 accounts takes over a
//! megabyte. A host that has the old manifest receives only what changed and verifies the result by
//! its digest.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    Account, Class, Digest, Ledger, MAX_BODY_BYTES, Manifest, Model, Service, WeightStore,
};

/// An error from decoding or applying a delta.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum DeltaError {
    /// The delta applies to another manifest.
    #[display("the delta applies to manifest {expected}, not to {found}")]
    BaseMismatch {
        /// Digest of the manifest that the delta applies to.
        expected: Digest,
        /// Digest of the given manifest.
        found: Digest,
    },
    /// The bytes are not a delta, or are longer than [`MAX_BODY_BYTES`].
    #[display("malformed manifest delta of {len} bytes")]
    Malformed {
        /// Length of the input, in bytes.
        len: usize,
    },
    /// The result differs from the sender's manifest.
    #[display("the delta results in manifest {found}, expected {expected}")]
    ResultMismatch {
        /// Digest of the sender's manifest.
        expected: Digest,
        /// Digest of the result.
        found: Digest,
    },
}

/// What changed in a list of named elements.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ListDelta<T> {
    /// Elements that are new or changed.
    pub upserted: Vec<T>,
    /// Names of elements that were removed.
    pub removed: Vec<String>,
}

impl<T: Clone + PartialEq> ListDelta<T> {
    fn between(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> Self {
        let position =
            |list: &[T], key: &str| list.binary_search_by(|element| name(element).cmp(key)).ok();
        let is_changed = |element: &&T| match position(old, name(element)) {
            Some(index) => old[index] != **element,
            None => true,
        };
        let is_removed = |element: &&T| position(new, name(element)).is_none();
        Self {
            upserted: new.iter().filter(is_changed).cloned().collect(),
            removed: old
                .iter()
                .filter(is_removed)
                .map(|element| name(element).to_owned())
                .collect(),
        }
    }

    fn apply(&self, old: &[T], name: impl Fn(&T) -> &str) -> Vec<T> {
        let is_replaced = |element: &T| {
            self.upserted
                .iter()
                .any(|upserted| name(upserted) == name(element))
        };
        let is_removed = |element: &T| self.removed.iter().any(|removed| removed == name(element));
        let unchanged = old
            .iter()
            .filter(|element| !is_replaced(element) && !is_removed(element));
        unchanged.chain(&self.upserted).cloned().collect()
    }
}

/// What changed from one manifest to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// Digest of the manifest that the delta applies to.
    pub from: Digest,
    /// Digest of the resulting manifest.
    pub to: Digest,
    /// Number of the resulting manifest.
    pub number: u64,
    /// Changed accounts.
    pub accounts: ListDelta<Account>,
    /// Changed classes.
    pub classes: ListDelta<Class>,
    /// Changed models.
    pub models: ListDelta<Model>,
    /// Changed services.
    pub services: ListDelta<Service>,
    /// Limits of the weight store in the new manifest.
    pub weight_store: WeightStore,
    /// Ledger settings of the new manifest.
    pub ledger: Ledger,
}

impl ManifestDelta {
    /// Computes the delta that turns `old` into `new`.
    ///
    /// ```
    /// use coltsfootnotch_manifest::{Manifest, ManifestDelta};
    /// let old = Manifest::parse("m.jsonc", "{ \"number\": 1, \"accounts\": [] }")?;
    /// let new = Manifest { number: 2, ..old.clone() };
    /// let delta = ManifestDelta::between(&old, &new);
    /// assert_eq!(delta.apply(&old).unwrap(), new);
    /// # Ok::<(), coltsfootnotch_manifest::Findings>(())
    /// ```
    #[must_use]
    pub fn between(old: &Manifest, new: &Manifest) -> Self {
        Self {
            from: old.digest(),
            to: new.digest(),
            number: new.number,
            accounts: ListDelta::between(&old.accounts, &new.accounts, |a| a.name.as_str()),
            classes: ListDelta::between(&old.classes, &new.classes, |c| &c.name),
            models: ListDelta::between(&old.models, &new.models, |m| m.name.as_str()),
            services: ListDelta::between(&old.services, &new.services, |s| s.name.as_str()),
            weight_store: new.weight_store,
            ledger: new.ledger,
        }
    }

    /// Encodes the delta in postcard.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("all types of a delta are supported by postcard")
    }

    /// Decodes a delta from postcard.
    ///
    /// # Errors
    /// Returns [`DeltaError::Malformed`] when the input is too long or not a delta; the receiver
    /// then requests the full manifest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DeltaError> {
        if bytes.len() > MAX_BODY_BYTES {
            return Err(DeltaError::Malformed { len: bytes.len() });
        }
        postcard::from_bytes(bytes).map_err(|_| DeltaError::Malformed { len: bytes.len() })
    }

    /// Applies the delta to `old` and returns the new manifest.
    ///
    /// # Errors
    /// Returns a [`DeltaError`] when the delta applies to a manifest other than `old`, or the
    /// result differs from the sender's manifest; the receiver then requests the full manifest.
    pub fn apply(&self, old: &Manifest) -> Result<Manifest, DeltaError> {
        let found = old.digest();
        if found != self.from {
            return Err(DeltaError::BaseMismatch {
                expected: self.from,
                found,
            });
        }
        let mut new = Manifest {
            number: self.number,
            accounts: self.accounts.apply(&old.accounts, |a| a.name.as_str()),
            classes: self.classes.apply(&old.classes, |c| &c.name),
            models: self.models.apply(&old.models, |m| m.name.as_str()),
            services: self.services.apply(&old.services, |s| s.name.as_str()),
            weight_store: self.weight_store,
            ledger: self.ledger,
        };
        new.sort();
        let found = new.digest();
        if found == self.to {
            Ok(new)
        } else {
            Err(DeltaError::ResultMismatch {
                expected: self.to,
                found,
            })
        }
    }
}
