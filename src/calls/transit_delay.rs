//! Queueing delay of calls in transit over one connection.
//!
//! The clocks of the two hosts differ by an unknown constant. The fastest call's difference between
//! arrival and send time is taken as the base; what another call takes longer is the time for which
//! it was queued at a host or on the link.
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

/// Delay estimator of one connection.
#[derive(Debug)]
pub struct Estimator {
    /// Smallest difference between arrival and send time so far.
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
    /// Records a call and returns its delay beyond that of the fastest one. It was sent at `sent_ms`
    /// by the sender's clock and arrived at `now_ms` by the local clock, both in milliseconds.
    #[must_use]
    pub fn excess(&self, sent_ms: u64, now_ms: u64) -> Duration {
        let offset = now_ms.cast_signed().saturating_sub(sent_ms.cast_signed());
        let min_offset = self.min_offset_ms.fetch_min(offset, Ordering::Relaxed);
        let excess = offset.saturating_sub(min_offset.min(offset));
        Duration::from_millis(excess.unsigned_abs())
    }
}
