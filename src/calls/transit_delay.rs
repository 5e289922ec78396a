//! How long calls are on their way over one connection.
//!
//! The clocks of two hosts differ by a constant that nobody knows. The call that came quickest tells it, for all
//! that matters; what another one took longer is the time that it waited at a host or on a link.
//!
//! ```
//! use std::time::Duration;
//! use jackdawpulley::calls::transit_delay::Estimator;
//!
//! let estimator = Estimator::default();
//! assert_eq!(estimator.excess(1_000, 5_000), Duration::ZERO);
//! assert_eq!(estimator.excess(2_000, 6_730), Duration::from_millis(730));
//! assert_eq!(estimator.excess(3_000, 7_000), Duration::ZERO);
//! ```

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

/// The calls of one connection.
#[derive(Debug)]
pub struct Estimator {
    /// Least difference between the two hosts' clocks that a call showed, in milliseconds.
    min_offset_ms: AtomicI64,
}

impl Default for Estimator {
    fn default() -> Self {
        Self {
            min_offset_ms: AtomicI64::new(i64::MAX),
        }
    }
}

impl Estimator {
    /// Time for which a call was on its way beyond the quickest one: sent at `sent_ms` by the clock of its
    /// sender, and come at `now_ms` by the clock here.
    #[must_use]
    pub fn excess(&self, sent_ms: u64, now_ms: u64) -> Duration {
        let offset = now_ms.cast_signed().saturating_sub(sent_ms.cast_signed());
        let min_offset = self.min_offset_ms.fetch_min(offset, Ordering::Relaxed);
        let excess = offset.saturating_sub(min_offset.min(offset));
        Duration::from_millis(excess.unsigned_abs())
    }
}
