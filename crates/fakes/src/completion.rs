//! Chat completions of a fake engine: complete or streamed, with resuming, cancelling and crashes.

use std::sync::Arc;
use std::time::{Duration, Instant};

use bytes::Bytes;
use hyper::StatusCode;
use tokio::sync::{Notify, mpsc};
use tokio::time::sleep;

use crate::POISON_MARKER;
use crate::answer::{prefix_digest, prompt_id, prompt_tokens, token_at};
use crate::chat::{ChatRequest, Choice, Completion, Delta, Message, Usage};
use crate::engine::Engine;
use crate::http::{DropConnection, Reply, Req, error, events, header, json, read_body};
use crate::run_guard::{Outcome, RunGuard};
use crate::server::Crasher;

/// Default of `max_tokens`.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Upper bound of `max_tokens`.
const MAX_TOKENS: u32 = 32_768;

/// A request in the engine.
struct Job {
    engine: Arc<Engine>,
    crasher: Crasher,
    attempt: String,
    model: String,
    prompt: String,
    prompt_id: u64,
    /// Index of the first token to send; greater than zero for a resumed stream.
    first: u32,
    max_tokens: u32,
}

impl Job {
    fn usage(&self) -> Usage {
        let prompt_tokens = prompt_tokens(&self.prompt);
        Usage {
            prompt_tokens,
            completion_tokens: self.max_tokens,
            total_tokens: prompt_tokens.saturating_add(self.max_tokens),
        }
    }

    fn finish_reason(outcome: Outcome) -> &'static str {
        match outcome {
            Outcome::Completed => "length",
            Outcome::Cancelled | Outcome::Abandoned => "cancelled",
        }
    }
}

/// The destination of a job's tokens.
enum Output {
    /// A single response, sent at the end.
    Complete(String),
    /// A stream with one event per token.
    Events(mpsc::Sender<Bytes>),
}

impl Output {
    /// Adds a token; returns whether the caller is still connected.
    async fn push(&mut self, job: &Job, token: String) -> bool {
        let tx = match self {
            Self::Complete(content) => {
                content.push_str(&token);
                return true;
            }
            Self::Events(tx) => tx,
        };
        let delta = Delta {
            content: Some(token),
        };
        let choice = Choice {
            delta: Some(delta),
            ..Choice::default()
        };
        tx.send(event(job, choice, None)).await.is_ok()
    }
}

/// Sleeps, but only yields for zero, since the timer sleeps for at least a millisecond.
async fn sleep_or_yield(time: Duration) {
    if time.is_zero() {
        tokio::task::yield_now().await;
    } else {
        sleep(time).await;
    }
}

/// Handles a chat completion request.
pub(crate) async fn handle_completion(
    engine: Arc<Engine>,
    crasher: Crasher,
    req: Req,
) -> Result<Reply, DropConnection> {
    let attempt = match header(&req, "x-attempt-id") {
        Some(attempt) => attempt.to_owned(),
        None => engine.next_attempt_id(),
    };
    let first = header(&req, "x-resume-from").map(str::parse::<u32>);
    let body = match read_body(req.into_body()).await {
        Ok(body) => body,
        Err(reply) => return Ok(reply),
    };
    let Ok(chat) = serde_json::from_slice::<ChatRequest>(&body) else {
        return Ok(error(
            StatusCode::BAD_REQUEST,
            "the request is not valid JSON",
        ));
    };
    let first = match first {
        None => 0,
        Some(Ok(first)) if engine.cfg.capabilities.resume => first,
        Some(_) => {
            return Ok(error(
                StatusCode::BAD_REQUEST,
                "the stream can't be resumed",
            ));
        }
    };
    let model = chat.model.unwrap_or_else(|| engine.cfg.pool.clone());
    if !engine.lock().models.contains(&model) {
        return Ok(error(StatusCode::NOT_FOUND, "the model is not loaded"));
    }
    let contents: Vec<String> = chat.messages.into_iter().map(|m| m.content).collect();
    let prompt = contents.join("\n");
    let job = Job {
        engine,
        crasher,
        attempt,
        model,
        prompt_id: prompt_id(&prompt),
        prompt,
        first,
        max_tokens: chat
            .max_tokens
            .unwrap_or(DEFAULT_MAX_TOKENS)
            .min(MAX_TOKENS),
    };
    if chat.stream {
        Ok(stream_reply(job))
    } else {
        Ok(complete(&job).await)
    }
}

