//! What reaches the actor, and what it answers.

use std::net::SocketAddr;
use std::sync::Arc;
use std::time::Duration;

use coltsfootnotch_fabric::Event;
use coltsfootnotch_forward::config::ForwardConfig;
use coltsfootnotch_forward::load::SentRequest;
use coltsfootnotch_forward::place::{Prompt, Refusal};
use tokio::sync::oneshot;

/// A request that is to be placed.
#[derive(Debug)]
pub(super) struct PlaceAsk {
    /// The configuration by which it was matched.
    pub(super) config: Arc<ForwardConfig>,
    /// Its service, by place in the configuration.
    pub(super) service: usize,
    /// Its client account; with one it needs a configuration that is surely in force.
    pub(super) account: Option<Arc<str>>,
    /// Its prompt.
    pub(super) prompt: Arc<Prompt>,
    /// Upstreams on which it has failed.
    pub(super) avoid: Vec<Arc<str>>,
    /// Whether it reached an upstream before, which draws on the budget of second sends.
    pub(super) is_second: bool,
    /// Digest of its content.
    pub(super) content: u64,
    /// Differs from request to request, and breaks ties.
    pub(super) turn: u64,
}

/// Where a request goes.
#[derive(Debug, Clone)]
pub(super) struct Ticket {
    /// The upstream.
    pub(super) upstream: Arc<str>,
    /// Its run.
    pub(super) born_ms: u64,
    /// Where it takes requests.
    pub(super) address: SocketAddr,
    /// What the request counts for there.
    pub(super) sent: SentRequest,
    /// Digest of the request's content.
    pub(super) content: u64,
    /// Most connections that this entry keeps there.
    pub(super) connections: usize,
}

/// Why a request goes nowhere.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum NotPlaced {
    /// No upstream can begin it in time.
    Refused(Refusal),
    /// Whether the configuration still holds is not known.
    NoLease,
    /// The budget of second sends is used up.
    NoSecondSend,
    /// The content has crashed upstreams.
    Crashing,
    /// The process ends before the answer could.
    Stopping,
}

/// How an exchange with an upstream ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub(super) enum Ended {
    /// The whole answer came.
    Well,
    /// The upstream said that it did not run.
    NotRun,
    /// The upstream failed the request.
    Failed,
    /// No connection could be had, or no answer began in time.
    Unreachable,
    /// The connection broke off.
    Broken,
    /// The caller left, or its time was over.
    Abandoned,
}

/// A stream had no event for a while.
#[derive(Debug, Clone)]
pub(super) struct Paused {
    /// The upstream.
    pub(super) upstream: Arc<str>,
    /// Its run.
    pub(super) born_ms: u64,
    /// Time without an event.
    pub(super) time: Duration,
    /// The pause that the route aims at.
    pub(super) borne: Duration,
}

/// What reaches the actor.
pub(super) enum ForwardMsg {
    Fabric(Event),
    Place(Box<PlaceAsk>, oneshot::Sender<Result<Ticket, NotPlaced>>),
    /// The first event of an answer has come.
    Begun(Ticket),
    /// An exchange is over.
    Over {
        ticket: Ticket,
        begun: bool,
        ended: Ended,
    },
    /// A stream had no event for a while, and goes on.
    Paused(Paused),
    /// A task has waited so long for its turn.
    Waited(Duration),
    /// The settings name other seeds now.
    Seeds(Vec<SocketAddr>),
    Stop,
}

/// How long a refused caller is told to stay away where the reason is the fleet's own state.
pub(super) const RETRY_SOON: Duration = Duration::from_millis(300);
