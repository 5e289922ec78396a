//! Limit on the bytes that a target may send before the head of its response is complete.
//!
//! hyper bounds the size of a head, but not the number of interim responses before it. A target that
//! sends these without end would keep the thread that reads them busy.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicUsize, Ordering};
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::net::TcpStream;

use crate::scratch;

/// Largest number of bytes before the end of a head, interim responses included.
const MAX_HEAD_BYTES: usize = 64 << 10;

/// Bytes that may still be received on a connection.
#[derive(Debug)]
pub struct Budget(AtomicUsize);

impl Default for Budget {
    /// A budget without a limit, for a connection without a request.
    fn default() -> Self {
        Self(AtomicUsize::new(usize::MAX))
    }
}

impl Budget {
    /// Begins to wait for a head.
    pub fn begin(&self) {
        self.0.store(MAX_HEAD_BYTES, Ordering::Relaxed);
    }

    /// Records that the head is complete. What follows is read only on demand.
    pub fn end(&self) {
        self.0.store(usize::MAX, Ordering::Relaxed);
    }

    /// Whether more bytes came than allowed.
    pub fn is_exhausted(&self) -> bool {
        self.0.load(Ordering::Relaxed) == 0
    }

    fn receive(&self, bytes: usize) {
        let left = self.0.load(Ordering::Relaxed);
        if left != usize::MAX {
            self.0.store(left.saturating_sub(bytes), Ordering::Relaxed);
        }
    }
}

/// A connection that fails once its budget is exhausted.
#[derive(Debug)]
pub struct Limited {
    io: TokioIo<TcpStream>,
    budget: Arc<Budget>,
}

impl Limited {
    /// Limits a connection by a budget.
    #[must_use]
    pub fn new(stream: TcpStream, budget: Arc<Budget>) -> Self {
        Self {
            io: TokioIo::new(stream),
            budget,
        }
    }
}

impl Read for Limited {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.budget.is_exhausted() {
            let reason = "response head exceeds 64 KiB";
            return Poll::Ready(Err(io::Error::new(io::ErrorKind::InvalidData, reason)));
        }
        let room = buf.remaining();
        let received = ready!(scratch::poll_read(this.io.inner_mut(), cx, room, |data| {
            buf.put_slice(data);
            data.len()
        }))?;
        this.budget.receive(received);
        Poll::Ready(Ok(()))
    }
}

impl Write for Limited {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.get_mut().io).poll_shutdown(cx)
    }

    fn is_write_vectored(&self) -> bool {
        self.io.is_write_vectored()
    }

    fn poll_write_vectored(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        bufs: &[io::IoSlice<'_>],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write_vectored(cx, bufs)
    }
}
