//! Longest wait for a slot, and estimated wait of a caller.

mod common;

use std::time::Duration;

use common::fixed;
use jackdawpulley::calls::wait::{Estimator, max_wait};
use jackdawpulley::units::Millis;
use proptest::prelude::*;

const PROCESSING: Duration = Duration::from_millis(200);
const LATENCY: Duration = Duration::from_millis(600);

/// Guards against late responses under overload: if callers that retry after 300 ms could wait as
/// long as new ones, their responses would be late and delay those of new callers. A third of all
/// responses were late.
#[test]
fn retrying_caller_waits_less() {
    let mut estimator = Estimator::default();
    assert_eq!(estimator.caller_wait(Millis(2_500)), Duration::ZERO);
    let before = estimator.caller_wait(Millis(2_200));
    assert!(before >= Duration::from_millis(299) && before <= Duration::from_millis(301));
    let fresh = max_wait(LATENCY, PROCESSING);
    let retrying = max_wait(LATENCY.saturating_sub(before), PROCESSING);
    assert!(retrying * 3 < fresh, "{retrying:?} {fresh:?}");
}

/// A request that is already late may still use a free slot.
#[test]
fn late_request_uses_free_slot() {
    let late = max_wait(Duration::ZERO, PROCESSING);
    assert!(late > Duration::ZERO && late < Duration::from_millis(50));
}

/// Guards against callers that lower their initial time-out and would count as retrying for ever.
#[test]
fn shorter_timeout_is_learnt() {
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
    fn wait_is_bounded_by_spare_time(left in 0_u64..5_000, processing in 0_u64..5_000) {
        let (left, processing) = (Duration::from_millis(left), Duration::from_millis(processing));
        let wait = max_wait(left, processing);
        prop_assert!(wait <= left.saturating_sub(processing).max(Duration::from_millis(15)));
    }
}
