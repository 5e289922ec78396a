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
use crate::rollout::share::{ALL_TIME, LAG, RAMP_TIME, canary, count, may_get, move_time, ramp};

/// Time in which gates have reported what they saw of a step.
const REPORTED: Duration = Duration::from_millis(300);
/// Time before the end of an order at which it completes although requests still run at old targets.
const LAST_CALL: Duration = Duration::from_millis(400);
/// Answers of the new revision that the move asks for, where the requests are frequent enough.
const ENOUGH_ANSWERS: f64 = 40.0;
/// Part of the time for the move that is left when it begins with fewer answers.
const LATE_PART: f64 = 0.65;
/// Answers without which nothing is known of a revision.
const FEWEST_ANSWERS: u64 = 4;

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
pub fn decide(limits: &ExposureLimits, seen: &Observed) -> Decision {
    let left = seen.duration.saturating_sub(seen.age);
    let back = |cause| Decision {
        step: Step::Back,
        permille: 0,
        targets: 0,
        complete: false,
        cause,
    };
    if seen.step == Step::Back {
        return back(Cause::WentBack);
    }
    if seen.bad {
        return back(Cause::Worse);
    }
    if left.is_zero() {
        return back(Cause::TimeIsUp);
    }
    let next = match seen.step {
        Step::Waiting | Step::Canary => first(limits, seen, left),
        Step::Ramp => after_ramp(limits, seen, left),
        Step::All => after_all(limits, seen, left),
        Step::Back => back(Cause::WentBack),
    };
    let goes_on = next.step > seen.step || next.complete;
    // A daemon that was cut off, or does not know yet whether there is a verdict, does not go on. It may
    // stay where the roll-out is, or go back.
    if goes_on && next.step != Step::Back && !seen.confirmed {
        return stay(limits, seen, Cause::NotConfirmed);
    }
    if goes_on && next.step != Step::Back && seen.step != Step::Waiting && !seen.in_touch {
        return stay(limits, seen, Cause::OutOfTouch);
    }
    next
}

fn stay(limits: &ExposureLimits, seen: &Observed, cause: Cause) -> Decision {
    let (permille, targets) = match seen.step {
        Step::Waiting | Step::Back => (0, 0),
        Step::Canary => canary(limits, seen),
        Step::Ramp => ramp(seen),
        Step::All => (FULL_PERMILLE, 0),
    };
    Decision {
        step: seen.step,
        permille,
        targets,
        complete: false,
        cause,
    }
}

/// The small share, and the time at which it has been tried for long enough.
fn first(limits: &ExposureLimits, seen: &Observed, left: Duration) -> Decision {
    if seen.warm == 0 || seen.per_second.is_none() && seen.step == Step::Waiting {
        return Decision {
            step: seen.step,
            permille: 0,
            targets: 0,
            complete: false,
            cause: Cause::NoTarget,
        };
    }
    let (permille, targets) = canary(limits, seen);
    let trying = Decision {
        step: Step::Canary,
        permille,
        targets,
        complete: false,
        cause: Cause::Trying,
    };
    let moves = move_time(seen.duration);
    if seen.step == Step::Waiting || left > moves {
        return trying;
    }
    let expected = expected_answers(permille, seen);
    let enough = ENOUGH_ANSWERS.min(expected / 2.0);
    // Guards against a good revision that goes back for want of answers, since nobody decided for a while: the move
    // looks at it as well.
    let is_late = left < moves.mul_f64(LATE_PART);
    if seen.answers >= FEWEST_ANSWERS && (is_late || count(seen.answers) >= enough) {
        let (permille, targets) = ramp(seen);
        return Decision {
            step: Step::Ramp,
            permille,
            targets,
            cause: Cause::TimeToMove,
            ..trying
        };
    }
    // With half of the time for the move gone there is none left to complete in.
    if left < moves / 2 {
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
fn expected_answers(permille: u16, seen: &Observed) -> f64 {
    let time = seen.duration.saturating_sub(move_time(seen.duration));
    let per_second = seen.per_second.unwrap_or_default();
    per_second * time.as_secs_f64() * f64::from(permille) / f64::from(FULL_PERMILLE)
}

fn after_ramp(limits: &ExposureLimits, seen: &Observed, left: Duration) -> Decision {
    let (permille, targets) = ramp(seen);
    let trying = Decision {
        step: Step::Ramp,
        permille,
        targets,
        complete: false,
        cause: Cause::Trying,
    };
    if seen.in_step < RAMP_TIME {
        return trying;
    }
    let rest = ALL_TIME + LAG;
    if seen.doubtful && left > 2 * rest && may_get(limits, seen, rest) {
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

fn after_all(limits: &ExposureLimits, seen: &Observed, left: Duration) -> Decision {
    let is_last_call = left < LAST_CALL;
    // Guards against a move that began late, since the daemon that decided was lost: a good revision that has
    // all requests would be taken back for the rest of the step's time.
    let least = if is_last_call { REPORTED } else { ALL_TIME };
    let hold = |cause| Decision {
        step: Step::All,
        permille: FULL_PERMILLE,
        targets: 0,
        complete: false,
        cause,
    };
    if seen.in_step < least {
        return hold(Cause::Trying);
    }
    if seen.doubtful {
        if !is_last_call && may_get(limits, seen, LAG) {
            return hold(Cause::InDoubt);
        }
        return Decision {
            step: Step::Back,
            permille: 0,
            ..hold(Cause::Doubtful)
        };
    }
    let (complete, cause) = if seen.drained {
        (true, Cause::Drained)
    } else if is_last_call {
        (true, Cause::LastCall)
    } else {
        (false, Cause::StillRunning)
    };
    Decision {
        complete,
        ..hold(cause)
    }
}
