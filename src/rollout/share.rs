//! Shares of the requests that the steps of a roll-out take, and the time of the move.
//!
//! What a bad revision may get is a share of all requests of the order and a number beside it. What the move takes
//! is set aside first; the first step has the rest, or a part of the whole where that is less.

use std::time::Duration;

use crate::rollout::observed::{ExposureLimits, Observed};
use crate::rollout::plan::{FULL_PERMILLE, MAX_CHOSEN, Step};

/// Largest part of the requests that a bad revision may get which is spent on finding out at a small share.
const CANARY_BUDGET_PART: f64 = 0.3;
/// Largest share of the first step, in permille, however few the requests are: most callers stay with what
/// is known to be good.
const MAX_CANARY_PERMILLE: f64 = 500.0;
/// Targets that get the first share at least, so that a bad revision is told from a bad target.
const MIN_TARGETS: usize = 2;
/// Share of the second step, in permille: the least one with which a few targets carry as much each as with all
/// requests.
const MIN_RAMP_PERMILLE: usize = 250;
/// Largest share of it, where a service has few targets.
const MAX_RAMP_PERMILLE: usize = 500;
/// Requests that the first step may take at least, so that something is known of each revision.
const MIN_CANARY_REQUESTS: f64 = 8.0;
/// Part of an order's time that is kept for the move.
const PROMOTION_PART: f64 = 0.35;
/// Time that is kept for the move at least: the ramp, requests under way at the old targets, the verdict.
const MIN_PROMOTION_TIME: Duration = Duration::from_millis(3_500);
/// Time that it takes at most.
const MAX_PROMOTION_TIME: Duration = Duration::from_secs(10);
/// Largest part of an order's time that is kept for the move, where that is short.
const MAX_PROMOTION_PART: f64 = 0.6;
/// Time of the ramp: several reports of each gate.
pub(super) const RAMP_TIME: Duration = Duration::from_millis(500);
/// Time at all requests before the verdict, for the same reason.
pub(super) const ALL_TIME: Duration = Duration::from_millis(500);
/// Time that a step lasts beyond that: a report, a decision, and the news of it.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(250);

/// Time that is kept for the move of all requests.
pub(super) fn promotion_time(duration: Duration) -> Duration {
    let part = duration.mul_f64(PROMOTION_PART);
    let part = part.clamp(MIN_PROMOTION_TIME, MAX_PROMOTION_TIME);
    part.min(duration.mul_f64(MAX_PROMOTION_PART))
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
pub(super) fn canary(limits: &ExposureLimits, observed: &Observed) -> (u16, usize) {
    // A share of an unknown number may be any number.
    let Some(per_second) = observed.per_second else {
        return (0, target_count(0, observed));
    };
    let budget = exposure_budget(limits, per_second, observed);
    let remaining = budget - promotion_requests(per_second, observed);
    let part = remaining
        .min(budget * CANARY_BUDGET_PART)
        .max(MIN_CANARY_REQUESTS);
    let time = observed
        .duration
        .saturating_sub(promotion_time(observed.duration));
    let canary_requests = (per_second * time.as_secs_f64()).max(1.0);
    // What has been spent already is not spent twice, whoever decided then.
    let spent = to_f64(observed.exposed) >= part;
    let permille = if spent {
        0.0
    } else {
        (part / canary_requests * f64::from(FULL_PERMILLE)).min(MAX_CANARY_PERMILLE)
    };
    let permille = permille as u16;
    (permille, target_count(permille, observed))
}

/// Share in permille and targets of the second step.
pub(super) fn ramp(observed: &Observed) -> (u16, usize) {
    let all = observed.targets.max(observed.warm).max(1);
    let min_targets_permille = (MIN_TARGETS * usize::from(FULL_PERMILLE)).div_ceil(all);
    let permille = min_targets_permille.clamp(MIN_RAMP_PERMILLE, MAX_RAMP_PERMILLE);
    let permille = u16::try_from(permille).unwrap_or(FULL_PERMILLE);
    (permille, target_count(permille, observed))
}

/// Requests that the move takes until its verdict.
fn promotion_requests(per_second: f64, observed: &Observed) -> f64 {
    let (permille, _) = ramp(observed);
    let part = f64::from(permille) / f64::from(FULL_PERMILLE);
    let ramp = (RAMP_TIME + REPORT_LAG).as_secs_f64() * part;
    let all = (ALL_TIME + REPORT_LAG).as_secs_f64();
    per_second * (ramp + all)
}

/// Targets that carry as much each, with this share, as they will with all requests; 0 when those are too
/// many to be named.
fn target_count(permille: u16, observed: &Observed) -> usize {
    let all = observed.targets.max(observed.warm);
    let share = (all * usize::from(permille)).div_ceil(usize::from(FULL_PERMILLE));
    let few = share.max(MIN_TARGETS).min(observed.warm);
    if few > MAX_CHOSEN
        && observed.step != Step::Waiting
        && usize::from(permille) >= MIN_RAMP_PERMILLE
    {
        return 0;
    }
    few.min(MAX_CHOSEN)
}

/// Whether a bad revision may get all requests for so long, beside what it got.
pub(super) fn is_within_exposure(
    limits: &ExposureLimits,
    observed: &Observed,
    time: Duration,
) -> bool {
    observed.per_second.is_some_and(|per_second| {
        let next = per_second * time.as_secs_f64();
        to_f64(observed.exposed) + next <= exposure_budget(limits, per_second, observed)
    })
}

/// Requests that a bad revision may get.
fn exposure_budget(limits: &ExposureLimits, per_second: f64, observed: &Observed) -> f64 {
    limits.share * per_second * observed.duration.as_secs_f64() + to_f64(limits.slack)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(super) const fn to_f64(number: u64) -> f64 {
    number as f64
}
