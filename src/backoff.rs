//! Pauses between tries at something that many daemons try at the same time.
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

/// Doublings that are reckoned with: more would only be cut to the longest pause.
const MAX_DOUBLINGS: u32 = 16;

/// Pauses that double with each failure in a row, up to a longest one.
///
/// Guards against a service in trouble that answers at once: a fleet that asks again as soon as it
/// is refused spends everybody's processor time on refusals, and is the load that keeps the service
/// down. The random half keeps those that were refused together from coming back together.
#[derive(Debug, Clone, Copy)]
pub struct Backoff {
    initial: Duration,
    max: Duration,
    failures: u32,
}

impl Backoff {
    /// Pauses from `first` up to `longest`.
    #[must_use]
    pub const fn new(initial: Duration, max: Duration) -> Self {
        Self {
            initial,
            max,
            failures: 0,
        }
    }

    /// Notes a failure; the pause after it, with its random half.
    pub fn next_delay(&mut self) -> Duration {
        self.delay_with(rand::rng().random_range(0.0..1.0))
    }

    /// Notes a failure; the pause after it, of which `fraction` draws the upper half.
    pub fn delay_with(&mut self, fraction: f64) -> Duration {
        let doublings = self.failures.min(MAX_DOUBLINGS);
        self.failures = self.failures.saturating_add(1);
        let delay = (self.initial * 2_u32.pow(doublings)).min(self.max);
        delay.mul_f64(0.5 + fraction / 2.0)
    }

    /// Notes a success: the next failure is the first in a row again.
    pub const fn reset(&mut self) {
        self.failures = 0;
    }
}
