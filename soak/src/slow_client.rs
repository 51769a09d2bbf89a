//! Clients that send their requests slowly, or don't read their responses.

use std::net::SocketAddr;
use std::time::Duration;

use coltsfootnotch_platform_peers::{DEADLINE_MS, REQUEST_ID, TOKEN_USAGE};
use rand::rngs::StdRng;
use rand::{Rng, SeedableRng};
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::time::sleep;

use crate::fleet::Addresses;
use crate::operator::{HOST, SLOW_KEY};
use crate::recorder::Recorder;

/// Slow clients per router; their bodies together exceed the memory of a router.
pub const SLOW_CLIENTS: usize = 60;
/// Length of a body.
const BODY_BYTES: usize = 1_000_000;
/// Part of a body that is sent.
const SENT_BYTES: usize = 900_000;
/// Range of the time for which a client keeps its connection, in milliseconds.
const HELD_MS: (u64, u64) = (1_000, 4_000);

/// A client that sends a part of its body, or reads nothing of its stream.
#[derive(Clone)]
pub struct SlowClient {
    /// Index of the client.
    pub number: usize,
    /// The fleet's addresses.
    pub addresses: Addresses,
    /// Number of routers.
    pub routers: usize,
    /// Records requests.
    pub recorder: Recorder,
}

impl SlowClient {
    /// Sends requests until the task is aborted.
    pub async fn run(self, seed: u64) {
        let mut rng = StdRng::seed_from_u64(seed);
        let router = self.addresses.client_address(self.number % self.routers);
        for n in 0_u64.. {
            let (from, to) = HELD_MS;
            let held = Duration::from_millis(rng.random_range(from..to));
            let id = format!("slow{}-{n}", self.number);
            let is_stream = rng.random_bool(0.3);
            self.recorder.record_sent(&id, is_stream, false);
            // Fails while the router is down, or has refused the request before its body is sent.
            let connection = send(router, &id, is_stream).await;
            sleep(held).await;
            drop(connection);
        }
    }
}

/// Sends a whole request for a stream, or a part of another one.
async fn send(router: SocketAddr, id: &str, is_stream: bool) -> std::io::Result<TcpStream> {
    let (kind, len, sent) = if is_stream {
        ("stream", 6, 6)
    } else {
        ("once", BODY_BYTES, SENT_BYTES)
    };
    let mut stream = TcpStream::connect(router).await?;
    let head = format!(
        "POST /{kind}/x HTTP/1.1\r\nhost: {HOST}\r\nauthorization: Bearer {SLOW_KEY}\r\n\
         {REQUEST_ID}: {id}\r\n{DEADLINE_MS}: 4000\r\n{TOKEN_USAGE}: 200,24\r\ncontent-length: {len}\r\n\r\n"
    );
    stream.write_all(head.as_bytes()).await?;
    stream.write_all(&vec![b'a'; sent]).await?;
    Ok(stream)
}
