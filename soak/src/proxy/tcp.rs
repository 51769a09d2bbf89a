//! A proxy of connections.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::{AsyncReadExt, AsyncWriteExt};
use tokio::net::tcp::{OwnedReadHalf, OwnedWriteHalf};
use tokio::net::{TcpListener, TcpStream};
use tokio::time::sleep;

use super::{Path, Rule, Rules};

/// Between two looks at the rule of a path that passes nothing.
const LOOK_EVERY: Duration = Duration::from_millis(20);
const BUFFER: usize = 16 * 1024;

/// Passes connections on to `target` by the rule of `path`, until the task is aborted.
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
            tokio::spawn(pass_on(stream, target, path, rules.clone()));
        }
    });
    Ok(())
}

async fn pass_on(near: TcpStream, target: SocketAddr, path: Path, rules: Rules) {
    while rules.get(path).passes(true).is_none() {
        if rules.get(path) == Rule::Reset {
            return reset(&near);
        }
        sleep(LOOK_EVERY).await;
    }
    let Ok(far) = TcpStream::connect(target).await else {
        return reset(&near);
    };
    if near.set_nodelay(true).and(far.set_nodelay(true)).is_err() {
        return reset(&near);
    }
    let (near_read, near_write) = near.into_split();
    let (far_read, far_write) = far.into_split();
    let there = copy(near_read, far_write, path, true, &rules);
    let back = copy(far_read, near_write, path, false, &rules);
    // Either way's end is passed on by `copy`; the connection is over when both have ended.
    tokio::join!(there, back);
}

/// Copies one way until its end, which it passes on as it was: an end as an end, a reset as a reset.
async fn copy(
    mut from: OwnedReadHalf,
    mut to: OwnedWriteHalf,
    path: Path,
    there: bool,
    rules: &Rules,
) {
    let mut buf = vec![0; BUFFER];
    loop {
        let read = tokio::select! {
            read = from.read(&mut buf) => read,
            () = until_reset(path, rules) => return reset(to.as_ref()),
        };
        let n = match read {
            Ok(n) => n,
            Err(_) => return reset(to.as_ref()),
        };
        match wait_until_it_passes(path, there, rules).await {
            Some(late) => sleep(late).await,
            None => return reset(to.as_ref()),
        }
        if n == 0 {
            // The other side may have gone before; then nobody is left to be told.
            let _told = to.shutdown().await;
            return;
        }
        if to.write_all(&buf[..n]).await.is_err() {
            return reset(from.as_ref());
        }
    }
}

/// By how much bytes are late once they pass; none when the connection is to be reset.
async fn wait_until_it_passes(path: Path, there: bool, rules: &Rules) -> Option<Duration> {
    loop {
        let rule = rules.get(path);
        if rule == Rule::Reset {
            return None;
        }
        if let Some(late) = rule.passes(there) {
            return Some(late);
        }
        sleep(LOOK_EVERY).await;
    }
}

async fn until_reset(path: Path, rules: &Rules) {
    while rules.get(path) != Rule::Reset {
        sleep(LOOK_EVERY).await;
    }
}

fn reset(stream: &TcpStream) {
    // With no time to linger, the close that follows is a reset. A socket that is gone needs none.
    let _set = SockRef::from(stream).set_linger(Some(Duration::ZERO));
}
