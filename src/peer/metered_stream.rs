//! TCP stream that counts control bytes and records when it last received and sent data.

use std::io;
use std::pin::Pin;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::task::{Context, Poll};

use tokio::io::{AsyncRead, AsyncWrite, ReadBuf};
use tokio::net::TcpStream;

use crate::clock;
use crate::linger::Linger;
use crate::telemetry::Meter;

/// TCP stream that counts its bytes until it turns out to carry calls.
#[derive(Debug)]
pub struct MeteredStream {
    stream: TcpStream,
    meter: Option<Arc<Meter>>,
    /// When bytes were last received, in Unix milliseconds.
    last_received: Arc<AtomicU64>,
    /// When bytes were last sent, in Unix milliseconds.
    last_sent: Arc<AtomicU64>,
    /// Set once the stream turns out to carry calls, which are not control traffic.
    carries_calls: Arc<AtomicBool>,
    closing: Closing,
}

/// How a stream is closed.
#[derive(Debug)]
enum Closing {
    /// Its writing side alone.
    Plain,
    /// With a lingering close, so that the peer receives everything that has been written.
    Lingers(Option<Linger>),
}

impl MeteredStream {
    /// Wraps a stream whose bytes are counted by `meter`, if there is one.
    #[must_use]
    pub fn new(stream: TcpStream, meter: Option<Arc<Meter>>) -> Self {
        Self {
            stream,
            meter,
            last_received: Arc::new(AtomicU64::new(clock::unix_ms())),
            last_sent: Arc::default(),
            carries_calls: Arc::default(),
            closing: Closing::Plain,
        }
    }

    /// Makes the stream linger when it is closed.
    #[must_use]
    pub fn lingering(self) -> Self {
        Self {
            closing: Closing::Lingers(None),
            ..self
        }
    }

    /// When bytes were last received, in Unix milliseconds.
    #[must_use]
    pub fn last_received(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.last_received)
    }

    /// When bytes were last sent, in Unix milliseconds.
    #[must_use]
    pub fn last_sent(&self) -> Arc<AtomicU64> {
        Arc::clone(&self.last_sent)
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
        if polled.is_ready() {
            self.last_sent.store(clock::unix_ms(), Ordering::Relaxed);
        }
        if let (Poll::Ready(Ok(written)), Some(meter)) = (&polled, self.active_meter()) {
            meter.add_peer(*written);
        }
        polled
    }

    fn poll_flush(mut self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        Pin::new(&mut self.stream).poll_flush(cx)
    }

    fn poll_shutdown(self: Pin<&mut Self>, cx: &mut Context<'_>) -> Poll<io::Result<()>> {
        let Self {
            stream, closing, ..
        } = self.get_mut();
        match closing {
            Closing::Plain => Pin::new(stream).poll_shutdown(cx),
            Closing::Lingers(linger) => {
                let linger = linger.get_or_insert_with(|| Linger::new(stream));
                linger.poll(stream, cx).map(|_| Ok(()))
            }
        }
    }
}
