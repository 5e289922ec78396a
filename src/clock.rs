//! The wall clock, for what leaves the process; inside it, monotonic time is used.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

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

/// Milliseconds since this host started, the time for which it was suspended included.
///
/// It means nothing on another host, but the difference between two hosts stays the same: neither a clock
/// that is set nor a host that is suspended changes it.
#[must_use]
pub fn boot_ms() -> u64 {
    let now = clock_gettime(ClockId::Boottime);
    let since = Duration::try_from(now).unwrap_or_default();
    Millis::from(since).0
}

fn since_epoch() -> Duration {
    SystemTime::now()
        .duration_since(UNIX_EPOCH)
        .unwrap_or_default()
}
