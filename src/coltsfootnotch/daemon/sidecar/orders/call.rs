//! One order to an engine, over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_state::FencingNumber;
use derive_more::Display;
use serde_json::{Map, Value};
use ureq::Agent;

/// An order that is to be sent.
#[derive(Debug, Clone)]
pub(in crate::daemon::sidecar) struct OrderCall {
    pub(super) address: SocketAddr,
    pub(in crate::daemon::sidecar) fence: FencingNumber,
    /// What to do, such as `load`.
    pub(in crate::daemon::sidecar) order: &'static str,
    /// The key of `value`, such as `name`.
    pub(super) key: &'static str,
    pub(in crate::daemon::sidecar) value: String,
    /// After this the order is aborted.
    pub(super) timeout: Duration,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub(in crate::daemon::sidecar) enum OrderEnd {
    /// The engine has carried it out.
    #[display("done")]
    Done,
    /// The engine has seen a higher fencing number.
    #[display("old fencing number")]
    OldNumber,
    /// The engine answered with another status.
    #[display("status {_0}")]
    Status(u16),
    /// No answer came in time, or the engine can't be reached.
    #[display("no answer")]
    NoAnswer,
}

impl OrderCall {
    /// Sends the order and waits until it has ended; blocks the thread.
    pub(in crate::daemon::sidecar) fn run(&self) -> OrderEnd {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(self.timeout))
            .max_idle_connections_per_host(0)
            .build()
            .into();
        let mut body = Map::new();
        body.insert("fence".into(), Value::from(self.fence.0));
        body.insert("order".into(), Value::from(self.order));
        body.insert(self.key.into(), Value::from(self.value.as_str()));
        let sent = agent
            .post(format!("http://{}/v1/orders", self.address))
            .header("content-type", "application/json")
            .send(Value::Object(body).to_string());
        match sent.map(|response| response.status().as_u16()) {
            Ok(200..=299) => OrderEnd::Done,
            Ok(409) => OrderEnd::OldNumber,
            Ok(status) => OrderEnd::Status(status),
            Err(_) => OrderEnd::NoAnswer,
        }
    }
}
