//! What the hop through the fleet costs: the same requests to an engine directly and through it.
//!
//! Both sides run in one process against the same stand-in engines, request by request in turn, so
//! that whatever else the machine does falls on both.

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

/// Pairs of requests before the measured ones: connections are made and limits found.
const WARM_UP_PAIRS: usize = 20;
/// Tokens of the answers whose times are measured.
const TOKENS: u32 = 16;
/// Longest time between tokens that the histograms hold, in microseconds.
const MAX_MICROS: u64 = 60_000_000;
/// One part in this many of the streams is open at the first reading of memory.
const SOME: usize = 2;
const CALLER_STACK_BYTES: usize = 256 * 1024;

/// How the hop is measured.
#[derive(Debug, Clone, Copy)]
pub struct HopOptions {
    /// Pairs of requests whose times are measured.
    pub pairs: usize,
    /// Length of each of the two throughput phases.
    pub phase: Duration,
    /// Callers of the throughput phases; fewer than there are slots, so that nothing queues.
    pub callers: usize,
    /// How long the streams are open before memory is read; they last twice as long.
    pub open: Duration,
    /// Streams held open for the reading of memory; at most the number of slots.
    pub streams: usize,
}

/// What one side measured.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct HopSide {
    /// From sending to the first token.
    pub first_token_ms: Percentiles,
    /// From one token to the next.
    pub between_tokens_ms: Percentiles,
    /// Short requests answered a second.
    pub requests_per_s: f64,
    /// Processor time of the whole process for one short request.
    pub cpu_ms_per_request: f64,
    /// Growth of the whole process for one more open stream, its caller included.
    pub kb_per_stream: f64,
    /// Streams that were open when memory was read.
    pub streams: usize,
    /// Requests that were not answered whole.
    pub failures: u64,
}

/// Both sides.
#[derive(Debug, Clone, Copy, Default, PartialEq, Serialize)]
pub struct HopCost {
    /// The engines called directly.
    pub direct: HopSide,
    /// The same engines through the fleet.
    pub fleet: HopSide,
}

/// What was seen while streams were held open.
struct Held {
    resident: Option<u64>,
    open: usize,
    failures: u64,
}

/// One side at work.
struct Side<'a> {
    clients: Vec<Client>,
    model: &'a str,
    name: &'static str,
    first_token: Histogram<u64>,
    between: Histogram<u64>,
    cost: HopSide,
}

impl<'a> Side<'a> {
    fn new(name: &'static str, clients: Vec<Client>, model: &'a str) -> Self {
        // The bounds are constants within what the histogram accepts.
        let histogram = || Histogram::new_with_max(MAX_MICROS, 3).expect("valid bounds");
        Self {
            clients,
            model,
            name,
            first_token: histogram(),
            between: histogram(),
            cost: HopSide::default(),
        }
    }

