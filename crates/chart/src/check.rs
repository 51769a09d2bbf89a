//! What a chart still lacks: states out of reach and events without a reaction.

use crate::chart::Reaction;
use crate::{Chart, ChartFindings, StateId};

impl Chart {
    /// Finds states that cannot be reached, states that cannot reach a final one, events that a state
    /// does not handle, and events that nothing reacts to.
    #[must_use]
    pub fn check(&self) -> ChartFindings {
        let mut findings = ChartFindings::default();
        let reached = self.closure(
            |reached| {
                self.moves()
                    .filter(|(from, _)| reached.contains(from))
                    .map(|(_, to)| to)
                    .collect()
            },
            vec![self.initial()],
        );
        let finals = self
            .state_ids()
            .filter(|state| self.is_final(*state))
            .collect();
        let ending = self.closure(
            |ending| {
                self.moves()
                    .filter(|(_, to)| ending.contains(to))
                    .map(|(from, _)| from)
                    .collect()
            },
            finals,
        );
        for state in self.state_ids() {
            if !reached.contains(&state) {
                findings.add(self.state_name(state), "no event leads to this state");
            }
            if !ending.contains(&state) {
                findings.add(self.state_name(state), "no final state follows this state");
            }
            for event in self.event_ids() {
                if self.reaction(state, event) == Reaction::Unhandled {
                    let message = format!("the event {:?} is not handled", self.event_name(event));
                    findings.add(self.state_name(state), message);
                }
            }
        }
        for event in self.event_ids() {
            let moves = |state| matches!(self.reaction(state, event), Reaction::To(_));
            if !self.state_ids().any(moves) {
                findings.add(self.event_name(event), "no state reacts to this event");
            }
        }
        findings
    }

    /// Adds to `states` what `step` finds next to them until nothing new comes up.
    fn closure(
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

    fn moves(&self) -> impl Iterator<Item = (StateId, StateId)> {
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
