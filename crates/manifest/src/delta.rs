//! The difference of two manifests, sent in place of the whole.
//!
//! 510 changes a day each touch one or a few accounts; a whole manifest of 5,700 accounts is over a
//! megabyte. A host that has the old manifest gets what changed and proves by the digest that it now
//! has the new one.

use derive_more::{Display, Error};
use serde::{Deserialize, Serialize};

use crate::{
    Account, Class, Digest, Ledger, MAX_BODY_BYTES, Manifest, Model, Service, WeightStore,
};

/// Why a delta does not apply.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
pub enum DeltaError {
    /// The delta starts from another manifest.
    #[display("a delta starts from {expected}, not from {found}")]
    OtherBase {
        /// Digest the delta starts from.
        expected: Digest,
        /// Digest of the manifest at hand.
        found: Digest,
    },
    /// The bytes are no delta, or longer than a whole manifest may be.
    #[display("{len} bytes are not a delta")]
    Bytes {
        /// Length found, in bytes.
        len: usize,
    },
    /// The result is not the manifest that the sender has.
    #[display("a delta gives {found} in place of {expected}")]
    OtherResult {
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
    pub put: Vec<T>,
    /// Names of elements that are gone.
    pub removed: Vec<String>,
}

impl<T: Clone + PartialEq> ListDelta<T> {
    fn between(old: &[T], new: &[T], name: impl Fn(&T) -> &str) -> Self {
        let position = |list: &[T], wanted: &str| {
            list.binary_search_by(|element| name(element).cmp(wanted))
                .ok()
        };
        let changed = |element: &&T| match position(old, name(element)) {
            Some(at) => old[at] != **element,
            None => true,
        };
        let gone = |element: &&T| position(new, name(element)).is_none();
        Self {
            put: new.iter().filter(changed).cloned().collect(),
            removed: old
                .iter()
                .filter(gone)
                .map(|element| name(element).to_owned())
                .collect(),
        }
    }

    fn apply(&self, old: &[T], name: impl Fn(&T) -> &str) -> Vec<T> {
        let replaced = |element: &T| self.put.iter().any(|put| name(put) == name(element));
        let removed = |element: &T| self.removed.iter().any(|gone| gone == name(element));
        let kept = old
            .iter()
            .filter(|element| !replaced(element) && !removed(element));
        kept.chain(&self.put).cloned().collect()
    }
}

/// What changed from one manifest to the next.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct ManifestDelta {
    /// Digest of the manifest it starts from.
    pub from: Digest,
    /// Digest of the manifest it gives.
    pub to: Digest,
    /// Number of the manifest it gives.
    pub number: u64,
    /// Accounts.
    pub accounts: ListDelta<Account>,
    /// Classes.
    pub classes: ListDelta<Class>,
    /// Models.
    pub models: ListDelta<Model>,
    /// Services.
    pub services: ListDelta<Service>,
    /// The store of model weights, as it is in the new manifest.
    pub weight_store: WeightStore,
    /// The ledger, as it is in the new manifest.
    pub ledger: Ledger,
}

impl ManifestDelta {
    /// The delta that turns `old` into `new`.
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

    /// The bytes in which the delta travels.
    #[must_use]
    pub fn to_bytes(&self) -> Vec<u8> {
        postcard::to_allocvec(self).expect("a delta has no type that postcard refuses")
    }

    /// Reads the bytes in which a delta travelled.
    ///
    /// # Errors
    /// Returns [`DeltaError::Bytes`] when the bytes are too many or not a delta; the receiver then asks
    /// for the whole manifest.
    pub fn from_bytes(bytes: &[u8]) -> Result<Self, DeltaError> {
        if bytes.len() > MAX_BODY_BYTES {
            return Err(DeltaError::Bytes { len: bytes.len() });
        }
        postcard::from_bytes(bytes).map_err(|_| DeltaError::Bytes { len: bytes.len() })
    }

    /// The manifest that the delta gives from `old`.
    ///
    /// # Errors
    /// Returns a [`DeltaError`] when `old` is not the manifest the delta starts from, or the result is
    /// not the one the sender has; the receiver then asks for the whole manifest.
    pub fn apply(&self, old: &Manifest) -> Result<Manifest, DeltaError> {
        let found = old.digest();
        if found != self.from {
            return Err(DeltaError::OtherBase {
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
            Err(DeltaError::OtherResult {
                expected: self.to,
                found,
            })
        }
    }
}
