//! Absence of the co-located target at the start of the daemon.
//!
//! When a platform takes a host away, it ends the target first and then stops the daemon. If a fault
//! makes it start the daemon again before the time for the stop is up, the new process receives no
//! signal, and is killed at the end of that time together with the requests of callers that have come
//! back. A daemon that starts in a running fleet and finds nothing at its target's address is therefore
//! not ready.
//!
//! The target may just as well have crashed, or start later than its daemon. The absence ends when a
//! target announces itself, and at the latest when a stop that was requested before the start would be
//! over. Meanwhile the daemon serves every request that it receives.
//!
//! ```
//! use std::time::{Duration, Instant};
//!
//! use jackdawpulley::membership::absence::Absence;
//!
//! let (now, limit) = (Instant::now(), Duration::from_secs(5));
//! let absence = Absence::default();
//! absence.begin(now, limit);
//! assert_eq!(absence.remaining(now), Some(limit));
//! absence.end();
//! assert_eq!(absence.remaining(now), None);
//! ```

use std::sync::Arc;
use std::time::{Duration, Instant};

use arc_swap::ArcSwapOption;

/// Absence of the co-located target, for a limited time from the start of the daemon.
#[derive(Debug, Default)]
pub struct Absence {
    /// When it ends, if no target announces itself before.
    until: ArcSwapOption<Instant>,
}

impl Absence {
    /// Records that no target was found at `now`, for `limit` at most.
    pub fn begin(&self, now: Instant, limit: Duration) {
        self.until.store(Some(Arc::new(now + limit)));
    }

    /// Records that a target has been found.
    pub fn end(&self) {
        self.until.store(None);
    }

    /// Time until the daemon is ready without a target; none if it is not waiting for one.
    #[must_use]
    pub fn remaining(&self, now: Instant) -> Option<Duration> {
        let until = self.until.load();
        let remaining = until.as_ref()?.saturating_duration_since(now);
        (!remaining.is_zero()).then_some(remaining)
    }
}
