//! Hand-over of callers' connections to neighbours, the other entries of the failure domain.
//!
//! A balancer that spreads callers by hash sends all connections of a caller to one entry. When that
//! entry has more than it can read, it relays the bytes of new connections to neighbours, which takes it
//! a fraction of the processor time of serving them, and the neighbours serve them as if the callers had
//! connected there.
//!
//! From the caller to the neighbour the bytes travel in frames, so that an entry which stops can ask the
//! neighbour to close the connection after the response in progress. The other way they travel as they
//! are.

mod exchanges;
mod frame;
mod framing;
mod handed_over;
mod message_position;
mod probes;
mod relay;
mod targets;

pub(super) use handed_over::HandedOver;
pub(super) use probes::probe_peer;
pub(super) use relay::{RelayEnd, connect, relay};
pub(super) use targets::HandoverTargets;
