//! Decisions on the next step of a rollout.
//!
//! [`decide`] is a pure function of what was [observed](Observed). Most of the order's time is spent in the
//! canary step: a small share of the requests goes to a few targets, each of which then carries as much as a
//! target of the old revision, so that faults that show under load or late are found while few requests are
//! exposed. The rest of the time is for the promotion: a part of the requests, then all of them, until the
//! old targets are drained. The exposure that the promotion needs is reserved for it, so that a revision
//! whose fault shows only then stays within the limits. While the evidence is in doubt, the promotion waits
//! for more responses as far as the limits allow, and is rolled back beyond them.
//!
//! ```
//! use std::time::Duration;
//! use jackdawpulley::rollout::decision::decide;
//! use jackdawpulley::rollout::observed::{ExposureLimits, Observed};
//! use jackdawpulley::rollout::plan::Step;
//!
//! let limits = ExposureLimits { share: 0.1, slack: 50 };
//! let observed = Observed {
//!     duration: Duration::from_secs(12),
//!     age: Duration::from_secs(2),
//!     confirmed: true,
//!     warm: 4,
//!     targets: 4,
//!     per_second: Some(100.0),
//!     ..Observed::default()
//! };
//! let decision = decide(&limits, &observed);
//! assert_eq!(decision.step, Step::Canary);
//! assert!(decision.permille < 100, "well within the exposure limits");
//! ```

use std::time::Duration;

use serde::Serialize;
use strum::{Display, EnumString, VariantNames};

use crate::rollout::exposure::{
    ALL_TIME, RAMP_TIME, REPORT_LAG, canary, is_within_exposure, promotion_time, ramp, to_f64,
};
use crate::rollout::observed::{ExposureLimits, Observed};
use crate::rollout::plan::{FULL_PERMILLE, Step};

/// Time within which the sidecars have reported on a step.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Time before the end of an order at which the rollout completes even if old targets are not drained.
const COMPLETION_MARGIN: Duration = Duration::from_millis(400);
/// Responses of the new revision that the promotion waits for; half of the expected ones if these are fewer.
const ENOUGH_RESPONSES: f64 = 40.0;
/// Remaining part of the promotion time at which it begins with fewer responses.
const LATE_PROMOTION_PART: f64 = 0.65;
/// Fewest responses by which a revision is judged.
const MIN_RESPONSES: u64 = 4;

/// A decision on the next step.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Next step.
    pub step: Step,
    /// Share of the requests for the new revision, in permille.
    pub permille: u16,
    /// Number of targets that receive them; 0 for all.
    pub targets: usize,
    /// Whether the rollout is complete.
    pub complete: bool,
    /// Reason for the decision.
    pub cause: Cause,
}

/// Reason for a decision.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumString, VariantNames)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No target of the new revision is warm, or the request rate is not known yet.
    NoTarget,
    /// The current step has not lasted long enough.
    Trying,
    /// The canary step is over without a finding.
    TimeToMove,
    /// The ramp step is over without a finding.
    WentWell,
    /// Old targets still have requests in flight.
    StillRunning,
    /// All old targets are drained.
    Drained,
    /// The order is about to end, and the new revision receives all requests.
    LastCall,
    /// Too few sidecars report to advance.
    OutOfTouch,
    /// The platform has not confirmed the order.
    NotConfirmed,
    /// The new revision is significantly worse than the old one.
    Worse,
    /// The new revision is doubtful, and more responses may decide.
    InDoubt,
    /// The new revision is doubtful, and neither the exposure limits nor the time allow more requests.
    Doubtful,
    /// The order has ended, or too little was observed or done to complete in time.
    TimeIsUp,
    /// The rollout was rolled back before.
    WentBack,
}

/// Decides on the next step of a rollout.
#[must_use]
pub fn decide(limits: &ExposureLimits, observed: &Observed) -> Decision {
    let remaining = observed.duration.saturating_sub(observed.age);
    let back = |cause| Decision {
        step: Step::Back,
        permille: 0,
        targets: 0,
        complete: false,
        cause,
    };
    if observed.step == Step::Back {
        return back(Cause::WentBack);
    }
    if observed.bad {
        return back(Cause::Worse);
    }
    if remaining.is_zero() {
        return back(Cause::TimeIsUp);
    }
    let next = match observed.step {
        Step::Waiting | Step::Canary => decide_canary(limits, observed, remaining),
        Step::Ramp => decide_ramp(limits, observed, remaining),
        Step::All => decide_all(limits, observed, remaining),
        Step::Back => back(Cause::WentBack),
    };
    let advances = next.step > observed.step || next.complete;
    // A daemon that is cut off, or does not know whether there is a verdict, must not advance the rollout. It
    // may keep the step or roll back.
    if advances && next.step != Step::Back && !observed.confirmed {
        return keep_step(limits, observed, Cause::NotConfirmed);
    }
    if advances && next.step != Step::Back && observed.step != Step::Waiting && !observed.in_touch {
        return keep_step(limits, observed, Cause::OutOfTouch);
    }
    next
}

