//! Refusal of connections that can't be served, without parsing what they carry.
//!
//! A caller whose connection is closed or reset can't tell whether its request ran. A fixed refusal costs a read and
//! a write; the bytes that have arrived are read first, since the system resets a connection that is closed with
//! bytes unread, and the caller may lose the refusal then.

use std::io;
use std::mem::MaybeUninit;
use std::net::Shutdown;
use std::time::Duration;

use socket2::SockRef;
use tokio::io::AsyncWriteExt;
use tokio::net::TcpStream;
use tokio::sync::Semaphore;
use tokio::time::timeout;

use super::connection::discard;

/// Most connections whose requests are waited for at a time, so that they take little memory and few sockets.
/// Others are refused with what has arrived by then.
pub(crate) const MAX_WAITED_FOR: usize = 32;

/// Time for a request to arrive, and for the peer to read the refusal and close its end.
const WAIT: Duration = Duration::from_secs(1);

/// Most bytes that are read at once of a connection that is not waited for.
const MAX_READ_AT_ONCE: usize = 64 * 1024;

/// Bytes that are read by one call.
const READ_BYTES: usize = 4 * 1024;

/// The refusal.
const REFUSAL: &[u8] = b"HTTP/1.1 503 Service Unavailable\r\nconnection: close\r\n\
    retry-after: 0\r\ncontent-type: text/plain; charset=utf-8\r\ncontent-length: 59\r\n\r\n\
    this host takes no more callers; the request did not run.\r\n";

/// Refuses what a connection carries, and closes it. While `slots` has room, waits for a request and for the peer's
/// end. A connection on which nothing has arrived is closed without a response.
pub(crate) async fn refuse_connection(mut stream: TcpStream, slots: &Semaphore) {
    let Ok(_slot) = slots.try_acquire() else {
        if let Err(e) = refuse_at_once(&stream) {
            log::debug!("a connection is closed without a refusal: {e}");
        }
        return;
    };
    let refused = async {
        stream.readable().await?;
        if read_arrived(&stream)? == 0 {
            return Ok(());
        }
        stream.write_all(REFUSAL).await?;
        stream.shutdown().await?;
        // Boxed, since it holds a buffer.
        Box::pin(discard(&mut stream)).await;
        io::Result::Ok(())
    };
    if let Ok(Err(e)) = timeout(WAIT, refused).await {
        log::debug!("a connection is closed without a refusal: {e}");
    }
}

/// Refuses what has arrived, with no wait.
fn refuse_at_once(stream: &TcpStream) -> io::Result<()> {
    if read_arrived(stream)? == 0 {
        return Ok(());
    }
    let socket = SockRef::from(stream);
    let sent = socket.send(REFUSAL)?;
    if sent < REFUSAL.len() {
        return Err(io::ErrorKind::WriteZero.into());
    }
    socket.shutdown(Shutdown::Write)
}

/// Reads what has arrived, and returns how many bytes. Asks the system rather than the runtime, which learns of
/// them in its next turn only.
fn read_arrived(stream: &TcpStream) -> io::Result<usize> {
    let socket = SockRef::from(stream);
    let mut buf = [MaybeUninit::uninit(); READ_BYTES];
    let mut read = 0;
    while read < MAX_READ_AT_ONCE {
        match socket.recv(&mut buf) {
            Ok(0) => break,
            Ok(len) => read += len,
            Err(e) if e.kind() == io::ErrorKind::WouldBlock => break,
            Err(e) => return Err(e),
        }
    }
    Ok(read)
}
