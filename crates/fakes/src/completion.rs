//! Chat completions of a stand-in engine: whole or streamed, resumed, cancelled, crashed.

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
use crate::server::Crasher;

/// Tokens of an answer whose request states no length.
const DEFAULT_MAX_TOKENS: u32 = 16;
/// Longest answer, in tokens.
const MAX_TOKENS: u32 = 32_768;

/// How a run ended.
#[derive(Clone, Copy, PartialEq, Eq)]
enum Ending {
    Whole,
    Cancelled,
    Abandoned,
}

/// One request in the engine.
struct Job {
    engine: Arc<Engine>,
    crasher: Crasher,
    attempt: String,
    model: String,
    prompt: String,
    prompt_id: u64,
    /// Token at which the answer begins; more than zero for a resumed stream.
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

    fn finish_reason(ending: Ending) -> &'static str {
        match ending {
            Ending::Whole => "length",
            Ending::Cancelled | Ending::Abandoned => "cancelled",
        }
    }
}

/// Where the tokens of a job go.
enum Output {
    /// Into one answer, sent at the end.
    Whole(String),
    /// To the caller, one event a token.
    Events(mpsc::Sender<Bytes>),
}

impl Output {
    /// Takes a token; returns whether the caller still wants more.
    async fn put(&mut self, job: &Job, token: String) -> bool {
        let tx = match self {
            Self::Whole(content) => {
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

/// Counts how a job ended, also when its connection goes away and the job is dropped midway.
struct Running {
    engine: Arc<Engine>,
    attempt: String,
    cancel: Arc<Notify>,
    ending: Ending,
}

impl Drop for Running {
    fn drop(&mut self) {
        let mut state = self.engine.lock();
        state.attempts.end(&self.attempt, &self.cancel);
        match self.ending {
            Ending::Whole => state.stats.finished += 1,
            Ending::Cancelled => state.stats.cancelled += 1,
            Ending::Abandoned => state.stats.abandoned += 1,
        }
    }
}

/// Sleeps, but not at all for no time: the timer's least sleep is a millisecond.
async fn pause(time: Duration) {
    if time.is_zero() {
        tokio::task::yield_now().await;
    } else {
        sleep(time).await;
    }
}

/// Answers a chat completion.
pub(crate) async fn answer(
    engine: Arc<Engine>,
    crasher: Crasher,
    req: Req,
) -> Result<Reply, DropConnection> {
    let attempt = match header(&req, "x-attempt-id") {
        Some(attempt) => attempt.to_owned(),
        None => engine.unnamed_attempt(),
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
        Ok(streamed(job))
    } else {
        Ok(whole(&job).await)
    }
}

async fn whole(job: &Job) -> Reply {
    let mut output = Output::Whole(String::new());
    let ending = run(job, &mut output).await;
    let content = match output {
        Output::Whole(content) => content,
        Output::Events(_) => String::new(),
    };
    let message = Message {
        role: "assistant".to_owned(),
        content,
    };
    let choice = Choice {
        message: Some(message),
        finish_reason: Some(Job::finish_reason(ending)),
        ..Choice::default()
    };
    let usage = Some(job.usage());
    json(
        StatusCode::OK,
        &completion(job, "chat.completion", choice, usage),
    )
}

fn streamed(job: Job) -> Reply {
    let (tx, reply) = events();
    tokio::spawn(async move {
        let gone = tx.clone();
        tokio::select! {
            // The caller went away, or the engine crashed: dropping the run frees its slot.
            () = gone.closed() => {}
            () = stream(&job, tx) => {}
        }
    });
    reply
}

async fn stream(job: &Job, tx: mpsc::Sender<Bytes>) {
    let mut output = Output::Events(tx.clone());
    let ending = run(job, &mut output).await;
    let last = Choice {
        delta: Some(Delta::default()),
        finish_reason: Some(Job::finish_reason(ending)),
        ..Choice::default()
    };
    // A caller that went away has no use for the end of the stream.
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

/// Runs a job through the batch until it ends or is cancelled.
async fn run(job: &Job, output: &mut Output) -> Ending {
    let (cancel, known) = job
        .engine
        .lock()
        .attempts
        .begin(&job.attempt, job.prompt_id);
    let mut running = Running {
        engine: Arc::clone(&job.engine),
        attempt: job.attempt.clone(),
        cancel: Arc::clone(&cancel),
        ending: Ending::Abandoned,
    };
    running.ending = until_cancelled(&cancel, batch(job, known, output)).await;
    running.ending
}

async fn until_cancelled(cancel: &Notify, batch: impl Future<Output = Ending>) -> Ending {
    tokio::select! {
        () = cancel.notified() => Ending::Cancelled,
        ending = batch => ending,
    }
}

async fn batch(job: &Job, known: bool, output: &mut Output) -> Ending {
    let engine = &job.engine;
    let arrived = Instant::now();
    let _slot = engine.slots.acquire().await;
    let cached = note_start(job, known, arrived.elapsed());
    if job.prompt.contains(POISON_MARKER) {
        engine.crash(&job.crasher, engine.cfg.down_after_crash);
        // The crash drops the connection, and this job with it.
        std::future::pending::<()>().await;
    }
    let size = engine.slots.size();
    let occupancy = engine.slots.occupancy();
    let tokens = prompt_tokens(&job.prompt);
    sleep(engine.pace().prefill(tokens, cached, occupancy, size)).await;
    for index in job.first..job.max_tokens {
        if index > job.first {
            let occupancy = engine.slots.occupancy();
            pause(engine.pace().between(occupancy, size)).await;
        }
        engine.lock().stats.tokens += 1;
        if !output.put(job, token_at(job.prompt_id, index)).await {
            return Ending::Abandoned;
        }
    }
    Ending::Whole
}

/// Counts the start of a job; returns whether its prompt need not be computed.
fn note_start(job: &Job, known: bool, waited: Duration) -> bool {
    let waiting = job.engine.slots.occupancy().waiting;
    let mut state = job.engine.lock();
    state.stats.started += 1;
    state.stats.waited += waited;
    state.stats.most_waiting = state.stats.most_waiting.max(waiting);
    *state.runs.entry(job.prompt_id).or_default() += 1;
    let resumed = known && job.first > 0;
    state.stats.resumed += u64::from(job.first > 0);
    let cached = state.cache.touch(&prefix_digest(&job.prompt)) || resumed;
    state.stats.cache_hits += u64::from(cached);
    cached
}
