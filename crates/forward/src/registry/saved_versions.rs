//! The versions of services that a control host has on its disk.

use std::collections::{BTreeMap, BTreeSet};
use std::sync::Arc;

/// A service, and a version of its upstreams' software.
pub type ServiceVersion = (Arc<str>, Arc<str>);

/// The versions as they are stored.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct StoredVersions {
    /// Whether none is missing that was announced to the host lately.
    pub is_complete: bool,
    /// The versions.
    pub versions: BTreeSet<ServiceVersion>,
    /// Identities of the other control hosts that were connected lately.
    pub hosts: BTreeSet<String>,
}

/// A request to replace the versions on the disk.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct SaveRequest {
    /// Its number; requests are carried out in their order, and an earlier one may be left out.
    pub number: u64,
    /// What to store.
    pub stored: StoredVersions,
}

/// The versions that a control host has on its disk, so that it knows them after a restart.
///
/// A version is saved before entries hear of its first upstream. So each version that may have begun a stream is
/// known if the host restarts at any moment.
///
/// ```
/// use coltsfootnotch_forward::registry::SavedVersions;
/// let version = ("spec".into(), "v1".into());
/// let mut versions = SavedVersions::default();
/// let req = versions.add(&version).unwrap();
/// assert!(!versions.is_saved(&version));
/// assert_eq!(versions.add(&version), None, "is being saved");
/// versions.on_saved(req.number);
/// assert!(versions.is_saved(&version));
/// ```
#[derive(Debug, Clone, Default)]
pub struct SavedVersions {
    is_complete: bool,
    hosts: BTreeSet<String>,
    /// With the number of the request that added it, which all later ones contain as well.
    versions: BTreeMap<ServiceVersion, u64>,
    /// Number of the last request, and of the last that was carried out.
    requested: u64,
    saved: u64,
}

impl SavedVersions {
    /// The versions that were loaded from the disk.
    #[must_use]
    pub fn loaded(stored: StoredVersions) -> Self {
        let versions = stored.versions.into_iter();
        Self {
            is_complete: stored.is_complete,
            hosts: stored.hosts,
            versions: versions.map(|version| (version, 0)).collect(),
            ..Self::default()
        }
    }

    /// Whether no version is missing that was announced to the host lately.
    #[must_use]
    pub fn is_complete(&self) -> bool {
        self.is_complete
    }

    /// From now on none is missing; returns what to save.
    pub fn set_complete(&mut self) -> SaveRequest {
        self.is_complete = true;
        self.request()
    }

    /// Sets the other control hosts; returns what to save if they have changed.
    pub fn set_hosts(&mut self, hosts: BTreeSet<String>) -> Option<SaveRequest> {
        if self.hosts == hosts {
            return None;
        }
        self.hosts = hosts;
        Some(self.request())
    }

    /// Whether the version is on the disk, and is not about to be removed from it.
    #[must_use]
    pub fn is_saved(&self, version: &ServiceVersion) -> bool {
        let number = self.versions.get(version);
        number.is_some_and(|number| *number <= self.saved)
    }

    /// Number of versions on the disk, and of those that are being saved.
    #[must_use]
    pub fn len(&self) -> usize {
        self.versions.len()
    }

    /// Whether there are none.
    #[must_use]
    pub fn is_empty(&self) -> bool {
        self.versions.is_empty()
    }

    /// Adds a version; returns what to save, unless it is saved or being saved.
    pub fn add(&mut self, version: &ServiceVersion) -> Option<SaveRequest> {
        if self.versions.contains_key(version) {
            return None;
        }
        self.versions.insert(version.clone(), self.requested + 1);
        Some(self.request())
    }

    /// Removes the saved versions that are not in use; returns what to save, if any was removed.
    pub fn remove_unused(
        &mut self,
        is_used: impl Fn(&ServiceVersion) -> bool,
    ) -> Option<SaveRequest> {
        let (before, saved) = (self.versions.len(), self.saved);
        self.versions
            .retain(|version, number| *number > saved || is_used(version));
        (self.versions.len() < before).then(|| self.request())
    }

    /// The request was carried out.
    pub fn on_saved(&mut self, number: u64) {
        self.saved = self.saved.max(number);
    }

    /// A request failed. What is not saved yet has to be added again.
    pub fn on_failed(&mut self) {
        let saved = self.saved;
        self.versions.retain(|_, number| *number <= saved);
    }

    fn request(&mut self) -> SaveRequest {
        self.requested += 1;
        SaveRequest {
            number: self.requested,
            stored: StoredVersions {
                is_complete: self.is_complete,
                hosts: self.hosts.clone(),
                versions: self.versions.keys().cloned().collect(),
            },
        }
    }
}
