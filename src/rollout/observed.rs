//! Input of a decision on a rollout.

use std::time::Duration;

use crate::rollout::plan::Step;

/// Limits on the requests that a bad revision may receive.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Share of all requests of the service for the duration of the order.
    pub share: f64,
    /// Number of requests in addition to that share.
    pub slack: u64,
}

/// State of a rollout at the time of a decision.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "they are independent facts")]
pub struct Observed {
    /// Duration that the order allows.
    pub duration: Duration,
    /// Time since the order was given.
    pub age: Duration,
    /// Current step.
    pub step: Step,
    /// Time since the step began.
    pub in_step: Duration,
    /// Whether the platform has confirmed that the order has no verdict.
    pub confirmed: bool,
    /// Targets of the new revision whose warm-up is over.
    pub warm: usize,
    /// Targets of the new revision.
    pub targets: usize,
    /// Whether at least half of the old sidecars that should report have done so recently.
    pub in_touch: bool,
    /// Request rate of the service, once it has been measured for a while.
    pub per_second: Option<f64>,
    /// Requests that the new revision has received.
    pub exposed: u64,
    /// Requests that the new revision has answered or failed.
    pub answers: u64,
    /// Whether the new revision is significantly worse.
    pub bad: bool,
    /// Whether the new revision is doubtful, or worse.
    pub doubtful: bool,
    /// Whether no requests are left at the old targets.
    pub drained: bool,
}
