//! Sends one order to an engine over HTTP.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_state::FencingNumber;
use derive_more::Display;
use serde_json::{Map, Value};
use ureq::Agent;

/// An order to send to an engine.
#[derive(Debug, Clone)]
pub struct OrderCall {
    /// Address of the engine.
    pub address: SocketAddr,
    /// Fencing number of the lease under which the order is sent.
    pub fence: FencingNumber,
    /// The operation, such as `load`.
    pub order: &'static str,
    /// JSON key of `value`, such as `name`.
    pub key: &'static str,
    /// Name of the version or adapter, or the role.
    pub value: String,
    /// Time after which the order is aborted.
    pub timeout: Duration,
}

/// How an order ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
pub enum OrderOutcome {
    /// The engine has executed the order.
    #[display("done")]
    Done,
    /// The engine has seen a higher fencing number.
    #[display("old fencing number")]
    StaleNumber,
    /// The engine answered with another status.
    #[display("status {_0}")]
    Status(u16),
    /// No response arrived in time, or the engine is unreachable.
    #[display("no answer")]
    NoResponse,
}

impl OrderCall {
    /// Sends the order and blocks the thread until it has finished.
    pub fn run(&self) -> OrderOutcome {
        let agent: Agent = Agent::config_builder()
            .http_status_as_error(false)
            // The order is for this engine; a success elsewhere does not state that it was executed.
            .max_redirects(0)
            .timeout_global(Some(self.timeout))
            .max_idle_connections_per_host(0)
            .build()
            .into();
        let mut body = Map::new();
        body.insert("fence".into(), Value::from(self.fence.0));
        body.insert("order".into(), Value::from(self.order));
        body.insert(self.key.into(), Value::from(self.value.as_str()));
        let response = agent
            .post(format!("http://{}/v1/orders", self.address))
            .header("content-type", "application/json")
            .send(Value::Object(body).to_string());
        match response.map(|response| response.status().as_u16()) {
            Ok(200..=299) => OrderOutcome::Done,
            Ok(409) => OrderOutcome::StaleNumber,
            Ok(status) => OrderOutcome::Status(status),
            Err(_) => OrderOutcome::NoResponse,
        }
    }
}

#[cfg(test)]
#[path = "call_tests.rs"]
mod tests;
