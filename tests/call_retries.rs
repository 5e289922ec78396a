//! Retry rules, retry budgets and the outcomes that allow a retry.

mod common;

use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::calls::outcome::{Outcome, Reason};
use jackdawpulley::calls::retry::{Budget, backoff, is_allowed};
use jackdawpulley::configuration::document::Retry;
use jackdawpulley::units::{Millis, Percent, Priority};
use proptest::prelude::*;

const LEFT: Duration = Duration::from_secs(1);
const WINDOW: Duration = Duration::from_secs(10);

fn rule() -> Retry {
    Retry {
        name: "r".into(),
        attempts: 3,
        budget: Percent(20),
        backoff_ms: Millis(1_000),
    }
}

/// Guards against running a request twice, such as charging a customer twice, when the connection
/// breaks before the response. Only a request that provably did not run may be retried.
#[test]
fn unknown_outcome_is_final_unless_repeatable() {
    assert!(!is_allowed(&rule(), 1, false, Outcome::Unknown, LEFT));
    assert!(is_allowed(&rule(), 1, true, Outcome::Unknown, LEFT));
    assert!(is_allowed(&rule(), 1, false, Outcome::NotRun, LEFT));
}

#[test]
fn attempts_and_deadline_bound_retries() {
    assert!(!is_allowed(&rule(), 3, true, Outcome::NotRun, LEFT));
    assert!(!is_allowed(
        &rule(),
        1,
        true,
        Outcome::NotRun,
        Duration::ZERO
    ));
    assert!(!is_allowed(&rule(), 1, true, Outcome::Answered, LEFT));
    assert_eq!(backoff(&rule(), LEFT, 1.0), LEFT / 4);
}

#[test]
fn budget_is_a_share_of_requests() {
    let now = Instant::now();
    let budget = Budget::with_reserve(10, WINDOW);
    while budget.withdraw(Percent(20), now) {}
    for _ in 0..100 {
        budget.deposit_share(Percent(20), now);
    }
    let granted = (0..100).filter(|_| budget.withdraw(Percent(20), now));
    assert_eq!(granted.count(), 20);
    assert!(!Budget::with_reserve(10, WINDOW).withdraw(Percent(0), now));
}

/// Guards against urgent requests without a retry: a service refuses half of its requests, and
/// five times as many of lower priority would take every retry as soon as it is paid for.
#[test]
fn urgent_requests_get_retries() {
    let now = Instant::now();
    let budget = Budget::with_reserve(2, WINDOW);
    let (mut urgent, mut others) = (0, 0);
    for request in 0..1_000 {
        budget.deposit_share(Percent(9), now);
        let priority = Priority(u8::from(request % 6 != 0));
        let granted = u32::from(budget.withdraw_for(Percent(9), priority, now));
        if priority == Priority(0) {
            urgent += granted;
        } else {
            others += granted;
        }
    }
    assert!(
        urgent >= 60,
        "{urgent} of 167 urgent requests, {others} others"
    );
    assert!(urgent + others <= 92, "the budget is kept");
}

/// Guards against retries that a quiet period has saved up, and against a failing service without any because
/// its requests of a moment ago are forgotten.
#[test]
fn requests_pay_for_a_window() {
    let now = Instant::now();
    let later = |share: f64| now + WINDOW.mul_f64(share);
    let budget = Budget::with_reserve(0, WINDOW);
    for _ in 0..100 {
        budget.deposit_share(Percent(9), now);
    }
    assert!((0..4).all(|_| budget.withdraw(Percent(9), later(0.5))));
    assert!((0..5).all(|_| budget.withdraw(Percent(9), later(0.8))));
    assert!(
        !budget.withdraw(Percent(9), later(0.8)),
        "nine are paid for"
    );
    assert!(!budget.withdraw(Percent(9), later(1.1)), "too late");
    assert!(!budget.withdraw(Percent(9), later(3.0)));
}

