//! TCP stream that counts control bytes and records when it last received data.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock;
use crate::telemetry::Meter;

/// TCP stream that counts its bytes until it turns out to carry calls.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Option<Arc<Meter>>,
    /// When bytes were last received, in Unix milliseconds.
    last_received: Arc<AtomicU64>,
    /// Set once the stream turns out to carry calls, which are not control traffic.
    carries_calls: Arc<AtomicBool>,
}

impl MeteredStream {
    /// Wraps a stream whose bytes are counted by `meter`, if there is one.
    #[must_use]
    pub fn new(stream: TcpStream, meter: Option<Arc<Meter>>) -> Self {
        Self {
            stream,
            meter,
            last_received: Arc::new(AtomicU64::new(clock::unix_ms())),
            carries_calls: Arc::default(),
        }
    }

    /// When bytes were last received, in Unix milliseconds.
    #[must_use]
    pub fn last_received(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.last_received)
    }

    /// Flag that stops the counting when set.
    #[must_use]
    pub fn carries_calls(&self) -> Arc<AtomicBool> {
        Arc::clone(&self.carries_calls)
    }

    fn active_meter(&self) -> Option<&Meter> {
        self.meter
            .as_deref()
            .filter(|_| !self.carries_calls.load(Ordering::Relaxed))
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
            self.last_received
                .store(clock::unix_ms(), Ordering::Relaxed);
        }
        if let Some(meter) = self.active_meter() {
            meter.add_received(buf.filled().len() - before);
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
        if let (Poll::Ready(Ok(written)), Some(meter)) = (&polled, self.active_meter()) {
            meter.add_peer(*written);
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
