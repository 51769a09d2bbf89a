//! HTTP client of a caller: completions, streams and bookings.

use std::io::{BufRead, BufReader, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use serde_json::{Value, json};
use socket2::{Domain, Socket, Type};
use ureq::http::Response;
use ureq::{Agent, Body};

/// Bearer key of the only client account.
pub(crate) const KEY: &str = "bistro-key";
/// Timeout of a request; longer than any response takes.
const REQUEST_TIMEOUT: Duration = Duration::from_secs(60);

/// Receive buffer of a slow connection in bytes.
const RECEIVE_BUFFER_BYTES: usize = 16 * 1024;

/// A caller of one entry.
#[derive(Clone)]
pub(crate) struct Caller {
    agent: Agent,
    entry: SocketAddr,
    key: String,
    service: String,
    model: String,
}

/// A streamed response that is being read.
pub(crate) struct Stream {
    reader: BufReader<Box<dyn Read + Send>>,
    pub(crate) text: String,
}

impl Caller {
    pub(crate) fn new(entry: SocketAddr) -> Self {
        let agent = Agent::config_builder()
            .http_status_as_error(false)
            .timeout_global(Some(REQUEST_TIMEOUT))
            .max_idle_connections_per_host(0)
            .build();
        Self {
            agent: agent.into(),
            entry,
            key: KEY.to_owned(),
            service: "member-desk".to_owned(),
            model: "spec-llm".to_owned(),
        }
    }

    /// Returns the caller with another bearer key.
    pub(crate) fn with_key(mut self, key: &str) -> Self {
        self.key = key.to_owned();
        self
    }

    fn bearer(&self) -> String {
        format!("Bearer {}", self.key)
    }

    fn chat_body(&self, prompt: &str, max_tokens: u32, stream: bool) -> String {
        json!({
            "model": self.model,
            "messages": [{ "role": "user", "content": prompt }],
            "max_tokens": max_tokens,
            "stream": stream,
        })
        .to_string()
    }

    fn send_chat(&self, prompt: &str, max_tokens: u32, stream: bool) -> Option<Response<Body>> {
        let body = self.chat_body(prompt, max_tokens, stream);
        let url = format!("http://{}/v1/chat/completions", self.entry);
        let req = self.agent.post(url).header("authorization", self.bearer());
        req.content_type("application/json").send(body).ok()
    }

    /// Returns the status and the text of a completion; the status is 0 if the connection broke.
    pub(crate) fn complete(&self, prompt: &str, max_tokens: u32) -> (u16, String) {
        let (status, body) = parse_response(self.send_chat(prompt, max_tokens, false));
        let content = body["choices"][0]["message"]["content"].as_str();
        (status, content.unwrap_or_default().to_owned())
    }

    /// Starts a stream and reads its first line.
    pub(crate) fn stream(&self, prompt: &str, max_tokens: u32) -> Stream {
        let response = self
            .send_chat(prompt, max_tokens, true)
            .expect("the entry responds");
        assert_eq!(response.status().as_u16(), 200);
        let reader: Box<dyn Read + Send> = Box::new(response.into_body().into_reader());
        let mut stream = Stream {
            reader: BufReader::new(reader),
            text: String::new(),
        };
        stream.read_line();
        stream
    }

    /// Starts a stream on a connection with a small receive buffer, so that unread data stays at
    /// the entry. Returns the connection, from which the raw HTTP response is read.
    pub(crate) fn raw_stream(&self, prompt: &str, max_tokens: u32) -> TcpStream {
        let socket = Socket::new(Domain::IPV4, Type::STREAM, None).expect("the socket is created");
        socket
            .set_recv_buffer_size(RECEIVE_BUFFER_BYTES)
            .expect("the receive buffer is set");
        socket
            .connect(&self.entry.into())
            .expect("the socket connects");
        let mut socket = TcpStream::from(socket);
        let body = self.chat_body(prompt, max_tokens, true);
        let head = format!(
            "POST /v1/chat/completions HTTP/1.1\r\nhost: entry\r\nauthorization: {}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\nconnection: close\r\n\r\n",
            self.bearer(),
            body.len()
        );
        socket
            .write_all(head.as_bytes())
            .expect("the request head is sent");
        socket
            .write_all(body.as_bytes())
            .expect("the request body is sent");
        socket
    }

    /// Books with an idempotency key. Returns the status, which is 0 if the connection broke, and
    /// the body.
    pub(crate) fn book(&self, key: &str) -> (u16, Value) {
        parse_response(self.send_booking(key))
    }

    fn send_booking(&self, key: &str) -> Option<Response<Body>> {
        let url = format!("http://{}/{}/orders", self.entry, self.service);
        let req = self.agent.post(url).header("authorization", self.bearer());
        let req = req.header("idempotency-key", key);
        let body = json!({ "pigment": "RAL 7035", "litres": 1 });
        req.content_type("application/json")
            .send(body.to_string())
            .ok()
    }

    /// Sends a booking with an idempotency key and returns the connection, from which the raw HTTP response is read.
    pub(crate) fn raw_booking(&self, key: &str) -> TcpStream {
        let body = json!({ "pigment": "RAL 7035", "litres": 1 }).to_string();
        let request = format!(
            "POST /{}/orders HTTP/1.1\r\nhost: entry\r\nauthorization: {}\r\nidempotency-key: {key}\r\n\
             content-type: application/json\r\ncontent-length: {}\r\n\r\n{body}",
            self.service,
            self.bearer(),
            body.len()
        );
        let mut socket = TcpStream::connect(self.entry).expect("the entry accepts connections");
        socket
            .write_all(request.as_bytes())
            .expect("the booking is sent");
        socket
    }

    /// Books with an idempotency key. Returns the status, the text of the body and whether the response states
    /// its end, by a length or chunks.
    pub(crate) fn book_unparsed(&self, key: &str) -> (u16, String, bool) {
        let Some(response) = self.send_booking(key) else {
            return (0, String::new(), false);
        };
        let status = response.status().as_u16();
        let headers = response.headers();
        let states_end =
            headers.contains_key("content-length") || headers.contains_key("transfer-encoding");
        let mut text = String::new();
        match response.into_body().into_reader().read_to_string(&mut text) {
            Ok(_) => (status, text, states_end),
            Err(_) => (0, text, states_end),
        }
    }

    /// Books with an idempotency key and retries until the booking is acknowledged or the timeout
    /// has passed, as a client program does. Returns the body of the response.
    pub(crate) fn book_until_acknowledged(&self, key: &str) -> Option<Value> {
        let deadline = std::time::Instant::now() + super::daemon::WAIT_TIMEOUT;
        while std::time::Instant::now() < deadline {
            match self.book(key) {
                (200 | 201, body) => return Some(body),
                _ => std::thread::sleep(Duration::from_millis(100)),
            }
        }
        None
    }

    /// Rereads a booking by its idempotency key.
    pub(crate) fn reread(&self, key: &str) -> (u16, Value) {
        let url = format!("http://{}/{}/orders/by-key/{key}", self.entry, self.service);
        parse_response(
            self.agent
                .get(url)
                .header("authorization", self.bearer())
                .call()
                .ok(),
        )
    }
}

fn parse_response(response: Option<Response<Body>>) -> (u16, Value) {
    let Some(response) = response else {
        return (0, Value::Null);
    };
    let status = response.status().as_u16();
    let mut text = String::new();
    match response.into_body().into_reader().read_to_string(&mut text) {
        Ok(_) => (status, serde_json::from_str(&text).unwrap_or_default()),
        Err(_) => (0, Value::Null),
    }
}

impl Stream {
    fn read_line(&mut self) -> bool {
        let read = self.reader.read_line(&mut self.text);
        matches!(read, Ok(1..))
    }

    /// Reads until `tokens` events with text have arrived.
    pub(crate) fn read_tokens(&mut self, tokens: usize) {
        while self.tokens().count() < tokens {
            assert!(
                self.read_line(),
                "the stream ended before the expected tokens: {}",
                self.text
            );
        }
    }

    /// Reads to the end of the stream, complete or not.
    pub(crate) fn read_to_end(&mut self) {
        while self.read_line() {}
    }

    fn tokens(&self) -> impl Iterator<Item = String> {
        let events = self
            .text
            .lines()
            .filter_map(|line| line.strip_prefix("data: "));
        let chunks = events.filter_map(|data| serde_json::from_str::<Value>(data).ok());
        chunks.filter_map(|chunk| {
            let content = chunk["choices"][0]["delta"]["content"].as_str();
            content.map(str::to_owned)
        })
    }

    /// Returns the text received so far.
    pub(crate) fn content(&self) -> String {
        self.tokens().collect()
    }

    /// Whether the stream ended with the final event of a complete response.
    pub(crate) fn is_complete(&self) -> bool {
        self.text.trim_end().ends_with("data: [DONE]")
    }

    /// Returns the error event that ended the stream, if any.
    pub(crate) fn error(&self) -> Option<Value> {
        let (_, data) = self.text.split_once("event: error\ndata: ")?;
        serde_json::from_str(data.trim()).ok()
    }
}
