//! Settling an earlier attempt of the same call, which the ledger holds open.
//!
//! The entry that made it may be gone, or its sidecar. The sidecar run that was to dispatch it is
//! asked first: if it never did and never will, the attempt is closed and the call starts anew. If it
//! did, or is gone, the rereading call that the manifest names looks for the booking by its key; what
//! it finds is recorded as the outcome. Not finding it proves nothing, since the upstream may still
//! be at work on it: then the caller is told that the outcome is not known.

use std::time::Duration;

use coltsfootnotch_chart::RequestEvent;
use coltsfootnotch_manifest::Reread;
use coltsfootnotch_state::{AttemptId as LedgerAttempt, Disowned, ProcessId};
use coltsfootnotch_types::prelude::*;
use coltsfootnotch_wire::{AttemptId, Call, ToSidecar};
use sha2::{Digest, Sha256};
use tokio::sync::mpsc;

use super::actor::{EntryActor, EntryMsg};
use super::attempt_end::Collected;
use super::bookings;
use super::proposals::Purpose;
use super::requests::{Chosen, Settling, Stage};
use super::{Arrival, ReplyPart};
use crate::core::{Refusal, RefusalKind};

/// Time to settle an earlier attempt before the caller is told that its outcome is not known.
const SETTLE_WITHIN: Duration = Duration::from_secs(2);
/// When a caller may ask again about a call whose outcome is not known.
pub(super) const DOUBT_RETRY: Duration = Duration::from_secs(2);
/// Parts of a rereading answer: its head, its body and its end.
const REREAD_PARTS: usize = 4;

impl EntryActor {
    /// The ledger holds an open attempt of the call.
    pub(super) fn settle(&mut self, chosen: Chosen, earlier: LedgerAttempt, sidecar: &ProcessId) {
        let request = chosen.waiting.request;
        let attempt = bookings::wire_attempt(earlier);
        let here = attempt.entry == self.cx.identity.incarnation;
        if here && self.requests.get(attempt.request).is_some() {
            let refusal = Refusal::unknown(RefusalKind::InProgress).retry_after(DOUBT_RETRY);
            self.requests.fire(request, RequestEvent::OtherAttemptOpen);
            return self.finish_failed(request, refusal);
        }
        let reachable = self.sidecars.run_of(&sidecar.host) == Some(sidecar.incarnation);
        let settling = Settling {
            waiting: chosen.waiting,
            earlier: attempt,
            sidecar: sidecar.clone(),
            until: self.cx.now() + SETTLE_WITHIN,
        };
        self.requests.fire(request, RequestEvent::OtherAttemptOpen);
        self.set_stage(request, Stage::Settling(Box::new(settling)));
        if reachable {
            self.sidecars
                .send(&sidecar.host, ToSidecar::Disown { attempt });
        } else {
            self.reread(request);
        }
    }

    /// A sidecar says whether it will never have dispatched an attempt.
    pub(super) fn on_disowned(&mut self, from: &HostName, attempt: AttemptId, never: bool) {
        let of_attempt =
            |settling: &Settling| settling.earlier == attempt && settling.sidecar.host == *from;
        let asking: Vec<u64> = self
            .requests
            .settling()
            .filter(|(_, settling)| of_attempt(settling))
            .map(|(request, _)| request)
            .collect();
        for request in asking {
            if never {
                self.close_earlier(request);
            } else {
                self.reread(request);
            }
        }
    }

