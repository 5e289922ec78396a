//! How recently a daemon knew the newest version of the platform, and when it asks by itself.
//!
//! A [`Watermark`] says as of when the platform is known to have held nothing newer. Readers tell theirs to
//! the daemons beside them. A daemon whose watermark is older than a part of the time in which a version has to
//! be in force reads the platform itself, whatever has become of the readers.
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

/// Parts of the time in which a version has to be in force, in percent.
const WAIT_PERCENT: u64 = 30;
const STALE_PERCENT: u64 = 55;
const SPREAD_PERCENT: u64 = 10;
const RETRY_PERCENT: u64 = 10;

/// Times that keep a version within its bound.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Limits {
    /// Longest time that a reader's request waits at the platform.
    pub wait: Millis,
    /// Age from which a watermark has to be renewed.
    pub stale: Duration,
    /// Time over which the daemons of a data centre spread their reads from then on.
    pub spread: Duration,
    /// First pause after a try at renewing it that failed.
    pub retry: Duration,
}

impl Limits {
    /// Limits for versions that have to be in force within `bound`.
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

/// What a daemon knows of how recent its version is.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Watermark {
    /// The latest time at which the platform is known to have held nothing newer than what is in force here.
    pub as_of: Option<Instant>,
    /// Where to read on; none before the newest version was read.
    pub next: Option<Position>,
    /// Whether this daemon has found that out by itself.
    pub own: bool,
}

impl Watermark {
    /// Its age at `now`.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Duration> {
        self.as_of.map(|as_of| now.saturating_duration_since(as_of))
    }

    /// The watermark as it travels at `now`.
    #[must_use]
    pub fn report(&self, now: Instant) -> Option<Report> {
        Some(Report {
            age: self.age(now)?.into(),
            next: self.next?,
        })
    }
}

/// A watermark on its way to another daemon, beside the version that its sender has in force.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Age when it was sent.
    pub age: Millis,
    /// Where to read on.
    pub next: Position,
}

/// The watermark of one daemon.
#[derive(Debug, Default)]
pub struct Freshness {
    watermark: watch::Sender<Watermark>,
    /// Newest version that was read, in force or not.
    received: AtomicU64,
}

impl Freshness {
    /// The watermark as it is.
    #[must_use]
    pub fn latest(&self) -> Watermark {
        *self.watermark.borrow()
    }

    /// Age of the watermark at `now`; `None` before the first one.
    #[must_use]
    pub fn age(&self, now: Instant) -> Option<Millis> {
        self.latest().age(now).map(Millis::from)
    }

    /// Newest version that this daemon has read from the platform, in force or not.
    #[must_use]
    pub fn received(&self) -> Version {
        Version(self.received.load(Ordering::Relaxed))
    }

    /// Notes a version that the platform holds, before it is checked.
    pub fn note_received(&self, version: Version) {
        self.received.fetch_max(version.0, Ordering::Relaxed);
    }

    /// Notes a read of this daemon that goes on at `next`, as of a time where that was the end.
    pub fn record_read(&self, next: Position, as_of: Option<Instant>) {
        self.watermark.send_modify(|latest| {
            *latest = Watermark {
                as_of: latest.as_of.max(as_of),
                next: Some(next),
                own: true,
            };
        });
    }

    /// Takes over the watermark of a daemon that holds no newer version. It tells where to read on only where
    /// its sender knows nothing else of what stands before that (`complete`).
    ///
    /// Guards against an order that only its reader knows: whoever read on after it would never find it.
    pub fn merge_report(&self, report: &Report, complete: bool, now: Instant) {
        let as_of = now.checked_sub(report.age.duration());
        self.watermark.send_if_modified(|latest| {
            let later = as_of > latest.as_of;
            if later {
                latest.as_of = as_of;
                latest.own = false;
            }
            if complete {
                // Offsets of an earlier era mean nothing in a later one.
                latest.next = latest.next.max(Some(report.next));
            }
            later
        });
    }

    /// Follows the watermark.
    #[must_use]
    pub fn subscribe(&self) -> watch::Receiver<Watermark> {
        self.watermark.subscribe()
    }
}
