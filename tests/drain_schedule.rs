//! Times of a graceful shutdown.

use std::time::{Duration, Instant};

use jackdawpulley::drain::Schedule;
use proptest::prelude::*;

fn schedule(began: Instant, accept_ms: u64, limit_ms: u64) -> Schedule {
    let ms = Duration::from_millis;
    Schedule::new(began, ms(accept_ms), ms(limit_ms))
}

/// Guards against times that don't fit into a short grace time.
#[test]
fn short_limits() {
    let began = Instant::now();
    for limit_ms in [0, 1, 100, 930, 1_860, 2_790, 3_720, 5_580, 9_300, 30_000] {
        for accept_ms in [0, 1_000, 3_000, 60_000] {
            let Schedule {
                target_close,
                accept_end,
                idle_close,
                limit,
            } = schedule(began, accept_ms, limit_ms);
            assert!(began <= target_close && target_close <= accept_end);
            assert!(accept_end <= idle_close);
            assert_eq!(limit, began + Duration::from_millis(limit_ms));
            assert!(
                limit_ms < 930 || idle_close < limit,
                "{accept_ms} {limit_ms}"
            );
        }
    }
}

#[test]
fn usual_times() {
    let began = Instant::now();
    let at = |ms| began + Duration::from_millis(ms);
    let schedule = schedule(began, 3_000, 5_580);
    let expected = Schedule {
        target_close: at(2_200),
        accept_end: at(3_000),
        idle_close: at(3_200),
        limit: at(5_580),
    };
    assert_eq!(schedule, expected);
}

proptest! {
    #![proptest_config(ProptestConfig { failure_persistence: None, ..ProptestConfig::default() })]

    /// Guards against calls that arrive once connections are refused and are given up at the limit.
    #[test]
    fn late_calls(
        accept_ms in 0_u64..20_000,
        limit_ms in 0_u64..40_000,
        arrival_ms in 0_u64..60_000,
        timeout_ms in 0_u64..60_000,
    ) {
        let began = Instant::now();
        let schedule = schedule(began, accept_ms, limit_ms);
        let arrival = began + Duration::from_millis(arrival_ms);
        let deadline = arrival + Duration::from_millis(timeout_ms);
        let is_admitted = schedule.admits(arrival, deadline);
        let is_late = arrival >= schedule.accept_end;
        prop_assert!(!is_late || !is_admitted || deadline <= schedule.limit);
        prop_assert!(is_admitted || deadline > schedule.limit, "it would have ended in time");
    }
}
