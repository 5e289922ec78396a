//! A connection whose control bytes are counted, and whose silence can be told.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock;
use crate::telemetry::Meter;

/// A connection whose control bytes are counted.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Option<Arc<Meter>>,
    /// When bytes came last, in milliseconds since 1970.
    heard: Arc<AtomicU64>,
    /// Set once the connection turns out to carry calls, which are not control.
    calls: Arc<AtomicBool>,
}

impl MeteredStream {
    /// Counts with `meter`, when there is one.
    #[must_use]
    pub fn new(stream: TcpStream, meter: Option<Arc<Meter>>) -> Self {
        Self {
            stream,
            meter,
            heard: Arc::new(AtomicU64::new(clock::unix_ms())),
            calls: Arc::default(),
        }
    }

    /// When bytes came last, in milliseconds since 1970.
    #[must_use]
    pub fn heard(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.heard)
    }

    /// A switch that ends the counting.
    #[must_use]
    pub fn calls(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.calls)
    }

    fn counting(&self) -> Option<&Meter> {
        self.meter
            .as_deref()
            .filter(|_| !self.calls.load(Ordering::Relaxed))
    }
}

impl AsyncRead for MeteredStream {
    fn poll_read(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &mut ReadBuf<'_>,
    ) -> Poll<io::Result<()>> {
        let before = buf.filled().len();
        let polled = Pin::new(&mut self.stream).poll_read(cx, buf);
        if buf.filled().len() > before {
            self.heard.store(clock::unix_ms(), Ordering::Relaxed);
        }
        if let Some(meter) = self.counting() {
            meter.received(buf.filled().len() - before);
        }
        polled
    }
}

impl AsyncWrite for MeteredStream {
    fn poll_write(
        mut self: Pin<&mut Self>,
        cx: &mut Context<'_>,
        buf: &[u8],
    ) -> Poll<io::Result<usize>> {
        let polled = Pin::new(&mut self.stream).poll_write(cx, buf);
        if let (Poll::Ready(Ok(written)), Some(meter)) = (&polled, self.counting()) {
            meter.peer(*written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_shutdown(cx)
    }
}
