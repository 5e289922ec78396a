//! Shares of the requests that the steps of a roll-out take, and the time of the move.
//!
//! What a bad revision may get is a share of all requests of the order and a number beside it. What the move takes
//! is set aside first; the first step has the rest, or a part of the whole where that is less.

use std::time::Duration;

use crate::rollout::observed::{ExposureLimits, Observed};
use crate::rollout::plan::{FULL_PERMILLE, MAX_CHOSEN, Step};

/// Largest part of the requests that a bad revision may get which is spent on finding out at a small share.
const CANARY_PART: f64 = 0.3;
/// Largest share of the first step, in permille, however few the requests are: most callers stay with what
/// is known to be good.
const MOST_CANARY: f64 = 500.0;
/// Targets that get the first share at least, so that a bad revision is told from a bad target.
const FEWEST_TARGETS: usize = 2;
/// Share of the second step, in permille: the least one with which a few targets carry as much each as with all
/// requests.
const LEAST_RAMP: usize = 250;
/// Largest share of it, where a service has few targets.
const MOST_RAMP: usize = 500;
/// Requests that the first step may take at least, so that something is known of each revision.
const FIRST_REQUESTS: f64 = 8.0;
/// Part of an order's time that is kept for the move.
const MOVE_PART: f64 = 0.35;
/// Time that is kept for the move at least: the ramp, requests under way at the old targets, the verdict.
const SHORTEST_MOVE: Duration = Duration::from_millis(3_500);
/// Time that it takes at most.
const LONGEST_MOVE: Duration = Duration::from_secs(10);
/// Largest part of an order's time that is kept for the move, where that is short.
const MOST_MOVE: f64 = 0.6;
/// Time of the ramp: several reports of each gate.
pub(super) const RAMP_TIME: Duration = Duration::from_millis(500);
/// Time at all requests before the verdict, for the same reason.
pub(super) const ALL_TIME: Duration = Duration::from_millis(500);
/// Time that a step lasts beyond that: a report, a decision, and the news of it.
pub(super) const LAG: Duration = Duration::from_millis(250);

/// Time that is kept for the move of all requests.
pub(super) fn move_time(duration: Duration) -> Duration {
    let part = duration.mul_f64(MOVE_PART);
    let part = part.clamp(SHORTEST_MOVE, LONGEST_MOVE);
    part.min(duration.mul_f64(MOST_MOVE))
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
pub(super) fn canary(limits: &ExposureLimits, seen: &Observed) -> (u16, usize) {
    // A share of an unknown number may be any number.
    let Some(per_second) = seen.per_second else {
        return (0, targets(0, seen));
    };
    let allowed = allowed(limits, per_second, seen);
    let left = allowed - move_requests(per_second, seen);
    let part = left.min(allowed * CANARY_PART).max(FIRST_REQUESTS);
    let time = seen.duration.saturating_sub(move_time(seen.duration));
    let through = (per_second * time.as_secs_f64()).max(1.0);
    // What has been spent already is not spent twice, whoever decided then.
    let spent = count(seen.exposed) >= part;
    let permille = if spent {
        0.0
    } else {
        (part / through * f64::from(FULL_PERMILLE)).min(MOST_CANARY)
    };
    let permille = permille as u16;
    (permille, targets(permille, seen))
}

/// Share in permille and targets of the second step.
pub(super) fn ramp(seen: &Observed) -> (u16, usize) {
    let all = seen.targets.max(seen.warm).max(1);
    let two = (FEWEST_TARGETS * usize::from(FULL_PERMILLE)).div_ceil(all);
    let permille = two.clamp(LEAST_RAMP, MOST_RAMP);
    let permille = u16::try_from(permille).unwrap_or(FULL_PERMILLE);
    (permille, targets(permille, seen))
}

/// Requests that the move takes until its verdict.
fn move_requests(per_second: f64, seen: &Observed) -> f64 {
    let (permille, _) = ramp(seen);
    let part = f64::from(permille) / f64::from(FULL_PERMILLE);
    let ramp = (RAMP_TIME + LAG).as_secs_f64() * part;
    let all = (ALL_TIME + LAG).as_secs_f64();
    per_second * (ramp + all)
}

/// Targets that carry as much each, with this share, as they will with all requests; 0 when those are too
/// many to be named.
fn targets(permille: u16, seen: &Observed) -> usize {
    let all = seen.targets.max(seen.warm);
    let share = (all * usize::from(permille)).div_ceil(usize::from(FULL_PERMILLE));
    let few = share.max(FEWEST_TARGETS).min(seen.warm);
    if few > MAX_CHOSEN && seen.step != Step::Waiting && usize::from(permille) >= LEAST_RAMP {
        return 0;
    }
    few.min(MAX_CHOSEN)
}

/// Whether a bad revision may get all requests for so long, beside what it got.
pub(super) fn may_get(limits: &ExposureLimits, seen: &Observed, time: Duration) -> bool {
    seen.per_second.is_some_and(|per_second| {
        let next = per_second * time.as_secs_f64();
        count(seen.exposed) + next <= allowed(limits, per_second, seen)
    })
}

/// Requests that a bad revision may get.
fn allowed(limits: &ExposureLimits, per_second: f64, seen: &Observed) -> f64 {
    limits.share * per_second * seen.duration.as_secs_f64() + count(limits.slack)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(super) const fn count(number: u64) -> f64 {
    number as f64
}
