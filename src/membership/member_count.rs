//! When to say how many members there are.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::membership::member_count::Census;
//!
//! let now = Instant::now();
//! let mut census = Census::default();
//! assert_eq!(census.due(now, 1), Some(0));
//! assert_eq!(census.due(now, 2), None, "too soon");
//! assert_eq!(census.due(now + Duration::from_secs(1), 3), Some(1));
//! ```

use std::time::{Duration, Instant};

/// Shortest time between two lines.
const MIN_INTERVAL: Duration = Duration::from_secs(1);

/// What was said last of the number of members.
///
/// Guards against lines that grow with the square of a fleet: a joint start changes the view of every
/// daemon once for each of the others.
#[derive(Debug, Clone, Copy, Default)]
pub struct Throttle {
    members: usize,
    logged_at: Option<Instant>,
}

impl Throttle {
    /// The number that was said before, where `members` should be said now.
    pub fn due(&mut self, now: Instant, members: usize) -> Option<usize> {
        let soon = self.logged_at.is_some_and(|said| now < said + MIN_INTERVAL);
        if soon || members == self.members {
            return None;
        }
        self.logged_at = Some(now);
        Some(std::mem::replace(&mut self.members, members))
    }
}
