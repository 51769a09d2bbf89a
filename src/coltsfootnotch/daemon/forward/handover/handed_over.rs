//! A connection that a neighbour has handed over, as this entry's server reads and writes it.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};
use std::time::Instant;

use bytes::{Buf, BytesMut};
use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;
use tokio::sync::{Notify, watch};

use super::frame::{HEADER_BYTES, Header};
use crate::daemon::forward::stop_times::{StopNotice, StopTimes};
use crate::util::connection_io::ServerSocket;

/// Bytes read from the socket at once.
const READ_BYTES: usize = 8 * 1024;

/// A connection that a neighbour has handed over: strips the frames from what it reads.
pub(in crate::daemon::forward) struct HandedOver {
    stream: TcpStream,
    received: BytesMut,
    /// Bytes of the current frame that are not read yet.
    frame_left: usize,
    close_requested: Arc<Notify>,
    stop: watch::Sender<Option<StopTimes>>,
}

impl HandedOver {
    pub(in crate::daemon::forward) fn new(stream: TcpStream) -> Self {
        Self {
            stream,
            received: BytesMut::new(),
            frame_left: 0,
            close_requested: Arc::default(),
            stop: watch::Sender::new(None),
        }
    }

    /// When the neighbour breaks the connection off, once it stops.
    pub(in crate::daemon::forward) fn stop_notice(&self) -> StopNotice {
        self.stop.subscribe()
    }

    /// Notified when the neighbour asks to close the connection after the response in progress.
    pub(in crate::daemon::forward) fn close_requested(&self) -> Arc<Notify> {
        Arc::clone(&self.close_requested)
    }

    /// Moves bytes of the caller to `buf`; returns whether there were any.
    fn take_bytes(&mut self, buf: &mut ReadBuf<'_>) -> io::Result<bool> {
        while self.frame_left == 0 {
            let Some(header) = self.received.first_chunk::<HEADER_BYTES>() else {
                return Ok(false);
            };
            let header = Header::decode(*header);
            self.received.advance(HEADER_BYTES);
            match header {
                Some(Header::Data(len)) => self.frame_left = len,
                Some(Header::Close(time_left)) => {
                    let stop = time_left.map(|time| StopTimes::new(Instant::now(), time));
                    self.stop.send_replace(stop);
                    self.close_requested.notify_one();
                }
                None => return Err(io::ErrorKind::InvalidData.into()),
            }
        }
        let len = self
            .frame_left
            .min(self.received.len())
            .min(buf.remaining());
        buf.put_slice(&self.received[..len]);
        self.received.advance(len);
        self.frame_left -= len;
        Ok(len > 0)
    }
}

impl ServerSocket for HandedOver {
    fn set_reset_on_close(&self, reset: bool) -> io::Result<()> {
        self.stream.set_reset_on_close(reset)
    }

    fn has_unread(&self) -> bool {
        self.frame_left > 0 || self.stream.has_unread()
    }
}

impl AsyncRead for HandedOver {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        loop {
            if this.take_bytes(buf)? {
                return Poll::Ready(Ok(()));
            }
            // Idle connections hold no buffer.
            this.received = BytesMut::from(&this.received[..]);
            let mut chunk = [0; READ_BYTES];
            let mut read = ReadBuf::new(&mut chunk);
            ready!(Pin::new(&mut this.stream).poll_read(cx, &mut read))?;
            if read.filled().is_empty() {
                return Poll::Ready(Ok(()));
            }
            this.received.extend_from_slice(read.filled());
        }
    }
}

impl AsyncWrite for HandedOver {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write(cx, buf)
    }

    fn poll_write_vectored(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.stream).poll_write_vectored(cx, bufs)
    }

    fn is_write_vectored(&self) -> bool {
        self.stream.is_write_vectored()
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
