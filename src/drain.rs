//! Times of a graceful shutdown.
//!
//! A stopping daemon accepts its callers' connections for a while, until they have gone elsewhere, and has a limit by
//! which all calls have to be answered. A call that arrives late and outlasts the limit would be given up while its
//! target works on it. So from shortly before the end of that while, only calls are admitted that end within the
//! limit, by their deadline or as far as is known of their route; others are refused, which proves that they have
//! not run.
//!
//! [`Schedule`] is a state machine without I/O.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::drain::Schedule;
//!
//! let began = Instant::now();
//! let schedule = Schedule::new(began, Duration::from_secs(2), Duration::from_secs(5));
//! let at = |seconds| began + Duration::from_secs(seconds);
//! assert!(schedule.admits(at(1), at(9)), "callers can't know yet that they should go elsewhere");
//! assert!(schedule.admits(at(2), at(5)));
//! assert!(!schedule.admits(at(2), at(6)));
//! ```

use std::time::{Duration, Instant};

/// Largest part of the drain limit, in percent, for which callers' new connections are accepted: calls that arrive
/// last need the rest.
const MAX_ACCEPT_PERCENT: u32 = 60;
/// How long before new connections of callers are refused the target stops receiving calls: most
/// calls that it has are answered within this time.
///
/// Closing the target earlier would leave a healthy target idle while its daemon waits for callers to
/// go elsewhere, and again while the next daemon starts.
const TARGET_CLOSE_LEAD: Duration = Duration::from_millis(800);
/// Time by which a busy process may learn of its signal late. A caller counts from the signal.
const SIGNAL_DELAY: Duration = Duration::from_millis(100);
/// Time within which the first request arrives on the connection accepted last: many times the
/// network delay from a caller.
const FIRST_REQUEST_WAIT: Duration = Duration::from_millis(200);
/// Minimum time from the start of the shutdown until idle connections of callers are closed; until then
/// a connection is closed only after a response.
const CONNECTION_LINGER: Duration = Duration::from_millis(2_500);
/// Largest part of the drain limit, in percent, that this minimum may take.
const MAX_LINGER_PERCENT: u32 = 75;

/// Times of one shutdown.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Schedule {
    /// When the target stops receiving calls.
    pub target_close: Instant,
    /// When new connections of callers are refused.
    pub accept_end: Instant,
    /// When idle connections of callers are closed.
    pub idle_close: Instant,
    /// When calls still in flight are given up.
    pub limit: Instant,
}

impl Schedule {
    /// A shutdown that began at `began`, accepts connections for `accept` and gives calls up after `limit`.
    ///
    /// A limit that is short for the other times shortens them.
    #[must_use]
    pub fn new(began: Instant, accept: Duration, limit: Duration) -> Self {
        let accept = accept.min(limit * MAX_ACCEPT_PERCENT / 100);
        let linger = CONNECTION_LINGER.min(limit * MAX_LINGER_PERCENT / 100);
        Self {
            target_close: began + accept.saturating_sub(TARGET_CLOSE_LEAD),
            accept_end: began + accept,
            // Guards against a connection accepted at the last moment: its request has not arrived yet, so
            // nothing is in flight, and it would be read and aborted a moment later.
            idle_close: began + linger.max(accept + FIRST_REQUEST_WAIT),
            limit: began + limit,
        }
    }

    /// Whether a call that ends at `end` may begin at `now`.
    #[must_use]
    pub fn admits(&self, now: Instant, end: Instant) -> bool {
        now + SIGNAL_DELAY < self.accept_end || end <= self.limit
    }
}