/// Guards against a service that gets more retries than the ratio allows, since calls of repeated requests count as
/// retries of the service beneath.
#[test]
fn repeated_requests_pay_for_their_calls() {
    let now = Instant::now();
    let budget = Budget::with_reserve(0, WINDOW);
    for _ in 0..100 {
        budget.deposit_share(Percent(18), now);
    }
    budget.charge_repeats(4, now);
    budget.charge_repeats(4, now);
    let granted = (0..100).filter(|_| budget.withdraw(Percent(9), now));
    assert_eq!(granted.count(), 10, "18 less two for each of four");
    budget.charge_repeats(54, now);
    (0..100).for_each(|_| budget.deposit_share(Percent(18), now));
    assert!(
        !budget.withdraw(Percent(9), now),
        "calls already made come first"
    );
}

proptest! {
    #![proptest_config(deterministic_config(200))]

    /// Guards against a retry storm: all daemons meet a failing service at the same moment, and together must
    /// not exceed the shared reserve plus their share of requests, also if there are more daemons than retries.
    #[test]
    fn fleet_keeps_to_its_reserve(
        daemons in 1_usize..60,
        reserve in 10_u32..100,
        requests in 0_u32..40,
    ) {
        for daemons in [daemons, 2 * daemons] {
            let (now, share) = (Instant::now(), Percent(9));
            let mut granted = 0_u32;
            for _ in 0..daemons {
                let budget = Budget::with_reserve(20, WINDOW);
                budget.share_reserve(reserve, daemons);
                while budget.withdraw(share, now) {
                    granted += 1;
                }
                for _ in 0..requests {
                    budget.deposit_share(share, now);
                    granted += u32::from(budget.withdraw(share, now));
                }
            }
            let fleet = u32::try_from(daemons).expect("few");
            let allowed = reserve + fleet * requests * 9 / 100 + 1;
            prop_assert!(granted <= allowed, "{granted} of {allowed}");
        }
    }

    /// Guards against more retries in a window than the requests of that window and the one before it pay for,
    /// wherever the window begins.
    #[test]
    fn every_window_is_paid_for(
        gaps_ms in prop::collection::vec(0_u64..700, 1..300),
        reserve in 0_u32..6,
    ) {
        let origin = Instant::now();
        let share = Percent(20);
        let budget = Budget::with_reserve(reserve, WINDOW);
        let (mut now, mut requests, mut retries) = (origin, Vec::new(), Vec::new());
        for gap in gaps_ms {
            now += Duration::from_millis(gap);
            requests.push(now);
            budget.deposit_share(share, now);
            if budget.withdraw(share, now) {
                retries.push(now);
            }
        }
        for end in &retries {
            let within = |times: &[Instant]| times.iter().filter(|at| **at + WINDOW >= *end && *at <= end).count();
            let paid = within(&requests) * 20 / 100 + usize::try_from(reserve).expect("small");
            prop_assert!(within(&retries) <= paid, "{} of {paid}", within(&retries));
        }
    }
}

#[test]
fn only_proven_reasons_are_not_run() {
    for reason in [Reason::Broken, Reason::TimedOut, Reason::KeyInDoubt] {
        assert_eq!(reason.outcome(), Outcome::Unknown, "{reason}");
    }
    for reason in [
        Reason::Draining,
        Reason::Shed,
        Reason::Expired,
        Reason::Unreachable,
    ] {
        assert_eq!(reason.outcome(), Outcome::NotRun, "{reason}");
    }
}

/// Guards against reporting "not run" for a request that broke off at its first target, where it
/// may have run, and was refused by the second.
#[test]
fn unknown_outcome_survives_later_attempts() {
    assert_eq!(Reason::Broken.followed_by(Reason::NoTarget), Reason::Broken);
    assert_eq!(
        Reason::Broken.followed_by(Reason::Overloaded).outcome(),
        Outcome::Unknown
    );
    assert_eq!(
        Reason::Draining.followed_by(Reason::TimedOut),
        Reason::TimedOut
    );
    assert_eq!(
        Reason::Draining.followed_by(Reason::Overloaded),
        Reason::Overloaded
    );
}
