//! How long a request may wait, and how long its caller has waited.

mod common;

use std::time::Duration;

use common::fixed;
use jackdawpulley::calls::wait::{Estimator, max_wait};
use jackdawpulley::units::Millis;
use proptest::prelude::*;

const WORK: Duration = Duration::from_millis(200);
const LATENCY: Duration = Duration::from_millis(600);

/// Lists are refused under a load that is too much, and their callers come back after 300 ms. If
/// they wait in line like new ones, they are answered late and push new ones into lateness as
/// well: a third of all answers came late. The time that they give tells that they were here.
#[test]
fn returning_caller_waits_less() {
    let mut estimator = Estimator::default();
    assert_eq!(estimator.caller_wait(Millis(2_500)), Duration::ZERO);
    let before = estimator.caller_wait(Millis(2_200));
    assert!(before >= Duration::from_millis(299) && before <= Duration::from_millis(301));
    let fresh = max_wait(LATENCY, WORK);
    let returning = max_wait(LATENCY.saturating_sub(before), WORK);
    assert!(returning * 3 < fresh, "{returning:?} {fresh:?}");
}

/// A request that can't be in time any more still takes a slot that nobody waits for.
#[test]
fn late_one_takes_what_is_free() {
    let late = max_wait(Duration::ZERO, WORK);
    assert!(late > Duration::ZERO && late < Duration::from_millis(50));
}

/// Callers of a route give less from some day on. They must not count as returning for ever.
#[test]
fn shorter_patience_is_learnt() {
    let mut estimator = Estimator::default();
    estimator.caller_wait(Millis(2_500));
    let mut last = Duration::MAX;
    for _ in 0..40_000 {
        last = estimator.caller_wait(Millis(2_000));
    }
    assert_eq!(last, Duration::ZERO);
}

proptest! {
    #![proptest_config(fixed(300))]

    #[test]
    fn nobody_waits_longer_than_it_can(left in 0_u64..5_000, needs in 0_u64..5_000) {
        let (left, needs) = (Duration::from_millis(left), Duration::from_millis(needs));
        let waits = max_wait(left, needs);
        prop_assert!(waits <= left.saturating_sub(needs).max(Duration::from_millis(15)));
    }
}
