//! The socket of an HTTP server's connection, for responses that end with their connection.
//!
//! Such a response has neither a length nor chunks, so only the way in which the connection ends tells a
//! complete body from one that was broken off: a close from a reset. The system closes the sockets of a
//! process that is killed, so the socket is set to be reset when a response begins, and to be closed
//! once it is complete.

use std::io::{self, IoSlice};
use std::mem::MaybeUninit;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::task::{Context, Poll, ready};
use std::time::Duration;

use bytes::Bytes;
use socket2::SockRef;
use tokio::io::{AsyncRead, AsyncReadExt, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::time::{Sleep, sleep};

use super::connection_state::ConnectionState;

/// Extension of a response that ends with its connection, since whether its body is complete is
/// unknown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct EndsWithConnection;

/// The socket of a connection, as far as its close is concerned.
pub trait ServerSocket {
    /// Sets whether closing the connection, also by the end of the process, resets it.
    ///
    /// # Errors
    /// Returns an error when the connection is closed already.
    fn set_reset_on_close(&self, reset: bool) -> io::Result<()>;

    /// Whether bytes have arrived that are not read yet; asks the system rather than the runtime, which
    /// learns of them in its next turn only.
    fn has_unread(&self) -> bool;
}

impl ServerSocket for TcpStream {
    fn set_reset_on_close(&self, reset: bool) -> io::Result<()> {
        SockRef::from(self).set_linger(reset.then_some(Duration::ZERO))
    }

    fn has_unread(&self) -> bool {
        let mut byte = [MaybeUninit::uninit()];
        SockRef::from(self).peek(&mut byte).is_ok_and(|len| len > 0)
    }
}

/// The version in a status line as hyper writes it, and as it is sent.
const OLD_VERSION: &[u8] = b"HTTP/1.0 ";
const VERSION: &[u8] = b"HTTP/1.1 ";

/// Most bytes behind a request that are read before the HTTP library asks for them. The departure of a caller that
/// has sent more is noticed once they are read.
const MAX_READ_AHEAD: usize = 8 * 1024;

/// Bytes that are read ahead at once.
const READ_AHEAD_BYTES: usize = 2 * 1024;

/// Most bytes that the HTTP library is given at once. It doubles its buffer after a read that fills it, and a body is
/// copied out of it anyway.
const MAX_READ: usize = FIRST_BUFFER - 1;

/// Size of the HTTP library's buffer until a head doesn't fit, in bytes.
const FIRST_BUFFER: usize = 8 * 1024;

/// Accounts for the bytes that a connection's buffer takes from then on besides its first, and returns whether it may.
pub(super) type ReserveBuffer = Box<dyn FnMut(u64) -> bool + Send>;

/// The socket of a connection.
pub(super) struct ConnectionIo<S> {
    stream: S,
    state: Arc<ConnectionState>,
    reserve_buffer: ReserveBuffer,
    /// Size of the HTTP library's buffer, in bytes. It never shrinks.
    buffer_bytes: usize,
    /// Whether what is read from now on is kept in no buffer.
    is_discarding: bool,
    /// Time that is left for the peer to take bytes; set while it takes none.
    write_deadline: Option<Pin<Box<Sleep>>>,
    write_timeout: Option<Duration>,
    /// Bytes that were read before and are to be read again.
    put_back: Bytes,
    /// Whether the HTTP library waits for bytes of the peer, and so notices that it closes the connection.
    is_reading: bool,
    /// What is left of the corrected version of the current status line.
    version: &'static [u8],
    resets_on_close: bool,
}

impl<S: ServerSocket> ConnectionIo<S> {
    /// `reserve_buffer` is called as a head outgrows the buffer for it; if it refuses, the connection fails. So it does
    /// if its peer takes no bytes for `write_timeout`.
    pub(super) fn new(
        stream: S,
        state: Arc<ConnectionState>,
        reserve_buffer: ReserveBuffer,
        write_timeout: Option<Duration>,
    ) -> Self {
        Self {
            stream,
            state,
            reserve_buffer,
            buffer_bytes: FIRST_BUFFER,
            is_discarding: false,
            write_deadline: None,
            write_timeout,
            put_back: Bytes::new(),
            is_reading: false,
            version: &[],
            resets_on_close: false,
        }
    }

    /// Takes note that what is read from now on is kept in no buffer.
    pub(super) fn begin_discarding(&mut self) {
        self.is_discarding = true;
    }

    /// Has bytes that were read already read again, before those that were put back earlier.
    pub(super) fn put_back(&mut self, bytes: Bytes) {
        self.put_back = match self.put_back.is_empty() {
            true => bytes,
            false => [bytes, self.put_back.split_off(0)].concat().into(),
        };
    }

    /// Whether bytes of the peer are not read yet.
    pub(super) fn has_unread(&self) -> bool {
        !self.put_back.is_empty() || self.stream.has_unread()
    }

    /// Prepares the socket for `bytes`, which may begin a response.
    fn before_write(&mut self, bytes: &[u8]) {
        self.state.expects_rest.store(false, Ordering::Release);
        self.state.has_written.store(true, Ordering::Release);
        if self.state.has_old_version.swap(false, Ordering::AcqRel)
            && bytes.starts_with(OLD_VERSION)
        {
            self.version = VERSION;
        }
        if self.state.ends_with_connection.load(Ordering::Acquire) && !self.resets_on_close {
            self.set_reset_on_close(true);
        }
        self.reset_if_aborted();
    }

    /// Has the connection reset if a response was aborted.
    fn reset_if_aborted(&mut self) {
        if !self.resets_on_close && self.state.is_response_aborted() {
            self.set_reset_on_close(true);
        }
    }

    fn set_reset_on_close(&mut self, reset: bool) {
        self.resets_on_close = reset;
        if let Err(e) = self.stream.set_reset_on_close(reset) {
            // The caller has closed its connection, and reads no end.
            log::debug!("the end of a connection can't be set: {e}");
        }
    }
}

impl<S> ConnectionIo<S> {
    /// Accounts for the buffer that the HTTP library has for its next read.
    fn account_for_buffer(&mut self) -> io::Result<()> {
        // It doubles the buffer of a head that leaves less room than the first one had. Those of bodies are emptied
        // after each read.
        let head = self.state.head_bytes.load(Ordering::Acquire);
        let needed = (head + FIRST_BUFFER).next_power_of_two();
        if head == 0 || needed <= self.buffer_bytes {
            return Ok(());
        }
        if !(self.reserve_buffer)((needed - FIRST_BUFFER) as u64) {
            return Err(io::ErrorKind::OutOfMemory.into());
        }
        self.buffer_bytes = needed;
        Ok(())
    }

    /// Fails once the peer has taken no bytes for too long; called after a write that it took nothing of.
    fn check_write_timeout(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        let Some(time) = self.write_timeout else {
            return Ok(());
        };
        let deadline = self
            .write_deadline
            .get_or_insert_with(|| Box::pin(sleep(time)));
        match deadline.as_mut().poll(cx) {
            Poll::Ready(()) => Err(io::ErrorKind::TimedOut.into()),
            Poll::Pending => Ok(()),
        }
    }
}

impl<S: AsyncRead + ServerSocket + Unpin> ConnectionIo<S> {
    fn on_not_written(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        self.state.set_waiting();
        self.check_write_timeout(cx)?;
        self.check_departure(cx)
    }

    fn on_written(&mut self) {
        self.write_deadline = None;
        self.state.end_waiting();
    }

    /// Fails once the peer has closed the connection while its request is handled. The HTTP library doesn't notice
    /// that while it has bytes behind the request, or while the request's body is not read.
    fn check_departure(&mut self, cx: &mut Context<'_>) -> io::Result<()> {
        while !self.is_reading && self.state.is_handling() && self.put_back.len() < MAX_READ_AHEAD {
            let mut buf = [MaybeUninit::uninit(); READ_AHEAD_BYTES];
            let mut buf = ReadBuf::uninit(&mut buf);
            match Pin::new(&mut self.stream).poll_read(cx, &mut buf)? {
                Poll::Pending => break,
                Poll::Ready(()) if buf.filled().is_empty() => {
                    return Err(io::ErrorKind::ConnectionAborted.into());
                }
                Poll::Ready(()) => {
                    self.put_back = [&self.put_back, buf.filled()].concat().into();
                    // The library may want to read them by now.
                    cx.waker().wake_by_ref();
                }
            }
        }
        Ok(())
    }
}

impl<S: AsyncRead + ServerSocket + Unpin> AsyncRead for ConnectionIo<S> {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        self.account_for_buffer()?;
        let filled = buf.filled().len();
        let read = if self.put_back.is_empty() {
            let mut limited = (&mut self.stream).take(MAX_READ as u64);
            Pin::new(&mut limited).poll_read(cx, buf)?
        } else {
            let len = self.put_back.len().min(buf.remaining()).min(MAX_READ);
            buf.put_slice(&self.put_back.split_to(len));
            Poll::Ready(())
        };
        self.is_reading = read.is_pending();
        let has_body_left = self.state.has_body_left.load(Ordering::Acquire);
        if !self.state.is_handling() && !has_body_left && !self.is_discarding {
            let len = buf.filled().len() - filled;
            self.state.head_bytes.fetch_add(len, Ordering::AcqRel);
            if read.is_pending() {
                self.state.set_waiting();
            }
        }
        let is_closing = self.state.is_closing.load(Ordering::Acquire);
        let has_more = match read {
            Poll::Ready(()) => buf.filled().len() > filled,
            Poll::Pending => is_closing && self.stream.has_unread(),
        };
        if has_more {
            self.state.expects_rest.store(true, Ordering::Release);
        }
        read.map(Ok)
    }
}

