//! When a failed request is tried again.

mod common;

use std::time::Duration;

use common::fixed;
use jackdawpulley::calls::outcome::{Outcome, Reason};
use jackdawpulley::calls::retry::{Budget, again, backoff};
use jackdawpulley::configuration::document::Retry;
use jackdawpulley::units::{Millis, Percent, Priority};
use proptest::prelude::*;

const LEFT: Duration = Duration::from_secs(1);

fn rule() -> Retry {
    Retry {
        name: "r".into(),
        attempts: 3,
        budget: Percent(20),
        backoff_ms: Millis(1_000),
    }
}

/// A rental is charged, the connection breaks before the answer, and the entry sends the request
/// to another target: the viewer is charged twice. Only a proof that it did not run allows that.
#[test]
fn unknown_fate_is_final_unless_repeatable() {
    assert!(!again(&rule(), 1, false, Outcome::Unknown, LEFT));
    assert!(again(&rule(), 1, true, Outcome::Unknown, LEFT));
    assert!(again(&rule(), 1, false, Outcome::NotRun, LEFT));
}

#[test]
fn attempts_and_deadline_bound_retries() {
    assert!(!again(&rule(), 3, true, Outcome::NotRun, LEFT));
    assert!(!again(&rule(), 1, true, Outcome::NotRun, Duration::ZERO));
    assert!(!again(&rule(), 1, true, Outcome::Answered, LEFT));
    assert_eq!(backoff(&rule(), LEFT, 1.0), LEFT / 4);
}

#[test]
fn budget_is_a_share_of_requests() {
    let budget = Budget::default();
    while budget.withdraw(Percent(20)) {}
    for _ in 0..100 {
        budget.deposit_share(Percent(20));
    }
    let granted = (0..100).filter(|_| budget.withdraw(Percent(20))).count();
    assert_eq!(granted, 20);
    assert!(!Budget::default().withdraw(Percent(0)));
}

/// A service refuses half of its requests. Lookups, five times as many as bookings, take every
/// retry as it is earned, and bookings are given up. They have to find one.
#[test]
fn urgent_ones_find_a_retry() {
    let budget = Budget::with_reserve(2);
    let (mut urgent, mut others) = (0, 0);
    for request in 0..1_000 {
        budget.deposit_share(Percent(9));
        let rank = Priority(u8::from(request % 6 != 0));
        let granted = u32::from(budget.withdraw_for(Percent(9), rank));
        if rank == Priority(0) {
            urgent += granted;
        } else {
            others += granted;
        }
    }
    assert!(urgent >= 60, "{urgent} of 167 bookings, {others} lookups");
    assert!(urgent + others <= 92, "the budget holds");
}

proptest! {
    #![proptest_config(fixed(200))]

    /// Forty daemons of a fleet all meet a failing service at the same moment. Each has saved up
    /// something, and together they must not repeat more than operators allow beside the ratio.
    #[test]
    fn fleet_keeps_to_its_reserve(
        daemons in 1_usize..60,
        reserve in 10_u32..100,
        requests in 0_u32..40,
    ) {
        let share = Percent(9);
        let mut granted = 0_u32;
        for _ in 0..daemons {
            let budget = Budget::with_reserve(20);
            budget.share_reserve(reserve, daemons);
            while budget.withdraw(share) {
                granted += 1;
            }
            for _ in 0..requests {
                budget.deposit_share(share);
                granted += u32::from(budget.withdraw(share));
            }
        }
        let fleet = u32::try_from(daemons).expect("few");
        let allowed = reserve.max(fleet) + fleet * requests * 9 / 100 + 1;
        prop_assert!(granted <= allowed, "{granted} of {allowed}");
    }
}

#[test]
fn only_proofs_are_called_not_run() {
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

/// A read breaks off at its first target and the second refuses it. "Not run" would be a lie.
#[test]
fn doubt_is_not_lost_in_later_attempts() {
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