fn keep_step(limits: &ExposureLimits, observed: &Observed, cause: Cause) -> Decision {
    let (permille, targets) = match observed.step {
        Step::Waiting | Step::Back => (0, 0),
        Step::Canary => canary(limits, observed),
        Step::Ramp => ramp(observed),
        Step::All => (FULL_PERMILLE, 0),
    };
    Decision {
        step: observed.step,
        permille,
        targets,
        complete: false,
        cause,
    }
}

/// Keeps the canary step until it is time for the promotion.
fn decide_canary(limits: &ExposureLimits, observed: &Observed, remaining: Duration) -> Decision {
    if observed.warm == 0 || observed.per_second.is_none() && observed.step == Step::Waiting {
        return Decision {
            step: observed.step,
            permille: 0,
            targets: 0,
            complete: false,
            cause: Cause::NoTarget,
        };
    }
    let (permille, targets) = canary(limits, observed);
    let trying = Decision {
        step: Step::Canary,
        permille,
        targets,
        complete: false,
        cause: Cause::Trying,
    };
    let promotion = promotion_time(observed.duration);
    if observed.step == Step::Waiting || remaining > promotion {
        return trying;
    }
    let expected = expected_answers(permille, observed);
    let enough = ENOUGH_RESPONSES.min(expected / 2.0);
    // Guards against rolling back a good revision that has few responses because nobody coordinated for a
    // while: the promotion compares the revisions as well.
    let is_late = remaining < promotion.mul_f64(LATE_PROMOTION_PART);
    if observed.answers >= MIN_RESPONSES && (is_late || to_f64(observed.answers) >= enough) {
        let (permille, targets) = ramp(observed);
        return Decision {
            step: Step::Ramp,
            permille,
            targets,
            cause: Cause::TimeToMove,
            ..trying
        };
    }
    // With less than half of the promotion time left, the rollout can't complete in time.
    if remaining < promotion / 2 {
        return Decision {
            step: Step::Back,
            permille: 0,
            targets: 0,
            cause: Cause::TimeIsUp,
            ..trying
        };
    }
    trying
}

/// Responses to expect from the canary step before the promotion starts.
fn expected_answers(permille: u16, observed: &Observed) -> f64 {
    let time = observed
        .duration
        .saturating_sub(promotion_time(observed.duration));
    let per_second = observed.per_second.unwrap_or_default();
    per_second * time.as_secs_f64() * f64::from(permille) / f64::from(FULL_PERMILLE)
}

fn decide_ramp(limits: &ExposureLimits, observed: &Observed, remaining: Duration) -> Decision {
    let (permille, targets) = ramp(observed);
    let trying = Decision {
        step: Step::Ramp,
        permille,
        targets,
        complete: false,
        cause: Cause::Trying,
    };
    if observed.in_step < RAMP_TIME {
        return trying;
    }
    let rest = ALL_TIME + REPORT_LAG;
    if observed.doubtful && remaining > 2 * rest && is_within_exposure(limits, observed, rest) {
        return Decision {
            cause: Cause::InDoubt,
            ..trying
        };
    }
    Decision {
        step: Step::All,
        permille: FULL_PERMILLE,
        targets: 0,
        cause: Cause::WentWell,
        ..trying
    }
}

fn decide_all(limits: &ExposureLimits, observed: &Observed, remaining: Duration) -> Decision {
    let is_final = remaining < COMPLETION_MARGIN;
    // If the coordinator was lost, the promotion may begin late. Waiting for the whole step would roll back a
    // good revision that already receives all requests.
    let least = if is_final { REPORT_DELAY } else { ALL_TIME };
    let hold = |cause| Decision {
        step: Step::All,
        permille: FULL_PERMILLE,
        targets: 0,
        complete: false,
        cause,
    };
    if observed.in_step < least {
        return hold(Cause::Trying);
    }
    if observed.doubtful {
        if !is_final && is_within_exposure(limits, observed, REPORT_LAG) {
            return hold(Cause::InDoubt);
        }
        return Decision {
            step: Step::Back,
            permille: 0,
            ..hold(Cause::Doubtful)
        };
    }
    let (complete, cause) = if observed.drained {
        (true, Cause::Drained)
    } else if is_final {
        (true, Cause::LastCall)
    } else {
        (false, Cause::StillRunning)
    };
    Decision {
        complete,
        ..hold(cause)
    }
}
