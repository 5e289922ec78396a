//! How long a request may wait for a slot, and how long its caller has waited already.
//!
//! A caller that retries after a refusal sends a shorter time-out than callers of the same route
//! start with. The difference is the time that has passed since its first try; [`Estimator`]
//! learns the initial time-out.
//!
//! ```
//! use std::time::Duration;
//! use jackdawpulley::calls::wait::Estimator;
//! use jackdawpulley::units::Millis;
//!
//! let mut estimator = Estimator::default();
//! assert_eq!(estimator.caller_wait(Millis(2_000)), Duration::ZERO);
//! assert_eq!(estimator.caller_wait(Millis(1_700)).as_millis().div_ceil(10), 30);
//! ```

use std::time::Duration;

use crate::units::Millis;

/// Share of a request's spare time that it may wait for a slot.
///
/// Under overload the queue grows until every request waits this long. The remaining share keeps
/// responses in time, since half of the requests take longer than usual.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Lower bound of [`max_wait`]: a request that is already late may still use a free slot.
const MIN_WAIT: Duration = Duration::from_millis(15);
/// Factor by which the longest time-out decays with each request: by half in 7,000 requests.
/// Without it, callers that lower their initial time-out would count as retrying for ever.
const TIMEOUT_DECAY: f64 = 0.9999;

/// Longest wait for a slot of a request whose response is useful for another `left` and takes
/// `processing` to produce.
#[must_use]
pub fn max_wait(left: Duration, processing: Duration) -> Duration {
    left.saturating_sub(processing)
        .mul_f64(MAX_WAIT_SHARE)
        .max(MIN_WAIT)
}

/// Estimator of how long the callers of one route have waited, from their time-outs.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimator {
    max_timeout_ms: f64,
}

impl Estimator {
    /// Records a request with `timeout` left; returns how long its caller has waited already.
    pub fn caller_wait(&mut self, timeout: Millis) -> Duration {
        let timeout_ms = timeout.duration().as_secs_f64() * 1_000.0;
        self.max_timeout_ms = (self.max_timeout_ms * TIMEOUT_DECAY).max(timeout_ms);
        Duration::from_secs_f64((self.max_timeout_ms - timeout_ms) / 1_000.0)
    }
}
