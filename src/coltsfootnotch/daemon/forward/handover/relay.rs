//! Relaying of a caller's connection to a neighbour.

use std::io;
use std::net::SocketAddr;
use std::time::Duration;

use tokio::io::{AsyncReadExt, AsyncWriteExt, Interest};
use tokio::net::TcpStream;
use tokio::time::timeout;

use super::frame::{HEADER_BYTES, Header};

/// Timeout of the connection to a neighbour, which takes a millisecond within a failure domain. The
/// caller is served here after it.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(100);

/// Bytes of the caller that are read at once; most requests fit.
const REQUEST_BYTES: usize = 8 * 1024;
/// Bytes of the neighbour that are read at once; most events of streams fit.
const RESPONSE_BYTES: usize = 2 * 1024;

/// Connects to a neighbour.
///
/// # Errors
/// Returns an error when it doesn't accept the connection in time.
pub(in crate::daemon::forward) async fn connect(neighbour: SocketAddr) -> io::Result<TcpStream> {
    let connecting = TcpStream::connect(neighbour);
    let stream = match timeout(CONNECT_TIMEOUT, connecting).await {
        Ok(stream) => stream?,
        Err(_) => return Err(io::ErrorKind::TimedOut.into()),
    };
    stream.set_nodelay(true)?;
    Ok(stream)
}

/// Relays between a caller and the neighbour that serves it, until one of them closes its connection;
/// both are closed then. Once `closing` completes, asks the neighbour to close the connection after the
/// response in progress.
///
/// # Errors
/// Returns an error when a connection breaks.
pub(in crate::daemon::forward) async fn relay(
    mut caller: TcpStream,
    mut neighbour: TcpStream,
    closing: impl Future<Output = ()>,
) -> io::Result<()> {
    let mut request = [0; HEADER_BYTES + REQUEST_BYTES];
    let mut response = [0; RESPONSE_BYTES];
    let mut closing = std::pin::pin!(closing);
    let mut close_requested = false;
    loop {
        tokio::select! {
            ready = caller.ready(Interest::READABLE) => {
                // Seen before the bytes ahead of it are read: a neighbour would run the request
                // that they are part of for nobody.
                if ready?.is_read_closed() {
                    return Ok(());
                }
                let len = match caller.try_read(&mut request[HEADER_BYTES..]) {
                    Ok(0) => return Ok(()),
                    Ok(len) => len,
                    Err(e) if e.kind() == io::ErrorKind::WouldBlock => continue,
                    Err(e) => return Err(e),
                };
                request[..HEADER_BYTES].copy_from_slice(&Header::Data(len).encode());
                neighbour.write_all(&request[..HEADER_BYTES + len]).await?;
            }
            len = neighbour.read(&mut response) => {
                let len = len?;
                if len == 0 {
                    return Ok(());
                }
                caller.write_all(&response[..len]).await?;
            }
            () = closing.as_mut(), if !close_requested => {
                close_requested = true;
                neighbour.write_all(&Header::Close.encode()).await?;
            }
        }
    }
}

#[cfg(test)]
#[path = "relay_tests.rs"]
mod tests;
