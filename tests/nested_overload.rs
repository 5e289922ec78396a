//! Admission of routes whose nested calls are refused or slow.

mod common;

use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::calls::dependency::{Arrival, CallEnd, Controller, RunEnd};
use jackdawpulley::calls::limit::{Decision, Limit, Rank};
use jackdawpulley::units::Priority;
use proptest::prelude::*;

const SLOTS: u32 = 12;
/// Time of a run.
const RUN: Duration = Duration::from_millis(100);
const ANSWERED: CallEnd = CallEnd::Answered {
    waited: Duration::ZERO,
};

const fn arrival(route: &str, priority: u8) -> Arrival<'_> {
    Arrival {
        route,
        priority: Priority(priority),
        slots: SLOTS,
    }
}

/// Sends `count` requests of a route at once, ends the runs of those that are admitted, and returns
/// their number. `call` is the end of a nested call that all runs make, and how long it takes.
fn batch(
    controller: &mut Controller,
    now: &mut Instant,
    count: u32,
    arrival: Arrival<'_>,
    (call, time): (CallEnd, Duration),
    end: RunEnd,
) -> u32 {
    let admitted = (0..count)
        .filter(|_| controller.admit(*now, arrival))
        .count();
    let calls: Vec<_> = (0..admitted).map(|_| controller.begin_call(*now)).collect();
    let began = *now;
    *now += time;
    for id in calls {
        controller.end_call(*now, id, call);
    }
    *now += RUN;
    for _ in 0..admitted {
        controller.end_run(*now, arrival.route, began, end);
        controller.release(arrival.route);
    }
    u32::try_from(admitted).expect("a few")
}

/// Controller whose route `history` is limited because its nested calls are refused.
fn limited(now: &mut Instant) -> Controller {
    let mut controller = Controller::default();
    for _ in 0..4 {
        let call = (CallEnd::Refused, RUN / 5);
        batch(
            &mut controller,
            now,
            SLOTS,
            arrival("history", 1),
            call,
            RunEnd::Failed,
        );
    }
    controller
}

/// Guards against runs that are started although their nested calls will be refused, and against a
/// limit that lets nothing pass, so that recovery would never be noticed.
#[test]
fn dependent_route_is_limited() {
    let mut now = Instant::now();
    let mut controller = limited(&mut now);
    let call = (CallEnd::Refused, RUN / 5);
    let admitted = batch(
        &mut controller,
        &mut now,
        SLOTS,
        arrival("history", 1),
        call,
        RunEnd::Failed,
    );
    assert_eq!(admitted, 1);
}

/// Guards against refusing requests whose runs make no calls.
#[test]
fn independent_route_is_not_limited() {
    let mut now = Instant::now();
    let mut controller = limited(&mut now);
    for _ in 0..20 {
        let call = controller.begin_call(now);
        controller.end_call(now, call, CallEnd::Refused);
        let admitted = (0..SLOTS).filter(|_| controller.admit(now, arrival("booking", 1)));
        assert_eq!(admitted.count(), 12);
        for _ in 0..SLOTS {
            controller.end_run(now + RUN, "booking", now, RunEnd::Succeeded);
            controller.release("booking");
        }
        now += RUN;
    }
}

/// Guards against taking a route's own failures for those of its nested calls.
#[test]
fn failing_route_is_not_limited() {
    let mut now = Instant::now();
    let mut controller = Controller::default();
    for round in 0..200_u32 {
        let call = controller.begin_call(now);
        let end = if round % 4 == 3 {
            CallEnd::Refused
        } else {
            ANSWERED
        };
        controller.end_call(now, call, end);
        assert!(controller.admit(now, arrival("broken", 1)), "{round}");
        controller.end_run(now + RUN, "broken", now, RunEnd::Failed);
        controller.release("broken");
        now += 2 * RUN;
    }
    assert_eq!(controller.limited().count(), 0);
}

