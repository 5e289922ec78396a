//! Times of the membership protocol.

use std::time::Duration;

/// Times of the protocol.
#[derive(Debug, Clone)]
pub struct Timing {
    /// Between two probes of a daemon.
    pub period: Duration,
    /// Until a direct probe counts as missed.
    pub patience: Duration,
    /// Until a suspect counts as gone.
    pub suspicion: Duration,
    /// Until a gone member is forgotten.
    pub memory: Duration,
}

impl Default for Timing {
    fn default() -> Self {
        Self {
            period: Duration::from_secs(1),
            patience: Duration::from_millis(400),
            suspicion: Duration::from_secs(3),
            memory: Duration::from_mins(10),
        }
    }
}
