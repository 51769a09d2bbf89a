//! The JSON format of a chart.

use serde::Deserialize;

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct ChartSource {
    pub(crate) name: String,
    pub(crate) about: String,
    pub(crate) events: Vec<EventSource>,
    pub(crate) initial: String,
    pub(crate) states: Vec<StateSource>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct EventSource {
    pub(crate) name: String,
    pub(crate) about: String,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct StateSource {
    pub(crate) name: String,
    pub(crate) about: String,
    /// A final state ignores every event.
    #[serde(default, rename = "final")]
    pub(crate) is_final: bool,
    #[serde(default)]
    pub(crate) transitions: Vec<TransitionSource>,
    /// Events that are dropped in this state, such as late replies.
    #[serde(default)]
    pub(crate) ignored: Vec<String>,
    /// Events that the program never fires in this state.
    #[serde(default)]
    pub(crate) never: Vec<String>,
}

#[derive(Debug, Deserialize)]
#[serde(deny_unknown_fields)]
pub(crate) struct TransitionSource {
    pub(crate) on: String,
    pub(crate) to: String,
}
