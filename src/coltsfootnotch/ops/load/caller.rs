//! One caller: asks by its plan until the run ends, checks every answer and reports what it saw.

use std::thread;
use std::time::{Duration, Instant};

use coltsfootnotch_fakes::{POISON_MARKER, expected_answer, prompt_tokens};
use coltsfootnotch_wire::Run;
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use serde_json::{Value, json};

use super::client::{Answer, ChatCall, Client, Progress};
use super::plan::{Ask, CallerPlan, Pattern};
use super::recorder::Recorder;
use super::target::Target;

/// Bytes of the system message that all callers of an account share, so that prefixes are cached.
const SYSTEM_BYTES: usize = 280;
/// Share of chat completions that are asked for in one piece.
const WHOLE_SHARE: f64 = 0.1;
/// Sleeps are cut into pieces of this length, so that a caller ends with the run.
const PAUSE_SLICE: Duration = Duration::from_millis(50);
/// Pause after an answer that never came; without it a caller would spin on a dead entry.
const NO_ANSWER_PAUSE: Duration = Duration::from_millis(200);
/// Most times that a caller sends one booking.
const BOOKING_TRIES: u32 = 6;
/// Share of acknowledged bookings that the caller sends again, as after a lost screen.
const BOOK_AGAIN_SHARE: f64 = 0.2;

/// One caller at work.
pub(super) struct Caller<'a> {
    target: &'a Target<'a>,
    recorder: &'a Recorder<'a>,
    plan: &'a CallerPlan,
    client: Client,
    started: Instant,
    until: Instant,
    index: usize,
    seed: u64,
    rng: StdRng,
    sent: u64,
}

impl<'a> Caller<'a> {
    pub(super) fn new(
        target: &'a Target<'a>,
        recorder: &'a Recorder<'a>,
        plan: &'a CallerPlan,
        (index, seed): (usize, u64),
        (started, until): (Instant, Instant),
    ) -> Self {
        let entry = target.entries[plan.entry % target.entries.len()];
        let key = target.accounts[plan.account].key.clone();
        Self {
            target,
            recorder,
            plan,
            client: Client::new(entry, Some(key)),
            started,
            until,
            index,
            seed,
            rng: StdRng::seed_from_u64(seed.wrapping_add(index as u64)),
            sent: 0,
        }
    }

    /// Asks until the run ends.
    pub(super) fn run(&mut self) {
        // Callers don't start in step.
        let offset = self.rng.random_range(0..20);
        self.pause(Duration::from_millis(offset));
        while Instant::now() < self.until {
            if !self.in_turn() {
                continue;
            }
            self.sent += 1;
            match self.plan.ask {
                Ask::Chat | Ask::CrashingChat => self.ask_chat(),
                Ask::Booking => self.book(),
            }
            if let Pattern::Closed { pause } = self.plan.pattern {
                self.pause(pause);
            }
        }
    }

    /// Whether the plan lets the caller ask now; sleeps a little when it doesn't.
    fn in_turn(&self) -> bool {
        let Pattern::Bursts { every, length } = self.plan.pattern else {
            return true;
        };
        let within = self.started.elapsed().as_millis() % every.as_millis();
        if within < length.as_millis() {
            return true;
        }
        self.pause(PAUSE_SLICE);
        false
    }

    fn pause(&self, pause: Duration) {
        let end = Instant::now() + pause;
        loop {
            let now = Instant::now();
            if now >= end || now >= self.until {
                return;
            }
            thread::sleep((end - now).min(PAUSE_SLICE));
        }
    }

    fn ask_chat(&mut self) {
        let call = self.next_call();
        let prompt = call.prompt();
        let account = self.plan.account;
        let recorder = self.recorder;
        let sent = Instant::now();
        let number = recorder.send(account, call.stream);
        let mut first = true;
        let answer = self.client.chat(&call, |progress| match progress {
            Progress::Head if call.stream => recorder.head(account, sent.elapsed()),
            Progress::Head => {}
            Progress::Tokens(tokens) => {
                if first && call.stream {
                    recorder.first_token(account, number, sent.elapsed());
                }
                let prompt = if first { prompt_tokens(&prompt) } else { 0 };
                first = false;
                recorder.served(account, prompt, tokens);
            }
        });
        let correct = matches!(&answer, Answer::Whole(text)
            if *text == expected_answer(&prompt, call.max_tokens));
        recorder.end(account, number, &answer, correct);
        if is_not_run(&answer) && self.plan.ask == Ask::Chat {
            recorder.not_run(prompt);
        }
        self.back_off(&answer);
    }

