//! How long a request may wait, and how long its caller has waited already.
//!
//! Callers that were refused come back with less time than callers of the same route begin with.
//! That difference tells how old their request is: [`Estimator`] learns what they begin with.
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

/// Part of the time that a request can spare that it may wait for a slot.
///
/// Under load a line of requests grows to whatever is tolerated, and stays there: everybody waits
/// that long. The rest keeps the answers in time, since the work of half of the requests is longer
/// than usual.
const MAX_WAIT_SHARE: f64 = 0.4;
/// Wait that is tolerated in any case: a request that is late already may use what is free.
const MIN_WAIT: Duration = Duration::from_millis(15);
/// Part of the longest time that is kept at each request, so that callers who begin with less from
/// some day on are not taken for ones that come back: half is forgotten in 7,000 requests.
const TIMEOUT_DECAY: f64 = 0.9999;

/// Longest wait for a slot of a request whose answer is of full use for `left` and whose work
/// needs `work`.
#[must_use]
pub fn max_wait(left: Duration, processing: Duration) -> Duration {
    left.saturating_sub(processing)
        .mul_f64(MAX_WAIT_SHARE)
        .max(MIN_WAIT)
}

/// The time that callers of one route begin with.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Estimator {
    max_timeout_ms: f64,
}

impl Estimator {
    /// For how long a caller has waited that still gives `timeout`.
    pub fn caller_wait(&mut self, timeout: Millis) -> Duration {
        let timeout = timeout.duration().as_secs_f64() * 1_000.0;
        self.max_timeout_ms = (self.max_timeout_ms * TIMEOUT_DECAY).max(timeout);
        Duration::from_secs_f64((self.max_timeout_ms - timeout) / 1_000.0)
    }
}
