//! Rate limit for log lines with the number of members.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::membership::member_count::Throttle;
//!
//! let now = Instant::now();
//! let mut throttle = Throttle::default();
//! assert_eq!(throttle.due(now, 1), Some(0));
//! assert_eq!(throttle.due(now, 2), None, "too soon");
//! assert_eq!(throttle.due(now + Duration::from_secs(1), 3), Some(1));
//! ```

use std::time::{Duration, Instant};

/// Shortest time between two log lines.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// Limits how often the number of members is logged.
///
/// When a fleet starts at once, the view of every daemon changes once for each of the others, so a line for
/// each change would make the log grow with the square of the fleet.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttle {
    members: usize,
    logged_at: Option<Instant>,
}

impl Throttle {
    /// Returns the number that was logged last if `members` is to be logged now.
    pub fn due(&mut self, now: Instant, members: usize) -> Option<usize> {
        let too_soon = self.logged_at.is_some_and(|last| now < last + MIN_INTERVAL);
        if too_soon || members == self.members {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::replace(&mut self.members, members))
    }
}
