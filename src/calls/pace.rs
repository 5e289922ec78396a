//! When an ingress next sends a request to an upstream whose target limits its rate.
//!
//! The sidecar keeps the rate. It reports after which time a request would get a token, and refuses
//! one that can't wait for that long. An ingress does not know how many others wait for the same
//! tokens, so it backs off exponentially while it is refused.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::pace::Pace;
//!
//! let now = Instant::now();
//! let mut pace = Pace::default();
//! assert!(!pace.is_held(now));
//! pace.record_refusal(now, Duration::from_millis(125), 1.0);
//! assert!(pace.is_held(now));
//! assert_eq!(pace.room_in(now), Duration::from_millis(125));
//! assert!(!pace.is_held(now + Duration::from_millis(125)));
//! ```

use std::time::{Duration, Instant};

/// Upper bound of the backoff, unless the sidecar itself reports a longer time.
const MAX_BACKOFF: Duration = Duration::from_secs(2);

/// Pace of one ingress towards one upstream.
#[derive(Debug, Clone, Copy, Default)]
pub struct Pace {
    /// When a request would get a token, by the last report.
    room_at: Option<Instant>,
    /// Until when requests go elsewhere.
    held_until: Option<Instant>,
    backoff: Duration,
}

impl Pace {
    /// Records a refusal for lack of tokens, where one is available after `delay`. `fraction` is
    /// uniform in 0 to 1 and spreads the ingresses.
    pub fn record_refusal(&mut self, now: Instant, delay: Duration, fraction: f64) {
        self.backoff = (self.backoff * 2).min(MAX_BACKOFF).max(delay);
        self.room_at = now.checked_add(delay);
        self.held_until = now.checked_add(self.backoff.mul_f64(0.5 + fraction / 2.0));
    }

    /// Records a response, with the time after which another request would get a token.
    pub fn record_response(&mut self, now: Instant, delay: Duration) {
        self.backoff /= 2;
        self.room_at = now.checked_add(delay).filter(|_| !delay.is_zero());
    }

    /// Whether requests go elsewhere for now.
    #[must_use]
    pub fn is_held(&self, now: Instant) -> bool {
        self.held_until.is_some_and(|until| now < until)
    }

    /// Time until the next request is expected to get a token.
    #[must_use]
    pub fn room_in(&self, now: Instant) -> Duration {
        let until = self.room_at.max(self.held_until);
        until.map_or(Duration::ZERO, |until| until.saturating_duration_since(now))
    }
}
