//! The operators' connections to the control group.
//!
//! Every control host is dialled. A question goes to one of them; when its answer does not come in
//! time the next question goes to another, since a control host that is frozen or cut off keeps its
//! connection for as long as the idle timeout, and an operator must not wait for it.

mod links;

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Mutex, PoisonError, mpsc};
use std::time::{Duration, Instant};

use coltsfootnotch_fabric::{Credentials, DialHandle, Endpoint, EndpointError, PeerId};
use coltsfootnotch_manifest::Manifest;
use coltsfootnotch_state::{ApplyConfig, BodyDigest, Op, Reply};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{CodecError, FromRelay, MembersError, Message, ProposeError, ToRelay};
use derive_more::{Display, Error, From};
use tokio::runtime::Handle;

use links::Links;

use crate::core::{ProposalError, decode_reply, encode_op};
use crate::daemon::ControlAddress;

/// Time before an unanswered question is put to the group again; a command is safe to repeat.
const ASK_AGAIN: Duration = Duration::from_secs(1);
/// Operators run on a host of their own, or on one whose fleet port is taken by its daemon.
const ANY: SocketAddr = SocketAddr::new(std::net::IpAddr::V4(Ipv4Addr::UNSPECIFIED), 0);

/// Time for a change of members to be answered: a control host waits 1.5 s for a leader and 3 s for the
/// commit, and then says that it does not know.
const MEMBERS_ANSWER: Duration = Duration::from_secs(6);
/// Pause before a refused question is put again: elections end within a second.
const PAUSE: Duration = Duration::from_millis(100);

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
    /// The members were not changed.
    #[display("the members of the control group were not changed")]
    Members(MembersError),
    /// The answer can't be read.
    #[display("the answer of the control group can't be read")]
    Answer(ProposalError),
}

