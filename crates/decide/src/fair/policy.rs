//! Order in which waiting accounts are served.

/// Order in which waiting accounts are served. [`Fifo`](Self::Fifo) and [`PerHost`](Self::PerHost)
/// are baselines for comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub enum ChoicePolicy {
    /// The account with the least service per weight over the whole fleet.
    #[default]
    Fair,
    /// The account with the oldest waiting request: first come, first served.
    Fifo,
    /// The account with the least service per weight from the local host alone.
    PerHost,
}
