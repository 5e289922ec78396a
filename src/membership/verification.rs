//! Claims of targets that wait for a health check after a restart of the daemon.
//!
//! An earlier process of this daemon may have acknowledged departures that this one does not know, and an
//! announcement that a target sent before its departure may arrive seconds after it. A daemon that has restarted
//! therefore offers a target that has announced itself only once that responds as healthy. What a target cannot
//! prove by its health check, it proves by announcing itself when no late announcement can arrive any more.
//!
//! ```
//! use std::time::Instant;
//!
//! use jackdawpulley::membership::verification::{MAX_ANNOUNCEMENT_DELAY, Verification};
//!
//! let start = Instant::now();
//! let verification = Verification::new(start);
//! assert!(!verification.is_over(start));
//! assert!(verification.is_over(start + MAX_ANNOUNCEMENT_DELAY));
//! ```

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::Notify;

use crate::shared_state::Target;

/// Longest time for which an announcement may be under way.
pub const MAX_ANNOUNCEMENT_DELAY: Duration = Duration::from_secs(10);

/// The latest claim that waits for a health check.
#[derive(Debug)]
pub struct Verification {
    started_at: Instant,
    claim: Mutex<Option<Target>>,
    claimed: Notify,
}

impl Verification {
    /// Creates an empty one for a daemon that started at `started_at`.
    #[must_use]
    pub fn new(started_at: Instant) -> Self {
        Self {
            started_at,
            claim: Mutex::default(),
            claimed: Notify::new(),
        }
    }

    /// Whether announcements that arrive at `now` were sent after the start of the daemon.
    #[must_use]
    pub fn is_over(&self, now: Instant) -> bool {
        now >= self.ends_at()
    }

    /// When it is over.
    #[must_use]
    pub fn ends_at(&self) -> Instant {
        self.started_at + MAX_ANNOUNCEMENT_DELAY
    }

    /// Adds a claim, in place of an earlier one.
    pub fn add(&self, target: Target) {
        *self.claim() = Some(target);
        self.claimed.notify_one();
    }

    /// The claim that waits.
    #[must_use]
    pub fn get(&self) -> Option<Target> {
        self.claim().clone()
    }

    /// Removes the claim if it is of the process of `found`; returns it in place of `found` then, since it is what
    /// the process has announced last.
    #[must_use]
    pub fn latest(&self, found: Target) -> Target {
        let claim = self
            .claim()
            .take_if(|target| target.instance == found.instance);
        claim.unwrap_or(found)
    }

    /// Removes the claim, whoever has made it.
    pub fn clear(&self) {
        *self.claim() = None;
    }

    /// Waits until a claim is added.
    pub async fn claimed(&self) {
        self.claimed.notified().await;
    }

    fn claim(&self) -> MutexGuard<'_, Option<Target>> {
        self.claim.lock().unwrap_or_else(PoisonError::into_inner)
    }
}