impl OperatorError {
    /// Whether the same command may succeed later, since nobody refused it.
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

/// Connections to the control hosts that answer.
pub struct OperatorClient {
    links: Mutex<Links>,
    next_id: AtomicU64,
    _dials: Vec<DialHandle>,
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
        let dials = control.iter().map(dial).collect();
        let mut links = Links::new(events);
        if !links.wait_for_one(patience) {
            return Err(OperatorError::NoControl);
        }
        Ok(Self {
            links: Mutex::new(links),
            next_id: AtomicU64::new(1),
            _dials: dials,
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
        loop {
            let answer = self.ask(
                until,
                |id| ToRelay::Propose {
                    id,
                    command: command.clone(),
                },
                |id, answer| match answer {
                    FromRelay::Proposed { id: of, reply } if of == id => Some(reply),
                    _ => None,
                },
            )?;
            let refused = match answer {
                Some(Ok(reply)) => return Ok(decode_reply(&reply)?),
                Some(Err(ProposeError::BadCommand)) => return Err(ProposeError::BadCommand.into()),
                Some(Err(e)) => e,
                None => ProposeError::Unknown,
            };
            if Instant::now() >= until {
                return Err(refused.into());
            }
            self.ask_another();
        }
    }

    /// The state of the fleet as JSON, as the first control host that answers knows it.
    ///
    /// # Errors
    /// Returns an error when no control host answers within `patience`.
    pub fn status(&self, patience: Duration) -> Result<String, OperatorError> {
        let until = Instant::now() + patience;
        while Instant::now() < until {
            let answer = self.ask(until, |id| ToRelay::Status { id }, status_of)?;
            if let Some(json) = answer {
                return Ok(json);
            }
        }
        Err(OperatorError::NoControl)
    }

    /// The state of the fleet as JSON, from each control host that answers in time.
    ///
    /// # Errors
    /// Returns an error when a question can't be sent.
    pub fn status_of_each(&self) -> Result<Vec<String>, OperatorError> {
        let mut links = self.lock();
        let mut asked = Vec::new();
        for tx in links.all() {
            let id = self.next_id();
            tx.send(&Message::ToRelay(ToRelay::Status { id }))?;
            asked.push(id);
        }
        let until = Instant::now() + ASK_AGAIN;
        let mut answers = Vec::new();
        while !asked.is_empty() {
            let of_any = |answer| match answer {
                FromRelay::Status { id, json } if asked.contains(&id) => Some((id, json)),
                _ => None,
            };
            let Some((id, json)) = links.wait_for(until, None, of_any) else {
                break;
            };
            asked.retain(|of| *of != id);
            answers.push(json);
        }
        Ok(answers)
    }

    /// Admits the control daemon on `host`, in place of the member on `replaces` if that is given.
    ///
    /// # Errors
    /// Returns why the members were not changed, or that no control host answers within `patience`.
    pub fn admit(
        &self,
        host: &HostName,
        replaces: Option<&HostName>,
        patience: Duration,
    ) -> Result<(), OperatorError> {
        self.change_members(patience, |id| ToRelay::AdmitMember {
            id,
            host: host.clone(),
            replaces: replaces.cloned(),
        })
    }

    /// Removes the member on `host` from the control group.
    ///
    /// # Errors
    /// Returns why the members were not changed, or that no control host answers within `patience`.
    pub fn remove(&self, host: &HostName, patience: Duration) -> Result<(), OperatorError> {
        self.change_members(patience, |id| ToRelay::RemoveMember {
            id,
            host: host.clone(),
        })
    }

    /// Puts a change of members until it is answered for good. A change that took effect though its
    /// answer was lost is refused when it is put again, so a change is only put once more while it
    /// was certainly not made.
    fn change_members(
        &self,
        patience: Duration,
        question: impl Fn(u64) -> ToRelay,
    ) -> Result<(), OperatorError> {
        let until = Instant::now() + patience;
        loop {
            let answer = self.ask_for(
                until,
                MEMBERS_ANSWER,
                &question,
                |id, answer| match answer {
                    FromRelay::Members { id: of, outcome } if of == id => Some(outcome),
                    _ => None,
                },
            )?;
            match answer {
                Some(Ok(())) => return Ok(()),
                Some(Err(MembersError::NoQuorum)) if Instant::now() < until => {
                    self.ask_another();
                }
                Some(Err(e)) => return Err(e.into()),
                None => return Err(MembersError::Unknown.into()),
            }
        }
    }

    fn ask<T>(
        &self,
        until: Instant,
        question: impl FnOnce(u64) -> ToRelay,
        pick: impl Fn(u64, FromRelay) -> Option<T>,
    ) -> Result<Option<T>, OperatorError> {
        self.ask_for(until, ASK_AGAIN, question, pick)
    }

    /// Puts a question to one control host, none of which may be connected until `until`, and waits
    /// for its answer. None when it does not come in time; another control host is then asked next.
    fn ask_for<T>(
        &self,
        until: Instant,
        patience: Duration,
        question: impl FnOnce(u64) -> ToRelay,
        pick: impl Fn(u64, FromRelay) -> Option<T>,
    ) -> Result<Option<T>, OperatorError> {
        let mut links = self.lock();
        let left = until.saturating_duration_since(Instant::now());
        let Some((link, tx)) = links.current(left) else {
            return Err(OperatorError::NoControl);
        };
        let id = self.next_id();
        tx.send(&Message::ToRelay(question(id)))?;
        let answer = links.wait_for(Instant::now() + patience, Some(link), |answer| {
            pick(id, answer)
        });
        if answer.is_none() {
            links.turn();
        }
        Ok(answer)
    }

    /// A control host that is cut off, or came back without its disk, knows no quorum for as long as
    /// that lasts, while the others have one.
    fn ask_another(&self) {
        self.lock().turn();
        std::thread::sleep(PAUSE);
    }

    fn next_id(&self) -> u64 {
        self.next_id.fetch_add(1, Ordering::Relaxed)
    }

    fn lock(&self) -> std::sync::MutexGuard<'_, Links> {
        self.links.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn status_of(id: u64, answer: FromRelay) -> Option<String> {
    match answer {
        FromRelay::Status { id: of, json } if of == id => Some(json),
        _ => None,
    }
}
