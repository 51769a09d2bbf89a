//! Versions of services, stored in the data folder.
//!
//! A restarted host knows which versions may have begun the streams that callers resume.

use std::io;
use std::path::Path;

use coltsfootnotch_forward::registry::{ServiceVersion, StoredVersions};
use serde::{Deserialize, Serialize};

use super::atomic_file;

const NAME: &str = "service-versions";

/// The content of the file.
#[derive(Serialize, Deserialize)]
struct FileContent {
    complete: bool,
    /// Pairs of a service and a version.
    versions: Vec<(String, String)>,
    /// Identities of other control hosts.
    hosts: Vec<String>,
}

impl From<&StoredVersions> for FileContent {
    fn from(stored: &StoredVersions) -> Self {
        let to_owned =
            |(service, version): &ServiceVersion| (service.to_string(), version.to_string());
        Self {
            complete: stored.is_complete,
            versions: stored.versions.iter().map(to_owned).collect(),
            hosts: stored.hosts.iter().cloned().collect(),
        }
    }
}

impl From<FileContent> for StoredVersions {
    fn from(content: FileContent) -> Self {
        let versions = content.versions.into_iter();
        Self {
            is_complete: content.complete,
            versions: versions.map(|(s, v)| (s.into(), v.into())).collect(),
            hosts: content.hosts.into_iter().collect(),
        }
    }
}

/// Loads the stored versions; none, and not complete, if there are none or they can't be read, which is logged.
pub(super) fn load(dir: &Path) -> StoredVersions {
    match try_load(dir) {
        Ok(stored) => stored,
        Err(e) => {
            log::warn!("{NAME}: the stored versions can't be read: {e}");
            StoredVersions::default()
        }
    }
}

fn try_load(dir: &Path) -> io::Result<StoredVersions> {
    let Some(text) = atomic_file::read(dir, NAME)? else {
        return Ok(StoredVersions::default());
    };
    let content: FileContent = serde_json::from_str(&text)?;
    Ok(content.into())
}

/// Replaces the stored versions.
///
/// # Errors
/// Returns an error when they can't be written or synced; the file may be unchanged.
pub(super) fn save(dir: &Path, stored: &StoredVersions) -> io::Result<()> {
    let text = serde_json::to_string(&FileContent::from(stored)).map_err(io::Error::other)?;
    atomic_file::replace(dir, NAME, &text)
}

#[cfg(test)]
#[path = "version_file_tests.rs"]
mod tests;
