//! Which versions of services upstreams have announced to this control host.
//!
//! A stream may only go on at the version that began it. An entry that has no record of it asks all control hosts
//! whether its service can have had but one version, so a control host has to know whether it knows all that was
//! ever announced to it, and which other control hosts there were.

use std::collections::BTreeSet;
use std::time::Duration;

use coltsfootnotch_consensus::MemberId;
use coltsfootnotch_forward::registry::{
    Announcement, RecentHosts, SavedVersions, ServiceVersion, StoredVersions, VERSION_RETENTION,
};
use coltsfootnotch_wire::VersionReport;
use tokio::sync::oneshot;

use super::{CallReply, Seeded};
use crate::daemon::control::daemon::ControlDaemon;

/// Most versions on the disk, and most announcements that wait until theirs is; bounds both against forged ones.
const MAX_VERSIONS: usize = 4_096;

/// An announcement whose version is not on the disk yet.
type Waiting = (Announcement, oneshot::Sender<CallReply>);

/// What this control host knows of the versions that were announced to it.
pub(super) struct ServiceVersions {
    saved: SavedVersions,
    waiting: Vec<Waiting>,
    /// Whether the fleet starts for the first time, so that no version can be missing.
    is_first_start: bool,
    started: Duration,
    /// The other control hosts.
    others: RecentHosts<String>,
}

impl ServiceVersions {
    /// The state of a control host that starts now, with what it has on its disk.
    pub(super) fn new(now: Duration, is_first_start: bool, stored: StoredVersions) -> Self {
        let mut others = RecentHosts::default();
        others.update(now, stored.hosts.iter().cloned(), []);
        Self {
            saved: SavedVersions::loaded(stored),
            waiting: Vec::new(),
            is_first_start,
            started: now,
            others,
        }
    }

    /// Time for which all versions are known that were announced to this host.
    fn known_for(&self, now: Duration) -> Duration {
        if self.is_first_start || self.saved.is_complete() {
            Duration::MAX
        } else {
            now.saturating_sub(self.started)
        }
    }
}

impl Seeded {
    /// What this control host knows of the versions of a service; nothing if it has no log, since no upstream
    /// announces itself to it.
    pub(super) fn version_report(
        &self,
        now: Duration,
        local: &MemberId,
        service: &str,
    ) -> VersionReport {
        if !self.discovery.has_log() {
            return VersionReport::default();
        }
        let versions: BTreeSet<&str> = self.registry.versions(service).map(|v| &**v).collect();
        let known_for_ms = self.versions.known_for(now).as_millis();
        VersionReport {
            versions: versions.into_iter().map(ToOwned::to_owned).collect(),
            known_for_ms: u32::try_from(known_for_ms).unwrap_or(u32::MAX),
            member: Some(local.to_string()),
            others: self.versions.others.recent(now).cloned().collect(),
        }
    }
}

impl ControlDaemon {
    /// Handles an upstream's announcement to this host. The first of a version takes effect once that is on the disk:
    /// entries hear of no version that this host would not know after a restart.
    pub(super) fn announce(
        &mut self,
        now: Duration,
        announcement: Announcement,
        tx: oneshot::Sender<CallReply>,
    ) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let version = service_version(&announcement);
        let versions = &mut seeded.versions;
        if versions.saved.is_saved(&version) {
            return self.accept_announcement(now, announcement, tx);
        }
        if versions.waiting.len() >= MAX_VERSIONS || versions.saved.len() >= MAX_VERSIONS {
            let _caller_waits = tx.send(CallReply::Unknown);
            return;
        }
        versions.waiting.push((announcement, tx));
        if let Some(req) = versions.saved.add(&version) {
            self.disk.save_versions(req);
        }
    }

    fn accept_announcement(
        &mut self,
        now: Duration,
        announcement: Announcement,
        tx: oneshot::Sender<CallReply>,
    ) {
        self.on_announcement(now, announcement);
        self.on_acknowledged(now);
        let _caller_waits = tx.send(CallReply::Done);
    }

    /// Handles that the versions of a request are on the disk.
    pub(in crate::daemon::control) fn on_versions_saved(&mut self, now: Duration, number: u64) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let versions = &mut seeded.versions;
        versions.saved.on_saved(number);
        let is_saved =
            |waiting: &mut Waiting| versions.saved.is_saved(&service_version(&waiting.0));
        let accepted: Vec<Waiting> = versions.waiting.extract_if(.., is_saved).collect();
        for (announcement, tx) in accepted {
            self.accept_announcement(now, announcement, tx);
        }
    }

    /// Handles that versions could not be saved: their upstreams have to announce themselves to another control host.
    pub(in crate::daemon::control) fn on_versions_not_saved(&mut self) {
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        seeded.versions.saved.on_failed();
        for (_, tx) in seeded.versions.waiting.drain(..) {
            let _caller_waits = tx.send(CallReply::Unknown);
        }
    }

    /// Removes versions from the disk that were not announced for a time, and records which control hosts are connected.
    pub(super) fn maintain_versions(&mut self, now: Duration) {
        let members = self.replica.core().status().members;
        let local = &self.bootstrap.local_hello().member;
        let Some(seeded) = &mut self.seeded else {
            return;
        };
        let is_other = |member: &&MemberId| *member != local;
        let connected = seeded.connectivity.connected().iter().filter(is_other);
        let members = members.all().filter(is_other);
        let versions = &mut seeded.versions;
        versions.others.update(
            now,
            members.map(ToString::to_string),
            connected.map(ToString::to_string),
        );
        let hosts = versions.others.recent(now).cloned().collect();
        let hosts_changed = versions.saved.set_hosts(hosts);
        let registry = &seeded.registry;
        let is_used = |(service, version): &ServiceVersion| {
            let mut known = registry.versions(service);
            known.any(|known| known == version)
        };
        let removed = versions.saved.remove_unused(is_used);
        let is_complete = versions.known_for(now) >= VERSION_RETENTION;
        let completed =
            (is_complete && !versions.saved.is_complete()).then(|| versions.saved.set_complete());
        // The last request made holds what the earlier ones do.
        if let Some(req) = completed.or(removed).or(hosts_changed) {
            self.disk.save_versions(req);
        }
    }
}

fn service_version(announcement: &Announcement) -> ServiceVersion {
    (announcement.service.clone(), announcement.version.clone())
}
