//! Bounds on a lingering close.

use std::time::{Duration, Instant};

use jackdawpulley::linger::{
    DELIVERY_TIME, End, MAX_DISCARDED_BYTES, MAX_DURATION, Progress, STALL_TIMEOUT, is_needed,
};
use proptest::prelude::*;

/// Interval of the checks.
const PERIOD: Duration = Duration::from_millis(250);

/// When a close ends whose send queue has these lengths, one after the other and then the last one.
fn end(queue: &[Option<usize>]) -> (Duration, End) {
    let start = Instant::now();
    let mut progress = Progress::new(start, queue[0]);
    for count in 1_u32.. {
        let length = queue.get(count as usize).or(queue.last());
        let at = PERIOD * count;
        if let Some(end) = progress.check(start + at, *length.expect("not empty")) {
            return (at, end);
        }
    }
    unreachable!("it ends")
}

/// Guards against callers that hold a connection without receiving or closing.
#[test]
fn stalled_peer() {
    for queue in [None, Some(0), Some(80_000)] {
        assert_eq!(end(&[queue]), (STALL_TIMEOUT, End::Stalled));
    }
}

/// Guards against responses that are lost on links that need more than the stall time for them.
#[test]
fn slow_link() {
    let queue: Vec<_> = (0..=40).rev().map(|part| Some(part * 10_000)).collect();
    let delivered = PERIOD * 40;
    assert_eq!(end(&queue), (delivered + STALL_TIMEOUT, End::Stalled));
}

/// Guards against callers that receive a byte now and then.
#[test]
fn trickling_peer() {
    let queue: Vec<_> = (0..10_000).rev().map(Some).collect();
    assert_eq!(end(&queue), (MAX_DURATION, End::Expired));
}

/// Guards against idle connections that linger although nothing is left to deliver, so that a
/// daemon stops later.
#[test]
fn idle_connection() {
    assert!(!is_needed(DELIVERY_TIME, Some(0)));
    assert!(!is_needed(STALL_TIMEOUT, None));
    assert!(is_needed(Duration::ZERO, Some(0)));
    assert!(is_needed(DELIVERY_TIME, None));
    assert!(is_needed(Duration::MAX, Some(1)));
}

proptest! {
    /// Guards against a caller that holds a connection by what it sends.
    #[test]
    fn sent_bytes(
        steps in prop::collection::vec((0_usize..100_000, 0_usize..1_000_000), 1..400),
    ) {
        let start = Instant::now();
        let mut progress = Progress::new(start, Some(steps[0].0));
        let (mut at, mut progressed, mut queued) = (start, start, steps[0].0);
        let mut discarded = 0;
        for (length, bytes) in steps {
            at += PERIOD;
            discarded += bytes;
            let is_flooded = progress.discard(bytes) == Some(End::Flooded);
            prop_assert_eq!(is_flooded, discarded >= MAX_DISCARDED_BYTES);
            if length < queued {
                progressed = at;
            }
            queued = length;
            let is_over = at - start >= MAX_DURATION || at - progressed >= STALL_TIMEOUT;
            prop_assert_eq!(progress.check(at, Some(length)).is_some(), is_over);
            if is_over {
                break;
            }
        }
    }
}
