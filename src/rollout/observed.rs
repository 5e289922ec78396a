//! What is known of a roll-out at the moment of a decision.

use std::time::Duration;

use crate::rollout::plan::Step;

/// What a bad revision may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct ExposureLimits {
    /// Share of all requests of its service during the order.
    pub share: f64,
    /// Requests beside that.
    pub slack: u64,
}

/// What is known of a roll-out at the moment of a decision.
#[derive(Debug, Clone, Copy, Default, PartialEq)]
#[expect(clippy::struct_excessive_bools, reason = "they are independent facts")]
pub struct Observed {
    /// Time that the order gives.
    pub duration: Duration,
    /// Time since it was given.
    pub age: Duration,
    /// Step that is in force.
    pub step: Step,
    /// Time since that step began.
    pub in_step: Duration,
    /// Whether the order stands on the platform without a verdict, by its own word.
    pub confirmed: bool,
    /// Targets of the new revision that are ready and warm.
    pub warm: usize,
    /// Targets of the new revision.
    pub targets: usize,
    /// Whether most gates of the service have reported a moment ago.
    pub in_touch: bool,
    /// Requests of the service a second, once they have been counted for a while.
    pub per_second: Option<f64>,
    /// Requests that the new revision got.
    pub exposed: u64,
    /// Requests that it answered or failed.
    pub answers: u64,
    /// Whether it has proved to be worse.
    pub bad: bool,
    /// Whether more speaks against it than for it.
    pub doubtful: bool,
    /// Whether nothing runs at the old targets any more.
    pub drained: bool,
}
