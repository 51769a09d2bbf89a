//! An instance of a chart.

use std::sync::Arc;

use derive_more::{Display, Error};

use crate::chart::Reaction;
use crate::{Chart, EventId, StateId};

/// The effect of an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Transition {
    /// The machine took a transition; `from` and `to` may be the same state.
    Moved {
        /// The previous state.
        from: StateId,
        /// The new state.
        to: StateId,
    },
    /// The current state ignores the event.
    Ignored,
}

/// An event was fired in a state in which the chart rules it out.
///
/// This is a bug in the program, not the result of external input.
#[derive(Debug, Clone, PartialEq, Eq, Display, Error)]
#[display("unexpected event {event} in state {state} of chart {chart}")]
pub struct UnexpectedEvent {
    chart: String,
    state: String,
    event: String,
}

/// An instance of a chart with its current state.
///
/// Takes 16 bytes: a reference-counted chart and the state. Firing an event is one table look-up.
#[derive(Debug, Clone)]
pub struct Machine {
    chart: Arc<Chart>,
    state: StateId,
}

impl Machine {
    /// Creates a machine in the initial state of `chart`.
    ///
    /// ```
    /// use coltsfootnotch_chart::{Charts, Machine, RequestEvent, RequestState};
    /// let charts = Charts::load().unwrap();
    /// let mut machine = Machine::new(&charts.request);
    /// machine.fire(RequestEvent::Admitted)?;
    /// assert!(machine.is(RequestState::Waiting));
    /// assert_eq!(machine.state_name(), "waiting");
    /// # Ok::<(), coltsfootnotch_chart::UnexpectedEvent>(())
    /// ```
    #[must_use]
    pub fn new(chart: &Arc<Chart>) -> Self {
        Self {
            chart: Arc::clone(chart),
            state: chart.initial(),
        }
    }

    /// Creates a machine in `state`.
    ///
    /// # Panics
    /// Panics when `state` is out of range for `chart`.
    #[must_use]
    pub fn starting_at(chart: &Arc<Chart>, state: StateId) -> Self {
        assert!(
            chart.state_ids().any(|candidate| candidate == state),
            "the state belongs to another chart"
        );
        Self {
            chart: Arc::clone(chart),
            state,
        }
    }

    /// Applies an event.
    ///
    /// # Errors
    /// Returns [`UnexpectedEvent`] and keeps its state when the chart rules the event out in this state.
    pub fn fire(&mut self, event: impl Into<EventId>) -> Result<Transition, UnexpectedEvent> {
        let event = event.into();
        match self.chart.reaction(self.state, event) {
            Reaction::To(to) => {
                let from = std::mem::replace(&mut self.state, to);
                Ok(Transition::Moved { from, to })
            }
            Reaction::Ignored => Ok(Transition::Ignored),
            Reaction::Never | Reaction::Unhandled => Err(self.unexpected(event)),
        }
    }

    #[cold]
    fn unexpected(&self, event: EventId) -> UnexpectedEvent {
        UnexpectedEvent {
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

    /// Whether `state` is the current state.
    #[must_use]
    pub fn is(&self, state: impl Into<StateId>) -> bool {
        self.state == state.into()
    }

    /// The name of the current state.
    #[must_use]
    pub fn state_name(&self) -> &str {
        self.chart.state_name(self.state)
    }

    /// Whether the current state is final.
    #[must_use]
    pub fn is_final(&self) -> bool {
        self.chart.is_final(self.state)
    }
}
