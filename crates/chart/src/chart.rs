//! A chart as a transition table.

use crate::errors::ChartErrors;
use crate::source::{ChartSource, StateSource};
use crate::{EventId, StateId};

/// Maximum number of states and of events, so that an id fits into a byte.
const MAX_NAMES: usize = 250;
/// Maximum size of a chart file, in bytes.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// The reaction of a state to an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reaction {
    /// The chart specifies no reaction.
    Unhandled,
    /// The program never fires the event in this state.
    Never,
    /// The event is dropped.
    Ignored,
    /// The machine moves to a state.
    To(StateId),
}

/// A parsed state chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chart {
    name: String,
    about: String,
    states: Vec<Definition>,
    events: Vec<Definition>,
    initial: StateId,
    is_final: Vec<bool>,
    /// One row of `events.len()` reactions for each state.
    reactions: Vec<Reaction>,
}

/// The name and description of a state or an event.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Definition {
    name: String,
    about: String,
}

impl Chart {
    /// Parses a chart from JSON.
    ///
    /// # Errors
    /// Returns all problems found: invalid JSON, unknown or duplicate names, an event with several
    /// reactions in one state, a final state with reactions. [`Chart::check`] finds unreachable states
    /// and unhandled events.
    ///
    /// ```
    /// let chart = coltsfootnotch_chart::Chart::parse(
    ///     r#"{
    ///         "name": "door", "about": "A door.", "initial": "open",
    ///         "events": [{ "name": "push", "about": "someone pushes" }],
    ///         "states": [
    ///             { "name": "open", "about": "", "transitions": [{ "on": "push", "to": "shut" }] },
    ///             { "name": "shut", "about": "", "final": true }
    ///         ]
    ///     }"#,
    /// )?;
    /// assert!(chart.check().is_empty());
    /// # Ok::<(), coltsfootnotch_chart::ChartErrors>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, ChartErrors> {
        let mut errors = ChartErrors::default();
        if text.len() > MAX_TEXT_BYTES {
            errors.add(
                "1:1",
                format!(
                    "{} bytes exceed the maximum of {MAX_TEXT_BYTES}",
                    text.len()
                ),
            );
            return Err(errors);
        }
        match serde_json::from_str::<ChartSource>(text) {
            Ok(source) => Self::build(source, errors),
            Err(error) => {
                let place = format!("{}:{}", error.line(), error.column());
                errors.add(place, error.to_string());
                Err(errors)
            }
        }
    }

    fn build(source: ChartSource, mut errors: ChartErrors) -> Result<Self, ChartErrors> {
        let states = source
            .states
            .iter()
            .map(|state| Definition::new(&state.name, &state.about));
        let events = source
            .events
            .iter()
            .map(|event| Definition::new(&event.name, &event.about));
        let mut chart = Self {
            states: states.collect(),
            events: events.collect(),
            initial: StateId(0),
            is_final: source.states.iter().map(|state| state.is_final).collect(),
            reactions: Vec::new(),
            name: source.name,
            about: source.about,
        };
        check_names(&chart.states, "state", &mut errors);
        check_names(&chart.events, "event", &mut errors);
        if !errors.is_empty() {
            return Err(errors);
        }
        match chart.state(&source.initial) {
            Some(initial) => chart.initial = initial,
            None => errors.add("initial", format!("unknown state {:?}", source.initial)),
        }
        for state in &source.states {
            let row = chart.row(state, &mut errors);
            chart.reactions.extend(row);
        }
        errors.into_result(chart)
    }

    fn row(&self, state: &StateSource, errors: &mut ChartErrors) -> Vec<Reaction> {
        let default = if state.is_final {
            Reaction::Ignored
        } else {
            Reaction::Unhandled
        };
        let mut row = vec![default; self.events.len()];
        let to = |name: &str| self.state(name).map(Reaction::To);
        let transitions = state
            .transitions
            .iter()
            .map(|transition| (&transition.on, to(&transition.to), transition.to.as_str()));
        let ignored = state
            .ignored
            .iter()
            .map(|event| (event, Some(Reaction::Ignored), ""));
        let never = state
            .never
            .iter()
            .map(|event| (event, Some(Reaction::Never), ""));
        for (event, reaction, target) in transitions.chain(ignored).chain(never) {
            let Some(EventId(index)) = self.event(event) else {
                errors.add(&state.name, format!("unknown event {event:?}"));
                continue;
            };
            let Some(reaction) = reaction else {
                errors.add(&state.name, format!("unknown state {target:?}"));
                continue;
            };
            if state.is_final {
                errors.add(
                    &state.name,
                    format!("the final state has a reaction to {event:?}"),
                );
            } else if row[usize::from(index)] != Reaction::Unhandled {
                errors.add(
                    &state.name,
                    format!("the event {event:?} has several reactions"),
                );
            }
            row[usize::from(index)] = reaction;
        }
        row
    }

    #[inline]
    pub(crate) fn reaction(&self, state: StateId, event: EventId) -> Reaction {
        self.reactions[usize::from(state.0) * self.events.len() + usize::from(event.0)]
    }

    /// The name of the chart.
    #[must_use]
    pub fn name(&self) -> &str {
        &self.name
    }

    /// The description of the chart.
    #[must_use]
    pub fn about(&self) -> &str {
        &self.about
    }

    /// The initial state of a machine.
    #[must_use]
    pub fn initial(&self) -> StateId {
        self.initial
    }

    /// Whether `state` is final and ignores every event.
    #[must_use]
    pub fn is_final(&self, state: StateId) -> bool {
        self.is_final[usize::from(state.0)]
    }

    /// Looks up a state by name.
    #[must_use]
    pub fn state(&self, name: &str) -> Option<StateId> {
        position(&self.states, name).map(StateId)
    }

    /// Looks up an event by name.
    #[must_use]
    pub fn event(&self, name: &str) -> Option<EventId> {
        position(&self.events, name).map(EventId)
    }

    /// The name of `state`.
    #[must_use]
    pub fn state_name(&self, state: StateId) -> &str {
        &self.states[usize::from(state.0)].name
    }

    /// The description of `state`.
    #[must_use]
    pub fn state_about(&self, state: StateId) -> &str {
        &self.states[usize::from(state.0)].about
    }

    /// The name of `event`.
    #[must_use]
    pub fn event_name(&self, event: EventId) -> &str {
        &self.events[usize::from(event.0)].name
    }

    /// The description of `event`.
    #[must_use]
    pub fn event_about(&self, event: EventId) -> &str {
        &self.events[usize::from(event.0)].about
    }

    /// All states in file order.
    pub fn state_ids(&self) -> impl Iterator<Item = StateId> + use<> {
        (0..self.states.len() as u8).map(StateId)
    }

    /// All events in file order.
    pub fn event_ids(&self) -> impl Iterator<Item = EventId> + use<> {
        (0..self.events.len() as u8).map(EventId)
    }
}

impl Definition {
    fn new(name: &str, about: &str) -> Self {
        Self {
            name: name.to_owned(),
            about: about.to_owned(),
        }
    }
}

fn position(list: &[Definition], name: &str) -> Option<u8> {
    let index = list.iter().position(|definition| definition.name == name)?;
    u8::try_from(index).ok()
}

fn check_names(list: &[Definition], what: &str, errors: &mut ChartErrors) {
    if list.is_empty() {
        errors.add("chart", format!("the chart has no {what}s"));
    }
    if list.len() > MAX_NAMES {
        errors.add(
            "chart",
            format!("{} {what}s exceed the maximum of {MAX_NAMES}", list.len()),
        );
    }
    for (index, definition) in list.iter().enumerate().take(MAX_NAMES) {
        if list[..index]
            .iter()
            .any(|earlier| earlier.name == definition.name)
        {
            errors.add(&definition.name, format!("duplicate {what}"));
        }
    }
}
