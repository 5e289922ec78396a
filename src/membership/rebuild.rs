//! Spacing of the rebuilds of the roster.
//!
//! A rebuild takes time in proportion to the members, and in a large fleet several datagrams a second bring
//! changes. Changes that follow each other closely are therefore taken together.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::membership::rebuild::Spacing;
//!
//! let now = Instant::now();
//! let mut spacing = Spacing::default();
//! assert_eq!(spacing.request(now, 1_000), None, "due at once");
//! spacing.record(now);
//! assert_eq!(spacing.request(now, 1_000), Some(now + Duration::from_millis(200)));
//! ```

use std::time::{Duration, Instant};

/// Shortest time between two rebuilds for each member: a daemon on a tenth of a core must not spend much of it on
/// rebuilds.
const TIME_PER_MEMBER: Duration = Duration::from_micros(200);

/// When the roster was rebuilt last.
#[derive(Debug, Default)]
pub struct Spacing {
    last: Option<Instant>,
}

impl Spacing {
    /// Requests a rebuild at `now` in a fleet of `members`; returns the time to wait for, `None` if it is due.
    #[must_use]
    pub fn request(&self, now: Instant, members: usize) -> Option<Instant> {
        let members = u32::try_from(members).unwrap_or(u32::MAX);
        let due = self.last? + TIME_PER_MEMBER.saturating_mul(members);
        Some(due).filter(|due| now < *due)
    }

    /// Records a rebuild.
    pub const fn record(&mut self, now: Instant) {
        self.last = Some(now);
    }
}