    fn close_earlier(&mut self, request: u64) {
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let Stage::Settling(settling) = &in_progress.stage else {
            return;
        };
        let Some(key) = &in_progress.arrival.booking else {
            return;
        };
        let by = Disowned::BySidecar(settling.sidecar.clone());
        let op = bookings::close(&in_progress.arrival.account, key, settling.earlier, by);
        let now = self.cx.now();
        if self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::CloseEarlier, op)
            .is_none()
        {
            self.give_up_settling(request);
        }
    }

    /// The ledger has closed the earlier attempt: the call waits for a slot of its own.
    pub(super) fn after_earlier_closed(&mut self, request: u64, closed: bool) {
        let Some(in_progress) = self.requests.get_mut(request) else {
            return;
        };
        let Stage::Settling(settling) = &in_progress.stage else {
            return;
        };
        if !closed {
            return self.give_up_settling(request);
        }
        let waiting = settling.waiting.clone();
        in_progress.fire(RequestEvent::ResolvedNotRun);
        self.wait_again(request, waiting);
    }

    /// Looks for the booking by its key, if the manifest says how.
    fn reread(&mut self, request: u64) {
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let arrival = &in_progress.arrival;
        let service = arrival.config.service(arrival.pool.as_str());
        let reread = service.and_then(|service| service.reread.as_ref());
        let key = arrival.call.idempotency_key.as_deref();
        let (Some(reread), Some(key)) = (reread, key) else {
            return self.give_up_settling(request);
        };
        let (reply, parts) = mpsc::channel(REREAD_PARTS);
        let number = self.next_request();
        let look = reread_arrival(arrival, reread, key, number, self.cx.now(), reply);
        let tx = self.tx.clone();
        self.cx.runtime.spawn(async move {
            let answer = collect(parts).await;
            tx.send(EntryMsg::Reread { request, answer });
        });
        self.let_in(look);
    }

    /// The rereading call has ended.
    pub(super) fn on_reread(&mut self, request: u64, answer: Option<Collected>) {
        let Some(in_progress) = self.requests.get(request) else {
            return;
        };
        let Stage::Settling(settling) = &in_progress.stage else {
            return;
        };
        let found = answer.filter(|answer| (200..300).contains(&answer.status));
        let (Some(found), Some(key)) = (found, &in_progress.arrival.booking) else {
            return self.give_up_settling(request);
        };
        let op = bookings::settle(&in_progress.arrival.account, key, settling.earlier, &found);
        let now = self.cx.now();
        if self
            .proposals
            .propose(&mut self.relay, now, request, Purpose::Settle, op)
            .is_none()
        {
            return self.give_up_settling(request);
        }
        if let Some(in_progress) = self.requests.get_mut(request) {
            in_progress.fire(RequestEvent::OutcomeReceived);
            in_progress.stage = Stage::Recording { answer: found };
        }
    }

    /// Ends the requests whose earlier attempt could not be settled in time.
    pub(super) fn tick_doubts(&mut self, now: Duration) {
        let late: Vec<u64> = self
            .requests
            .settling()
            .filter(|(_, settling)| settling.until <= now)
            .map(|(request, _)| request)
            .collect();
        late.into_iter()
            .for_each(|request| self.give_up_settling(request));
    }

    fn give_up_settling(&mut self, request: u64) {
        let refusal = Refusal::unknown(RefusalKind::InDoubt).retry_after(DOUBT_RETRY);
        self.finish_failed(request, refusal);
    }
}

/// The rereading call, as a request of its own.
fn reread_arrival(
    arrival: &Arrival,
    reread: &Reread,
    key: &str,
    request: u64,
    now: Duration,
    reply: mpsc::Sender<ReplyPart>,
) -> Arrival {
    let call = Call {
        method: reread.method.to_string(),
        path: reread.path.fill("key", key),
        content_type: None,
        idempotency_key: None,
        body: vec![],
        stream: false,
    };
    Arrival {
        request,
        account: arrival.account.clone(),
        pool: arrival.pool.clone(),
        arrived: now,
        deadline: now + SETTLE_WITHIN,
        estimate: arrival.estimate,
        prefix: 0,
        // Not the content of the call itself: a crash while rereading says nothing of that.
        content: Sha256::digest(reread.path.fill("key", key)).into(),
        booking: None,
        call,
        config: std::sync::Arc::clone(&arrival.config),
        reply,
    }
}

/// The whole answer; none when there is none.
async fn collect(mut parts: mpsc::Receiver<ReplyPart>) -> Option<Collected> {
    let mut answer = Collected::default();
    loop {
        match parts.recv().await? {
            ReplyPart::Head {
                status,
                content_type,
            } => {
                answer.status = status;
                answer.content_type = content_type;
            }
            ReplyPart::Piece(piece) => answer.body.extend_from_slice(&piece),
            ReplyPart::End => return Some(answer),
            ReplyPart::Failed(_) => return None,
        }
    }
}