/// Guards against a limit that stays after the service beneath has recovered.
#[test]
fn limit_ends_with_its_cause() {
    let mut now = Instant::now();
    let mut controller = limited(&mut now);
    let from = now;
    while controller.limited().count() > 0 {
        let call = (ANSWERED, RUN / 5);
        batch(
            &mut controller,
            &mut now,
            SLOTS,
            arrival("history", 1),
            call,
            RunEnd::Succeeded,
        );
        assert!(now - from < Duration::from_secs(5));
    }
}

/// Guards against limiting where no nested call is refused, although runs fail and calls wait.
#[test]
fn nothing_is_limited_without_refusals() {
    let mut now = Instant::now();
    let mut controller = Controller::default();
    for round in 0..50 {
        let call = (CallEnd::Answered { waited: RUN }, RUN);
        let end = if round % 3 == 0 {
            RunEnd::Failed
        } else {
            RunEnd::Succeeded
        };
        let admitted = batch(
            &mut controller,
            &mut now,
            SLOTS,
            arrival("history", 1),
            call,
            end,
        );
        assert_eq!(admitted, SLOTS, "{round}");
    }
}

/// Guards against a slow service beneath that occupies all slots above it.
#[test]
fn slow_calls_leave_slots() {
    let mut now = Instant::now();
    let mut controller = Controller::default();
    let history = arrival("history", 1);
    for _ in 0..10 {
        batch(
            &mut controller,
            &mut now,
            SLOTS,
            history,
            (ANSWERED, RUN / 5),
            RunEnd::Succeeded,
        );
    }
    for _ in 0..2 {
        batch(
            &mut controller,
            &mut now,
            SLOTS,
            history,
            (ANSWERED, RUN * 5),
            RunEnd::Succeeded,
        );
    }
    let admitted = (0..SLOTS).filter(|_| {
        controller.begin_call(now);
        controller.admit(now, history)
    });
    assert_eq!(admitted.count(), 9);
}

proptest! {
    #![proptest_config(deterministic_config(64))]

    /// Guards against a more urgent route that is refused more often than a less urgent one, which
    /// makes no calls and is refused at random for lack of slots.
    #[test]
    fn priorities_hold(full in 0.0..1.0_f64, draws in prop::collection::vec(0.0..1.0_f64, 600)) {
        let mut now = Instant::now();
        let mut controller = limited(&mut now);
        // What happened before no longer counts.
        now += Duration::from_mins(10);
        let (mut urgent, mut other) = (0, 0);
        for draws in draws.chunks(3) {
            for draw in draws {
                controller.admit(now, arrival("booking", 2));
                if *draw < full {
                    controller.record_refusal(now, arrival("booking", 2));
                    other += 1;
                }
                controller.release("booking");
            }
            let call = (CallEnd::Refused, Duration::ZERO);
            let history = arrival("history", 1);
            urgent += 3 - batch(&mut controller, &mut now, 3, history, call, RunEnd::Failed);
            // The first few arrivals of the less urgent route are not conclusive.
            prop_assert!(urgent <= other + 6, "{urgent} {other}");
        }
        // Otherwise the limit had no effect, and the order would hold for that reason.
        prop_assert!(other < 100 || urgent > 0, "{other}");
    }

    /// Guards against new work that overtakes the calls of started runs at the same priority.
    #[test]
    fn calls_of_started_runs_go_first(arrivals in prop::collection::vec((0_u8..3, any::<bool>()), 1..40)) {
        let mut limit = Limit::new(1, 8);
        limit.acquire(0, Priority(0));
        let mut waiting = Vec::new();
        for (ticket, (priority, is_new)) in (1..).zip(arrivals) {
            let rank = Rank { priority: Priority(priority), is_new };
            match limit.acquire(ticket, rank) {
                Decision::Run => prop_assert!(false, "the slot is taken"),
                Decision::Shed => prop_assert!(waiting.iter().all(|(other, _)| *other <= rank)),
                Decision::Wait { shed } => {
                    waiting.push((rank, ticket));
                    waiting.retain(|(_, other)| Some(*other) != shed);
                }
            }
        }
        waiting.sort_unstable();
        let order: Vec<_> = std::iter::from_fn(|| limit.release()).collect();
        prop_assert_eq!(order, waiting.into_iter().map(|(_, ticket)| ticket).collect::<Vec<_>>());
    }
}
