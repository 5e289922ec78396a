//! Paces the requests to a target at the rate that it names.
//!
//! A request takes one token of a [`Bucket`]. Over any span of `t` seconds at most `rate * t` plus
//! the depth of the bucket start. Requests of a higher priority take theirs first; [`Fairness`] keeps
//! them from taking all. Both are state machines without a clock of their own.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::pacer::Bucket;
//! use jackdawpulley::units::Rate;
//!
//! let start = Instant::now();
//! let mut bucket = Bucket::new(Rate::new(4.0).unwrap(), start);
//! assert!(bucket.take(start));
//! assert!(!bucket.take(start));
//! assert_eq!(bucket.delay(start, 0), Duration::from_millis(250));
//! assert!(bucket.take(start + Duration::from_millis(250)));
//! ```

use std::time::{Duration, Instant};

use crate::units::{Priority, Rate};

/// Depth of the bucket, in seconds of its rate: evens out arrivals, and two full buckets within a
/// second, as when the daemon restarts, are still within the rate of that second.
const DEPTH_S: f64 = 0.5;
/// Lowest rate, in requests per second. Whether a limit still holds is known from responses alone,
/// so a target that names 0 still gets a request now and then.
const MIN_RATE: f64 = 0.25;
/// Tolerance for rounding when a fraction of a token has been added several times.
const EPSILON: f64 = 1e-6;

/// Refusals in a row after which a request queues with the highest priority, so that each class
/// gets one token for at most this many refusals and one more.
const MAX_REFUSALS_IN_A_ROW: u32 = 3;

/// Token bucket.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Bucket {
    /// Tokens added per second.
    rate: f64,
    tokens: f64,
    refilled: Instant,
}

impl Bucket {
    /// Creates a bucket with one token.
    #[must_use]
    pub fn new(rate: Rate, now: Instant) -> Self {
        Self {
            rate: rate.per_second().max(MIN_RATE),
            tokens: 1.0,
            refilled: now,
        }
    }

    /// Changes the rate. Tokens beyond the new depth are lost.
    pub fn set_rate(&mut self, rate: Rate, now: Instant) {
        self.refill(now);
        self.rate = rate.per_second().max(MIN_RATE);
        self.tokens = self.tokens.min(self.depth());
    }

    /// Takes a token if there is one.
    pub fn take(&mut self, now: Instant) -> bool {
        self.refill(now);
        let available = self.tokens + EPSILON >= 1.0;
        if available {
            self.tokens = (self.tokens - 1.0).max(0.0);
        }
        available
    }

    /// Number of whole tokens.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the conversion saturates, and tokens are never negative"
    )]
    pub fn tokens(&self, now: Instant) -> u32 {
        (self.available(now) + EPSILON) as u32
    }

    /// Time until a request gets its token if `ahead` others get theirs first.
    #[must_use]
    pub fn delay(&self, now: Instant, ahead: usize) -> Duration {
        let ahead = u32::try_from(ahead).unwrap_or(u32::MAX);
        let missing = f64::from(ahead) + 1.0 - self.available(now);
        if missing <= EPSILON {
            return Duration::ZERO;
        }
        Duration::try_from_secs_f64(missing / self.rate).unwrap_or(Duration::MAX)
    }

    fn refill(&mut self, now: Instant) {
        self.tokens = self.available(now);
        self.refilled = now.max(self.refilled);
    }

    fn available(&self, now: Instant) -> f64 {
        let elapsed = now.saturating_duration_since(self.refilled);
        (self.tokens + elapsed.as_secs_f64() * self.rate).min(self.depth())
    }

    fn depth(&self) -> f64 {
        (self.rate * DEPTH_S).max(1.0)
    }
}

/// Refusals of each class in a row.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fairness {
    /// Sorted by priority.
    refusals: Vec<(Priority, u32)>,
}

impl Fairness {
    /// Priority with which the next request of a class queues.
    #[must_use]
    pub fn effective_priority(&self, priority: Priority) -> Priority {
        let found = self
            .refusals
            .binary_search_by_key(&priority, |entry| entry.0);
        let refusals = found.map_or(0, |index| self.refusals[index].1);
        if refusals < MAX_REFUSALS_IN_A_ROW {
            priority
        } else {
            Priority(0)
        }
    }

    /// Records that a request of a class was refused for lack of tokens.
    pub fn record_refusal(&mut self, priority: Priority) {
        match self
            .refusals
            .binary_search_by_key(&priority, |entry| entry.0)
        {
            Ok(index) => self.refusals[index].1 = self.refusals[index].1.saturating_add(1),
            Err(index) => self.refusals.insert(index, (priority, 1)),
        }
    }

    /// Records that a request of a class was admitted.
    pub fn record_admission(&mut self, priority: Priority) {
        self.refusals.retain(|entry| entry.0 != priority);
    }
}
