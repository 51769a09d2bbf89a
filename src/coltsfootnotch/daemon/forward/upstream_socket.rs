//! The socket of a connection to an upstream.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError, Weak};
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The socket of a connection to an upstream, which the HTTP library owns and the pool looks at.
#[derive(Debug)]
pub(super) struct UpstreamSocket(Arc<Mutex<TcpStream>>);

/// Looks at the socket of a connection; doesn't keep it open.
#[derive(Debug)]
pub(super) struct SocketProbe(Weak<Mutex<TcpStream>>);

impl UpstreamSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(stream)))
    }

    pub(super) fn probe(&self) -> SocketProbe {
        SocketProbe(Arc::downgrade(&self.0))
    }

    fn lock(&self) -> MutexGuard<'_, TcpStream> {
        lock(&self.0)
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
        Pin::new(&mut *self.lock()).poll_read(cx, buf)
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
