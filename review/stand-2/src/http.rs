//! Heads and bodies of HTTP/1.1 messages, as the stand-ins read and write them.

use std::io::{self, BufRead, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a message.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// The request or status line.
    pub line: String,
    /// Names in lower case, and values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first header of this name, given in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }

    /// The path of a request.
    pub fn path(&self) -> &str {
        self.line.split(' ').nth(1).unwrap_or_default()
    }
}

/// Reads a head; `None` at the end of the connection.
pub fn read_head(reader: &mut impl BufRead) -> io::Result<Option<Head>> {
    let mut head = Head::default();
    loop {
        let mut line = String::new();
        if reader.read_line(&mut line)? == 0 {
            return Ok(None);
        }
        let line = line.trim_end();
        if line.is_empty() && !head.line.is_empty() {
            return Ok(Some(head));
        }
        if head.line.is_empty() {
            head.line = line.to_owned();
        } else if let Some((name, value)) = line.split_once(':') {
            let name = name.trim().to_ascii_lowercase();
            head.headers.push((name, value.trim().to_owned()));
        }
    }
}

/// Reads a body by its length or chunks, or to the end of the connection if `until_close`.
pub fn read_body(reader: &mut impl BufRead, head: &Head, until_close: bool) -> io::Result<Vec<u8>> {
    let mut body = Vec::new();
    if head
        .get("transfer-encoding")
        .is_some_and(|value| value.eq_ignore_ascii_case("chunked"))
    {
        loop {
            let mut line = String::new();
            if reader.read_line(&mut line)? == 0 {
                return Err(io::ErrorKind::UnexpectedEof.into());
            }
            let size = line.trim().split(';').next().unwrap_or_default();
            let size = usize::from_str_radix(size, 16).map_err(io::Error::other)?;
            let mut chunk = vec![0; size + 2];
            reader.read_exact(&mut chunk)?;
            if size == 0 {
                return Ok(body);
            }
            body.extend_from_slice(&chunk[..size]);
        }
    }
    if let Some(len) = head.get("content-length").and_then(|len| len.parse().ok()) {
        body.resize(len, 0);
        reader.read_exact(&mut body)?;
    } else if until_close {
        reader.read_to_end(&mut body)?;
    }
    Ok(body)
}

/// A response with its whole body.
#[derive(Debug, Clone)]
pub struct Answer {
    /// Its head.
    pub head: Head,
    /// Its body.
    pub body: String,
}

/// Connects, with a limit on the time to connect and on each read and write.
pub fn connect(address: SocketAddr, timeout: Duration) -> io::Result<TcpStream> {
    let stream = TcpStream::connect_timeout(&address, timeout)?;
    stream.set_nodelay(true)?;
    stream.set_read_timeout(Some(timeout))?;
    stream.set_write_timeout(Some(timeout))?;
    Ok(stream)
}

/// Reads a response.
pub fn read_answer(reader: &mut impl BufRead) -> io::Result<Answer> {
    let head = read_head(reader)?.ok_or(io::ErrorKind::UnexpectedEof)?;
    let body = read_body(reader, &head, true)?;
    let body = String::from_utf8_lossy(&body).into_owned();
    Ok(Answer { head, body })
}

/// Sends one request on a connection of its own and reads the response.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    body: &str,
    timeout: Duration,
) -> io::Result<Answer> {
    let mut stream = connect(address, timeout)?;
    let len = body.len();
    let text = format!(
        "{method} {path} HTTP/1.1\r\nHost: {address}\r\nContent-Type: application/json\r\n\
         Content-Length: {len}\r\nConnection: close\r\n\r\n{body}"
    );
    stream.write_all(text.as_bytes())?;
    read_answer(&mut io::BufReader::new(stream))
}
