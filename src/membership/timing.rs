//! Timing parameters of the membership protocol.

use std::time::Duration;

/// Timing parameters.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Interval between two probes that a daemon sends.
    pub probe_period: Duration,
    /// Time-out of a direct probe, after which indirect probes are sent.
    pub probe_timeout: Duration,
    /// Time after which a suspect that has not refuted counts as gone.
    pub suspicion_timeout: Duration,
    /// Time after which the entry of a gone member is dropped.
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
