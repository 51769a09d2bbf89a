//! Control traffic of a fleet, by role.

/// Bytes of control messages that the hosts of each role have sent so far.
///
/// Counted where frames are written to control streams: the headers of QUIC, UDP and IP, and the
/// keep-alives and acknowledgements of the connections, come on top.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// By all control hosts.
    pub control: u64,
    /// By all entries.
    pub entries: u64,
    /// By all sidecars.
    pub sidecars: u64,
}

impl ControlBytes {
    /// By all hosts.
    ///
    /// ```
    /// use coltsfootnotch::ops::fleet::ControlBytes;
    /// let sent = ControlBytes { control: 3, entries: 2, sidecars: 1 };
    /// assert_eq!(sent.total(), 6);
    /// ```
    #[must_use]
    pub fn total(&self) -> u64 {
        self.control + self.entries + self.sidecars
    }

    /// What was sent since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            control: self.control.saturating_sub(earlier.control),
            entries: self.entries.saturating_sub(earlier.entries),
            sidecars: self.sidecars.saturating_sub(earlier.sidecars),
        }
    }
}
