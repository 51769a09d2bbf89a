//! The charts embedded in the program.

use std::sync::Arc;

use crate::{
    Chart, ChartFindings, ControlMemberEvent, ControlMemberState, DaemonEvent, DaemonState,
    HostEvent, HostState, RequestEvent, RequestState, UpstreamEvent, UpstreamState,
};

/// Every embedded chart; loaded once when a process starts and handed to what needs them.
#[derive(Debug, Clone)]
pub struct Charts {
    /// One request at its entry host.
    pub request: Arc<Chart>,
    /// One upstream at the sidecar beside it.
    pub upstream: Arc<Chart>,
    /// One run of a host at the relay of its failure domain.
    pub host: Arc<Chart>,
    /// One member of the control group.
    pub control_member: Arc<Chart>,
    /// One daemon process.
    pub daemon: Arc<Chart>,
}

/// Names of a chart in the order of its enumeration.
macro_rules! names {
    ($symbols:ty) => {
        <$symbols>::ALL.iter().map(|symbol| symbol.as_str())
    };
}

impl Charts {
    /// Parses and checks the embedded files.
    ///
    /// # Errors
    /// Returns what is wrong with any of them, a name that differs from its enumeration included. A
    /// program that was built with its tests passing never sees this.
    ///
    /// ```
    /// let charts = coltsfootnotch_chart::Charts::load()?;
    /// assert_eq!(charts.host.name(), "host");
    /// # Ok::<(), coltsfootnotch_chart::ChartFindings>(())
    /// ```
    pub fn load() -> Result<Self, ChartFindings> {
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
) -> Result<Arc<Chart>, ChartFindings> {
    let chart = Chart::parse(text)?;
    let mut findings = ChartFindings::default();
    findings.extend(chart.name(), chart.check());
    if !chart
        .state_ids()
        .map(|state| chart.state_name(state))
        .eq(states)
    {
        findings.add(
            chart.name(),
            "its states differ from the enumeration of its states",
        );
    }
    if !chart
        .event_ids()
        .map(|event| chart.event_name(event))
        .eq(events)
    {
        findings.add(
            chart.name(),
            "its events differ from the enumeration of its events",
        );
    }
    findings.or(Arc::new(chart))
}
