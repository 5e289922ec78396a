//! Which share of a service's requests the new revision gets, step by step.
//!
//! [`decide`] is pure: it gets what was [`Observed`] of the roll-out and says what comes next. Most of the time is spent
//! at a small share, on a few targets that then carry as much each as an old one does, so that a fault that
//! shows under load or late is found while few requests meet it. The rest of the time is for the move itself:
//! a part of the requests, then all, until nothing runs at the old targets. What the move takes of what a bad
//! revision may get is set aside for it, so that one whose fault shows only then stays within the bound.
//!
//! ```
//! use std::time::Duration;
//! use jackdawpulley::rollout::plan::{Limits, Observed, Step, decide};
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

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::units::Millis;

/// Largest part of the requests that a bad revision may get which is spent on finding out at a small share.
const CANARY_PART: f64 = 0.3;
/// Largest share of the first step, in permille, however few the requests are: most callers stay with what
/// is known to be good.
const MOST_CANARY: f64 = 500.0;
/// Targets that get the first share at least, so that a bad revision is told from a bad target.
const FEWEST_TARGETS: usize = 2;
/// Targets that a plan names at most, so that it fits into a datagram.
pub const MOST_CHOSEN: usize = 16;
/// Share of the second step, in permille: the least one with which a few targets carry as much each as with all
/// requests.
const LEAST_RAMP: usize = 250;
/// Largest share of it, where a service has few targets.
const MOST_RAMP: usize = 500;
/// All requests, in permille.
pub const ALL: u16 = 1_000;
/// Part of an order's time that is kept for the move.
const MOVE_PART: f64 = 0.35;
/// Time that is kept for the move at least: the ramp, requests under way at the old targets, the verdict.
const SHORTEST_MOVE: Duration = Duration::from_millis(3_500);
/// Time that it takes at most.
const LONGEST_MOVE: Duration = Duration::from_secs(10);
/// Largest part of an order's time that is kept for the move, where that is short.
const MOST_MOVE: f64 = 0.6;
/// Time of the ramp: several reports of each gate.
const RAMP_TIME: Duration = Duration::from_millis(500);
/// Time at all requests before the verdict, for the same reason.
const ALL_TIME: Duration = Duration::from_millis(500);
/// Time that a step lasts beyond that: a report, a decision, and the news of it.
const LAG: Duration = Duration::from_millis(250);
/// Requests that the first step may take at least, so that something is known of each revision.
const FIRST_REQUESTS: f64 = 8.0;
/// Time in which gates have reported what they saw of a step.
const REPORTED: Duration = Duration::from_millis(300);
/// Time before the end of an order at which it completes although requests still run at old targets.
const LAST_CALL: Duration = Duration::from_millis(400);
/// Answers of the new revision that the move asks for, where the requests are frequent enough.
const ENOUGH_ANSWERS: f64 = 40.0;
/// Answers without which nothing is known of a revision.
const FEWEST_ANSWERS: u64 = 4;

/// Where a roll-out is.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// No target of the revision is ready yet.
    #[default]
    Waiting,
    /// A few targets get a small share.
    Canary,
    /// A few targets get as much each as they will with all requests.
    Ramp,
    /// Everything; the old targets end what they have.
    All,
    /// Nothing any more, for good.
    Back,
}

/// What a daemon goes by.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Rises with each renewal.
    pub number: u64,
    /// Step that it is in.
    pub step: Step,
    /// Share of the requests that the new revision gets, in permille.
    pub permille: u16,
    /// Daemons whose targets get it, sorted; all of the revision when there are none.
    pub chosen: Vec<SocketAddr>,
}

impl Plan {
    /// Whether it goes before `other`: going back is final, else the later one.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let final_word = |plan: &Self| plan.step == Step::Back;
        (final_word(self), self.number) > (final_word(other), other.number)
    }
}

/// What a bad revision may get.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Limits {
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
    /// Whether nothing runs at the old targets any more.
    pub drained: bool,
}

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
    /// Time is up, and too little is known or moved.
    TimeIsUp,
    /// It went back before.
    WentBack,
}

