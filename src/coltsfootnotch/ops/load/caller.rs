//! One simulated caller: sends requests as planned until the run ends and checks every answer.

use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch_fakes::{POISON_MARKER, expected_answer, prompt_tokens};
use coltsfootnotch_wire::Run;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::client::{Answer, ChatCall, Client, Progress};
use super::plan::{ArrivalPattern, CallerPlan, RequestKind};
use super::recorder::Recorder;
use super::target::Target;

/// Length in bytes of the system message that all callers of an account share, so that engines can
/// cache its prefix.
const SYSTEM_MESSAGE_BYTES: usize = 280;
/// Probability that a chat completion is requested without streaming.
const UNSTREAMED_PROBABILITY: f64 = 0.1;
/// Longest uninterrupted sleep, so that a caller stops soon after the run ends.
const SLEEP_SLICE: Duration = Duration::from_millis(50);
/// Backoff after a missing or truncated answer; prevents a busy loop on an unreachable entry.
const NO_ANSWER_BACKOFF: Duration = Duration::from_millis(200);
/// Maximum attempts for one order.
const MAX_ORDER_ATTEMPTS: u32 = 6;
/// Probability that a caller sends a finished order again with the same key.
const RESEND_PROBABILITY: f64 = 0.2;

/// A running caller.
pub(super) struct Caller<'a> {
    target: &'a Target<'a>,
    recorder: &'a Recorder<'a>,
    plan: &'a CallerPlan,
    client: Client,
    started: Instant,
    ends_at: Instant,
    index: usize,
    seed: u64,
    rng: StdRng,
    sent_requests: u64,
}

impl<'a> Caller<'a> {
    pub(super) fn new(
        target: &'a Target<'a>,
        recorder: &'a Recorder<'a>,
        plan: &'a CallerPlan,
        (index, seed): (usize, u64),
        (started, ends_at): (Instant, Instant),
    ) -> Self {
        let entry = target.entries[plan.entry % target.entries.len()];
        let key = target.accounts[plan.account].key.clone();
        Self {
            target,
            recorder,
            plan,
            client: Client::new(entry, Some(key)),
            started,
            ends_at,
            index,
            seed,
            rng: StdRng::seed_from_u64(seed.wrapping_add(index as u64)),
            sent_requests: 0,
        }
    }

    /// Sends requests until the run ends.
    pub(super) fn run(&mut self) {
        // Callers start at different times.
        let offset = self.rng.random_range(0..20);
        self.sleep(Duration::from_millis(offset));
        while Instant::now() < self.ends_at {
            if !self.can_send() {
                continue;
            }
            self.sent_requests += 1;
            match self.plan.kind {
                RequestKind::Chat | RequestKind::CrashingChat => self.send_chat(),
                RequestKind::Booking => self.place_order(),
            }
            if let ArrivalPattern::Closed { pause } = self.plan.pattern {
                self.sleep(pause);
            }
        }
    }

    /// Whether the arrival pattern allows a request now; sleeps for [`SLEEP_SLICE`] if not.
    fn can_send(&self) -> bool {
        let ArrivalPattern::Bursts { every, length } = self.plan.pattern else {
            return true;
        };
        let within = self.started.elapsed().as_millis() % every.as_millis();
        if within < length.as_millis() {
            return true;
        }
        self.sleep(SLEEP_SLICE);
        false
    }

    fn sleep(&self, duration: Duration) {
        let deadline = Instant::now() + duration;
        loop {
            let now = Instant::now();
            if now >= deadline || now >= self.ends_at {
                return;
            }
            thread::sleep((deadline - now).min(SLEEP_SLICE));
        }
    }

    fn send_chat(&mut self) {
        let call = self.next_chat();
        let prompt = call.prompt();
        let account = self.plan.account;
        let recorder = self.recorder;
        let sent = Instant::now();
        let number = recorder.record_send(account, call.stream);
        let mut first = true;
        let answer = self.client.chat(&call, |progress| match progress {
            Progress::Head if call.stream => recorder.record_head(account, sent.elapsed()),
            Progress::Head => {}
            Progress::Tokens(tokens) => {
                if first && call.stream {
                    recorder.record_first_token(account, number, sent.elapsed());
                }
                let prompt = if first { prompt_tokens(&prompt) } else { 0 };
                first = false;
                recorder.record_service(account, prompt, tokens);
            }
        });
        let correct = matches!(&answer, Answer::Complete(text)
            if *text == expected_answer(&prompt, call.max_tokens));
        recorder.record_answer(account, number, &answer, correct);
        if is_refused_not_run(&answer) && self.plan.kind == RequestKind::Chat {
            recorder.record_not_run(prompt);
        }
        self.back_off(&answer);
    }

