//! State charts read from JSON files and interpreted.
//!
//! A chart names its states and events and gives for every state and event a transition, or says that
//! the event is ignored there, or that it can never come. [`Chart::parse`] turns the text into a
//! table, [`Chart::check`] finds what cannot be reached and what is not handled, and a [`Machine`]
//! walks the table: one index and one comparison an event. The life of a request, an upstream, a
//! host, a control member and a daemon is kept in files so that it can be read, reviewed and drawn
//! without the code around it.

mod chart;
mod charts;
mod check;
mod findings;
mod ids;
mod machine;
mod source;
mod symbols;

pub use chart::Chart;
pub use charts::Charts;
pub use findings::{ChartFinding, ChartFindings};
pub use ids::{EventId, StateId};
pub use machine::{Machine, NeverExpected, Transition};
pub use symbols::{
    ControlMemberEvent, ControlMemberState, DaemonEvent, DaemonState, HostEvent, HostState,
    RequestEvent, RequestState, UpstreamEvent, UpstreamState,
};

/// The types that users of charts nearly always need.
pub mod prelude {
    pub use crate::{Chart, Charts, Machine, Transition};
}
