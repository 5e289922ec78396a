//! Shares of requests in the steps of a rollout, and the time that is reserved for the promotion.
//!
//! The exposure limits allow a bad revision a share of all requests of the order, and a number in addition.
//! The requests of the promotion are reserved first; the canary step uses the rest, or a part of the whole if
//! that is less.

use std::time::Duration;

use crate::rollout::observed::{ExposureLimits, Observed};
use crate::rollout::plan::{FULL_PERMILLE, MAX_CHOSEN, Step};

/// Largest part of the allowed exposure that the canary step uses.
const CANARY_BUDGET_PART: f64 = 0.3;
/// Largest share of the canary step, however few the requests are: at least half of them stay with the old
/// revision.
const MAX_CANARY_PERMILLE: f64 = 500.0;
/// Fewest targets in the canary step, so that a bad revision can be told from a bad target.
const MIN_TARGETS: usize = 2;
/// Least share of the ramp step: a few targets then each receive as many requests as with all of them.
const MIN_RAMP_PERMILLE: usize = 250;
/// Largest share of the ramp step, used for services with few targets.
const MAX_RAMP_PERMILLE: usize = 500;
/// Fewest requests that the canary step may use, so that every revision is tried at all.
const MIN_CANARY_REQUESTS: f64 = 8.0;
/// Part of an order's duration that is reserved for the promotion.
const PROMOTION_PART: f64 = 0.35;
/// Shortest time reserved for the promotion: the ramp step, draining the old targets, and the verdict.
const MIN_PROMOTION_TIME: Duration = Duration::from_millis(3_500);
/// Longest time reserved for the promotion.
const MAX_PROMOTION_TIME: Duration = Duration::from_secs(10);
/// Largest part of a short order's duration that is reserved for the promotion.
const MAX_PROMOTION_PART: f64 = 0.6;
/// Duration of the ramp step: several reports from each sidecar.
pub(super) const RAMP_TIME: Duration = Duration::from_millis(500);
/// Time with all requests before the verdict, also for several reports.
pub(super) const ALL_TIME: Duration = Duration::from_millis(500);
/// Delay before a step takes effect beyond its own time: a report, a decision and the propagation of the
/// plan.
pub(super) const REPORT_LAG: Duration = Duration::from_millis(250);

/// Time reserved for the promotion.
pub(super) fn promotion_time(duration: Duration) -> Duration {
    let part = duration.mul_f64(PROMOTION_PART);
    let part = part.clamp(MIN_PROMOTION_TIME, MAX_PROMOTION_TIME);
    part.min(duration.mul_f64(MAX_PROMOTION_PART))
}

/// Share in permille and number of targets of the canary step.
///
/// With few requests, most of the exposure comes from the fixed number: the share may then be large, which
/// still yields enough responses for a comparison.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to a share"
)]
pub(super) fn canary(limits: &ExposureLimits, observed: &Observed) -> (u16, usize) {
    // Without a known rate, any share may exceed the limits.
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
    // Exposure that was used before counts, also under another coordinator.
    let spent = to_f64(observed.exposed) >= part;
    let permille = if spent {
        0.0
    } else {
        (part / canary_requests * f64::from(FULL_PERMILLE)).min(MAX_CANARY_PERMILLE)
    };
    let permille = permille as u16;
    (permille, target_count(permille, observed))
}

/// Share in permille and number of targets of the ramp step.
pub(super) fn ramp(observed: &Observed) -> (u16, usize) {
    let all = observed.targets.max(observed.warm).max(1);
    let min_targets_permille = (MIN_TARGETS * usize::from(FULL_PERMILLE)).div_ceil(all);
    let permille = min_targets_permille.clamp(MIN_RAMP_PERMILLE, MAX_RAMP_PERMILLE);
    let permille = u16::try_from(permille).unwrap_or(FULL_PERMILLE);
    (permille, target_count(permille, observed))
}

/// Requests that the promotion uses until its verdict.
fn promotion_requests(per_second: f64, observed: &Observed) -> f64 {
    let (permille, _) = ramp(observed);
    let part = f64::from(permille) / f64::from(FULL_PERMILLE);
    let ramp = (RAMP_TIME + REPORT_LAG).as_secs_f64() * part;
    let all = (ALL_TIME + REPORT_LAG).as_secs_f64();
    per_second * (ramp + all)
}

/// Number of targets that each carry, at this share, as many requests as with all of them; 0 if they are too
/// many for a plan to name.
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

/// Whether the new revision may receive all requests for `time` in addition to those that it has received.
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

/// Requests that a bad revision may receive.
fn exposure_budget(limits: &ExposureLimits, per_second: f64, observed: &Observed) -> f64 {
    limits.share * per_second * observed.duration.as_secs_f64() + to_f64(limits.slack)
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
pub(super) const fn to_f64(number: u64) -> f64 {
    number as f64
}