/// What comes next in a roll-out.
#[must_use]
pub fn decide(limits: &Limits, seen: &Observed) -> Decision {
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
        Step::Ramp => after_ramp(seen),
        Step::All => after_all(seen, left),
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

/// Time that is kept for the move of all requests.
fn move_time(duration: Duration) -> Duration {
    let part = duration.mul_f64(MOVE_PART);
    let part = part.clamp(SHORTEST_MOVE, LONGEST_MOVE);
    part.min(duration.mul_f64(MOST_MOVE))
}

fn stay(limits: &Limits, seen: &Observed, cause: Cause) -> Decision {
    let (permille, targets) = match seen.step {
        Step::Waiting | Step::Back => (0, 0),
        Step::Canary => canary(limits, seen),
        Step::Ramp => ramp(seen),
        Step::All => (ALL, 0),
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
fn first(limits: &Limits, seen: &Observed, left: Duration) -> Decision {
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
    let known = seen.answers >= FEWEST_ANSWERS && count(seen.answers) >= enough;
    if known {
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
    per_second * time.as_secs_f64() * f64::from(permille) / f64::from(ALL)
}

fn after_ramp(seen: &Observed) -> Decision {
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
    Decision {
        step: Step::All,
        permille: ALL,
        targets: 0,
        cause: Cause::WentWell,
        ..trying
    }
}

fn after_all(seen: &Observed, left: Duration) -> Decision {
    let is_last_call = left < LAST_CALL;
    // Guards against a move that began late, since the daemon that decided was lost: a good revision that has
    // all requests would be taken back for the rest of the step's time.
    let least = if is_last_call { REPORTED } else { ALL_TIME };
    let (complete, cause) = if seen.in_step < least {
        (false, Cause::Trying)
    } else if seen.drained {
        (true, Cause::Drained)
    } else if is_last_call {
        (true, Cause::LastCall)
    } else {
        (false, Cause::StillRunning)
    };
    Decision {
        step: Step::All,
        permille: ALL,
        targets: 0,
        complete,
        cause,
    }
}

/// Share in permille and targets of the first step.
///
/// What a bad revision may get is a share of all requests and a number beside it. Where requests are few
/// the number carries the share: it may be large, and there are answers to judge by all the same.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a share"
)]
fn canary(limits: &Limits, seen: &Observed) -> (u16, usize) {
    // A share of an unknown number may be any number.
    let Some(per_second) = seen.per_second else {
        return (0, targets(0, seen));
    };
    let requests = per_second * seen.duration.as_secs_f64();
    let allowed = limits.share * requests + count(limits.slack);
    let left = allowed - move_requests(per_second, seen);
    let part = left.min(allowed * CANARY_PART).max(FIRST_REQUESTS);
    let time = seen.duration.saturating_sub(move_time(seen.duration));
    let through = (per_second * time.as_secs_f64()).max(1.0);
    // What has been spent already is not spent twice, whoever decided then.
    let spent = count(seen.exposed) >= part;
    let permille = if spent {
        0.0
    } else {
        (part / through * f64::from(ALL)).min(MOST_CANARY)
    };
    let permille = permille as u16;
    (permille, targets(permille, seen))
}

/// Share in permille and targets of the second step.
fn ramp(seen: &Observed) -> (u16, usize) {
    let all = seen.targets.max(seen.warm).max(1);
    let two = (FEWEST_TARGETS * usize::from(ALL)).div_ceil(all);
    let permille = two.clamp(LEAST_RAMP, MOST_RAMP);
    let permille = u16::try_from(permille).unwrap_or(ALL);
    (permille, targets(permille, seen))
}

/// Requests that the move takes until its verdict.
fn move_requests(per_second: f64, seen: &Observed) -> f64 {
    let (permille, _) = ramp(seen);
    let part = f64::from(permille) / f64::from(ALL);
    let ramp = (RAMP_TIME + LAG).as_secs_f64() * part;
    let all = (ALL_TIME + LAG).as_secs_f64();
    per_second * (ramp + all)
}

/// Targets that carry as much each, with this share, as they will with all requests; 0 when those are too
/// many to be named.
fn targets(permille: u16, seen: &Observed) -> usize {
    let all = seen.targets.max(seen.warm);
    let share = (all * usize::from(permille)).div_ceil(usize::from(ALL));
    let few = share.max(FEWEST_TARGETS).min(seen.warm);
    if few > MOST_CHOSEN && seen.step != Step::Waiting && usize::from(permille) >= LEAST_RAMP {
        return 0;
    }
    few.min(MOST_CHOSEN)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn count(number: u64) -> f64 {
    number as f64
}

/// Time after which a plan that is not renewed is no longer gone by.
///
/// Guards against a bad revision that nobody watches: its gates close by themselves. Several renewals may be
/// lost before a plan that holds looks like one that does not.
pub const LAPSE: Duration = Duration::from_secs(2);
/// Time between two renewals.
pub const RENEWAL: Millis = Millis(600);
