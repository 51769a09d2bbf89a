//! What control hosts know of the versions of a service.

use std::collections::{BTreeMap, BTreeSet};

use coltsfootnotch_wire::VersionReport;

use crate::registry::VERSION_RETENTION;

/// What control hosts know of the versions of a service, as they answer the lookup of a stream.
///
/// Each knows the versions of the upstreams that announced themselves to it. An entry that asked all of them knows
/// every version that may have begun the stream: each was sent to entries, on the connections of the answers,
/// before it got any request.
///
/// ```
/// use coltsfootnotch_forward::streams::VersionReports;
/// use coltsfootnotch_wire::VersionReport;
/// let report = |version: &str| VersionReport {
///     versions: vec![version.to_owned()],
///     known_for_ms: u32::MAX,
///     control_hosts: 2,
/// };
/// let mut reports = VersionReports::default();
/// reports.record("control-1", report("v1"));
/// assert_eq!(reports.sole_version([]), None, "of one control host of two");
/// reports.record("control-2", report("v1"));
/// assert_eq!(reports.sole_version([]), Some("v1"));
/// assert_eq!(reports.sole_version(["v2"]), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct VersionReports {
    by_host: BTreeMap<String, VersionReport>,
}

impl VersionReports {
    /// Records the answer of a control host. One that counts no control host gets no announcements itself.
    pub fn record(&mut self, host: &str, report: VersionReport) {
        if report.control_hosts > 0 {
            self.by_host.insert(host.to_owned(), report);
        }
    }

    /// The only version that may have begun a stream, if none can be missing; `own` are the versions that the entry
    /// knows itself.
    #[must_use]
    pub fn sole_version<'a>(&'a self, own: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
        if !self.is_complete() {
            return None;
        }
        let reported = self.by_host.values().flat_map(|report| &report.versions);
        let versions: BTreeSet<&str> = reported.map(String::as_str).chain(own).collect();
        match versions.len() {
            1 => versions.first().copied(),
            _ => None,
        }
    }

    /// Whether all control hosts have answered, and each knows all that was announced to it.
    fn is_complete(&self) -> bool {
        let reports = self.by_host.values();
        let control_hosts = reports.clone().map(|report| report.control_hosts).max();
        let is_known = |report: &VersionReport| {
            u128::from(report.known_for_ms) >= VERSION_RETENTION.as_millis()
        };
        let has_all = control_hosts.is_some_and(|count| self.by_host.len() >= count as usize);
        has_all && reports.clone().all(is_known)
    }
}
