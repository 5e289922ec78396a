//! Pace of requests to a target that limits their rate.

mod common;

use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::calls::limit::{Decision, Limit};
use jackdawpulley::calls::pace::Pace;
use jackdawpulley::calls::pacer::{Bucket, Fairness};
use jackdawpulley::units::{Priority, Rate};
use proptest::prelude::*;

/// Length of the windows over which a target counts.
const WINDOW_S: f64 = 4.0;

fn rate(per_second: f64) -> Rate {
    Rate::new(per_second).expect("finite and not negative")
}

/// Times in seconds at which tokens were taken, asked for after each of `gaps_ms`.
fn taken(bucket: &mut Bucket, start: Instant, gaps_ms: &[u64]) -> Vec<f64> {
    let mut now = start;
    let mut taken = Vec::new();
    for gap in gaps_ms {
        now += Duration::from_millis(*gap);
        if bucket.take(now) {
            taken.push(now.duration_since(start).as_secs_f64());
        }
    }
    taken
}

fn busiest_window(taken: &[f64]) -> u32 {
    let counts = taken.iter().enumerate().map(|(last, end)| {
        let first = taken.partition_point(|time| time + WINDOW_S <= *end);
        last + 1 - first
    });
    u32::try_from(counts.max().unwrap_or(0)).expect("a few thousand")
}

proptest! {
    #![proptest_config(deterministic_config(300))]

    /// Guards against more requests in some window than a target allows.
    #[test]
    fn no_window_exceeds_rate(per_second in 0.0_f64..60.0, gaps in prop::collection::vec(0_u64..90, 1..600)) {
        let start = Instant::now();
        let mut bucket = Bucket::new(rate(per_second), start);
        let busiest = busiest_window(&taken(&mut bucket, start, &gaps));
        prop_assert!(f64::from(busiest) <= 1.5 * per_second * WINDOW_S + 5.0);
    }

    /// Guards against a second bucket of tokens each time the daemon beside the target restarts.
    #[test]
    fn restarts_stay_within_rate(per_second in 0.0_f64..60.0, gaps in prop::collection::vec(0_u64..30, 1..600)) {
        let start = Instant::now();
        let mut before = Bucket::new(rate(per_second), start);
        let mut all = taken(&mut before, start, &gaps);
        let end: u64 = gaps.iter().sum();
        let restarted = start + Duration::from_millis(end);
        let mut after = Bucket::new(rate(per_second), restarted);
        let offset = Duration::from_millis(end).as_secs_f64();
        all.extend(taken(&mut after, restarted, &gaps).iter().map(|time| time + offset));
        prop_assert!(f64::from(busiest_window(&all)) <= 1.5 * per_second * WINDOW_S + 5.0);
    }

    /// Guards against tokens that are lost although requests ask for them.
    #[test]
    fn rate_is_used(per_second in 1.0_f64..60.0, gaps in prop::collection::vec(1_u64..12, 600..900)) {
        let start = Instant::now();
        let mut bucket = Bucket::new(rate(per_second), start);
        let taken = taken(&mut bucket, start, &gaps);
        let seconds = Duration::from_millis(gaps.iter().sum()).as_secs_f64();
        let count = f64::from(u32::try_from(taken.len()).expect("a few hundred"));
        prop_assert!(count >= (per_second * seconds).floor() - 1.0);
    }

    #[test]
    fn delay_is_exact(per_second in 0.5_f64..60.0, ahead in 0_usize..20) {
        let now = Instant::now();
        let mut bucket = Bucket::new(rate(per_second), now);
        while bucket.take(now) {}
        let due = now + bucket.delay(now, 0) + Duration::from_micros(1);
        prop_assert!(bucket.delay(now, ahead + 1) > bucket.delay(now, ahead));
        prop_assert!(bucket.take(due));
    }
}

#[test]
fn changed_rate_applies_at_once() {
    let start = Instant::now();
    let mut bucket = Bucket::new(rate(40.0), start);
    let later = start + Duration::from_secs(10);
    bucket.set_rate(rate(4.0), later);
    assert_eq!(
        bucket.tokens(later),
        2,
        "tokens of the higher rate are lost"
    );
    bucket.set_rate(rate(40.0), later);
    assert_eq!(bucket.tokens(later + Duration::from_secs(1)), 20);
}

/// Guards against a limit of 0 that no response can ever end.
#[test]
fn zero_still_gets_requests() {
    let start = Instant::now();
    let mut bucket = Bucket::new(rate(0.0), start);
    assert!(bucket.take(start));
    assert!(!bucket.take(start));
    assert_eq!(bucket.delay(start, 0), Duration::from_secs(4));
    assert!(bucket.delay(start, usize::MAX) > Duration::from_secs(1 << 30));
}

#[test]
fn free_slot_waits_for_allowance() {
    let mut limit = Limit::new(2, 4);
    limit.set_allowance(Some(1));
    assert_eq!(limit.acquire(1, Priority(1)), Decision::Run);
    assert_eq!(limit.acquire(2, Priority(1)), Decision::Wait { shed: None });
    assert_eq!(limit.acquire(3, Priority(0)), Decision::Wait { shed: None });
    assert_eq!((limit.ahead_of(3), limit.ahead_of(2)), (Some(0), Some(1)));
    assert_eq!(limit.release(), None);
    limit.set_allowance(Some(1));
    assert_eq!(limit.promote(), Some(3));
    assert_eq!(limit.promote(), None);
    limit.set_allowance(None);
    assert_eq!(limit.promote(), Some(2));
}

/// Guards against a class that gets no token while there are always requests of a higher priority.
#[test]
fn no_class_is_starved() {
    let mut fairness = Fairness::default();
    let low = Priority(5);
    for _ in 0..3 {
        assert_eq!(fairness.effective_priority(low), low);
        fairness.record_refusal(low);
    }
    assert_eq!(fairness.effective_priority(low), Priority(0));
    assert_eq!(fairness.effective_priority(Priority(4)), Priority(4));
    fairness.record_admission(low);
    assert_eq!(fairness.effective_priority(low), low);
}

#[test]
fn refusals_back_off() {
    let now = Instant::now();
    let mut pace = Pace::default();
    let delay = Duration::from_millis(100);
    pace.record_refusal(now, delay, 1.0);
    pace.record_refusal(now, delay, 1.0);
    assert_eq!(pace.room_in(now), Duration::from_millis(200));
    pace.record_response(now, Duration::ZERO);
    pace.record_refusal(now, delay, 0.0);
    assert_eq!(pace.room_in(now), Duration::from_millis(100));
    let long = Duration::from_secs(30);
    pace.record_refusal(now, long, 1.0);
    assert_eq!(pace.room_in(now), long, "the sidecar knows better");
}