impl<S: AsyncRead + AsyncWrite + ServerSocket + Unpin> AsyncWrite for ConnectionIo<S> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let this = self.get_mut();
        this.before_write(buf);
        // Both versions have the same length, so what is written counts as the bytes of `buf`.
        let len = this.version.len().min(buf.len());
        let bytes = match len {
            0 => buf,
            len => &this.version[..len],
        };
        let Poll::Ready(written) = Pin::new(&mut this.stream).poll_write(cx, bytes)? else {
            this.on_not_written(cx)?;
            return Poll::Pending;
        };
        this.on_written();
        this.version = &this.version[written.min(len)..];
        Poll::Ready(Ok(written))
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        let first = bufs.iter().find(|buf| !buf.is_empty());
        let first = first.map_or(&[][..], |buf| &**buf);
        self.before_write(first);
        if !self.version.is_empty() {
            return self.poll_write(cx, first);
        }
        let written = Pin::new(&mut self.stream).poll_write_vectored(cx, bufs);
        if written.is_pending() {
            self.on_not_written(cx)?;
        } else {
            self.on_written();
        }
        written
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        self.reset_if_aborted();
        ready!(Pin::new(&mut self.stream).poll_flush(cx))?;
        self.state.flush.on_flushed();
        self.check_departure(cx)?;
        // Set again by the next turn if the HTTP library still waits.
        self.is_reading = false;
        Poll::Ready(Ok(()))
    }

    /// Called once the last response is complete, and not after one that was broken off.
    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        if self.resets_on_close {
            self.set_reset_on_close(false);
        }
        let is_closing = self.state.is_closing.load(Ordering::Acquire);
        // The rest of a body whose request was responded to is no request that is lost.
        let has_body_left = self.state.has_body_left.load(Ordering::Acquire);
        if is_closing && !has_body_left && self.has_unread() {
            self.state.is_closed_unread.store(true, Ordering::Release);
        }
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}

#[cfg(test)]
#[path = "connection_io_tests.rs"]
mod tests;
