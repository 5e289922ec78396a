//! Remembering that an upstream had no room.
//!
//! Under overload most gates are full, and an entry that asks each of them for each request spends
//! its time, and bytes between data centres, on hearing the same again.

use std::time::{Duration, Instant};

use crate::units::Priority;

/// Time for which a refusal holds for whoever asks for no more.
const HOLDS: Duration = Duration::from_millis(100);

/// An upstream's word that it has no room for a request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// When it came.
    pub at: Instant,
    /// Rank of the refused request.
    pub priority: Priority,
    /// Wait that the request would have tolerated.
    pub tolerance: Duration,
}

impl Refusal {
    /// Whether a request of this rank and tolerance would be refused just the same at `now`.
    #[must_use]
    pub fn covers(&self, now: Instant, priority: Priority, tolerance: Duration) -> bool {
        let fresh = now.saturating_duration_since(self.at) < HOLDS;
        fresh && priority >= self.priority && tolerance <= self.tolerance
    }
}
