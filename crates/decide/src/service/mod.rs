//! Service received per client account, counted where it is given and merged in any order.
//!
//! **Pattern of load.** Accounts spread unevenly over hundreds of hosts, hosts restart with no
//! state, and a network partition of an hour ends.
//!
//! **Without it** every host shares out only its own capacity: an account that reaches many hosts
//! gets many shares, and a restarted host treats a heavy account as new.
//!
//! **Life of the data.** A sidecar charges the service it gives under its own [`Origin`], the only
//! writer of that origin's [`Tally`]s. Deltas of what changed go to a relay, relays exchange them,
//! and a relay tells each sidecar the sum of all origins but that sidecar's own ([`AccountSum`]), so
//! nothing is counted twice whatever the order, loss or duplication of messages.
//!
//! Service is counted twice over: in units, for reports, and divided by the weight in force when the
//! run started ([`VirtualService`]), for choices. Dividing at the charge keeps a later change of
//! weight from revaluing an account's whole past, which would starve it or let it starve others.

mod counters;
mod delta;
mod offset;
mod origin;
mod tally;
mod virtual_service;

pub use counters::ServiceCounters;
pub use delta::{AccountSum, Cursor, OffsetRecord, ServiceDelta, ServiceNews, TallyRecord};
pub use offset::Offset;
pub use origin::Origin;
pub use tally::Tally;
pub use virtual_service::VirtualService;
