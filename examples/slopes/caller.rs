//! Sends streamed requests and reads their answers.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use coltsfootnotch::ops::fleet::demo_key;
use serde_json::json;

/// Timeout of one read.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// Last event of a complete stream.
const LAST_EVENT: &str = "data: [DONE]";

/// Requests a stream of `tokens` tokens without reading the answer.
pub(crate) fn open_stream(
    address: SocketAddr,
    account: &str,
    number: usize,
    tokens: u32,
) -> io::Result<TcpStream> {
    let body = json!({
        "model": "spec-llm",
        "messages": [{ "role": "user", "content": format!("Screed question {number}") }],
        "max_tokens": tokens,
        "stream": true,
    })
    .to_string();
    let mut socket = TcpStream::connect(address)?;
    socket.set_read_timeout(Some(READ_TIMEOUT))?;
    write!(
        socket,
        "POST /v1/chat/completions HTTP/1.1\r\nHost: entry\r\nAuthorization: Bearer {}\r\n\
         Content-Type: application/json\r\nContent-Length: {}\r\nConnection: close\r\n\r\n{body}",
        demo_key(account),
        body.len()
    )?;
    Ok(socket)
}

/// Reads an answer to its end; returns whether it is complete.
pub(crate) fn read_stream(socket: TcpStream) -> bool {
    let mut lines = BufReader::new(socket).lines();
    lines.any(|line| line.is_ok_and(|line| line.starts_with(LAST_EVENT)))
}
