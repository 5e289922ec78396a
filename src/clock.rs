//! The wall clock, for what leaves the process; inside it, monotonic time is used.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use crate::units::Millis;

/// Microseconds since 1970; zero on a host whose clock is set before that.
#[must_use]
pub fn unix_us() -> u64 {
    u64::try_from(since_epoch().as_micros()).unwrap_or(u64::MAX)
}

/// Milliseconds since 1970; zero on a host whose clock is set before that.
#[must_use]
pub fn unix_ms() -> u64 {
    Millis::from(since_epoch()).0
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
