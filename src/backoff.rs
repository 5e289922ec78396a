//! Exponential backoff with jitter, for operations that many daemons retry at the same time.
//!
//! ```
//! use std::time::Duration;
//! use jackdawpulley::backoff::Backoff;
//!
//! let mut backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(1));
//! assert_eq!(backoff.delay_with(1.0), Duration::from_millis(200));
//! assert_eq!(backoff.delay_with(1.0), Duration::from_millis(400));
//! backoff.reset();
//! assert_eq!(backoff.delay_with(0.0), Duration::from_millis(100));
//! ```

use std::time::Duration;

use rand::RngExt;

/// Largest number of doublings: the delay is capped by its maximum anyway.
const MAX_DOUBLINGS: u32 = 16;

/// Delay that doubles with each consecutive failure, up to a maximum.
///
/// Guards against a failing service that refuses requests immediately: a fleet that retries without
/// delay spends processor time on refusals, and its load keeps the service down. The random half of
/// the delay keeps clients that were refused together from retrying together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Creates a backoff whose delays grow from `initial` to `max`.
    #[must_use]
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Records a failure and returns the delay before the next try, its upper half random.
    pub fn next_delay(&mut self) -> Duration {
        self.delay_with(rand::rng().random_range(0.0..1.0))
    }

    /// Records a failure and returns the delay before the next try; `fraction`, from 0 to 1, is the
    /// part of its upper half that is used.
    pub fn delay_with(&mut self, fraction: f64) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let delay = (self.initial * 2_u32.pow(doublings)).min(self.max);
        delay.mul_f64(0.5 + fraction / 2.0)
    }

    /// Records a success, which resets the delay to its initial value.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
