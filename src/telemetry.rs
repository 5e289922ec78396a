//! Logging and metrics.

use std::io::{self, ErrorKind, Write};
use std::sync::Arc;
use std::sync::atomic::{AtomicU64, Ordering};
use std::thread;
use std::time::{Duration, Instant};

use metrics_exporter_prometheus::{PrometheusBuilder, PrometheusHandle};
use slog::{Drain, Level, LevelFilter, Logger, o};

use crate::settings::Logs;

/// Log lines that may wait to be written; further ones are dropped and counted by the drain. Requests
/// cause a few lines a second, and the queue's memory is allocated whether it is used or not.
const LOG_QUEUE_LINES: usize = 256;
/// Longest time that a write waits for a full output.
const WRITE_TIMEOUT: Duration = Duration::from_secs(1);
/// Delay before a write to a full output is retried.
const WRITE_RETRY_DELAY: Duration = Duration::from_millis(5);
/// Upper bounds of histogram buckets, in seconds, around response times acceptable to callers.
const HISTOGRAM_BUCKETS_S: [f64; 10] = [0.005, 0.01, 0.025, 0.05, 0.1, 0.25, 0.5, 1.0, 2.5, 5.0];

/// Standard output that retries writes if it is non-blocking.
///
/// Guards against a daemon that stops logging: a non-blocking pipe that is briefly full rejects a write, and the
/// rest of the line would be lost.
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

/// Creates a logger that writes to standard output without blocking its callers; lines that cannot be
/// written are dropped.
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

/// Creates a logger that discards everything.
pub fn discard_logger() -> Logger {
    Logger::root(slog::Discard, o!())
}

/// Installs the metrics recorder; returns `None` if the process already has one.
#[must_use]
pub fn install_recorder() -> Option<PrometheusHandle> {
    let builder = PrometheusBuilder::new()
        .set_buckets(&HISTOGRAM_BUCKETS_S)
        .ok()?;
    builder.install_recorder().ok()
}

/// Counts the bytes of control traffic at the sockets of a daemon.
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
    /// Time since the start, in milliseconds.
    pub uptime_ms: u64,
    /// Bytes sent to peers over TCP, without calls.
    pub peer_bytes: u64,
    /// Bytes sent to peers in UDP datagrams.
    pub probe_bytes: u64,
    /// Bytes exchanged with the log in both directions, with an estimate for HTTP headers.
    pub log_bytes: u64,
    /// Bytes received from peers over TCP, without calls.
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
    /// Creates a meter in an [`Arc`].
    #[must_use]
    pub fn shared() -> Arc<Self> {
        Arc::default()
    }

    /// Counts bytes sent to a peer over TCP.
    pub fn add_peer(&self, bytes: usize) {
        add(&self.peers, bytes);
    }

    /// Counts bytes sent in a datagram.
    pub fn add_probe(&self, bytes: usize) {
        add(&self.probes, bytes);
    }

    /// Counts bytes exchanged with the log.
    pub fn add_log(&self, bytes: usize) {
        add(&self.log, bytes);
    }

    /// Counts bytes received from a peer over TCP.
    pub fn add_received(&self, bytes: usize) {
        add(&self.received, bytes);
    }

    /// Totals since the start.
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
