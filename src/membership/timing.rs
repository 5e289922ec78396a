//! Times of the membership protocol.

use std::time::Duration;

/// Times of the protocol.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between two probes of a daemon.
    pub probe_period: Duration,
    /// Until a direct probe counts as missed.
    pub probe_timeout: Duration,
    /// Until a suspect counts as gone.
    pub suspicion_timeout: Duration,
    /// Until a gone member is forgotten.
    pub gone_retention: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            probe_period: Duration::from_secs(1),
            probe_timeout: Duration::from_millis(400),
            suspicion_timeout: Duration::from_secs(3),
            gone_retention: Duration::from_mins(10),
        }
    }
}
