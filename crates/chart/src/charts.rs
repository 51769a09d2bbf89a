//! The embedded charts.

use std::sync::Arc;

use crate::{
    Chart, ChartErrors, ControlMemberEvent, ControlMemberState, DaemonEvent, DaemonState,
    HostEvent, HostState, RequestEvent, RequestState, UpstreamEvent, UpstreamState,
};

/// All embedded charts, loaded once at process start.
#[derive(Debug, Clone)]
pub struct Charts {
    /// A request at its entry host.
    pub request: Arc<Chart>,
    /// An upstream at its sidecar.
    pub upstream: Arc<Chart>,
    /// An incarnation of a host at the relay of its failure domain.
    pub host: Arc<Chart>,
    /// A member of the control group.
    pub control_member: Arc<Chart>,
    /// A daemon process.
    pub daemon: Arc<Chart>,
}

/// The names of an enumeration in declaration order.
macro_rules! names {
    ($symbols:ty) => {
        <$symbols>::ALL.iter().map(|symbol| symbol.as_str())
    };
}

impl Charts {
    /// Parses and checks the embedded files.
    ///
    /// # Errors
    /// Returns the problems of an embedded chart, including names that differ from its enumeration.
    ///
    /// ```
    /// let charts = coltsfootnotch_chart::Charts::load()?;
    /// assert_eq!(charts.host.name(), "host");
    /// # Ok::<(), coltsfootnotch_chart::ChartErrors>(())
    /// ```
    pub fn load() -> Result<Self, ChartErrors> {
        let request = load(
            include_str!("../charts/request.json"),
            names!(RequestState),
            names!(RequestEvent),
        )?;
        let upstream = load(
            include_str!("../charts/upstream.json"),
            names!(UpstreamState),
            names!(UpstreamEvent),
        )?;
        let host = load(
            include_str!("../charts/host.json"),
            names!(HostState),
            names!(HostEvent),
        )?;
        let control_member = load(
            include_str!("../charts/control-member.json"),
            names!(ControlMemberState),
            names!(ControlMemberEvent),
        )?;
        let daemon = load(
            include_str!("../charts/daemon.json"),
            names!(DaemonState),
            names!(DaemonEvent),
        )?;
        Ok(Self {
            request,
            upstream,
            host,
            control_member,
            daemon,
        })
    }
}

fn load(
    text: &str,
    states: impl Iterator<Item = &'static str>,
    events: impl Iterator<Item = &'static str>,
) -> Result<Arc<Chart>, ChartErrors> {
    let chart = Chart::parse(text)?;
    let mut errors = ChartErrors::default();
    errors.extend(chart.name(), chart.check());
    if !chart
        .state_ids()
        .map(|state| chart.state_name(state))
        .eq(states)
    {
        errors.add(chart.name(), "the states differ from the state enumeration");
    }
    if !chart
        .event_ids()
        .map(|event| chart.event_name(event))
        .eq(events)
    {
        errors.add(chart.name(), "the events differ from the event enumeration");
    }
    errors.into_result(Arc::new(chart))
}