async fn complete(job: &Job) -> Reply {
    let mut output = Output::Complete(String::new());
    let outcome = run(job, &mut output).await;
    let content = match output {
        Output::Complete(content) => content,
        Output::Events(_) => String::new(),
    };
    let message = Message {
        role: "assistant".to_owned(),
        content,
    };
    let choice = Choice {
        message: Some(message),
        finish_reason: Some(Job::finish_reason(outcome)),
        ..Choice::default()
    };
    let usage = Some(job.usage());
    json(
        StatusCode::OK,
        &completion(job, "chat.completion", choice, usage),
    )
}

fn stream_reply(job: Job) -> Reply {
    let (tx, reply) = events();
    tokio::spawn(async move {
        let caller = tx.clone();
        tokio::select! {
            // The caller disconnected or the engine crashed: dropping the run frees its slot.
            () = caller.closed() => {}
            () = send_stream(&job, tx) => {}
        }
    });
    reply
}

async fn send_stream(job: &Job, tx: mpsc::Sender<Bytes>) {
    let mut output = Output::Events(tx.clone());
    let outcome = run(job, &mut output).await;
    let last = Choice {
        delta: Some(Delta::default()),
        finish_reason: Some(Job::finish_reason(outcome)),
        ..Choice::default()
    };
    // Fails only if the caller has disconnected.
    let _ = tx.send(event(job, last, Some(job.usage()))).await;
    let _ = tx.send(Bytes::from_static(b"data: [DONE]\n\n")).await;
}

fn completion<'a>(
    job: &'a Job,
    object: &'a str,
    choice: Choice<'a>,
    usage: Option<Usage>,
) -> Completion<'a> {
    Completion {
        id: &job.attempt,
        object,
        model: &job.model,
        choices: [choice],
        usage,
    }
}

fn event(job: &Job, choice: Choice<'_>, usage: Option<Usage>) -> Bytes {
    let chunk = completion(job, "chat.completion.chunk", choice, usage);
    let json = serde_json::to_string(&chunk).unwrap_or_default();
    format!("data: {json}\n\n").into()
}

/// Runs a job until it is finished or cancelled.
async fn run(job: &Job, output: &mut Output) -> Outcome {
    let (cancel, has_cache) = job
        .engine
        .lock()
        .attempts
        .start(&job.attempt, job.prompt_id);
    let mut guard = RunGuard {
        engine: Arc::clone(&job.engine),
        attempt: job.attempt.clone(),
        cancel: Arc::clone(&cancel),
        outcome: Outcome::Abandoned,
    };
    guard.outcome = until_cancelled(&cancel, run_in_batch(job, has_cache, output)).await;
    guard.outcome
}

async fn until_cancelled(cancel: &Notify, run: impl Future<Output = Outcome>) -> Outcome {
    tokio::select! {
        () = cancel.notified() => Outcome::Cancelled,
        outcome = run => outcome,
    }
}

async fn run_in_batch(job: &Job, has_cache: bool, output: &mut Output) -> Outcome {
    let engine = &job.engine;
    let arrived = Instant::now();
    let _slot = engine.slots.acquire().await;
    let cached = record_start(job, has_cache, arrived.elapsed());
    if job.prompt.contains(POISON_MARKER) {
        engine.crash(&job.crasher, engine.cfg.down_after_crash);
        // The crash drops the connection and with it this job.
        std::future::pending::<()>().await;
    }
    let size = engine.slots.size();
    let occupancy = engine.slots.occupancy();
    let tokens = prompt_tokens(&job.prompt);
    sleep(engine.latency().prefill(tokens, cached, occupancy, size)).await;
    for index in job.first..job.max_tokens {
        if index > job.first {
            let occupancy = engine.slots.occupancy();
            sleep_or_yield(engine.latency().between_tokens(occupancy, size)).await;
        }
        engine.lock().stats.tokens += 1;
        if !output.push(job, token_at(job.prompt_id, index)).await {
            return Outcome::Abandoned;
        }
    }
    Outcome::Completed
}

/// Records the start of a job; returns whether its prompt is cached.
fn record_start(job: &Job, has_cache: bool, waited: Duration) -> bool {
    let waiting = job.engine.slots.occupancy().waiting;
    let mut state = job.engine.lock();
    state.stats.started += 1;
    state.stats.total_wait += waited;
    state.stats.max_waiting = state.stats.max_waiting.max(waiting);
    *state.runs.entry(job.prompt_id).or_default() += 1;
    let resumed = has_cache && job.first > 0;
    state.stats.resumed += u64::from(job.first > 0);
    let cached = state.cache.touch(&prefix_digest(&job.prompt)) || resumed;
    state.stats.cache_hits += u64::from(cached);
    cached
}
