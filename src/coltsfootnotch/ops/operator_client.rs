//! The operators' connection to the control group.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};

use coltsfootnotch_fabric::{Credentials, Dialed, Endpoint, EndpointError, Event, LinkTx, PeerId};
use coltsfootnotch_manifest::Manifest;
use coltsfootnotch_state::{ApplyConfig, BodyDigest, Op, Reply};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{CodecError, FromRelay, Message, ProposeError, ToRelay};
use derive_more::{Display, Error, From};
use tokio::runtime::Handle;

use crate::core::{ProposalError, decode_reply, encode_op};
use crate::daemon::ControlAddress;

/// Time before an unanswered question is put to the group again; a command is safe to repeat.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// Operators run on a host of their own, or on one whose fleet port is taken by its daemon.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Why an operator gets no answer.
#[derive(Debug, Display, Error, From)]
pub enum OperatorError {
    /// The endpoint can't be made.
    #[display("the operator's endpoint can't be started")]
    Endpoint(EndpointError),
    /// The message is too large.
    #[display("the message can't be sent")]
    Codec(CodecError),
    /// No control host answers.
    #[display("no control host answers")]
    #[from(skip)]
    NoControl,
    /// The group can't answer.
    #[display("the control group can't answer")]
    Group(ProposeError),
    /// The answer can't be read.
    #[display("the answer of the control group can't be read")]
    Answer(ProposalError),
}

/// A connection to the first control host that answers.
pub struct OperatorClient {
    link: Mutex<LinkTx>,
    events: Mutex<mpsc::Receiver<Event>>,
    next_id: AtomicU64,
    _dialed: Vec<Dialed>,
    _endpoint: Endpoint,
}

impl OperatorClient {
    /// Connects to any of the control hosts.
    ///
    /// # Errors
    /// Returns an error when none answers within `patience`.
    pub fn connect(
        runtime: &Handle,
        credentials: &Credentials,
        control: &[ControlAddress],
        patience: Duration,
    ) -> Result<Self, OperatorError> {
        let (tx, events) = mpsc::channel();
        let tx = Mutex::new(tx);
        let handler = move |event| {
            let tx = tx.lock().unwrap_or_else(PoisonError::into_inner);
            let _client_may_have_gone = tx.send(event);
        };
        // An operator's command is a process of its own; nothing is addressed to its incarnation.
        let endpoint = Endpoint::bind(runtime, ANY, credentials, Incarnation(0), handler)?;
        let dial = |known: &ControlAddress| {
            let peer = PeerId {
                role: Role::Control,
                host: known.host.clone(),
            };
            endpoint.dial(known.address, peer)
        };
        let dialed = control.iter().map(dial).collect();
        let link = first_link(&events, patience).ok_or(OperatorError::NoControl)?;
        Ok(Self {
            link: Mutex::new(link),
            events: Mutex::new(events),
            next_id: AtomicU64::new(1),
            _dialed: dialed,
            _endpoint: endpoint,
        })
    }

    /// Applies a manifest. Answers when it is durable; the same manifest may be applied again.
    ///
    /// # Errors
    /// Returns an error when the group does not answer within `patience`.
    pub fn apply(&self, manifest: &Manifest, patience: Duration) -> Result<Reply, OperatorError> {
        let body = manifest.to_body();
        let digest = BodyDigest::of(&body);
        let number = manifest.number;
        self.propose(
            &Op::ApplyConfig(ApplyConfig {
                number,
                digest,
                body,
            }),
            patience,
        )
    }

    /// Proposes an operation, again and again until the group answers.
    ///
    /// # Errors
    /// Returns an error when the group does not answer within `patience`.
    pub fn propose(&self, op: &Op, patience: Duration) -> Result<Reply, OperatorError> {
        let command = encode_op(op);
        let until = Instant::now() + patience;
        let mut refused = ProposeError::NoQuorum;
        while Instant::now() < until {
            let answer = self.ask(
                |id| ToRelay::Propose {
                    id,
                    command: command.clone(),
                },
                |id, answer| match answer {
                    FromRelay::Proposed { id: of, reply } if of == id => Some(reply),
                    _ => None,
                },
            )?;
            match answer {
                Some(Ok(reply)) => return Ok(decode_reply(&reply)?),
                Some(Err(ProposeError::BadCommand)) => return Err(ProposeError::BadCommand.into()),
                Some(Err(e)) => {
                    refused = e;
                    std::thread::sleep(Duration::from_millis(100));
                }
                None => refused = ProposeError::Unknown,
            }
        }
        Err(refused.into())
    }

    /// The state of the fleet as JSON.
    ///
    /// # Errors
    /// Returns an error when the control host does not answer.
    pub fn status(&self) -> Result<String, OperatorError> {
        let answer = self.ask(
            |id| ToRelay::Status { id },
            |id, answer| match answer {
                FromRelay::Status { id: of, json } if of == id => Some(json),
                _ => None,
            },
        )?;
        answer.ok_or(OperatorError::NoControl)
    }

    /// Sends a question and waits for its answer; none when it does not come in time.
    fn ask<T>(
        &self,
        question: impl FnOnce(u64) -> ToRelay,
        pick: impl Fn(u64, FromRelay) -> Option<T>,
    ) -> Result<Option<T>, OperatorError> {
        let id = self.next_id.fetch_add(1, Ordering::Relaxed);
        let message = Message::ToRelay(question(id));
        self.link
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .send(&message)?;
        let until = Instant::now() + ASK_AGAIN;
        let events = self.events.lock().unwrap_or_else(PoisonError::into_inner);
        loop {
            let Ok(event) = events.recv_timeout(until.saturating_duration_since(Instant::now()))
            else {
                return Ok(None);
            };
            match event {
                Event::Message {
                    message: Message::FromRelay(answer),
                    ..
                } => {
                    if let Some(answer) = pick(id, answer) {
                        return Ok(Some(answer));
                    }
                }
                // The control host in use may be the one that was lost.
                Event::Up { tx, .. } => {
                    *self.link.lock().unwrap_or_else(PoisonError::into_inner) = tx;
                }
                _ => {}
            }
        }
    }
}

fn first_link(events: &mpsc::Receiver<Event>, patience: Duration) -> Option<LinkTx> {
    let until = Instant::now() + patience;
    loop {
        let left = until.saturating_duration_since(Instant::now());
        if let Event::Up { tx, .. } = events.recv_timeout(left).ok()? {
            return Some(tx);
        }
    }
}
