//! How long a request may wait, and how long its caller has waited already.
//!
//! Callers that were refused come back with less time than callers of the same route begin with.
//! That difference tells how old their request is: [`Patience`] learns what they begin with, and how
//! much that differs from one caller to the next while nobody is refused.
//!
//! ```
//! use std::time::Duration;
//! use jackdawpulley::patience::Patience;
//! use jackdawpulley::units::Millis;
//!
//! let mut patience = Patience::default();
//! assert_eq!(patience.waited(Millis(2_000)), Duration::ZERO);
//! assert_eq!(patience.waited(Millis(1_700)).as_millis().div_ceil(10), 30);
//! ```

use std::time::Duration;

use crate::units::Millis;

/// Part of the time that a request can spare that it may wait for a slot.
///
/// Under load a line of requests grows to whatever is tolerated, and stays there: everybody waits
/// that long. The rest keeps the answers in time, since the work of half of the requests is longer
/// than usual. Tried on the platform's heaviest days: 0.15 and 0.7 gained nothing.
const TOLERATED: f64 = 0.4;
/// Wait that is tolerated in any case: a request that is late already may use what is free.
const LEAST: Duration = Duration::from_millis(15);
/// Part of the longest time that is kept at each request, so that callers who begin with less from
/// some day on are not taken for ones that come back: half is forgotten in 7,000 requests.
const KEPT: f64 = 0.9999;

/// Step by which the spread is raised for a caller beyond it, as a part of the longest time, and by
/// which it is lowered for any other: in the long run one of fifty lies beyond. A caller that was
/// refused elsewhere and looks new moves it by a hundredth.
const SPREAD_STEPS: (f64, f64) = (0.01, 0.000_2);
/// Largest spread that is reckoned with; beyond it callers that come back could not be told at all.
const MOST_SPREAD: f64 = 0.3;

/// Longest wait for a slot of a request whose answer is of full use for `left` and whose work
/// needs `work`.
#[must_use]
pub fn tolerance(left: Duration, work: Duration) -> Duration {
    left.saturating_sub(work).mul_f64(TOLERATED).max(LEAST)
}

/// The time that callers of one route begin with.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
pub struct Patience {
    longest_ms: f64,
    /// Part of the longest time by which new callers give less.
    spread: f64,
}

impl Patience {
    /// For how long a caller has waited that still gives `given`.
    pub fn waited(&mut self, given: Millis) -> Duration {
        let given_ms = given.duration().as_secs_f64() * 1_000.0;
        self.longest_ms = (self.longest_ms * KEPT).max(given_ms);
        let least_ms = self.longest_ms * (1.0 - self.spread);
        Duration::from_secs_f64((least_ms - given_ms).max(0.0) / 1_000.0)
    }

    /// Notes what a caller gives while nobody has been refused, so that it is a new one.
    ///
    /// Guards against callers of differing patience: one that begins with a sixth less than the most
    /// patient would count as one that comes back, be refused where others wait, and come back.
    pub fn began(&mut self, given: Millis) {
        let given_ms = given.duration().as_secs_f64() * 1_000.0;
        let gap = 1.0 - given_ms / self.longest_ms.max(1.0);
        let (up, down) = SPREAD_STEPS;
        let step = if gap > self.spread { up } else { -down };
        self.spread = (self.spread + step).clamp(0.0, MOST_SPREAD);
    }
}
