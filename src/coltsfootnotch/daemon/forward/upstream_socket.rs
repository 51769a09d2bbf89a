//! The socket of a connection to an upstream.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::task::{Context, Poll};

use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

/// The socket of a connection to an upstream, shared by the HTTP library and the pool.
#[derive(Debug, Clone)]
pub(super) struct UpstreamSocket(Arc<Mutex<TcpStream>>);

impl UpstreamSocket {
    pub(super) fn new(stream: TcpStream) -> Self {
        Self(Arc::new(Mutex::new(stream)))
    }

    /// Whether an idle connection can carry a request: the upstream has neither closed it nor sent anything
    /// on it. Asks the system, since the runtime learns of it in its next turn only, and a request that is
    /// written to a closed connection may have run as far as this entry can tell.
    pub(super) fn is_idle(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        let peeked = SockRef::from(&*self.lock()).peek(&mut byte);
        peeked.is_err_and(|e| e.kind() == io::ErrorKind::WouldBlock)
    }

    fn lock(&self) -> MutexGuard<'_, TcpStream> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
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
