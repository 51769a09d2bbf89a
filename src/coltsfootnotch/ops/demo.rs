//! `coltsfootnotch demo`: a fleet in one process, and a look at what it does.

use std::io::Read;
use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_fakes::{OrderHandle, expected_answer};
use derive_more::{Display, Error, From};
use rand::SeedableRng;
use rand::rngs::StdRng;
use serde_json::{Value, json};
use ureq::Agent;
use ureq::http::Response;

use super::fleet::{Fleet, FleetError, FleetPlan, demo_key};

const ACCOUNT: &str = "large-contractor";
const MODEL: &str = "spec-llm";
const PROMPT: &str = "Cure time of a 3 mm screed at 18 degrees?";
const MAX_TOKENS: u32 = 12;
const BOOKING_KEY: &str = "demo-sample-order-1";
const TIMEOUT: Duration = Duration::from_secs(20);

/// How the demo is run.
#[derive(Debug, Clone, Copy)]
pub struct DemoOptions {
    /// Whether to end after the requests have been shown.
    pub once: bool,
    /// Seed of what is drawn at random.
    pub seed: u64,
}

/// Why the demo can't be shown, or did not show what it should.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The fleet can't run.
    #[display("the fleet can't run")]
    Fleet(FleetError),
    /// A request got no answer.
    #[display("a request got no answer")]
    Http(ureq::Error),
    /// An answer is not what it should be.
    #[display("{failed} of the requests did not get the answer they should")]
    #[from(skip)]
    Wrong {
        /// How many.
        failed: usize,
    },
    /// A line can't be written.
    #[display("the output can't be written")]
    Io(std::io::Error),
}

/// One line of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
struct Shown {
    request: &'static str,
    status: u16,
    got: String,
    right: bool,
}

/// Runs the demo; `out` takes what a person reads, `wait` returns when the demo is to end.
///
/// # Errors
/// Returns an error when the fleet can't run or an answer is not what it should be.
pub fn demo(
    opts: &DemoOptions,
    out: &mut impl std::io::Write,
    wait: impl FnOnce(),
) -> Result<(), DemoError> {
    let fleet = Fleet::start(&FleetPlan::demo(), &mut StdRng::seed_from_u64(opts.seed))?;
    let shown = show(&fleet)?;
    print(&shown, &fleet, out)?;
    if !opts.once {
        wait();
    }
    fleet.stop();
    match shown.iter().filter(|line| !line.right).count() {
        0 => Ok(()),
        failed => Err(DemoError::Wrong { failed }),
    }
}

fn show(fleet: &Fleet) -> Result<Vec<Shown>, DemoError> {
    let callers = fleet.http_addresses();
    let first = callers[0];
    let last = callers[callers.len() - 1];
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .into();
    let booked = book(&agent, first)?;
    let number = booked.got.clone();
    let mut shown = vec![completion(&agent, first)?, stream(&agent, last)?, booked];
    let again = book(&agent, last)?;
    let right = again.right && again.got == number;
    shown.push(Shown {
        request: "the same booking again, elsewhere",
        right,
        ..again
    });
    shown.push(reread(&agent, first)?);
    let made = |service: &OrderHandle| service.bookings().get(BOOKING_KEY).copied().unwrap_or(0);
    let bookings: usize = fleet.services().iter().map(made).sum();
    shown.push(Shown {
        request: "bookings that the order service counts",
        status: 200,
        got: bookings.to_string(),
        right: bookings == 1,
    });
    Ok(shown)
}

fn bearer() -> String {
    format!("Bearer {}", demo_key(ACCOUNT))
}

fn chat_body(stream: bool) -> String {
    json!({
        "model": MODEL,
        "messages": [{ "role": "user", "content": PROMPT }],
        "max_tokens": MAX_TOKENS,
        "stream": stream,
    })
    .to_string()
}

fn ask_chat(
    agent: &Agent,
    at: SocketAddr,
    stream: bool,
) -> Result<Response<ureq::Body>, ureq::Error> {
    agent
        .post(format!("http://{at}/v1/chat/completions"))
        .header("authorization", bearer())
        .header("content-type", "application/json")
        .send(chat_body(stream))
}

fn read(response: Response<ureq::Body>) -> Result<(u16, String), DemoError> {
    let status = response.status().as_u16();
    let mut text = String::new();
    response
        .into_body()
        .into_reader()
        .read_to_string(&mut text)?;
    Ok((status, text))
}

fn completion(agent: &Agent, at: SocketAddr) -> Result<Shown, DemoError> {
    let (status, text) = read(ask_chat(agent, at, false)?)?;
    let answer: Value = serde_json::from_str(&text).unwrap_or_default();
    let content = answer["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or(&text);
    let right = status == 200 && content == expected_answer(PROMPT, MAX_TOKENS);
    Ok(Shown {
        request: "completion",
        status,
        got: shorten(content),
        right,
    })
}

fn stream(agent: &Agent, at: SocketAddr) -> Result<Shown, DemoError> {
    let (status, text) = read(ask_chat(agent, at, true)?)?;
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let tokens = chunks.filter_map(|chunk| {
        chunk["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    });
    let content: String = tokens.collect();
    let whole = text.trim_end().ends_with("data: [DONE]");
    let right = status == 200 && whole && content == expected_answer(PROMPT, MAX_TOKENS);
    Ok(Shown {
        request: "stream, through another entry",
        status,
        got: shorten(&content),
        right,
    })
}

fn book(agent: &Agent, at: SocketAddr) -> Result<Shown, DemoError> {
    let response = agent
        .post(format!("http://{at}/member-desk/orders"))
        .header("authorization", bearer())
        .header("content-type", "application/json")
        .header("idempotency-key", BOOKING_KEY)
        .send(json!({ "pigment": "RAL 7035", "litres": 1 }).to_string())?;
    let (status, got) = read(response)?;
    Ok(Shown {
        request: "booking",
        status,
        right: (200..300).contains(&status),
        got,
    })
}

fn reread(agent: &Agent, at: SocketAddr) -> Result<Shown, DemoError> {
    let response = agent
        .get(format!(
            "http://{at}/member-desk/orders/by-key/{BOOKING_KEY}"
        ))
        .header("authorization", bearer())
        .call()?;
    let (status, got) = read(response)?;
    Ok(Shown {
        request: "rereading the booking",
        status,
        right: status == 200,
        got,
    })
}

fn shorten(text: &str) -> String {
    const SHOWN: usize = 48;
    match text.char_indices().nth(SHOWN) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

fn print(shown: &[Shown], fleet: &Fleet, out: &mut impl std::io::Write) -> std::io::Result<()> {
    writeln!(
        out,
        "{:<40} {:>6}  {:<5}  answer",
        "request", "status", "right"
    )?;
    for line in shown {
        let right = if line.right { "yes" } else { "NO" };
        let got = shorten(line.got.trim_end());
        writeln!(
            out,
            "{:<40} {:>6}  {right:<5}  {got}",
            line.request, line.status
        )?;
    }
    writeln!(out)?;
    for (number, address) in fleet.http_addresses().iter().enumerate() {
        writeln!(
            out,
            "entry-{} takes callers at http://{address}",
            number + 1
        )?;
    }
    let address = fleet.http_addresses()[0];
    writeln!(
        out,
        "\ntry:\n  curl -N http://{address}/v1/chat/completions \\"
    )?;
    writeln!(
        out,
        "    -H 'Authorization: {}' -H 'Content-Type: application/json' \\",
        bearer()
    )?;
    writeln!(out, "    -d '{}'", chat_body(true))
}
