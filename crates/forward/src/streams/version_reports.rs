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
/// let report = |version: &str, member: &str, other: &str| VersionReport {
///     versions: vec![version.to_owned()],
///     known_for_ms: u32::MAX,
///     member: Some(member.to_owned()),
///     others: vec![other.to_owned()],
/// };
/// let mut reports = VersionReports::default();
/// reports.record(report("v1", "a", "b"));
/// assert_eq!(reports.sole_version([]), None, "of one control host of two");
/// reports.record(report("v1", "b", "a"));
/// assert_eq!(reports.sole_version([]), Some("v1"));
/// assert_eq!(reports.sole_version(["v2"]), None);
/// ```
#[derive(Debug, Clone, Default)]
pub struct VersionReports {
    by_member: BTreeMap<String, VersionReport>,
}

impl VersionReports {
    /// Records the answer of a control host. One that upstreams don't announce themselves to is left out.
    pub fn record(&mut self, report: VersionReport) {
        if let Some(member) = &report.member {
            self.by_member.insert(member.clone(), report);
        }
    }

    /// The only version that may have begun a stream, if none can be missing; `own` are the versions that the entry
    /// knows itself.
    #[must_use]
    pub fn sole_version<'a>(&'a self, own: impl IntoIterator<Item = &'a str>) -> Option<&'a str> {
        if !self.is_complete() {
            return None;
        }
        let reported = self.by_member.values().flat_map(|report| &report.versions);
        let versions: BTreeSet<&str> = reported.map(String::as_str).chain(own).collect();
        match versions.len() {
            1 => versions.first().copied(),
            _ => None,
        }
    }

    /// Whether all control hosts have answered, and each knows all that was announced to it.
    fn is_complete(&self) -> bool {
        let is_known = |report: &VersionReport| {
            u128::from(report.known_for_ms) >= VERSION_RETENTION.as_millis()
        };
        let has_answered = |member: &String| self.by_member.contains_key(member);
        let mut reports = self.by_member.values();
        let is_complete =
            reports.all(|report| is_known(report) && report.others.iter().all(has_answered));
        is_complete && !self.by_member.is_empty()
    }
}
