//! Measures the overhead of the hop through the fleet, compared with direct calls to the engines.
//!
//! Both paths run in one process against the same stand-in engines. Single requests alternate
//! between them, so that other load on the machine affects both equally.

use std::io;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use hdrhistogram::Histogram;
use serde::Serialize;

use super::client::{Answer, ChatCall, Client, Progress};
use super::process::{cpu_time, resident_bytes};
use super::summary::{Percentiles, percentiles};
use super::target::Target;

/// Pairs of requests before the measurement, to open connections and let windows adapt.
const WARM_UP_PAIRS: usize = 20;
/// Tokens of each answer in the latency measurement.
const LATENCY_TOKENS: u32 = 16;
/// Upper bound of the histograms, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// Divisor of the number of streams that are open at the first memory reading.
const FIRST_READING_DIVISOR: usize = 2;
const CALLER_STACK_BYTES: usize = 256 * 1024;

/// Options of the hop measurement.
#[derive(Debug, Clone, Copy)]
pub struct HopOptions {
    /// Pairs of requests in the latency measurement.
    pub pairs: usize,
    /// Length of each throughput phase.
    pub phase: Duration,
    /// Callers of the throughput phases; fewer than there are slots, so that no request queues.
    pub callers: usize,
    /// How long the streams are open before memory is read; they last twice as long.
    pub hold_time: Duration,
    /// Streams open at the second memory reading; at most the number of slots.
    pub streams: usize,
}

/// Metrics of one path to the engines.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct PathMetrics {
    /// From sending to the first token.
    pub first_token_ms: Percentiles,
    /// From one token to the next.
    pub between_tokens_ms: Percentiles,
    /// Short requests answered per second.
    pub requests_per_s: f64,
    /// CPU time of the whole process per short request.
    pub cpu_ms_per_request: f64,
    /// Memory growth of the whole process per open stream, its caller included, in KiB.
    pub kb_per_stream: f64,
    /// Streams that were open when memory was read.
    pub streams: usize,
    /// Requests without a complete answer.
    pub failures: u64,
}

/// Metrics of both paths.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct HopOverhead {
    /// Direct calls to the engines.
    pub direct: PathMetrics,
    /// Calls to the same engines through the fleet.
    pub fleet: PathMetrics,
}

/// Reading taken while streams were open.
struct Reading {
    resident: Option<u64>,
    open: usize,
    failures: u64,
}

/// One path to the engines, with its measurements so far.
struct MeasuredPath<'a> {
    clients: Vec<Client>,
    model: &'a str,
    name: &'static str,
    first_token: Histogram<u64>,
    between_tokens: Histogram<u64>,
    metrics: PathMetrics,
}

impl<'a> MeasuredPath<'a> {
    fn new(name: &'static str, clients: Vec<Client>, model: &'a str) -> Self {
        // The histogram accepts these constant bounds.
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("valid bounds");
        Self {
            clients,
            model,
            name,
            first_token: histogram(),
            between_tokens: histogram(),
            metrics: PathMetrics::default(),
        }
    }

    fn chat_call(&self, number: usize, max_tokens: u32) -> ChatCall {
        ChatCall {
            model: self.model.to_owned(),
            messages: [
                "Answer briefly.".to_owned(),
                format!("{} {number}", self.name),
            ],
            max_tokens,
            stream: true,
        }
    }

    /// Sends one streamed request and records its latencies.
    fn measure_latency(&mut self, number: usize) {
        let call = self.chat_call(number, LATENCY_TOKENS);
        let client = &self.clients[number % self.clients.len()];
        let (first_token, between_tokens) = (&mut self.first_token, &mut self.between_tokens);
        let sent = Instant::now();
        let mut last: Option<Instant> = None;
        let answer = client.chat(&call, |progress| {
            if let Progress::Tokens(_) = progress {
                let now = Instant::now();
                match last.replace(now) {
                    None => first_token.saturating_record(micros(now - sent)),
                    Some(before) => between_tokens.saturating_record(micros(now - before)),
                }
            }
        });
        self.metrics.failures += u64::from(!matches!(answer, Answer::Complete(_)));
    }

    /// Runs several callers for `phase`; returns the numbers of complete and failed answers.
    fn run_callers(&self, callers: usize, phase: Duration, tokens: u32) -> io::Result<(u64, u64)> {
        let started = Instant::now();
        let counts: Vec<(u64, u64)> = run_threads(callers, |caller| {
            let client = &self.clients[caller % self.clients.len()];
            let (mut complete, mut failed) = (0, 0);
            while started.elapsed() < phase {
                let number = caller + callers * (complete + failed) as usize;
                match client.chat(&self.chat_call(number, tokens), |_| {}) {
                    Answer::Complete(_) => complete += 1,
                    _ => failed += 1,
                }
            }
            (complete, failed)
        })?;
        let add = |(a, b), (complete, failed)| (a + complete, b + failed);
        Ok(counts.into_iter().fold((0, 0), add))
    }

    /// Measures throughput and CPU time of short requests from several callers.
    fn measure_throughput(&mut self, opts: &HopOptions) -> io::Result<()> {
        let (started, cpu_before) = (Instant::now(), cpu_time());
        let (complete, failed) = self.run_callers(opts.callers, opts.phase, 1)?;
        let elapsed = started.elapsed();
        self.metrics.failures += failed;
        self.metrics.requests_per_s = complete as f64 / elapsed.as_secs_f64();
        if let (Some(before), Some(after)) = (cpu_before, cpu_time()) {
            let cpu_ms = 1000.0 * (after - before).as_secs_f64();
            self.metrics.cpu_ms_per_request = cpu_ms / complete.max(1) as f64;
        }
        Ok(())
    }

