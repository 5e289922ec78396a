//! How up to date a daemon's version is, and when the daemon reads the platform itself.
//!
//! A [`Watermark`] is the latest time at which the platform is known to have held no newer version. Readers
//! report theirs to the other daemons. When a watermark's age exceeds a fraction of the time within which a
//! version must become active, the daemon reads the platform itself, whether or not the readers still run.
//!
//! ```
//! use std::time::Duration;
//! use jackdawpulley::configuration::freshness::Limits;
//! use jackdawpulley::units::Millis;
//!
//! let limits = Limits::within(Millis(2_000));
//! let latest = limits.stale + limits.spread + limits.retry;
//! assert!(latest < Duration::from_millis(1_600));
//! ```

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use tokio::sync::watch;

use crate::configuration::control_plane::Position;
use crate::units::{Millis, Version};

/// Fractions of the time within which a version must become active, in percent.
const WAIT_PERCENT: u64 = 30;
const STALE_PERCENT: u64 = 55;
const SPREAD_PERCENT: u64 = 10;
const RETRY_PERCENT: u64 = 10;

/// Timing of reads that lets each version become active in time.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest time that a reader's request waits at the platform.
    pub wait: Millis,
    /// Age at which a watermark must be renewed.
    pub stale: Duration,
    /// Time after that over which the daemons of a data centre spread their reads.
    pub spread: Duration,
    /// First pause after a failed renewal.
    pub retry: Duration,
}

impl Limits {
    /// Limits for versions that must become active within `bound`.
    #[must_use]
    pub const fn within(bound: Millis) -> Self {
        Self {
            wait: Millis(bound.0 * WAIT_PERCENT / 100),
            stale: Duration::from_millis(bound.0 * STALE_PERCENT / 100),
            spread: Duration::from_millis(bound.0 * SPREAD_PERCENT / 100),
            retry: Duration::from_millis(bound.0 * RETRY_PERCENT / 100),
        }
    }
}

/// What a daemon knows about how up to date its version is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watermark {
    /// Latest time at which the platform is known to have held nothing newer than this daemon's version.
    pub as_of: Option<Instant>,
    /// Position to continue reading from; `None` until one is known.
    pub next: Option<Position>,
    /// Whether this daemon's own read updated the watermark last, rather than a more recent report.
    pub own: bool,
}

impl Watermark {
    /// Age at `now`; `None` before the first read or report.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_duration_since(as_of))
    }

    /// The report that is sent to other daemons at `now`.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<Report> {
        Some(Report {
            age: self.age(now)?.into(),
            next: self.next?,
        })
    }
}

/// A watermark as sent to another daemon, together with the sender's active version.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Age at the time of sending.
    pub age: Millis,
    /// Position to continue reading from.
    pub next: Position,
}

/// The watermark of one daemon.
#[derive(Debug, Default)]
pub struct Freshness {
    watermark: watch::Sender<Watermark>,
    /// Newest version read from the platform, active or not.
    received: AtomicU64,
}

impl Freshness {
    /// The current watermark.
    #[must_use]
    pub fn latest(&self) -> Watermark {
        *self.watermark.borrow()
    }

    /// Age of the watermark at `now`; `None` before the first read or report.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Millis> {
        self.latest().age(now).map(Millis::from)
    }

    /// Newest version that this daemon has read from the platform, active or not.
    #[must_use]
    pub fn received(&self) -> Version {
        Version(self.received.load(Ordering::Relaxed))
    }

    /// Records a version read from the platform, before it is validated.
    pub fn note_received(&self, version: Version) {
        self.received.fetch_max(version.0, Ordering::Relaxed);
    }

    /// Records a read by this daemon that ended at `next`; `as_of` is a time at which no record followed, if
    /// the read reached the end.
    pub fn record_read(&self, next: Position, as_of: Option<Instant>) {
        self.watermark.send_modify(|latest| {
            *latest = Watermark {
                as_of: latest.as_of.max(as_of),
                next: Some(next),
                own: true,
            };
        });
    }

    /// Merges the watermark of a daemon that holds no newer version.
    ///
    /// The reported position is used only if this daemon knows all that its sender has read before it
    /// (`complete`). Otherwise a rollout order that only the sender has read would be skipped and never found.
    pub fn merge_report(&self, report: &Report, complete: bool, now: Instant) {
        let as_of = now.checked_sub(report.age.duration());
        self.watermark.send_if_modified(|latest| {
            let later = as_of > latest.as_of;
            if later {
                latest.as_of = as_of;
                latest.own = false;
            }
            if complete {
                // Positions compare by generation first: offsets of an earlier generation are meaningless in a
                // later one.
                latest.next = latest.next.max(Some(report.next));
            }
            later
        });
    }

    /// Subscribes to the watermark.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Watermark> {
        self.watermark.subscribe()
    }
}
