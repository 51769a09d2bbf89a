//! Client of the control group for operators.
//!
//! It connects to every control host and sends each request to one of them. After a timeout the
//! next request goes to another: the connection to a control host that is stalled or partitioned
//! stays open until the idle timeout.

mod links;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};

use coltsfootnotch_fabric::{Credentials, DialHandle, Endpoint, EndpointError, PeerId, PeerLimits};
use coltsfootnotch_manifest::Manifest;
use coltsfootnotch_state::{ApplyConfig, BodyDigest, Op, Reply};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{CodecError, FromRelay, MembersError, Message, ProposeError, ToRelay};
use derive_more::{Display, Error, From};
use tokio::runtime::Handle;

use links::Links;

use crate::core::{ProposalError, decode_reply, encode_op};
use crate::daemon::ControlAddress;

/// Time to wait for a reply before the request is resent; proposals and queries are safe to repeat.
const REPLY_TIMEOUT: Duration = Duration::from_secs(1);
/// Any port: on a host of the fleet, the daemon uses the fleet port.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Time to wait for the reply to a membership change. A control host waits 1.5 s for a leader and
/// 3 s for the commit before it replies that the outcome is unknown.
const MEMBERS_TIMEOUT: Duration = Duration::from_secs(6);
/// Delay before a refused request is retried; elections take less than a second.
const RETRY_DELAY: Duration = Duration::from_millis(100);

/// Why a request to the control group failed.
#[derive(Debug, Display, Error, From)]
pub enum OperatorError {
    /// The endpoint can't be started.
    #[display("the operator's endpoint can't be started")]
    Endpoint(EndpointError),
    /// The message can't be encoded.
    #[display("the message can't be sent")]
    Codec(CodecError),
    /// No control host answers.
    #[display("no control host answers")]
    #[from(skip)]
    NoControl,
    /// The proposal to the control group failed.
    #[display("the proposal to the control group failed")]
    Group(ProposeError),
    /// The members were not changed.
    #[display("the members of the control group were not changed")]
    Members(MembersError),
    /// The reply can't be decoded.
    #[display("the reply of the control group can't be decoded")]
    Answer(ProposalError),
}

impl OperatorError {
    /// Whether the request got no definite answer, so that a retry may succeed.
    #[must_use]
    pub fn is_unanswered(&self) -> bool {
        match self {
            Self::NoControl | Self::Group(ProposeError::NoQuorum | ProposeError::Unknown) => true,
            Self::Members(MembersError::NoQuorum | MembersError::Unknown) => true,
            Self::Endpoint(_)
            | Self::Codec(_)
            | Self::Group(ProposeError::BadCommand)
            | Self::Members(_)
            | Self::Answer(_) => false,
        }
    }
}

/// A client with connections to the control hosts.
pub struct OperatorClient {
    links: Mutex<Links>,
    next_id: AtomicU64,
    _dials: Vec<DialHandle>,
    _endpoint: Endpoint,
}

impl OperatorClient {
    /// Connects to the control hosts and waits for the first connection.
    ///
    /// # Errors
    /// Returns an error when none is connected within `timeout`.
    pub fn connect(
        runtime: &Handle,
        credentials: &Credentials,
        control: &[ControlAddress],
        timeout: Duration,
    ) -> Result<Self, OperatorError> {
        let (tx, events) = mpsc::channel();
        let tx = Mutex::new(tx);
        let handler = move |event| {
            let tx = tx.lock().unwrap_or_else(PoisonError::into_inner);
            let _client_may_be_dropped = tx.send(event);
        };
        // Control hosts don't address messages to an operator's incarnation.
        let endpoint = Endpoint::bind(
            runtime,
            ANY,
            credentials,
            Incarnation(0),
            PeerLimits::default(),
            handler,
        )?;
        let dial = |control: &ControlAddress| {
            let peer = PeerId {
                role: Role::Control,
                host: control.host.clone(),
            };
            endpoint.dial(control.address, peer)
        };
        let dials = control.iter().map(dial).collect();
        let mut links = Links::new(events);
        if !links.wait_connected(timeout) {
            return Err(OperatorError::NoControl);
        }
        Ok(Self {
            links: Mutex::new(links),
            next_id: AtomicU64::new(1),
            _dials: dials,
            _endpoint: endpoint,
        })
    }

    /// Applies a manifest and returns once it is durable. Applying the same manifest again is safe.
    ///
    /// # Errors
    /// Returns an error when the group does not answer within `timeout`.
    pub fn apply(&self, manifest: &Manifest, timeout: Duration) -> Result<Reply, OperatorError> {
        let body = manifest.to_body();
        let digest = BodyDigest::of(&body);
        let number = manifest.number;
        self.propose(
            &Op::ApplyConfig(ApplyConfig {
                number,
                digest,
                body,
            }),
            timeout,
        )
    }

    /// Proposes an operation and retries until the group answers.
    ///
    /// # Errors
    /// Returns an error when the group does not answer within `timeout`.
    pub fn propose(&self, op: &Op, timeout: Duration) -> Result<Reply, OperatorError> {
        let command = encode_op(op);
        let deadline = Instant::now() + timeout;
        loop {
            let reply = self.request(
                deadline,
                |id| ToRelay::Propose {
                    id,
                    command: command.clone(),
                },
                |id, message| match message {
                    FromRelay::Proposed { id: of, reply } if of == id => Some(reply),
                    _ => None,
                },
            )?;
            let error = match reply {
                Some(Ok(reply)) => return Ok(decode_reply(&reply)?),
                Some(Err(ProposeError::BadCommand)) => return Err(ProposeError::BadCommand.into()),
                Some(Err(e)) => e,
                None => ProposeError::Unknown,
            };
            if Instant::now() >= deadline {
                return Err(error.into());
            }
            self.select_next_host();
        }
    }