    fn next_call(&mut self) -> ChatCall {
        let account = &self.target.accounts[self.plan.account];
        let system = format!("You answer the members of {}. ", account.name);
        let mut user = match self.plan.ask {
            Ask::CrashingChat => format!("{POISON_MARKER} of run {}", self.seed),
            _ => format!(
                "run {} caller {} request {}: ",
                self.seed, self.index, self.sent
            ),
        };
        let prompt_tokens = self.rng.random_range(self.plan.prompt_tokens.clone());
        let prompt_bytes = 4 * prompt_tokens as usize;
        if self.plan.ask == Ask::Chat {
            pad(&mut user, prompt_bytes.saturating_sub(SYSTEM_BYTES));
        }
        let mut padded = system.clone();
        pad(&mut padded, SYSTEM_BYTES);
        let mut max_tokens = self.rng.random_range(self.plan.answer_tokens.clone());
        let mut stream = !self.rng.random_bool(WHOLE_SHARE);
        if self.plan.ask == Ask::CrashingChat {
            // The caller sends the very same request again.
            (max_tokens, stream) = (*self.plan.answer_tokens.start(), true);
        }
        ChatCall {
            model: self.target.model.clone(),
            messages: [padded, user],
            max_tokens,
            stream,
        }
    }

    /// Waits as the answer says before the next request.
    fn back_off(&self, answer: &Answer) {
        match answer {
            Answer::Failed(failure) => {
                self.pause(failure.retry_after.unwrap_or(NO_ANSWER_PAUSE));
            }
            Answer::None | Answer::Cut => self.pause(NO_ANSWER_PAUSE),
            Answer::Whole(_) => {}
        }
    }

    /// Places one order until it is acknowledged, as a caller does that must not lose it.
    fn book(&mut self) {
        let Some(prefix) = &self.target.booking_prefix else {
            return self.pause(PAUSE_SLICE);
        };
        let key = format!("load-{}-{}-{}", self.seed, self.index, self.sent);
        let path = format!("{prefix}/orders");
        let order = json!({"account": self.target.accounts[self.plan.account].name, "key": key});
        for _ in 0..BOOKING_TRIES {
            let answer = self.book_once(&path, &key, &order);
            if matches!(answer, Answer::Whole(_)) {
                break;
            }
            self.back_off(&answer);
            if Instant::now() >= self.until {
                return;
            }
        }
        if self.rng.random_bool(BOOK_AGAIN_SHARE) {
            self.book_once(&path, &key, &order);
        }
        self.reread(&format!("{path}/by-key/{key}"), &key, &order);
    }

    fn book_once(&self, path: &str, key: &str, order: &Value) -> Answer {
        let answer = self.counted(&order.to_string(), key, order, |body| {
            self.client.call("POST", path, Some(key), body)
        });
        self.recorder.key_answer(key, &answer);
        answer
    }

    fn reread(&self, path: &str, key: &str, order: &Value) {
        self.counted("", key, order, |body| {
            self.client.call("GET", path, None, body)
        });
    }

    fn counted(
        &self,
        body: &str,
        key: &str,
        order: &Value,
        call: impl FnOnce(&str) -> Answer,
    ) -> Answer {
        let account = self.plan.account;
        let sent = Instant::now();
        let number = self.recorder.send(account, false);
        let answer = call(body);
        if matches!(answer, Answer::Whole(_)) {
            self.recorder.head(account, sent.elapsed());
        }
        let correct = matches!(&answer, Answer::Whole(text) if is_booking(text, key, order));
        self.recorder.end(account, number, &answer, correct);
        answer
    }
}

fn is_not_run(answer: &Answer) -> bool {
    matches!(answer, Answer::Failed(failure) if failure.run == Some(Run::No))
}

/// Whether an answer of the order service is about this key and this order.
fn is_booking(text: &str, key: &str, order: &Value) -> bool {
    let booking: Value = serde_json::from_str(text).unwrap_or_default();
    booking["key"] == key && booking["order"] == *order
}

/// Lengthens `text` to `bytes` with words; a longer text stays as it is.
fn pad(text: &mut String, bytes: usize) {
    if text.len() >= bytes {
        return;
    }
    while text.len() < bytes {
        text.push_str("screed primer topcoat ");
    }
    text.truncate(bytes);
}
