//! Callers that ask and read, or ask and leave the answer unread.

use std::io::{self, BufRead, BufReader, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

use coltsfootnotch::ops::fleet::demo_key;
use serde_json::json;

/// Longest silence of an answer.
const READ_TIMEOUT: Duration = Duration::from_secs(60);
/// What ends a stream.
const LAST: &str = "data: [DONE]";

/// Asks for a stream of `tokens` tokens and leaves the answer to the socket's buffer.
pub(crate) fn open(
    at: SocketAddr,
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
    let mut socket = TcpStream::connect(at)?;
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

/// Reads an answer to its end; whether it was whole.
pub(crate) fn whole(socket: TcpStream) -> bool {
    let mut lines = BufReader::new(socket).lines();
    lines.any(|line| line.is_ok_and(|line| line.starts_with(LAST)))
}
