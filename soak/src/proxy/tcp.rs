//! TCP proxy.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{ReadHalf, WriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{Path, Rule, Rules};

/// Polling interval for the rule of a path that drops traffic.
const POLL_INTERVAL: Duration = Duration::from_millis(20);
const BUFFER_SIZE: usize = 16 * 1024;

/// Forwards connections to `target` by the rule of `path` until the runtime shuts down.
///
/// # Errors
/// Returns an error when `listen` can't be bound.
pub async fn proxy_tcp(
    listen: SocketAddr,
    target: SocketAddr,
    path: Path,
    rules: Rules,
) -> io::Result<()> {
    let listener = TcpListener::bind(listen).await?;
    tokio::spawn(async move {
        while let Ok((stream, _)) = listener.accept().await {
            tokio::spawn(forward_connection(stream, target, path, rules.clone()));
        }
    });
    Ok(())
}

async fn forward_connection(mut client: TcpStream, target: SocketAddr, path: Path, rules: Rules) {
    while rules.get(path).delay(true).is_none() {
        if rules.get(path) == Rule::Reset {
            return reset(&client);
        }
        sleep(POLL_INTERVAL).await;
    }
    let Ok(mut server) = TcpStream::connect(target).await else {
        return reset(&client);
    };
    if client
        .set_nodelay(true)
        .and(server.set_nodelay(true))
        .is_err()
    {
        return reset(&client);
    }
    let (client_read, client_write) = client.split();
    let (server_read, server_write) = server.split();
    let forward = copy(client_read, server_write, path, true, &rules);
    let backward = copy(server_read, client_write, path, false, &rules);
    // `copy` propagates the end of its direction; the connection is closed once both have ended, and reset
    // once one is broken.
    if tokio::try_join!(forward, backward).is_err() {
        reset(&client);
        reset(&server);
    }
}

/// A direction is broken: its connection is to be reset.
struct Broken;

/// Copies one direction and propagates the end of file as a shutdown.
///
/// # Errors
/// Returns an error when a connection or the rule breaks it.
async fn copy(
    mut from: ReadHalf<'_>,
    mut to: WriteHalf<'_>,
    path: Path,
    forward: bool,
    rules: &Rules,
) -> Result<(), Broken> {
    let mut buf = vec![0; BUFFER_SIZE];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = wait_for_reset(path, rules) => return Err(Broken),
        };
        let n = match read {
            Ok(n) => n,
            Err(_) => return Err(Broken),
        };
        match wait_until_forwarded(path, forward, rules).await {
            Some(delay) => sleep(delay).await,
            None => return Err(Broken),
        }
        if n == 0 {
            // Fails if the other side has already closed the connection.
            let _ignored = to.shutdown().await;
            return Ok(());
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return Err(Broken);
        }
    }
}

/// Waits until the rule forwards traffic and returns its delay, or `None` if the connection is to be reset.
async fn wait_until_forwarded(path: Path, forward: bool, rules: &Rules) -> Option<Duration> {
    loop {
        let rule = rules.get(path);
        if rule == Rule::Reset {
            return None;
        }
        if let Some(delay) = rule.delay(forward) {
            return Some(delay);
        }
        sleep(POLL_INTERVAL).await;
    }
}

async fn wait_for_reset(path: Path, rules: &Rules) {
    while rules.get(path) != Rule::Reset {
        sleep(POLL_INTERVAL).await;
    }
}

fn reset(stream: &TcpStream) {
    // A zero linger time makes the following close a reset. This fails only on a closed socket.
    let _ignored = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
