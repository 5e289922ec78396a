//! Which step of a roll-out comes next.
//!
//! [`decide`] is pure: it gets what was [observed](Observed) of the roll-out and says what comes next. Most of the
//! time is spent at a small share, on a few targets that then carry as much each as an old one does, so that a
//! fault that shows under load or late is found while few requests meet it. The rest of the time is for the move
//! itself: a part of the requests, then all, until nothing runs at the old targets. What the move takes of what a
//! bad revision may get is set aside for it, so that one whose fault shows only then stays within the bound.
//! While more speaks against a revision than for it, the move waits for more answers as far as that bound allows,
//! and goes back beyond it.
//!
//! ```
//! use std::time::Duration;
//! use jackdawpulley::rollout::decision::decide;
//! use jackdawpulley::rollout::observed::{Limits, Observed};
//! use jackdawpulley::rollout::plan::Step;
//!
//! let limits = Limits { share: 0.1, slack: 50 };
//! let seen = Observed {
//!     duration: Duration::from_secs(12),
//!     age: Duration::from_secs(2),
//!     confirmed: true,
//!     warm: 4,
//!     targets: 4,
//!     per_second: Some(100.0),
//!     ..Observed::default()
//! };
//! let decision = decide(&limits, &seen);
//! assert_eq!(decision.step, Step::Canary);
//! assert!(decision.permille < 100, "well inside what a bad revision may get");
//! ```

use std::time::Duration;

use serde::Serialize;
use strum::{Display, EnumString, VariantNames};

use crate::rollout::observed::{ExposureLimits, Observed};
use crate::rollout::plan::{FULL_PERMILLE, Step};
use crate::rollout::share::{
    ALL_TIME, RAMP_TIME, REPORT_LAG, canary, is_within_exposure, promotion_time, ramp, to_f64,
};

/// Time in which gates have reported what they saw of a step.
const REPORT_DELAY: Duration = Duration::from_millis(300);
/// Time before the end of an order at which it completes although requests still run at old targets.
const COMPLETION_MARGIN: Duration = Duration::from_millis(400);
/// Answers of the new revision that the move asks for, where the requests are frequent enough.
const ENOUGH_ANSWERS: f64 = 40.0;
/// Part of the time for the move that is left when it begins with fewer answers.
const LATE_PROMOTION_PART: f64 = 0.65;
/// Answers without which nothing is known of a revision.
const MIN_ANSWERS: u64 = 4;

/// What comes next.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Decision {
    /// Step to be in.
    pub step: Step,
    /// Share of the new revision in it.
    pub permille: u16,
    /// Targets that get it; 0 for all.
    pub targets: usize,
    /// Whether the roll-out is completed.
    pub complete: bool,
    /// Why.
    pub cause: Cause,
}

/// Why a decision was made.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Display, EnumString, VariantNames)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Cause {
    /// No target of the revision is ready, or the service's requests are not counted yet.
    NoTarget,
    /// The share is being tried.
    Trying,
    /// It is time to move, and nothing speaks against it.
    TimeToMove,
    /// Nothing spoke against the last step.
    WentWell,
    /// Old targets still have work.
    StillRunning,
    /// Nothing runs at the old targets.
    Drained,
    /// Time is up, and all requests go to the new revision.
    LastCall,
    /// Too few gates are heard to go on.
    OutOfTouch,
    /// The platform has not confirmed the order.
    NotConfirmed,
    /// The revision is worse than the old one.
    Worse,
    /// More speaks against the revision than for it, and more answers may tell.
    InDoubt,
    /// More speaks against the revision than for it, and it may not get more requests, or there is no time.
    Doubtful,
    /// Time is up, and too little is known or moved.
    TimeIsUp,
    /// It went back before.
    WentBack,
}

/// What comes next in a roll-out.
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
    // A daemon that was cut off, or does not know yet whether there is a verdict, does not go on. It may
    // stay where the roll-out is, or go back.
    if advances && next.step != Step::Back && !observed.confirmed {
        return stay(limits, observed, Cause::NotConfirmed);
    }
    if advances && next.step != Step::Back && observed.step != Step::Waiting && !observed.in_touch {
        return stay(limits, observed, Cause::OutOfTouch);
    }
    next
}

fn stay(limits: &ExposureLimits, observed: &Observed, cause: Cause) -> Decision {
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

/// The small share, and the time at which it has been tried for long enough.
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
    let enough = ENOUGH_ANSWERS.min(expected / 2.0);
    // Guards against a good revision that goes back for want of answers, since nobody decided for a while: the move
    // looks at it as well.
    let is_late = remaining < promotion.mul_f64(LATE_PROMOTION_PART);
    if observed.answers >= MIN_ANSWERS && (is_late || to_f64(observed.answers) >= enough) {
        let (permille, targets) = ramp(observed);
        return Decision {
            step: Step::Ramp,
            permille,
            targets,
            cause: Cause::TimeToMove,
            ..trying
        };
    }
    // With half of the time for the move gone there is none left to complete in.
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

/// Answers to expect from the small share by the time to move.
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
    // Guards against a move that began late, since the daemon that decided was lost: a good revision that has
    // all requests would be taken back for the rest of the step's time.
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
