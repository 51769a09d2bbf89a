//! Tries of one request at one upstream after another.

use std::sync::Arc;
use std::time::Instant;

use tokio::sync::oneshot;

use super::answer;
use super::delivery::{Delivered, collect};
use super::exchange::{Answer, Exchanged, exchange, patience};
use super::messages::{ForwardMsg, NotPlaced, PlaceAsk, Ticket};
use super::requested::Requested;
use super::server::Gateway;
use super::stream::{Opened, open};
use crate::util::events::{self, Field};
use crate::util::http_server::AnyResponse;

/// Share of the time left that a first try may take where a second is possible.
const FIRST_TRY_SHARE: f64 = 0.5;

/// How a try at one upstream ended.
enum Tried {
    Done(AnyResponse),
    /// The upstream failed it: its answer, to be given unless another try does better.
    Failed(AnyResponse),
    /// It did not reach the upstream.
    Unreached,
    /// It did, and did not run.
    Rejected,
    /// It may have run.
    Lost,
}

impl Gateway {
    /// Sends a request to upstreams until one has answered, or no other may be tried.
    pub(super) async fn run(self: &Arc<Self>, req: &Arc<Requested>) -> AnyResponse {
        let mut avoid = Vec::new();
        // Upstreams that the request reached, and those of them that may have run it.
        let (mut arrivals, mut sends) = (0, 0);
        let mut answer = None;
        loop {
            let ticket = match self.place(req, &avoid, arrivals > 0).await {
                Ok(ticket) => ticket,
                Err(_) if sends > 0 => return answer.unwrap_or_else(answer::lost),
                Err(why) => return self.refuse(req, why),
            };
            avoid.push(ticket.upstream.clone());
            let may_try_again = req.kind().is_idempotent() && sends + 1 < req.route().max_attempts;
            match self.try_at(req, ticket, sends + 1, may_try_again).await {
                Tried::Done(response) => return response,
                Tried::Failed(response) => answer = Some(response),
                Tried::Unreached => continue,
                Tried::Rejected => {
                    arrivals += 1;
                    continue;
                }
                Tried::Lost => {}
            }
            arrivals += 1;
            sends += 1;
            if Instant::now() >= req.deadline {
                return answer.unwrap_or_else(answer::too_late);
            }
            if !may_try_again {
                return answer.unwrap_or_else(answer::lost);
            }
        }
    }

    async fn try_at(
        self: &Arc<Self>,
        req: &Arc<Requested>,
        ticket: Ticket,
        attempts: u32,
        may_try_again: bool,
    ) -> Tried {
        let until = if may_try_again {
            patience(req, &ticket, FIRST_TRY_SHARE)
        } else {
            req.deadline
        };
        let upstream = ticket.upstream.clone();
        let exchanged = exchange(self, req, ticket, None, until).await;
        let tried = match exchanged {
            Exchanged::Unreached => Tried::Unreached,
            Exchanged::Rejected => Tried::Rejected,
            Exchanged::Lost => Tried::Lost,
            Exchanged::Answered(answer) => self.deliver(req, *answer, until, attempts).await,
        };
        let outcome = match &tried {
            Tried::Done(_) => "answered",
            Tried::Failed(_) => "failed",
            Tried::Unreached => "not reached",
            Tried::Rejected => "rejected",
            Tried::Lost => "lost",
        };
        let fields: [Field<'_>; 2] = [("upstream", &upstream), ("outcome", &outcome)];
        match &tried {
            Tried::Done(_) => self.log_sample(&events::REQUEST_ANSWERED, req, &fields),
            _ => self.log(&events::TRY_FAILED, req, &fields),
        }
        tried
    }

    async fn deliver(
        self: &Arc<Self>,
        req: &Arc<Requested>,
        answer: Answer,
        until: Instant,
        attempts: u32,
    ) -> Tried {
        let streams = req.kind().is_stream() && answer.response.status().is_success();
        if streams {
            return match open(self, req, answer, until, attempts).await {
                Opened::Streaming(response) => Tried::Done(response),
                Opened::Lost => Tried::Lost,
            };
        }
        match collect(self, req, answer).await {
            Delivered::Whole(response) => Tried::Done(response),
            Delivered::Failure(response) => Tried::Failed(response),
            Delivered::Lost => Tried::Lost,
        }
    }

    /// Asks the actor where a request goes.
    pub(super) async fn place(
        &self,
        req: &Requested,
        avoid: &[Arc<str>],
        is_second: bool,
    ) -> Result<Ticket, NotPlaced> {
        let (tx, rx) = oneshot::channel();
        let ask = PlaceAsk {
            config: Arc::clone(&req.config),
            service: req.service,
            account: req.account.clone(),
            prompt: Arc::clone(&req.prompt),
            avoid: avoid.to_vec(),
            is_second,
            content: req.content,
            turn: ((self.draw)() * u64::MAX as f64) as u64,
        };
        self.tx.send(ForwardMsg::Place(Box::new(ask), tx));
        // The actor ends only with the process.
        rx.await.unwrap_or(Err(NotPlaced::NoLease))
    }
}
