//! Reader between a socket and hyper, which passes on one request at a time.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::task::{Context, Poll, ready};

use hyper::rt::{Read, ReadBufCursor, Write};
use hyper_util::rt::TokioIo;
use tokio::io::ReadBuf;
use tokio::net::TcpStream;

use crate::calls::pipeline::budget::Charge;
use crate::calls::pipeline::connection::{Connection, Handler};
use crate::calls::pipeline::splitter::Splitter;
use crate::calls::pipeline::turns::Progress;
use crate::calls::pipeline::{MAX_KEPT_BYTES, Stop};
use crate::scratch;

/// The bytes of one connection as hyper reads them.
#[derive(Debug)]
pub struct Reader<H> {
    io: TokioIo<TcpStream>,
    splitter: Splitter,
    connection: Arc<Connection<H>>,
    /// Memory of the kept bytes.
    charge: Charge,
    /// The bound that was reached, so that each time is counted once.
    bound: Option<Stop>,
}

impl<H: Handler> Reader<H> {
    /// A reader for a new connection, on which hyper accepts heads of up to `max_head` bytes.
    #[must_use]
    pub fn new(stream: TcpStream, connection: Arc<Connection<H>>, max_head: usize) -> Self {
        let splitter = if H::READS_AHEAD {
            Splitter::new(max_head)
        } else {
            Splitter::passing_all()
        };
        Self {
            io: TokioIo::new(stream),
            splitter,
            charge: connection.budget().charge(0),
            connection,
            bound: None,
        }
    }

    /// The socket, without the bytes that have been read from it.
    #[must_use]
    pub fn into_stream(self) -> TcpStream {
        self.io.into_inner()
    }

    /// Reads behind the request in service and starts what may start. It never gives bytes to
    /// hyper, but reports the end of the connection.
    fn poll_ahead(&mut self, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        loop {
            self.start_ahead();
            let kept = self.splitter.kept();
            let room = MAX_KEPT_BYTES.saturating_sub(kept);
            if room == 0 || !self.connection.budget().has_room() {
                self.reach(if room == 0 { Stop::Bytes } else { Stop::Memory });
                // The end of the connection is noticed if nothing has been sent before it.
                let mut byte = [0];
                let peeked = self
                    .io
                    .inner()
                    .poll_peek(cx, &mut ReadBuf::new(&mut byte))?;
                if peeked == Poll::Ready(0) {
                    return Poll::Ready(Ok(()));
                }
                if kept > 0 || peeked.is_ready() {
                    self.connection.wake_after_response(cx);
                }
                return Poll::Pending;
            }
            let splitter = &mut self.splitter;
            let received = scratch::poll_read(self.io.inner_mut(), cx, room, |data| {
                splitter.receive(data);
                data.len()
            });
            let length = match received {
                Poll::Ready(received) => received?,
                Poll::Pending => {
                    if kept > 0 {
                        self.connection.wake_after_response(cx);
                    }
                    return Poll::Pending;
                }
            };
            if length == 0 {
                return Poll::Ready(Ok(()));
            }
            self.charge.resize(self.splitter.kept());
        }
    }

    fn start_ahead(&mut self) {
        while self.splitter.has_unread() && !self.connection.is_closing() {
            if let Some(stop) = self.connection.refusal_of_start() {
                self.reach(stop);
                return;
            }
            match self.splitter.next_ahead() {
                Ok(Some(ahead)) => self.connection.start(ahead),
                Ok(None) => return,
                Err(reason) => reason.count(),
            }
        }
    }

    fn reach(&mut self, bound: Stop) {
        if self.bound.replace(bound) != Some(bound) {
            bound.count();
        }
    }
}

impl<H: Handler> Read for Reader<H> {
    fn poll_read(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        mut buf: ReadBufCursor<'_>,
    ) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        if this.splitter.is_passed() {
            match this.connection.progress(this.splitter.number()) {
                Progress::InService => return this.poll_ahead(cx),
                Progress::Answered => {
                    this.splitter.release();
                    this.bound = None;
                }
                Progress::Differs => {
                    Stop::Differs.count();
                    this.connection.close();
                    this.connection.cancel_started();
                    this.splitter.pass_all();
                }
            }
        }
        let kept = this.splitter.pass(buf.remaining());
        if kept.is_empty() {
            let splitter = &mut this.splitter;
            ready!(scratch::poll_read(
                this.io.inner_mut(),
                cx,
                buf.remaining(),
                |data| {
                    let passed = splitter.receive(data);
                    buf.put_slice(&data[..passed]);
                    passed
                }
            ))?;
        } else {
            buf.put_slice(&kept);
        }
        this.charge.resize(this.splitter.kept());
        Poll::Ready(Ok(()))
    }
}

impl<H: Handler> Write for Reader<H> {
    fn poll_write(
        self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        Pin::new(&mut self.get_mut().io).poll_write(cx, buf)
    }

    fn poll_flush(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let this = self.get_mut();
        ready!(Pin::new(&mut this.io).poll_flush(cx))?;
        // hyper flushes once its own buffer is empty.
        this.connection.record_written();
        Poll::Ready(Ok(()))
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
