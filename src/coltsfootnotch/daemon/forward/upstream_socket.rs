//! The socket of a connection to an upstream.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll, ready};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use super::read_limit::{ReadAllowance, ReadLimit, TURN_BYTES};

/// The socket of a connection to an upstream, which the HTTP library owns and the pool looks at.
#[derive(Debug)]
pub(super) struct UpstreamSocket {
    stream: Arc<Mutex<TcpStream>>,
    limit: Arc<ReadLimit>,
}

/// Looks at the socket of a connection; doesn't keep it open.
#[derive(Debug)]
pub(super) struct SocketProbe(Weak<Mutex<TcpStream>>);

impl UpstreamSocket {
    /// The socket of a new connection, which reads no more than `limit` allows.
    pub(super) fn new(stream: TcpStream, limit: Arc<ReadLimit>) -> Self {
        Self {
            stream: Arc::new(Mutex::new(stream)),
            limit,
        }
    }

    pub(super) fn probe(&self) -> SocketProbe {
        SocketProbe(Arc::downgrade(&self.stream))
    }

    fn lock(&self) -> MutexGuard<'_, TcpStream> {
        lock(&self.stream)
    }
}

impl SocketProbe {
    /// Whether an idle connection can carry a request: the upstream has neither closed it nor sent anything
    /// on it. Asks the system, since the runtime learns of it in its next turn only, and a request that is
    /// written to a closed connection may have run as far as this entry can tell.
    pub(super) fn is_idle(&self) -> bool {
        let Some(socket) = self.0.upgrade() else {
            return false;
        };
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*lock(&socket)).peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }
}

fn lock(socket: &Mutex<TcpStream>) -> MutexGuard<'_, TcpStream> {
    socket.lock().unwrap_or_else(PoisonError::into_inner)
}

impl AsyncRead for UpstreamSocket {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let allowed = match self.limit.allowance() {
            ReadAllowance::Bytes(bytes) => bytes,
            ReadAllowance::NextTurn => {
                cx.waker().wake_by_ref();
                return Poll::Pending;
            }
            ReadAllowance::Exceeded => {
                let text = "the upstream sends bytes that are no response";
                return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, text)));
            }
        };
        let before = buf.filled().len();
        if buf.remaining() <= allowed {
            ready!(Pin::new(&mut *self.lock()).poll_read(cx, buf))?;
        } else {
            // Initialising a part of `buf` instead would take its memory before anything comes.
            let mut part = [MaybeUninit::uninit(); TURN_BYTES as usize];
            let mut part = ReadBuf::uninit(&mut part[..allowed]);
            ready!(Pin::new(&mut *self.lock()).poll_read(cx, &mut part))?;
            buf.put_slice(part.filled());
        }
        self.limit.on_read(buf.filled().len() - before);
        Poll::Ready(Ok(()))
    }
}

impl AsyncWrite for UpstreamSocket {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.lock()).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut *self.lock()).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.lock().is_write_vectored()
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut *self.lock()).poll_shutdown(cx)
    }
}
