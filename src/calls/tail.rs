//! Longest time that requests of a route have taken lately.
//!
//! A request whose deadline is far may still be known to end soon, if none of its route has taken long. [`Tail`]
//! keeps the longest time of the last 10 to 20 s. It is a state machine without I/O.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::tail::Tail;
//!
//! let now = Instant::now();
//! let mut tail = Tail::new(now);
//! assert_eq!(tail.bound(now), None);
//! for _ in 0..30 {
//!     tail.record(now, Duration::from_millis(50));
//! }
//! assert_eq!(tail.bound(now), Some(Duration::from_millis(200)));
//! ```

use std::time::{Duration, Instant};

/// Time after which the longest time of a period gives way to that of the next one.
const PERIOD: Duration = Duration::from_secs(10);
/// Number of requests below which their longest time says little about the next one.
const MIN_COUNT: u32 = 20;
/// Ratio of the bound to the longest time, since the next request may take longer than any before.
const MARGIN: u32 = 4;

/// Requests of one period.
#[derive(Debug, Clone, Copy, Default)]
struct Period {
    count: u32,
    longest: Duration,
}

/// Longest times of this period and the one before.
#[derive(Debug, Clone, Copy)]
pub struct Tail {
    began: Instant,
    current: Period,
    previous: Period,
}

impl Tail {
    /// A route without requests.
    #[must_use]
    pub fn new(now: Instant) -> Self {
        Self {
            began: now,
            current: Period::default(),
            previous: Period::default(),
        }
    }

    /// Records how long a request took.
    pub fn record(&mut self, now: Instant, time: Duration) {
        self.advance(now);
        self.current.count = self.current.count.saturating_add(1);
        self.current.longest = self.current.longest.max(time);
    }

    /// Time within which the next request is expected to end; `None` if too few are known.
    #[must_use]
    pub fn bound(mut self, now: Instant) -> Option<Duration> {
        self.advance(now);
        let count = self.current.count.saturating_add(self.previous.count);
        let longest = self.current.longest.max(self.previous.longest);
        (count >= MIN_COUNT).then_some(longest.saturating_mul(MARGIN))
    }

    fn advance(&mut self, now: Instant) {
        let age = now.saturating_duration_since(self.began);
        if age < PERIOD {
            return;
        }
        self.previous = if age < 2 * PERIOD {
            self.current
        } else {
            Period::default()
        };
        self.current = Period::default();
        self.began = now;
    }
}
