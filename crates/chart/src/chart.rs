//! A chart as a table of states and events.

use crate::findings::ChartFindings;
use crate::source::{ChartSource, StateSource};
use crate::{EventId, StateId};

/// Most states and most events; leaves room in a byte for the two marks below.
const MAX_NAMES: usize = 250;
/// Longest accepted text; the largest embedded chart takes under 16 KB.
const MAX_TEXT_BYTES: usize = 1 << 20;

/// What a state does with an event.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(crate) enum Reaction {
    /// The chart says nothing.
    Unhandled,
    /// The program never raises the event here.
    Never,
    /// The event comes too late to matter.
    Ignored,
    /// The event leads to a state.
    To(StateId),
}

/// A state chart.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Chart {
    name: String,
    about: String,
    states: Vec<Named>,
    events: Vec<Named>,
    initial: StateId,
    is_final: Vec<bool>,
    /// One row of `events.len()` reactions for each state.
    reactions: Vec<Reaction>,
}

/// A state or an event with what it means.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Named {
    name: String,
    about: String,
}

impl Chart {
    /// Reads a chart.
    ///
    /// # Errors
    /// Returns everything that keeps the text from being a chart: JSON that cannot be read, names
    /// that are unknown or given twice, an event with two reactions in one state, a final state with
    /// transitions. What a whole chart still lacks is found by [`Chart::check`].
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
    /// # Ok::<(), coltsfootnotch_chart::ChartFindings>(())
    /// ```
    pub fn parse(text: &str) -> Result<Self, ChartFindings> {
        let mut findings = ChartFindings::default();
        if text.len() > MAX_TEXT_BYTES {
            findings.add("1:1", format!("the chart has {} bytes", text.len()));
            return Err(findings);
        }
        match serde_json::from_str::<ChartSource>(text) {
            Ok(source) => Self::build(source, findings),
            Err(error) => {
                let place = format!("{}:{}", error.line(), error.column());
                findings.add(place, error.to_string());
                Err(findings)
            }
        }
    }

    fn build(source: ChartSource, mut findings: ChartFindings) -> Result<Self, ChartFindings> {
        let states = source
            .states
            .iter()
            .map(|state| Named::new(&state.name, &state.about));
        let events = source
            .events
            .iter()
            .map(|event| Named::new(&event.name, &event.about));
        let mut chart = Self {
            states: states.collect(),
            events: events.collect(),
            initial: StateId(0),
            is_final: source.states.iter().map(|state| state.is_final).collect(),
            reactions: Vec::new(),
            name: source.name,
            about: source.about,
        };
        check_names(&chart.states, "state", &mut findings);
        check_names(&chart.events, "event", &mut findings);
        if !findings.is_empty() {
            return Err(findings);
        }
        match chart.state(&source.initial) {
            Some(initial) => chart.initial = initial,
            None => findings.add("initial", format!("there is no state {:?}", source.initial)),
        }
        for state in &source.states {
            let row = chart.row(state, &mut findings);
            chart.reactions.extend(row);
        }
        findings.or(chart)
    }

    fn row(&self, state: &StateSource, findings: &mut ChartFindings) -> Vec<Reaction> {
        let untouched = if state.is_final {
            Reaction::Ignored
        } else {
            Reaction::Unhandled
        };
        let mut row = vec![untouched; self.events.len()];
        let to = |name: &str| self.state(name).map(Reaction::To);
        let moves = state
            .transitions
            .iter()
            .map(|step| (&step.on, to(&step.to), step.to.as_str()));
        let ignored = state
            .ignored
            .iter()
            .map(|event| (event, Some(Reaction::Ignored), ""));
        let never = state
            .never
            .iter()
            .map(|event| (event, Some(Reaction::Never), ""));
        for (event, reaction, target) in moves.chain(ignored).chain(never) {
            let Some(EventId(at)) = self.event(event) else {
                findings.add(&state.name, format!("there is no event {event:?}"));
                continue;
            };
            let Some(reaction) = reaction else {
                findings.add(&state.name, format!("there is no state {target:?}"));
                continue;
            };
            if state.is_final {
                findings.add(
                    &state.name,
                    format!("a final state ignores {event:?} by itself"),
                );
            } else if row[usize::from(at)] != Reaction::Unhandled {
                findings.add(&state.name, format!("the event {event:?} is given twice"));
            }
            row[usize::from(at)] = reaction;
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

    /// What the chart describes.
    #[must_use]
    pub fn about(&self) -> &str {
        &self.about
    }

    /// The state in which a machine starts.
    #[must_use]
    pub fn initial(&self) -> StateId {
        self.initial
    }

    /// Whether nothing follows `state`.
    #[must_use]
    pub fn is_final(&self, state: StateId) -> bool {
        self.is_final[usize::from(state.0)]
    }

    /// The state of this name.
    #[must_use]
    pub fn state(&self, name: &str) -> Option<StateId> {
        position(&self.states, name).map(StateId)
    }

    /// The event of this name.
    #[must_use]
    pub fn event(&self, name: &str) -> Option<EventId> {
        position(&self.events, name).map(EventId)
    }

    /// The name of `state`.
    #[must_use]
    pub fn state_name(&self, state: StateId) -> &str {
        &self.states[usize::from(state.0)].name
    }

    /// What `state` means.
    #[must_use]
    pub fn state_about(&self, state: StateId) -> &str {
        &self.states[usize::from(state.0)].about
    }

    /// The name of `event`.
    #[must_use]
    pub fn event_name(&self, event: EventId) -> &str {
        &self.events[usize::from(event.0)].name
    }

    /// What `event` means.
    #[must_use]
    pub fn event_about(&self, event: EventId) -> &str {
        &self.events[usize::from(event.0)].about
    }

    /// Every state, in the order of the file.
    pub fn state_ids(&self) -> impl Iterator<Item = StateId> + use<> {
        (0..self.states.len() as u8).map(StateId)
    }

    /// Every event, in the order of the file.
    pub fn event_ids(&self) -> impl Iterator<Item = EventId> + use<> {
        (0..self.events.len() as u8).map(EventId)
    }
}

impl Named {
    fn new(name: &str, about: &str) -> Self {
        Self {
            name: name.to_owned(),
            about: about.to_owned(),
        }
    }
}

fn position(list: &[Named], name: &str) -> Option<u8> {
    let at = list.iter().position(|named| named.name == name)?;
    u8::try_from(at).ok()
}

fn check_names(list: &[Named], what: &str, findings: &mut ChartFindings) {
    if list.is_empty() {
        findings.add("chart", format!("there is no {what}"));
    }
    if list.len() > MAX_NAMES {
        findings.add(
            "chart",
            format!("there are {} {what}s, more than {MAX_NAMES}", list.len()),
        );
    }
    for (at, named) in list.iter().enumerate().take(MAX_NAMES) {
        if list[..at].iter().any(|earlier| earlier.name == named.name) {
            findings.add(&named.name, format!("the {what} is given twice"));
        }
    }
}
