//! Host membership and service counters of the fleet: soft state, replicated without a quorum.
//!
//! Every host sends heartbeats to one relay: that of its failure domain or, while that is
//! unreachable, another ([`HostLink`]). The relay tracks its hosts in a [`Registry`], which detects
//! failures. Relays exchange versioned deltas, merge them into a [`Directory`], and send each host
//! its part ([`ViewFeed`], [`View`]): its failure domain, and a bounded number of contacts for each
//! pool of every other one. Service counters take the same path ([`ServiceBatches`],
//! [`RelaySums`]).
//!
//! After a loss all of this state is rebuilt within a few seconds from the periodic messages of
//! hosts. Until then a restarted relay reports nothing on hosts that have not contacted it, and a
//! host without a reachable relay keeps its last view.

mod batches;
mod contact;
mod directory;
mod flap_damping;
mod heartbeat;
mod host_link;
mod host_record;
mod member;
mod profile;
mod registry;
mod relay_address;
mod relay_id;
mod relay_sums;
mod selection;
mod summary;
mod sums_feed;
mod timing;
mod totals;
mod view;
mod view_feed;

pub use batches::{ServiceBatch, ServiceBatches};
pub use contact::Contact;
pub use directory::Directory;
pub use heartbeat::{Heartbeat, HeartbeatReply};
pub use host_link::{HostLink, LinkAction};
pub use host_record::{HostRecord, Presence};
pub use member::{MemberEvent, MemberEventKind};
pub use profile::{Profile, ServedUpstream};
pub use registry::{Registry, RegistryCounters};
pub use relay_address::RelayAddress;
pub use relay_id::{Epoch, RelayId};
pub use relay_sums::{RelaySums, SumsDelta};
pub use selection::{REMOTE_CONTACTS, Selection};
pub use summary::{Summary, SummaryDelta};
pub use sums_feed::SumsFeed;
pub use timing::Timing;
pub use view::{View, ViewDelta, ViewGap};
pub use view_feed::ViewFeed;

/// The most commonly used types.
pub mod prelude {
    pub use crate::{
        Contact, Directory, Heartbeat, HeartbeatReply, HostLink, Profile, Registry, RelayId,
        RelaySums, ServedUpstream, Timing, View,
    };
}