    /// Measures memory per open stream: the slope between two readings with different numbers of
    /// streams, which leaves out one-time allocations.
    ///
    /// The warm-up callers make the upstreams' windows grow. There are no more of them than streams
    /// at the first reading, since memory retained by the allocator would hide later growth.
    fn measure_memory(&mut self, opts: &HopOptions, token: Duration) -> io::Result<()> {
        let fewer = opts.streams.div_ceil(FIRST_READING_DIVISOR);
        let (_, failed) = self.run_callers(fewer, opts.phase, LATENCY_TOKENS)?;
        let few = self.hold_streams(fewer, opts.hold_time, token)?;
        let many = self.hold_streams(opts.streams, opts.hold_time, token)?;
        self.metrics.failures += failed + few.failures + many.failures;
        self.metrics.streams = many.open;
        if let (Some(before), Some(after)) = (few.resident, many.resident) {
            let grown = after as f64 - before as f64;
            let streams = many.open as f64 - few.open as f64;
            self.metrics.kb_per_stream = grown / 1024.0 / streams.max(1.0);
        }
        Ok(())
    }

    /// Holds streams open for twice `half` and reads the memory of the process after `half`.
    fn hold_streams(&self, streams: usize, half: Duration, token: Duration) -> io::Result<Reading> {
        let tokens = 2 * half.as_micros() / token.as_micros().max(1);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let open = AtomicUsize::new(0);
        thread::scope(|scope| {
            let reader = scope.spawn(|| {
                thread::sleep(half);
                (resident_bytes(), open.load(Ordering::SeqCst))
            });
            let complete = run_threads(streams, |number| {
                let client = &self.clients[number % self.clients.len()];
                let mut opened = false;
                let answer = client.chat(&self.chat_call(number, tokens), |progress| {
                    if matches!(progress, Progress::Tokens(_)) && !opened {
                        opened = true;
                        open.fetch_add(1, Ordering::SeqCst);
                    }
                });
                if opened {
                    open.fetch_sub(1, Ordering::SeqCst);
                }
                matches!(answer, Answer::Complete(_))
            })?;
            let (resident, open) = reader.join().unwrap_or((None, 0));
            Ok(Reading {
                resident,
                open,
                failures: complete.into_iter().filter(|complete| !complete).count() as u64,
            })
        })
    }

    fn finish(mut self) -> PathMetrics {
        self.metrics.first_token_ms = percentiles(&self.first_token);
        self.metrics.between_tokens_ms = percentiles(&self.between_tokens);
        self.metrics
    }
}

/// Measures both paths.
///
/// Memory is measured through the fleet first: memory retained by the allocator lowers the direct
/// result, so the difference is biased against the fleet.
///
/// # Errors
/// Returns the system's error when a caller's thread can't be started.
pub fn measure_hop(
    target: &Target<'_>,
    opts: &HopOptions,
    mut progress: impl FnMut(&str),
) -> io::Result<HopOverhead> {
    let key = target.accounts.first().map(|account| account.key.clone());
    let entries = target.entries.iter();
    let through = entries.map(|address| Client::new(*address, key.clone()));
    let engines = target.engines.iter();
    let directly = engines.map(|engine| Client::new(engine.address(), None));
    let mut fleet = MeasuredPath::new("fleet", through.collect(), &target.model);
    let mut direct = MeasuredPath::new("direct", directly.collect(), &target.model);
    progress("warm-up");
    for number in 0..WARM_UP_PAIRS {
        fleet.measure_latency(number);
        direct.measure_latency(number);
    }
    fleet.first_token.reset();
    fleet.between_tokens.reset();
    direct.first_token.reset();
    direct.between_tokens.reset();
    progress("latency of single requests, alternating between both paths");
    for number in WARM_UP_PAIRS..WARM_UP_PAIRS + opts.pairs {
        fleet.measure_latency(number);
        direct.measure_latency(number);
    }
    progress("throughput of short requests");
    fleet.measure_throughput(opts)?;
    direct.measure_throughput(opts)?;
    progress("memory of open streams");
    let token = target
        .engines
        .iter()
        .map(|engine| engine.config().time_per_token);
    let token = token.min().unwrap_or(Duration::from_millis(1));
    fleet.measure_memory(opts, token)?;
    direct.measure_memory(opts, token)?;
    Ok(HopOverhead {
        direct: direct.finish(),
        fleet: fleet.finish(),
    })
}

/// Runs `work` on `count` threads and collects the results.
fn run_threads<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> io::Result<Vec<T>> {
    thread::scope(|scope| {
        let work = &work;
        let threads: io::Result<Vec<_>> = (0..count)
            .map(|index| {
                thread::Builder::new()
                    .stack_size(CALLER_STACK_BYTES)
                    .spawn_scoped(scope, move || work(index))
            })
            .collect();
        let join = |thread: thread::ScopedJoinHandle<'_, T>| {
            let panicked = |_| io::Error::other("a caller panicked");
            thread.join().map_err(panicked)
        };
        threads?.into_iter().map(join).collect()
    })
}

fn micros(time: Duration) -> u64 {
    u64::try_from(time.as_micros()).unwrap_or(u64::MAX)
}
