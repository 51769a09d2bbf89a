//! `coltsfootnotch demo`: runs a fleet in one process and sends it a few requests.

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

/// Options of `demo`.
#[derive(Debug, Clone, Copy)]
pub struct DemoOptions {
    /// Whether to exit after the results have been printed.
    pub once: bool,
    /// Seed of the random numbers.
    pub seed: u64,
}

/// Why the demo failed.
#[derive(Debug, Display, Error, From)]
pub enum DemoError {
    /// The fleet can't run.
    #[display("the fleet can't run")]
    Fleet(FleetError),
    /// A request got no response.
    #[display("a request got no response")]
    Http(ureq::Error),
    /// Responses were not as expected.
    #[display("{failed} of the requests did not get the expected response")]
    #[from(skip)]
    Wrong {
        /// Number of these requests.
        failed: usize,
    },
    /// The output can't be written.
    #[display("the output can't be written")]
    Io(std::io::Error),
}

/// Result of a request; a row of the table.
#[derive(Debug, Clone, PartialEq, Eq)]
struct RequestResult {
    request: &'static str,
    status: u16,
    response: String,
    is_expected: bool,
}

/// Runs the demo and prints the results to `out`. `wait` blocks until the demo should end.
///
/// # Errors
/// Returns an error when the fleet can't run or a response is not as expected.
pub fn demo(
    opts: &DemoOptions,
    out: &mut impl std::io::Write,
    wait: impl FnOnce(),
) -> Result<(), DemoError> {
    let fleet = Fleet::start(&FleetPlan::demo(), &mut StdRng::seed_from_u64(opts.seed))?;
    let results = send_requests(&fleet)?;
    print(&results, &fleet, out)?;
    if !opts.once {
        wait();
    }
    fleet.stop();
    match results.iter().filter(|result| !result.is_expected).count() {
        0 => Ok(()),
        failed => Err(DemoError::Wrong { failed }),
    }
}

fn send_requests(fleet: &Fleet) -> Result<Vec<RequestResult>, DemoError> {
    let entries = fleet.http_addresses();
    let first = entries[0];
    let last = entries[entries.len() - 1];
    let agent: Agent = Agent::config_builder()
        .http_status_as_error(false)
        .timeout_global(Some(TIMEOUT))
        .build()
        .into();
    let booking = book(&agent, first)?;
    let number = booking.response.clone();
    let mut results = vec![completion(&agent, first)?, stream(&agent, last)?, booking];
    let repeated = book(&agent, last)?;
    let is_expected = repeated.is_expected && repeated.response == number;
    results.push(RequestResult {
        request: "the same booking at another entry",
        is_expected,
        ..repeated
    });
    results.push(query_booking(&agent, first)?);
    let count = |service: &OrderHandle| service.bookings().get(BOOKING_KEY).copied().unwrap_or(0);
    let bookings: usize = fleet.services().iter().map(count).sum();
    results.push(RequestResult {
        request: "bookings made at the order service",
        status: 200,
        response: bookings.to_string(),
        is_expected: bookings == 1,
    });
    Ok(results)
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

fn post_chat(
    agent: &Agent,
    entry: SocketAddr,
    stream: bool,
) -> Result<Response<ureq::Body>, ureq::Error> {
    agent
        .post(format!("http://{entry}/v1/chat/completions"))
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

fn completion(agent: &Agent, entry: SocketAddr) -> Result<RequestResult, DemoError> {
    let (status, text) = read(post_chat(agent, entry, false)?)?;
    let completion: Value = serde_json::from_str(&text).unwrap_or_default();
    let content = completion["choices"][0]["message"]["content"]
        .as_str()
        .unwrap_or(&text);
    let is_expected = status == 200 && content == expected_answer(PROMPT, MAX_TOKENS);
    Ok(RequestResult {
        request: "completion",
        status,
        response: truncate(content),
        is_expected,
    })
}

fn stream(agent: &Agent, entry: SocketAddr) -> Result<RequestResult, DemoError> {
    let (status, text) = read(post_chat(agent, entry, true)?)?;
    let events = text.lines().filter_map(|line| line.strip_prefix("data: "));
    let chunks = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
    let tokens = chunks.filter_map(|chunk| {
        chunk["choices"][0]["delta"]["content"]
            .as_str()
            .map(str::to_owned)
    });
    let content: String = tokens.collect();
    let is_complete = text.trim_end().ends_with("data: [DONE]");
    let is_expected =
        status == 200 && is_complete && content == expected_answer(PROMPT, MAX_TOKENS);
    Ok(RequestResult {
        request: "stream from another entry",
        status,
        response: truncate(&content),
        is_expected,
    })
}

fn book(agent: &Agent, entry: SocketAddr) -> Result<RequestResult, DemoError> {
    let response = agent
        .post(format!("http://{entry}/member-desk/orders"))
        .header("authorization", bearer())
        .header("content-type", "application/json")
        .header("idempotency-key", BOOKING_KEY)
        .send(json!({ "pigment": "RAL 7035", "litres": 1 }).to_string())?;
    let (status, response) = read(response)?;
    Ok(RequestResult {
        request: "booking",
        status,
        is_expected: (200..300).contains(&status),
        response,
    })
}

fn query_booking(agent: &Agent, entry: SocketAddr) -> Result<RequestResult, DemoError> {
    let response = agent
        .get(format!(
            "http://{entry}/member-desk/orders/by-key/{BOOKING_KEY}"
        ))
        .header("authorization", bearer())
        .call()?;
    let (status, response) = read(response)?;
    Ok(RequestResult {
        request: "query of the booking",
        status,
        is_expected: status == 200,
        response,
    })
}

fn truncate(text: &str) -> String {
    const MAX_CHARS: usize = 48;
    match text.char_indices().nth(MAX_CHARS) {
        Some((end, _)) => format!("{}...", &text[..end]),
        None => text.to_owned(),
    }
}

fn print(
    results: &[RequestResult],
    fleet: &Fleet,
    out: &mut impl std::io::Write,
) -> std::io::Result<()> {
    writeln!(
        out,
        "{:<40} {:>6}  {:<5}  response",
        "request", "status", "ok"
    )?;
    for result in results {
        let ok = if result.is_expected { "yes" } else { "NO" };
        let response = truncate(result.response.trim_end());
        writeln!(
            out,
            "{:<40} {:>6}  {ok:<5}  {response}",
            result.request, result.status
        )?;
    }
    writeln!(out)?;
    for (number, address) in fleet.http_addresses().iter().enumerate() {
        writeln!(
            out,
            "entry-{} accepts requests at http://{address}",
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
