//! A host or operator that is connected to one control daemon.

use std::net::{Ipv4Addr, SocketAddr};
use std::sync::mpsc::{self, Receiver};

use coltsfootnotch::core::{decode_reply, encode_op};
use coltsfootnotch::daemon::ControlAddress;
use coltsfootnotch_fabric::{Credentials, DialHandle, Endpoint, Event, LinkTx, PeerId, PeerLimits};
use coltsfootnotch_manifest::{KeyHash, Manifest};
use coltsfootnotch_state::{ApplyConfig, BodyDigest, ConfigReply, Op, Reply};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{
    ConfigBody, FromRelay, Heartbeat, HostRecord, MembersError, Message, ProposeError, ToRelay,
};
use tokio::runtime::Handle;

use super::group::{TIMEOUT, wait_until};

/// A host or operator that is connected to one control daemon.
pub(crate) struct Client {
    pub(crate) peer: PeerId,
    pub(crate) incarnation: Incarnation,
    events: Receiver<Event>,
    tx: LinkTx,
    id: u64,
    beats: u64,
    /// Other messages received by [`Self::wait_for`].
    pub(crate) seen: Vec<FromRelay>,
    _dial: DialHandle,
    _endpoint: Endpoint,
}

impl Client {
    pub(crate) fn connect(
        runtime: &Handle,
        credentials: &Credentials,
        member: &ControlAddress,
    ) -> Self {
        let (to_client, events) = mpsc::channel();
        let incarnation = Incarnation(rand::random());
        let any_port = SocketAddr::from((Ipv4Addr::LOCALHOST, 0));
        let handler = move |event| {
            // The test may have finished.
            let _ = to_client.send(event);
        };
        let limits = PeerLimits::default();
        let endpoint = Endpoint::bind(runtime, any_port, credentials, incarnation, limits, handler)
            .expect("an endpoint");
        let control = PeerId {
            role: Role::Control,
            host: member.host.clone(),
        };
        let dial = endpoint.dial(member.address, control);
        let tx = loop {
            if let Event::Up { tx, .. } = events.recv_timeout(TIMEOUT).expect("a connection") {
                break tx;
            }
        };
        Self {
            peer: credentials.peer().clone(),
            incarnation,
            events,
            tx,
            id: 0,
            beats: 0,
            seen: Vec::new(),
            _dial: dial,
            _endpoint: endpoint,
        }
    }

    pub(crate) fn send(&self, message: ToRelay) {
        self.tx.send(&Message::ToRelay(message)).expect("a message");
    }

    /// Waits for the first message that `expected` matches; the others are kept in `seen`.
    pub(crate) fn wait_for<T>(&mut self, expected: impl Fn(&FromRelay) -> Option<T>) -> T {
        loop {
            match self.events.recv_timeout(TIMEOUT).expect("an answer") {
                Event::Message {
                    message: Message::FromRelay(message),
                    ..
                } => match expected(&message) {
                    Some(value) => return value,
                    None => self.seen.push(message),
                },
                Event::Down { .. } => panic!("the daemon closed the connection"),
                _ => {}
            }
        }
    }

    /// Waits until the daemon closes the connection; returns whether it does.
    pub(crate) fn is_closed(&mut self) -> bool {
        loop {
            match self.events.recv_timeout(TIMEOUT) {
                Ok(Event::Down { .. }) => return true,
                Ok(_) => {}
                Err(_) => return false,
            }
        }
    }

    pub(crate) fn next_id(&mut self) -> u64 {
        self.id += 1;
        self.id
    }

    pub(crate) fn start_propose(&mut self, op: &Op) -> u64 {
        let id = self.next_id();
        let command = encode_op(op);
        self.send(ToRelay::Propose { id, command });
        id
    }

    pub(crate) fn finish_propose(&mut self, id: u64) -> Result<Reply, ProposeError> {
        let reply = self.wait_for(|message| match message {
            FromRelay::Proposed { id: of, reply } if *of == id => Some(reply.clone()),
            _ => None,
        })?;
        Ok(decode_reply(&reply).expect("a reply"))
    }

    pub(crate) fn propose(&mut self, op: &Op) -> Result<Reply, ProposeError> {
        let id = self.start_propose(op);
        self.finish_propose(id)
    }

    /// Retries a proposal until the group answers, as hosts and operators do. Elections may occur on a busy
    /// machine; every operation is idempotent.
    pub(crate) fn propose_until_answered(&mut self, op: &Op) -> Reply {
        let mut reply = None;
        wait_until("the group answers", || {
            reply = self.propose(op).ok();
            reply.is_some()
        });
        reply.expect("a reply")
    }

