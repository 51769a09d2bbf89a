//! Where an account stands in the queue of one pool, relative to its counted service.

use coltsfootnotch_types::Incarnation;

use super::VirtualService;

/// A correction added to an account's virtual service in one pool; the later of two copies holds.
///
/// It lifts an account that returns from idle, so that it brings no credit, and draws an account
/// that is far ahead back towards the rest. All sidecars of a pool share it: were each to keep its
/// own, they would pull service apart between accounts whose offsets they disagree on.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Offset {
    /// Logical time: one more than the latest stamp its writer knew.
    pub stamp: u64,
    /// The writer; decides between two copies of the same stamp, the same way on every host.
    pub by: Option<Incarnation>,
    /// The correction.
    pub value: VirtualService,
}

impl Offset {
    /// Whether this copy holds rather than `other`.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        self > other
    }
}