    /// The status of the fleet as JSON, from the first control host that answers.
    ///
    /// # Errors
    /// Returns an error when no control host answers within `timeout`.
    pub fn status(&self, timeout: Duration) -> Result<String, OperatorError> {
        let deadline = Instant::now() + timeout;
        while Instant::now() < deadline {
            let reply = self.request(deadline, |id| ToRelay::Status { id }, status_of)?;
            if let Some(json) = reply {
                return Ok(json);
            }
        }
        Err(OperatorError::NoControl)
    }

    /// The status of the fleet as JSON, from each control host that answers in time.
    ///
    /// # Errors
    /// Returns an error when a request can't be sent.
    pub fn status_of_each(&self) -> Result<Vec<String>, OperatorError> {
        let mut links = self.lock();
        let mut pending = Vec::new();
        for tx in links.all() {
            let id = self.next_id();
            tx.send(&Message::ToRelay(ToRelay::Status { id }))?;
            pending.push(id);
        }
        let deadline = Instant::now() + REPLY_TIMEOUT;
        let mut statuses = Vec::new();
        while !pending.is_empty() {
            let of_pending = |message| match message {
                FromRelay::Status { id, json } if pending.contains(&id) => Some((id, json)),
                _ => None,
            };
            let Some((id, json)) = links.wait_reply(deadline, None, of_pending) else {
                break;
            };
            pending.retain(|of| *of != id);
            statuses.push(json);
        }
        Ok(statuses)
    }

    /// Adds the control daemon on `host` as a member, in place of the one on `replaces` if given.
    ///
    /// # Errors
    /// Returns an error when the members were not changed, or no control host answers within
    /// `timeout`.
    pub fn admit(
        &self,
        host: &HostName,
        replaces: Option<&HostName>,
        timeout: Duration,
    ) -> Result<(), OperatorError> {
        self.change_members(timeout, |id| ToRelay::AdmitMember {
            id,
            host: host.clone(),
            replaces: replaces.cloned(),
        })
    }

    /// Removes the member on `host` from the control group.
    ///
    /// # Errors
    /// Returns an error when the members were not changed, or no control host answers within
    /// `timeout`.
    pub fn remove(&self, host: &HostName, timeout: Duration) -> Result<(), OperatorError> {
        self.change_members(timeout, |id| ToRelay::RemoveMember {
            id,
            host: host.clone(),
        })
    }

    /// Sends a membership change and retries only while it has certainly not taken effect: a change
    /// whose reply was lost is refused when it is sent again.
    fn change_members(
        &self,
        timeout: Duration,
        to_request: impl Fn(u64) -> ToRelay,
    ) -> Result<(), OperatorError> {
        let deadline = Instant::now() + timeout;
        loop {
            let reply =
                self.request_within(deadline, MEMBERS_TIMEOUT, &to_request, |id, message| {
                    match message {
                        FromRelay::Members { id: of, outcome } if of == id => Some(outcome),
                        _ => None,
                    }
                })?;
            match reply {
                Some(Ok(())) => return Ok(()),
                Some(Err(MembersError::NoQuorum)) if Instant::now() < deadline => {
                    self.select_next_host();
                }
                Some(Err(e)) => return Err(e.into()),
                None => return Err(MembersError::Unknown.into()),
            }
        }
    }

    fn request<T>(
        &self,
        deadline: Instant,
        to_request: impl FnOnce(u64) -> ToRelay,
        pick: impl Fn(u64, FromRelay) -> Option<T>,
    ) -> Result<Option<T>, OperatorError> {
        self.request_within(deadline, REPLY_TIMEOUT, to_request, pick)
    }

    /// Sends a request to one control host and waits for its reply; `None` on a timeout, after
    /// which the next request goes to another. Waits until `deadline` for a control host to
    /// connect.
    fn request_within<T>(
        &self,
        deadline: Instant,
        timeout: Duration,
        to_request: impl FnOnce(u64) -> ToRelay,
        pick: impl Fn(u64, FromRelay) -> Option<T>,
    ) -> Result<Option<T>, OperatorError> {
        let mut links = self.lock();
        let left = deadline.saturating_duration_since(Instant::now());
        let Some((link, tx)) = links.current(left) else {
            return Err(OperatorError::NoControl);
        };
        let id = self.next_id();
        tx.send(&Message::ToRelay(to_request(id)))?;
        let reply = links.wait_reply(Instant::now() + timeout, Some(link), |message| {
            pick(id, message)
        });
        if reply.is_none() {
            links.select_next();
        }
        Ok(reply)
    }

    /// Selects another control host and waits before a retry. A control host that is partitioned or
    /// lost its disk sees no quorum while the others may have one.
    fn select_next_host(&self) {
        self.lock().select_next();
        std::thread::sleep(RETRY_DELAY);
    }

    fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn status_of(id: u64, message: FromRelay) -> Option<String> {
    match message {
        FromRelay::Status { id: of, json } if of == id => Some(json),
        _ => None,
    }
}
