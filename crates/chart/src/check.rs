//! Checks for unreachable states and unhandled events.

use crate::chart::Reaction;
use crate::{Chart, ChartErrors, StateId};

impl Chart {
    /// Finds unreachable states, states that cannot reach a final state, events that a state does not
    /// handle, and events without a transition in any state.
    #[must_use]
    pub fn check(&self) -> ChartErrors {
        let mut errors = ChartErrors::default();
        let reachable = self.transitive_closure(
            |reachable| {
                self.transitions()
                    .filter(|(from, _)| reachable.contains(from))
                    .map(|(_, to)| to)
                    .collect()
            },
            vec![self.initial()],
        );
        let final_states = self
            .state_ids()
            .filter(|state| self.is_final(*state))
            .collect();
        let terminating = self.transitive_closure(
            |terminating| {
                self.transitions()
                    .filter(|(_, to)| terminating.contains(to))
                    .map(|(from, _)| from)
                    .collect()
            },
            final_states,
        );
        for state in self.state_ids() {
            if !reachable.contains(&state) {
                errors.add(self.state_name(state), "the state is unreachable");
            }
            if !terminating.contains(&state) {
                errors.add(
                    self.state_name(state),
                    "no final state is reachable from this state",
                );
            }
            for event in self.event_ids() {
                if self.reaction(state, event) == Reaction::Unhandled {
                    let message = format!("the event {:?} is not handled", self.event_name(event));
                    errors.add(self.state_name(state), message);
                }
            }
        }
        for event in self.event_ids() {
            let has_transition = |state| matches!(self.reaction(state, event), Reaction::To(_));
            if !self.state_ids().any(has_transition) {
                errors.add(
                    self.event_name(event),
                    "no state has a transition for this event",
                );
            }
        }
        errors
    }

    /// Adds the states returned by `step` to `states` until a fixed point is reached.
    fn transitive_closure(
        &self,
        step: impl Fn(&[StateId]) -> Vec<StateId>,
        mut states: Vec<StateId>,
    ) -> Vec<StateId> {
        loop {
            let before = states.len();
            for state in step(&states) {
                if !states.contains(&state) {
                    states.push(state);
                }
            }
            if states.len() == before {
                return states;
            }
        }
    }

    fn transitions(&self) -> impl Iterator<Item = (StateId, StateId)> {
        let targets = move |from| {
            self.event_ids()
                .filter_map(move |event| match self.reaction(from, event) {
                    Reaction::To(to) => Some((from, to)),
                    _ => None,
                })
        };
        self.state_ids().flat_map(targets)
    }
}
