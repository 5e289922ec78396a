//! Logs and metrics of a process.

use std::io::{self, ErrorKind, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::Logs;

/// Log lines that may wait to be written; more are dropped and counted by the drain. Requests cause a few
/// a second, and a queue takes its memory whether it is used or not.
const LOG_QUEUE_LINES: usize = 256;
/// Time for which a line waits for an output that is full.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Time between two tries to write to it.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Upper bounds of a histogram's buckets, in seconds, around the times that callers find right.
const HISTOGRAM_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Standard output, which may be set not to wait for its reader.
///
/// Guards against a daemon that writes no line any more: a pipe that is full for a moment refuses a write, and the
/// rest of the line would be lost with it.
struct Output;

impl Write for Output {
    fn write(&mut self, bytes: &[u8]) -> io::Result<usize> {
        let deadline = Instant::now() + WRITE_TIMEOUT;
        loop {
            match io::stdout().write(bytes) {
                Err(error)
                    if error.kind() == ErrorKind::WouldBlock && Instant::now() < deadline =>
                {
                    thread::sleep(WRITE_RETRY_DELAY);
                }
                written => return written,
            }
        }
    }

    fn flush(&mut self) -> io::Result<()> {
        io::stdout().flush()
    }
}

/// A logger that writes to standard output without blocking its callers. What can't be written is dropped.
pub fn logger(format: Logs, verbose: bool) -> Logger {
    let level = if verbose { Level::Debug } else { Level::Info };
    let drain: Box<dyn Drain<Ok = (), Err = slog::Never> + Send> = match format {
        Logs::Json => Box::new(slog_json::Json::default(Output).ignore_res()),
        Logs::Terminal => {
            let decorator = slog_term::TermDecorator::new().stdout().build();
            Box::new(slog_term::FullFormat::new(decorator).build().ignore_res())
        }
    };
    let queued = slog_async::Async::new(drain)
        .chan_size(LOG_QUEUE_LINES)
        .build()
        .fuse();
    Logger::root(LevelFilter::new(queued, level).fuse(), o!())
}

/// A logger that drops everything.
pub fn silent() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Installs the recorder for metrics; `None` when the process has one already.
#[must_use]
pub fn metrics() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets(&HISTOGRAM_BUCKETS_S)
        .ok()?;
    builder.install_recorder().ok()
}

/// Bytes that a daemon spends on control, counted at its sockets.
#[derive(Debug)]
pub struct Meter {
    started: Instant,
    peers: AtomicU64,
    probes: AtomicU64,
    log: AtomicU64,
    received: AtomicU64,
}

/// Readings of a [`Meter`].
#[derive(Debug, Clone, Copy, PartialEq, Eq, serde::Serialize, serde::Deserialize)]
pub struct Reading {
    /// Milliseconds since the start.
    pub uptime_ms: u64,
    /// Bytes sent to peers over TCP, calls left out.
    pub peer_bytes: u64,
    /// Bytes sent in datagrams.
    pub probe_bytes: u64,
    /// Bytes exchanged with the log, both ways, with an estimate for HTTP heads.
    pub log_bytes: u64,
    /// Bytes received from peers, calls left out.
    pub received_bytes: u64,
}

impl Default for Meter {
    fn default() -> Self {
        Self {
            started: Instant::now(),
            peers: AtomicU64::new(0),
            probes: AtomicU64::new(0),
            log: AtomicU64::new(0),
            received: AtomicU64::new(0),
        }
    }
}

impl Meter {
    /// A meter to share.
    #[must_use]
    pub fn shared() -> Arc<Self> {
        Arc::default()
    }

    /// Notes bytes sent to a peer over TCP.
    pub fn peer(&self, bytes: usize) {
        add(&self.peers, bytes);
    }

    /// Notes bytes sent in a datagram.
    pub fn probe(&self, bytes: usize) {
        add(&self.probes, bytes);
    }

    /// Notes bytes exchanged with the log.
    pub fn log(&self, bytes: usize) {
        add(&self.log, bytes);
    }

    /// Notes bytes received from a peer.
    pub fn received(&self, bytes: usize) {
        add(&self.received, bytes);
    }

    /// Everything counted so far.
    #[must_use]
    pub fn read(&self) -> Reading {
        let load = |counter: &AtomicU64| counter.load(Ordering::Relaxed);
        Reading {
            uptime_ms: u64::try_from(self.started.elapsed().as_millis()).unwrap_or(u64::MAX),
            peer_bytes: load(&self.peers),
            probe_bytes: load(&self.probes),
            log_bytes: load(&self.log),
            received_bytes: load(&self.received),
        }
    }
}

fn add(counter: &AtomicU64, bytes: usize) {
    counter.fetch_add(bytes as u64, Ordering::Relaxed);
}