    /// Applies a configuration; retries until the group answers.
    pub(crate) fn apply(&mut self, req: ApplyConfig) -> ConfigReply {
        config_reply(self.propose_until_answered(&Op::ApplyConfig(req)))
    }

    /// Applies a configuration, which must be accepted.
    pub(crate) fn accept(&mut self, req: ApplyConfig) {
        let reply = self.apply(req);
        assert!(matches!(reply, ConfigReply::Accepted { .. }), "{reply:?}");
    }

    /// Applies a configuration without retries.
    pub(crate) fn try_apply(&mut self, req: ApplyConfig) -> Result<ConfigReply, ProposeError> {
        self.propose(&Op::ApplyConfig(req)).map(config_reply)
    }

    /// The newest configuration, confirmed by a quorum.
    pub(crate) fn confirmed(&mut self) -> Result<Option<ConfigBody>, ProposeError> {
        let id = self.next_id();
        self.send(ToRelay::ConfigConfirmed { id });
        self.wait_for(|message| match message {
            FromRelay::ConfigConfirmed { id: of, config } if *of == id => Some(config.clone()),
            _ => None,
        })
    }

    /// The number of the newest configuration, queried until a quorum confirms it; zero for none.
    pub(crate) fn confirmed_number(&mut self) -> u64 {
        let mut number = None;
        wait_until("a quorum confirms", || {
            number = self.confirmed().ok().map(|c| c.map_or(0, |c| c.number));
            number.is_some()
        });
        number.expect("a number")
    }

    pub(crate) fn status(&mut self) -> serde_json::Value {
        let id = self.next_id();
        self.send(ToRelay::Status { id });
        let json = self.wait_for(|message| match message {
            FromRelay::Status { id: of, json } if *of == id => Some(json.clone()),
            _ => None,
        });
        serde_json::from_str(&json).expect("JSON")
    }

    pub(crate) fn admit(
        &mut self,
        host: &HostName,
        replaces: Option<&HostName>,
    ) -> Result<(), MembersError> {
        let id = self.next_id();
        self.send(ToRelay::AdmitMember {
            id,
            host: host.clone(),
            replaces: replaces.cloned(),
        });
        self.members_outcome(id)
    }

    pub(crate) fn remove(&mut self, host: &HostName) -> Result<(), MembersError> {
        let id = self.next_id();
        let host = host.clone();
        self.send(ToRelay::RemoveMember { id, host });
        self.members_outcome(id)
    }

    fn members_outcome(&mut self, id: u64) -> Result<(), MembersError> {
        self.wait_for(|message| match message {
            FromRelay::Members { id: of, outcome } if *of == id => Some(outcome.clone()),
            _ => None,
        })
    }

    /// Sends a heartbeat with `config` in force.
    pub(crate) fn beat(&mut self, config: u64) {
        self.beats += 1;
        let record = self.record(config);
        self.send(ToRelay::Heartbeat(Heartbeat {
            seq: self.beats,
            started: 0,
            attach: 1,
            record,
            directory: 0,
        }));
    }

    pub(crate) fn record(&self, config: u64) -> HostRecord {
        HostRecord {
            host: self.peer.host.clone(),
            incarnation: self.incarnation,
            role: self.peer.role,
            domain: DomainName::new("d1").expect("a name"),
            address: SocketAddr::from((Ipv4Addr::LOCALHOST, 9)),
            config,
            pools: Vec::new(),
            leaving: false,
        }
    }
}

pub(crate) fn config_reply(reply: Reply) -> ConfigReply {
    match reply {
        Reply::Config(reply) => reply,
        other => panic!("an unexpected reply: {other:?}"),
    }
}

/// A configuration with these accounts.
pub(crate) fn manifest(number: u64, accounts: &[&str]) -> ApplyConfig {
    let accounts: Vec<_> = accounts
        .iter()
        .map(|name| {
            let hash = KeyHash::of_key(name);
            format!(r#"{{ "name": "{name}", "key_hashes": ["{hash}"] }}"#)
        })
        .collect();
    let text = format!(
        r#"{{ "number": {number}, "accounts": [{}] }}"#,
        accounts.join(", ")
    );
    let manifest = Manifest::parse("m.jsonc", &text).unwrap_or_else(|e| panic!("{e}"));
    let body = manifest.to_body();
    ApplyConfig {
        number,
        digest: BodyDigest::of(&body),
        body,
    }
}
