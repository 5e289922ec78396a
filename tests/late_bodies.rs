//! Bounds on what follows of a response body after the deadline of its request.

mod common;

use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::calls::overrun::{
    End, MAX_BYTES, MAX_PAUSE, MAX_SIDECAR_WAIT, MAX_TARGET_WAIT, MAX_TIME, MIN_PART_BYTES,
    Overrun, Source,
};
use proptest::prelude::*;

/// Time after a time-out by which its request has ended, by the operators' rule.
const ANSWER_MARGIN: Duration = Duration::from_millis(500);
/// Time that a part takes from the target's socket to the daemon.
const ARRIVAL: Duration = Duration::from_micros(200);

/// Asks for one part after the other: `pause` is the time in which the caller reads one, `wait` the time until
/// the next one is there. Returns when and why the body ends, if it does before it has `total` bytes.
fn play(
    overrun: &mut Overrun,
    began: Instant,
    (part, total): (usize, usize),
    (pause, wait): (Duration, Duration),
) -> Option<(Instant, End)> {
    let mut now = began;
    let mut received = 0;
    while received < total {
        overrun.begin_wait(now);
        let due = now + wait;
        if overrun.next_check() < due {
            now = overrun.next_check();
            return Some((now, overrun.check(now).expect("it is due")));
        }
        now = due;
        overrun.receive(now, part);
        if let Some(end) = overrun.check(now) {
            return Some((now, end));
        }
        received += part;
        now += pause;
    }
    None
}

/// Guards against a target that keeps a caller waiting by a few bytes now and then, or by none.
#[test]
fn drips_end() {
    let began = Instant::now();
    let deadline = began + Duration::from_millis(850);
    for (part, wait) in [(8, 100), (8, 1), (64 << 10, 20), (1, 60_000)] {
        let wait = Duration::from_millis(wait);
        let mut overrun = Overrun::new(Source::Target, deadline);
        let (at, end) = play(
            &mut overrun,
            began,
            (part, usize::MAX),
            (Duration::ZERO, wait),
        )
        .expect("it has an end");
        assert_eq!(end, End::Stalled, "{part} bytes every {wait:?}");
        assert!(
            at <= deadline + MAX_TARGET_WAIT,
            "{part} bytes every {wait:?}"
        );
    }
    assert!(MAX_TARGET_WAIT < MAX_SIDECAR_WAIT && MAX_SIDECAR_WAIT < ANSWER_MARGIN);
}

/// Guards against a response that is ready and is lost because its caller reads it slowly.
#[test]
fn slow_readers_finish() {
    let deadline = Instant::now();
    // 2 MB in parts of 16 KiB, at 1 MB/s and at 1 Mbit/s.
    for pause in [16, 131] {
        let pause = Duration::from_millis(pause);
        let mut overrun = Overrun::new(Source::Target, deadline);
        let end = play(
            &mut overrun,
            deadline,
            (16 << 10, 2_000_000),
            (pause, ARRIVAL),
        );
        assert_eq!(end, None, "{pause:?} for each part");
    }
}

/// Guards against a slow link between hosts that is taken for a silent sidecar.
#[test]
fn slow_links_finish() {
    let deadline = Instant::now();
    let mut overrun = Overrun::new(Source::Sidecar, deadline);
    let gaps = (Duration::ZERO, MAX_SIDECAR_WAIT / 2);
    assert_eq!(
        play(&mut overrun, deadline, (16 << 10, 1_000_000), gaps),
        None
    );
    let silence = (Duration::ZERO, 2 * MAX_SIDECAR_WAIT);
    let end = play(&mut overrun, deadline, (16 << 10, 1_000_000), silence);
    assert!(matches!(end, Some((_, End::Stalled))), "{end:?}");
}

/// Guards against a flood that goes on for as long as its caller reads, also in parts of a few bytes.
#[test]
fn floods_end() {
    let deadline = Instant::now();
    for (part, parts) in [
        (64 << 10, MAX_BYTES / (64 << 10)),
        (8, MAX_BYTES / MIN_PART_BYTES),
    ] {
        let mut overrun = Overrun::new(Source::Target, deadline);
        for _ in 1..parts {
            overrun.receive(deadline, part);
            assert_eq!(overrun.check(deadline), None);
        }
        overrun.receive(deadline, part);
        assert_eq!(overrun.check(deadline), Some(End::Flooded));
    }
}

/// Guards against a caller that holds a slot by reading nothing, or hardly anything.
#[test]
fn stopped_readers_end() {
    let began = Instant::now();
    let deadline = began + Duration::from_secs(1);
    let mut overrun = Overrun::new(Source::Target, deadline);
    overrun.receive(began, 300_000);
    assert_eq!(overrun.next_check(), deadline + MAX_PAUSE);
    assert_eq!(overrun.check(deadline + MAX_PAUSE), Some(End::Unread));
    let pause = MAX_PAUSE / 2;
    let (at, end) =
        play(&mut overrun, deadline, (1, usize::MAX), (pause, ARRIVAL)).expect("it has an end");
    assert_eq!(end, End::Expired);
    assert!(at <= deadline + MAX_TIME + pause);
}

proptest! {
    #![proptest_config(deterministic_config(300))]

    /// Guards against a body that has no end after its deadline, whoever delays it.
    #[test]
    fn bodies_have_an_end(
        parts in prop::collection::vec((1_usize..70_000, 0_u64..400, 0_u64..400), 1..40),
        early_ms in 0_u64..2_000,
    ) {
        let began = Instant::now();
        let deadline = began + Duration::from_millis(early_ms);
        let mut overrun = Overrun::new(Source::Target, deadline);
        let mut now = began;
        let mut waited = Duration::ZERO;
        for (part, wait_ms, pause_ms) in parts.into_iter().cycle() {
            overrun.begin_wait(now);
            let due = now + Duration::from_millis(wait_ms);
            if overrun.next_check() < due {
                now = overrun.next_check();
                prop_assert!(overrun.check(now).is_some());
                break;
            }
            waited += due.saturating_duration_since(now.max(deadline));
            now = due;
            overrun.receive(now, part);
            if overrun.check(now).is_some() {
                break;
            }
            prop_assert!(waited <= MAX_TARGET_WAIT);
            now += Duration::from_millis(pause_ms);
        }
        prop_assert!(now <= deadline + MAX_TIME + Duration::from_millis(400));
    }
}