    fn call(&self, number: usize, max_tokens: u32) -> ChatCall {
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

    /// Sends one streamed request and records its times.
    fn timed(&mut self, number: usize) {
        let call = self.call(number, TOKENS);
        let client = &self.clients[number % self.clients.len()];
        let (first_token, between) = (&mut self.first_token, &mut self.between);
        let sent = Instant::now();
        let mut last: Option<Instant> = None;
        let answer = client.chat(&call, |progress| {
            if let Progress::Tokens(_) = progress {
                let now = Instant::now();
                match last.replace(now) {
                    None => first_token.saturating_record(micros(now - sent)),
                    Some(before) => between.saturating_record(micros(now - before)),
                }
            }
        });
        self.cost.failures += u64::from(!matches!(answer, Answer::Whole(_)));
    }

    /// Asks from several callers for `phase` with answers of `tokens`; returns whole and failed ones.
    fn ask(&self, callers: usize, phase: Duration, tokens: u32) -> io::Result<(u64, u64)> {
        let started = Instant::now();
        let counts: Vec<(u64, u64)> = scoped(callers, |caller| {
            let client = &self.clients[caller % self.clients.len()];
            let (mut whole, mut failed) = (0, 0);
            while started.elapsed() < phase {
                let number = caller + callers * (whole + failed) as usize;
                match client.chat(&self.call(number, tokens), |_| {}) {
                    Answer::Whole(_) => whole += 1,
                    _ => failed += 1,
                }
            }
            (whole, failed)
        })?;
        let add = |(a, b), (whole, failed)| (a + whole, b + failed);
        Ok(counts.into_iter().fold((0, 0), add))
    }

    /// Short requests from several callers for `phase`.
    fn throughput(&mut self, opts: &HopOptions) -> io::Result<()> {
        let (started, cpu_before) = (Instant::now(), cpu_time());
        let (whole, failed) = self.ask(opts.callers, opts.phase, 1)?;
        let elapsed = started.elapsed();
        self.cost.failures += failed;
        self.cost.requests_per_s = whole as f64 / elapsed.as_secs_f64();
        if let (Some(before), Some(after)) = (cpu_before, cpu_time()) {
            let cpu_ms = 1000.0 * (after - before).as_secs_f64();
            self.cost.cpu_ms_per_request = cpu_ms / whole.max(1) as f64;
        }
        Ok(())
    }

    /// Reads the memory of the process with some streams open and with many; the slope between the
    /// two leaves out what is allocated once.
    ///
    /// The callers that go before make the upstreams' windows grow. There are no more of them than
    /// streams at the first reading: memory that they used is kept by the allocator, and would hide
    /// what the streams of the second reading need.
    fn memory(&mut self, opts: &HopOptions, token: Duration) -> io::Result<()> {
        let some = opts.streams.div_ceil(SOME);
        let (_, failed) = self.ask(some, opts.phase, TOKENS)?;
        let few = self.hold(some, opts.open, token)?;
        let many = self.hold(opts.streams, opts.open, token)?;
        self.cost.failures += failed + few.failures + many.failures;
        self.cost.streams = many.open;
        if let (Some(before), Some(after)) = (few.resident, many.resident) {
            let grown = after as f64 - before as f64;
            let streams = many.open as f64 - few.open as f64;
            self.cost.kb_per_stream = grown / 1024.0 / streams.max(1.0);
        }
        Ok(())
    }

    /// Holds streams open and reads the memory of the process half-way.
    fn hold(&self, streams: usize, half: Duration, token: Duration) -> io::Result<Held> {
        let tokens = 2 * half.as_micros() / token.as_micros().max(1);
        let tokens = u32::try_from(tokens).unwrap_or(u32::MAX);
        let open = AtomicUsize::new(0);
        thread::scope(|scope| {
            let reader = scope.spawn(|| {
                thread::sleep(half);
                (resident_bytes(), open.load(Ordering::SeqCst))
            });
            let whole = scoped(streams, |number| {
                let client = &self.clients[number % self.clients.len()];
                let mut opened = false;
                let answer = client.chat(&self.call(number, tokens), |progress| {
                    if matches!(progress, Progress::Tokens(_)) && !opened {
                        opened = true;
                        open.fetch_add(1, Ordering::SeqCst);
                    }
                });
                if opened {
                    open.fetch_sub(1, Ordering::SeqCst);
                }
                matches!(answer, Answer::Whole(_))
            })?;
            let (resident, open) = reader.join().unwrap_or((None, 0));
            Ok(Held {
                resident,
                open,
                failures: whole.into_iter().filter(|whole| !whole).count() as u64,
            })
        })
    }

    fn finish(mut self) -> HopSide {
        self.cost.first_token_ms = percentiles(&self.first_token);
        self.cost.between_tokens_ms = percentiles(&self.between);
        self.cost
    }
}

/// Measures both sides.
///
/// Memory is read on the fleet's side first: what the allocator keeps from it makes the direct side
/// look smaller, so the difference errs against the fleet.
///
/// # Errors
/// Returns the system's error when a caller's thread can't be started.
pub fn hop(
    target: &Target<'_>,
    opts: &HopOptions,
    mut progress: impl FnMut(&str),
) -> io::Result<HopCost> {
    let key = target.accounts.first().map(|account| account.key.clone());
    let entries = target.entries.iter();
    let through = entries.map(|address| Client::new(*address, key.clone()));
    let engines = target.engines.iter();
    let directly = engines.map(|engine| Client::new(engine.address(), None));
    let mut fleet = Side::new("fleet", through.collect(), &target.model);
    let mut direct = Side::new("direct", directly.collect(), &target.model);
    progress("warm-up");
    for number in 0..WARM_UP_PAIRS {
        fleet.timed(number);
        direct.timed(number);
    }
    fleet.first_token.reset();
    fleet.between.reset();
    direct.first_token.reset();
    direct.between.reset();
    progress("times of one request at a time, in turn");
    for number in WARM_UP_PAIRS..WARM_UP_PAIRS + opts.pairs {
        fleet.timed(number);
        direct.timed(number);
    }
    progress("short requests from several callers");
    fleet.throughput(opts)?;
    direct.throughput(opts)?;
    progress("memory of open streams");
    let token = target
        .engines
        .iter()
        .map(|engine| engine.config().time_per_token);
    let token = token.min().unwrap_or(Duration::from_millis(1));
    fleet.memory(opts, token)?;
    direct.memory(opts, token)?;
    Ok(HopCost {
        direct: direct.finish(),
        fleet: fleet.finish(),
    })
}

/// Runs `work` on `count` threads and collects what each gives.
fn scoped<T: Send>(count: usize, work: impl Fn(usize) -> T + Sync) -> io::Result<Vec<T>> {
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
