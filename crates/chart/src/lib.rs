//! Interpreter for state charts in JSON files.
//!
//! A chart lists states and events and specifies a reaction for each pair: a transition, `ignored`, or
//! `never` for an event that the program does not fire in that state. [`Chart::parse`] builds a
//! transition table from the JSON text, [`Chart::check`] finds unreachable states and unhandled
//! events, and a [`Machine`] holds a current state and applies events to it. Charts are files so that
//! they can be reviewed and drawn separately from the code.

mod chart;
mod charts;
mod check;
mod errors;
mod ids;
mod machine;
mod source;
mod symbols;

pub use chart::Chart;
pub use charts::Charts;
pub use errors::{ChartError, ChartErrors};
pub use ids::{EventId, StateId};
pub use machine::{Machine, Transition, UnexpectedEvent};
pub use symbols::{
    ControlMemberEvent, ControlMemberState, DaemonEvent, DaemonState, HostEvent, HostState,
    RequestEvent, RequestState, UpstreamEvent, UpstreamState,
};

/// The most commonly used types.
pub mod prelude {
    pub use crate::{Chart, Charts, Machine, Transition};
}
