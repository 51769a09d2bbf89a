//! Control traffic of a fleet by role.

/// Bytes of control messages sent by the hosts of each role.
///
/// Counts the frames written to control streams, without the headers of QUIC, UDP and IP,
/// keep-alives and acknowledgements.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct ControlBytes {
    /// Sent by all control hosts.
    pub control: u64,
    /// Sent by all entries.
    pub entries: u64,
    /// Sent by all sidecars.
    pub sidecars: u64,
}

impl ControlBytes {
    /// Sent by all hosts.
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

    /// The bytes sent since an earlier reading.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        Self {
            control: self.control.saturating_sub(earlier.control),
            entries: self.entries.saturating_sub(earlier.entries),
            sidecars: self.sidecars.saturating_sub(earlier.sidecars),
        }
    }
}
