//! HTTP/1.1 as far as the stand-ins need it.

use std::io::{self, Read, Write};
use std::net::{SocketAddr, TcpStream};
use std::time::Duration;

/// The head of a request or response.
#[derive(Debug, Clone, Default)]
pub struct Head {
    /// Request line or status line.
    pub line: String,
    /// Names in lower case, with their values.
    pub headers: Vec<(String, String)>,
}

impl Head {
    /// The first value of a header; `name` in lower case.
    pub fn get(&self, name: &str) -> Option<&str> {
        let found = self.headers.iter().find(|(n, _)| n == name);
        found.map(|(_, value)| value.as_str())
    }

    /// The status of a response, 0 if it can't be read.
    pub fn status(&self) -> u16 {
        let status = self.line.split(' ').nth(1);
        status.and_then(|s| s.parse().ok()).unwrap_or(0)
    }
}

/// Reads messages from a connection.
pub struct Reader {
    stream: TcpStream,
    buf: Vec<u8>,
}

/// The end of a body.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum End {
    /// By its length or its last chunk.
    Complete,
    /// The connection ended first, or nothing came in time.
    Broken,
}

impl Reader {
    /// Reads from `stream`.
    pub fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            buf: Vec::new(),
        }
    }

    fn fill(&mut self) -> io::Result<()> {
        let mut chunk = [0; 16 * 1024];
        let len = self.stream.read(&mut chunk)?;
        if len == 0 {
            return Err(io::ErrorKind::UnexpectedEof.into());
        }
        self.buf.extend_from_slice(&chunk[..len]);
        Ok(())
    }

    fn take_line(&mut self) -> io::Result<String> {
        loop {
            if let Some(at) = self.buf.windows(2).position(|w| w == b"\r\n") {
                let line: Vec<u8> = self.buf.drain(..at + 2).collect();
                return Ok(String::from_utf8_lossy(&line[..at]).into_owned());
            }
            self.fill()?;
        }
    }

    fn take(&mut self, len: usize) -> io::Result<Vec<u8>> {
        while self.buf.len() < len {
            self.fill()?;
        }
        Ok(self.buf.drain(..len).collect())
    }

    /// Reads a head.
    pub fn head(&mut self) -> io::Result<Head> {
        let mut head = Head {
            line: self.take_line()?,
            headers: Vec::new(),
        };
        loop {
            let line = self.take_line()?;
            let Some((name, value)) = line.split_once(':') else {
                return Ok(head);
            };
            let value = value.trim().to_owned();
            head.headers.push((name.to_ascii_lowercase(), value));
        }
    }

    /// Reads a body, and passes each part on as it comes.
    pub fn body(&mut self, head: &Head, mut on_part: impl FnMut(&[u8])) -> End {
        match self.read_body(head, &mut on_part) {
            Ok(()) => End::Complete,
            Err(_) => End::Broken,
        }
    }

    fn read_body(&mut self, head: &Head, on_part: &mut impl FnMut(&[u8])) -> io::Result<()> {
        let is_chunked = head
            .get("transfer-encoding")
            .is_some_and(|v| v.contains("chunked"));
        if !is_chunked {
            let len = head.get("content-length").and_then(|v| v.parse().ok());
            on_part(&self.take(len.unwrap_or(0))?);
            return Ok(());
        }
        loop {
            let line = self.take_line()?;
            let size = usize::from_str_radix(line.trim(), 16);
            let size = size.map_err(|_| io::Error::from(io::ErrorKind::InvalidData))?;
            let part = self.take(size + 2)?;
            if size == 0 {
                return Ok(());
            }
            on_part(&part[..size]);
        }
    }
}

/// Sends a request and returns the response's status and body.
pub fn call(
    address: SocketAddr,
    method: &str,
    path: &str,
    headers: &str,
    body: &str,
    time: Duration,
) -> io::Result<(u16, String)> {
    let mut stream = TcpStream::connect_timeout(&address, time)?;
    stream.set_read_timeout(Some(time))?;
    stream.set_nodelay(true)?;
    stream.write_all(request(method, path, &address.to_string(), headers, body).as_bytes())?;
    let mut reader = Reader::new(stream);
    let head = reader.head()?;
    let mut text = Vec::new();
    match reader.body(&head, |part| text.extend_from_slice(part)) {
        End::Complete => Ok((head.status(), String::from_utf8_lossy(&text).into_owned())),
        End::Broken => Err(io::ErrorKind::UnexpectedEof.into()),
    }
}

/// The bytes of a request.
pub fn request(method: &str, path: &str, host: &str, headers: &str, body: &str) -> String {
    format!(
        "{method} {path} HTTP/1.1\r\nHost: {host}\r\n{headers}Content-Length: {}\r\n\r\n{body}",
        body.len()
    )
}
