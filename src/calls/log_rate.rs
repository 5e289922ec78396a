//! Rate limit for log lines caused by requests.
//!
//! Every failed attempt and every call that does not simply succeed is logged, so that a call's
//! identifier leads to the cause. Under overload these are more lines than a daemon can write
//! beside its work: a [`Limiter`] admits a fixed number per second and counts the dropped ones.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::log_rate::Limiter;
//!
//! let limiter = Limiter::new(2);
//! let now = Instant::now();
//! assert!(limiter.admit(now) && limiter.admit(now));
//! assert!(!limiter.admit(now));
//! assert!(limiter.admit(now + Duration::from_secs(1)));
//! ```

use std::sync::atomic::{AtomicU64, Ordering};
use std::time::Instant;

/// Number of low bits of the state that hold the line count; the others hold the second.
const COUNT_BITS: u32 = 24;

/// Limiter of log lines per second.
#[derive(Debug)]
pub struct Limiter {
    per_second: u64,
    began: Instant,
    /// Current second since the start and the lines admitted in it, packed into one value.
    state: AtomicU64,
}

impl Limiter {
    /// Creates a limiter that admits `per_second` lines in each second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second: u64::from(per_second),
            began: Instant::now(),
            state: AtomicU64::new(0),
        }
    }

    /// Whether a line may be written at `now`; a dropped line is counted in the metrics.
    #[must_use]
    pub fn admit(&self, now: Instant) -> bool {
        let second = now.saturating_duration_since(self.began).as_secs() + 1;
        let take = |state: u64| {
            let (then, count) = (state >> COUNT_BITS, state & ((1 << COUNT_BITS) - 1));
            let count = if then == second { count } else { 0 };
            (count < self.per_second).then_some(second << COUNT_BITS | (count + 1))
        };
        let admitted = self
            .state
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if admitted.is_err() {
            metrics::counter!("jackdaw_lines_dropped_total").increment(1);
        }
        admitted.is_ok()
    }
}
