//! Bounding the log lines that requests cause.
//!
//! Every failed attempt and every call that did not simply succeed gets a line, so that its
//! identifier leads to its cause. Under overload there would be more of them than a daemon can
//! write beside its work: a [`Limiter`] admits so many a second and counts the rest.
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

/// Bits of the state that count lines; the others name the second.
const COUNT_BITS: u32 = 24;

/// Admits a number of lines a second.
#[derive(Debug)]
pub struct Limiter {
    per_second: u64,
    began: Instant,
    /// The second since the start, and the lines admitted in it, as one value.
    state: AtomicU64,
}

impl Limiter {
    /// Admits `per_second` lines in each second.
    #[must_use]
    pub fn new(per_second: u32) -> Self {
        Self {
            per_second: u64::from(per_second),
            began: Instant::now(),
            state: AtomicU64::new(0),
        }
    }

    /// Whether a line may be written at `now`; one that may not is counted.
    #[must_use]
    pub fn admit(&self, now: Instant) -> bool {
        let second = now.saturating_duration_since(self.began).as_secs() + 1;
        let take = |state: u64| {
            let (then, count) = (state >> COUNT_BITS, state & ((1 << COUNT_BITS) - 1));
            let count = if then == second { count } else { 0 };
            (count < self.per_second).then_some(second << COUNT_BITS | (count + 1))
        };
        let taken = self
            .state
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take);
        if taken.is_err() {
            metrics::counter!("jackdaw_lines_dropped_total").increment(1);
        }
        taken.is_ok()
    }
}
