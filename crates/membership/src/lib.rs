//! Which hosts there are, and how much service each account has had: soft state, without a quorum.
//!
//! Every host sends heartbeats to one relay, that of its failure domain or, while that is away,
//! another ([`HostLink`]). The relay keeps them in its [`Registry`], which decides who is present.
//! Relays exchange what they know as versioned deltas ([`Directory`]), and send each host the part
//! that concerns it ([`ViewFeed`], [`View`]): its own failure domain, and a few contacts for each
//! pool elsewhere. Service counters take the same way ([`ServiceBatches`], [`RelaySums`]).
//!
//! Everything here can be lost and is rebuilt from what hosts send anyway within a few seconds. A
//! relay that was just started therefore says nothing about hosts that it has not heard yet, and a
//! host whose relay is away goes on with the view that it has.

mod batches;
mod contact;
mod directory;
mod feed;
mod flaps;
mod heartbeat;
mod link;
mod member;
mod profile;
mod record;
mod registry;
mod relay;
mod relay_address;
mod selection;
mod summary;
mod sums;
mod sums_feed;
mod timing;
mod totals;
mod view;

pub use batches::{ServiceBatch, ServiceBatches};
pub use contact::Contact;
pub use directory::Directory;
pub use feed::ViewFeed;
pub use heartbeat::{Heartbeat, HeartbeatReply};
pub use link::{HostLink, LinkAction};
pub use member::{MemberEvent, MemberEventKind};
pub use profile::{Profile, ServedUpstream};
pub use record::{HostRecord, Presence};
pub use registry::{Registry, RegistryCounters};
pub use relay::{Epoch, RelayId};
pub use relay_address::RelayAddress;
pub use selection::{REMOTE_CONTACTS, Selection};
pub use summary::{Summary, SummaryDelta};
pub use sums::{RelaySums, SumsDelta};
pub use sums_feed::SumsFeed;
pub use timing::Timing;
pub use view::{View, ViewDelta, ViewGap};

/// The types that nearly every user of this package needs.
pub mod prelude {
    pub use crate::{
        Contact, Directory, Heartbeat, HeartbeatReply, HostLink, Profile, Registry, RelayId,
        RelaySums, ServedUpstream, Timing, View,
    };
}
