//! Renewal of a stale watermark.
//!
//! Readers renew the watermarks of their data centre. If they do not, each daemon reads the source itself, after
//! a random delay, and notifies the others, so that mostly one read serves a data centre. It also queries a few
//! members, since the source may refuse this daemon.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};
use tokio::sync::watch;

use crate::backoff::Backoff;
use crate::board::Board;
use crate::configuration::freshness::{Limits, Watermark};
use crate::configuration::reader::Reader;
use crate::configuration::relay::jitter;
use crate::error::Result;
use crate::membership::controller::Membership;
use crate::membership::member::Stage;
use crate::units::{Millis, Offset};

/// Longest pause between two queries of members.
const MAX_QUERY_PAUSE: Duration = Duration::from_secs(1);
/// Pauses after failed reads. The readers notice sooner that the source is available again, and the queried
/// members report that.
const READ_BACKOFF: Backoff = Backoff::new(Duration::from_secs(1), Duration::from_secs(4));

/// Keeps the watermark of one daemon fresh.
#[derive(Debug)]
pub struct Refresher {
    board: Arc<Board>,
    membership: Arc<Membership>,
    reader: Arc<Reader>,
    limits: Limits,
    /// When this daemon began to serve.
    serving_since: Instant,
}

impl Refresher {
    /// Creates a refresher that reads with `reader` and queries the members of `membership`.
    #[must_use]
    pub fn new(board: &Arc<Board>, membership: &Arc<Membership>, reader: &Arc<Reader>) -> Self {
        Self {
            limits: Limits::within(board.settings.apply_ms),
            board: Arc::clone(board),
            membership: Arc::clone(membership),
            reader: Arc::clone(reader),
            serving_since: Instant::now(),
        }
    }

    /// Renews the watermark from the time that the daemon serves until its process ends.
    pub async fn run(mut self) {
        let mut stages = self.board.stages();
        // Until then the joiner reads.
        let _ = stages.wait_for(|stage| *stage != Stage::Starting).await;
        self.serving_since = Instant::now();
        // Also while the daemon stops: it accepts calls to its end, also when all daemons stop together.
        loop {
            let left = self.limits.stale.saturating_sub(self.age());
            if left > Duration::ZERO {
                tokio::time::sleep(left).await;
                continue;
            }
            tokio::time::sleep(jitter(self.limits.spread)).await;
            if self.is_stale() {
                self.renew().await;
            }
        }
    }

    /// Reads the source and queries members until the watermark is fresh again.
    async fn renew(&self) {
        let mut watermarks = self.board.freshness.subscribe();
        let mut pauses = Backoff::new(self.limits.retry, MAX_QUERY_PAUSE);
        let mut read_pauses = READ_BACKOFF;
        let mut reading = tokio::spawn(read(Arc::clone(&self.reader), Duration::ZERO));
        let mut warned = false;
        while self.is_stale() {
            self.membership.query_peers().await;
            let pause = tokio::time::sleep(pauses.next_delay());
            tokio::select! {
                result = &mut reading => {
                    let pause = if matches!(result, Ok(Ok(_))) {
                        info!(self.board.logger, "read in place of a reader";
                            "version" => self.board.digest().version.0);
                        // If the watermark is still stale, more records follow those that were read.
                        Duration::ZERO
                    } else {
                        if !std::mem::replace(&mut warned, true) {
                            self.warn();
                        }
                        read_pauses.next_delay()
                    };
                    reading = tokio::spawn(read(Arc::clone(&self.reader), pause));
                }
                () = renewed(&mut watermarks, self.limits.stale) => {}
                () = pause => {}
            }
        }
        reading.abort();
        if warned {
            info!(self.board.logger, "newest version known again";
                "version" => self.board.digest().version.0);
        }
    }

    fn warn(&self) {
        warn!(self.board.logger, "newest version not known";
            "version" => self.board.digest().version.0,
            "age_ms" => Millis::from(self.age()).0);
    }

    fn is_stale(&self) -> bool {
        self.age() >= self.limits.stale
    }

    /// Age of the watermark, or the time since the daemon began to serve if there is none.
    fn age(&self) -> Duration {
        let now = Instant::now();
        let age = self.board.freshness.latest().age(now);
        age.unwrap_or_else(|| now.saturating_duration_since(self.serving_since))
    }
}

/// Reads the source once, after a pause.
async fn read(reader: Arc<Reader>, pause: Duration) -> Result<Offset> {
    tokio::time::sleep(pause).await;
    reader.read_once(Millis(0)).await
}

/// Waits for a watermark that is not stale.
async fn renewed(watermarks: &mut watch::Receiver<Watermark>, stale: Duration) {
    let is_fresh = |latest: &Watermark| {
        let age = latest.age(Instant::now());
        age.is_some_and(|age| age < stale)
    };
    // The board, which holds the sender, outlives every controller.
    let _ = watermarks.wait_for(is_fresh).await;
}
