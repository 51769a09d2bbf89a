//! Responses that end with their connection.

use std::collections::VecDeque;
use std::future::pending;
use std::io;
use std::net::SocketAddr;
use std::pin::Pin;
use std::sync::{Arc, Mutex};
use std::task::{Context, Poll};
use std::time::Duration;

use bytes::Bytes;
use googletest::prelude::*;
use http_body_util::BodyExt;
use hyper::body::{Body, Frame};
use hyper::{Request, Response, StatusCode};
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, AsyncWriteExt, DuplexStream, ReadBuf};

use super::{EndsWithConnection, ServerSocket};
use crate::util::http_server::{
    AnyResponse, BodyAborted, ConnectionLimits, full, serve_connection,
};
use crate::util::request_body::RequestBody;

const LIMITS: ConnectionLimits = ConnectionLimits {
    header_bytes: 16 * 1024,
    read_timeout: Duration::from_secs(5),
};

/// The end of a pipe, which records what it is set to do when it is closed.
struct Pipe {
    stream: DuplexStream,
    resets: Arc<Mutex<Vec<bool>>>,
}

impl ServerSocket for Pipe {
    fn set_reset_on_close(&self, reset: bool) -> io::Result<()> {
        self.resets.lock().unwrap().push(reset);
        Ok(())
    }

    fn has_unread(&self) -> bool {
        false
    }
}

impl AsyncRead for Pipe {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_read(cx, buf)
    }
}

impl AsyncWrite for Pipe {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

/// A body of several parts, which may be broken off.
struct Parts(VecDeque<std::result::Result<&'static str, BodyAborted>>);

impl Body for Parts {
    type Data = Bytes;
    type Error = BodyAborted;

    fn poll_frame(
        mut self: Pin<&mut Self>,
        _cx: &mut Context<'_>,
    ) -> Poll<Option<std::result::Result<Frame<Bytes>, BodyAborted>>> {
        let part = self.0.pop_front();
        let data = |text: &'static str| Frame::data(Bytes::from_static(text.as_bytes()));
        Poll::Ready(part.map(|part| part.map(data)))
    }
}

fn broken_off() -> AnyResponse {
    Response::new(Parts([Ok("one"), Err(BodyAborted)].into()).boxed())
}

/// Responds to `/framed`, to `/until-close` and, with a body that can't be completed, to `/broken`, the last
/// two with a response that ends with its connection.
async fn respond(req: Request<RequestBody>, _peer: SocketAddr) -> AnyResponse {
    let mut response = match req.uri().path() {
        "/framed" => return full(StatusCode::OK, "text/plain", "framed"),
        "/stream" => return broken_off(),
        "/broken" => broken_off(),
        _ => full(StatusCode::OK, "text/plain", "HTTP/1.0 is old"),
    };
    response.extensions_mut().insert(EndsWithConnection);
    response
}

/// What a caller reads whose requests are sent at once, and whether the connection is reset on close, each
/// time that it is set. `capacity` bytes pass at once.
async fn exchange(capacity: usize, requests: &str) -> (String, Vec<bool>) {
    let (mut caller, stream) = tokio::io::duplex(capacity);
    let resets = Arc::<Mutex<Vec<bool>>>::default();
    let pipe = Pipe {
        stream,
        resets: Arc::clone(&resets),
    };
    let peer = SocketAddr::from(([127, 0, 0, 1], 1));
    let serving = tokio::spawn(async move {
        serve_connection(pipe, peer, || LIMITS, pending(), pending, &respond).await;
    });
    let mut received = String::new();
    let (mut reader, mut writer) = tokio::io::split(&mut caller);
    let (sent, read) = tokio::join!(
        writer.write_all(requests.as_bytes()),
        reader.read_to_string(&mut received)
    );
    sent.unwrap();
    read.unwrap();
    serving.await.unwrap();
    let resets = resets.lock().unwrap().clone();
    (received, resets)
}

fn without_date(received: &str) -> String {
    let lines = received.split_inclusive("\r\n");
    lines.filter(|line| !line.starts_with("date:")).collect()
}

/// Guards against a length or chunks that state more of a body than is known, whatever is written at once.
#[gtest]
#[tokio::test]
async fn a_response_that_ends_with_its_connection_has_no_framing() {
    for capacity in [1, 3, 8, 9, 64, 4096] {
        let requests = "GET /until-close HTTP/1.1\r\nHost: a\r\n\r\n";
        let (received, resets) = exchange(capacity, requests).await;
        expect_that!(
            without_date(&received),
            eq(
                "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\nconnection: close\r\n\r\n\
                HTTP/1.0 is old"
            ),
            "{capacity} bytes at once"
        );
        expect_that!(resets, eq(&[true, false]), "{capacity} bytes at once");
    }
}

/// Guards against a version that is written into another response of the same connection.
#[gtest]
#[tokio::test]
async fn responses_before_one_that_ends_with_its_connection_are_unchanged() {
    let framed = "HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\ncontent-length: 6\r\n\r\nframed";
    for capacity in [1, 9, 4096] {
        let requests = "GET /framed HTTP/1.1\r\nHost: a\r\n\r\n".repeat(2)
            + "GET /until-close HTTP/1.1\r\nHost: a\r\n\r\n";
        let (received, resets) = exchange(capacity, &requests).await;
        expect_that!(
            without_date(&received),
            eq(&format!(
                "{framed}{framed}HTTP/1.1 200 OK\r\ncontent-type: text/plain\r\n\
                 connection: close\r\n\r\nHTTP/1.0 is old"
            )),
            "{capacity} bytes at once"
        );
        expect_that!(resets, eq(&[true, false]), "{capacity} bytes at once");
    }
}

/// Guards against a body that was broken off and ends like a complete one.
#[gtest]
#[tokio::test]
async fn a_response_that_ends_with_its_connection_and_is_broken_off_is_reset() {
    let requests = "GET /broken HTTP/1.1\r\nHost: a\r\n\r\n";
    let (received, resets) = exchange(4096, requests).await;
    expect_that!(received, ends_with("\r\n\r\none"));
    expect_that!(resets, eq(&[true]));
}

/// Guards against a connection that is reset after responses which state their end.
#[gtest]
#[tokio::test]
async fn framed_responses_leave_the_end_of_the_connection_as_it_is() {
    let requests = "GET /framed HTTP/1.1\r\nHost: a\r\nConnection: close\r\n\r\n";
    let (received, resets) = exchange(4096, requests).await;
    expect_that!(received, ends_with("framed"));
    expect_that!(resets, is_empty());
    let requests = "GET /stream HTTP/1.1\r\nHost: a\r\n\r\n";
    let (received, resets) = exchange(4096, requests).await;
    expect_that!(received, ends_with("3\r\none\r\n"));
    expect_that!(resets, is_empty());
}