    fn next_chat(&mut self) -> ChatCall {
        let account = &self.target.accounts[self.plan.account];
        let system = format!("You answer the members of {}. ", account.name);
        let mut user = match self.plan.kind {
            RequestKind::CrashingChat => format!("{POISON_MARKER} of run {}", self.seed),
            _ => format!(
                "run {} caller {} request {}: ",
                self.seed, self.index, self.sent_requests
            ),
        };
        let prompt_tokens = self.rng.random_range(self.plan.prompt_tokens.clone());
        let prompt_bytes = 4 * prompt_tokens as usize;
        if self.plan.kind == RequestKind::Chat {
            pad(&mut user, prompt_bytes.saturating_sub(SYSTEM_MESSAGE_BYTES));
        }
        let mut padded = system.clone();
        pad(&mut padded, SYSTEM_MESSAGE_BYTES);
        let mut max_tokens = self.rng.random_range(self.plan.answer_tokens.clone());
        let mut stream = !self.rng.random_bool(UNSTREAMED_PROBABILITY);
        if self.plan.kind == RequestKind::CrashingChat {
            // Each request of this caller is identical.
            (max_tokens, stream) = (*self.plan.answer_tokens.start(), true);
        }
        ChatCall {
            model: self.target.model.clone(),
            messages: [padded, user],
            max_tokens,
            stream,
        }
    }

    /// Waits before the next request, for as long as the answer's `Retry-After` says.
    fn back_off(&self, answer: &Answer) {
        match answer {
            Answer::Failed(failure) => {
                self.sleep(failure.retry_after.unwrap_or(NO_ANSWER_BACKOFF));
            }
            Answer::Missing | Answer::Truncated => self.sleep(NO_ANSWER_BACKOFF),
            Answer::Complete(_) => {}
        }
    }

    /// Sends one order until it is acknowledged or its attempts run out, then reads it back.
    fn place_order(&mut self) {
        let Some(prefix) = &self.target.booking_prefix else {
            return self.sleep(SLEEP_SLICE);
        };
        let key = format!("load-{}-{}-{}", self.seed, self.index, self.sent_requests);
        let path = format!("{prefix}/orders");
        let order = json!({"account": self.target.accounts[self.plan.account].name, "key": key});
        for _ in 0..MAX_ORDER_ATTEMPTS {
            let answer = self.send_order(&path, &key, &order);
            if matches!(answer, Answer::Complete(_)) {
                break;
            }
            self.back_off(&answer);
            if Instant::now() >= self.ends_at {
                return;
            }
        }
        if self.rng.random_bool(RESEND_PROBABILITY) {
            self.send_order(&path, &key, &order);
        }
        self.read_back(&format!("{path}/by-key/{key}"), &key, &order);
    }

    fn send_order(&self, path: &str, key: &str, order: &Value) -> Answer {
        let answer = self.record_call(&order.to_string(), key, order, |body| {
            self.client.call("POST", path, Some(key), body)
        });
        self.recorder.record_key_answer(key, &answer);
        answer
    }

    fn read_back(&self, path: &str, key: &str, order: &Value) {
        self.record_call("", key, order, |body| {
            self.client.call("GET", path, None, body)
        });
    }

    fn record_call(
        &self,
        body: &str,
        key: &str,
        order: &Value,
        call: impl FnOnce(&str) -> Answer,
    ) -> Answer {
        let account = self.plan.account;
        let sent = Instant::now();
        let number = self.recorder.record_send(account, false);
        let answer = call(body);
        if matches!(answer, Answer::Complete(_)) {
            self.recorder.record_head(account, sent.elapsed());
        }
        let correct = matches!(&answer, Answer::Complete(text) if is_booking(text, key, order));
        self.recorder
            .record_answer(account, number, &answer, correct);
        answer
    }
}

fn is_refused_not_run(answer: &Answer) -> bool {
    matches!(answer, Answer::Failed(failure) if failure.run == Some(Run::No))
}

/// Whether an answer of the order service matches this key and this order.
fn is_booking(text: &str, key: &str, order: &Value) -> bool {
    let booking: Value = serde_json::from_str(text).unwrap_or_default();
    booking["key"] == key && booking["order"] == *order
}

/// Pads `text` with words to `bytes`; a longer text is unchanged.
fn pad(text: &mut String, bytes: usize) {
    if text.len() >= bytes {
        return;
    }
    while text.len() < bytes {
        text.push_str("screed primer topcoat ");
    }
    text.truncate(bytes);
}
