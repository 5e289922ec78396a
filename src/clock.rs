//! Clocks for times that leave the process; inside it, [`Instant`](std::time::Instant) is used.

use std::time::{Duration, SystemTime, UNIX_EPOCH};

use rustix::time::{ClockId, clock_gettime};

use crate::units::Millis;

/// Unix time in microseconds; 0 if the host's clock is set before 1970.
#[must_use]
pub fn unix_us() -> u64 {
    u64::try_from(since_epoch().as_micros()).unwrap_or(u64::MAX)
}

/// Unix time in milliseconds; 0 if the host's clock is set before 1970.
#[must_use]
pub fn unix_ms() -> u64 {
    Millis::from(since_epoch()).0
}

/// Milliseconds since this host booted, including time spent suspended.
///
/// Values of two hosts are not comparable, but their difference is constant: neither setting a clock nor
/// suspending a host changes it.
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
