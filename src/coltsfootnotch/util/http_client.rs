//! HTTP clients that tell a reset connection from the end of a response, and whose calls can be cancelled.
//!
//! The library takes a reset for the end of a response with neither a length nor chunks, as it does an
//! orderly close.

use std::io;

use ureq::Agent;
use ureq::Error;
use ureq::config::Config;
use ureq::unversioned::resolver::DefaultResolver;
use ureq::unversioned::transport::{
    Buffers, ConnectionDetails, Connector, DefaultConnector, NextTimeout, Transport,
};

use super::call_cancellation;

/// Creates a client whose responses that end with their connection fail if it is reset, and whose calls end soon
/// once they are cancelled.
///
/// ```
/// use coltsfootnotch::util::http_client::agent;
/// use ureq::Agent;
/// let agent = agent(Agent::config_builder().http_status_as_error(false).build());
/// assert!(agent.get("http://127.0.0.1:1/").call().is_err());
/// ```
#[must_use]
pub fn agent(config: Config) -> Agent {
    let connector = DefaultConnector::default().chain(ResetReporter);
    Agent::with_parts(config, connector, DefaultResolver::default())
}

/// Wraps connections so that their resets are reported.
#[derive(Debug)]
struct ResetReporter;

impl<In: Transport> Connector<In> for ResetReporter {
    type Out = ReportsReset<In>;

    fn connect(
        &self,
        _details: &ConnectionDetails<'_>,
        chained: Option<In>,
    ) -> Result<Option<Self::Out>, Error> {
        Ok(chained.map(ReportsReset))
    }
}

/// A connection that reports a reset as an error that the library doesn't take for an end.
#[derive(Debug)]
struct ReportsReset<T>(T);

impl<T: Transport> Transport for ReportsReset<T> {
    fn buffers(&mut self) -> &mut dyn Buffers {
        self.0.buffers()
    }

    fn transmit_output(&mut self, amount: usize, timeout: NextTimeout) -> Result<(), Error> {
        call_cancellation::transmit_output(&mut self.0, amount, timeout)
    }

    fn await_input(&mut self, timeout: NextTimeout) -> Result<bool, Error> {
        call_cancellation::await_input(&mut self.0, timeout).map_err(|e| match e {
            Error::Io(e) if is_taken_for_end(e.kind()) => Error::Io(io::Error::other(e)),
            e => e,
        })
    }

    fn is_open(&mut self) -> bool {
        self.0.is_open()
    }

    fn is_tls(&self) -> bool {
        self.0.is_tls()
    }
}

fn is_taken_for_end(kind: io::ErrorKind) -> bool {
    matches!(
        kind,
        io::ErrorKind::ConnectionReset
            | io::ErrorKind::ConnectionAborted
            | io::ErrorKind::UnexpectedEof
    )
}

#[cfg(test)]
#[path = "http_client_tests.rs"]
mod tests;
