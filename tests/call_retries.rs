//! Retry rules, retry budgets and the outcomes that allow a retry.

mod common;

use std::time::Duration;

use common::fixed;
use jackdawpulley::calls::outcome::{Outcome, Reason};
use jackdawpulley::calls::retry::{Budget, backoff, is_allowed};
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
    let budget = Budget::default();
    while budget.withdraw(Percent(20)) {}
    for _ in 0..100 {
        budget.deposit_share(Percent(20));
    }
    let granted = (0..100).filter(|_| budget.withdraw(Percent(20))).count();
    assert_eq!(granted, 20);
    assert!(!Budget::default().withdraw(Percent(0)));
}

/// Guards against urgent requests without a retry: a service refuses half of its requests, and
/// five times as many of lower priority would take every retry as soon as it is paid for.
#[test]
fn urgent_requests_get_retries() {
    let budget = Budget::with_reserve(2);
    let (mut urgent, mut others) = (0, 0);
    for request in 0..1_000 {
        budget.deposit_share(Percent(9));
        let priority = Priority(u8::from(request % 6 != 0));
        let granted = u32::from(budget.withdraw_for(Percent(9), priority));
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

proptest! {
    #![proptest_config(fixed(200))]

    /// Guards against a retry storm: all daemons, forty for instance, meet a failing service at the
    /// same moment, and together must not exceed the shared reserve plus their share of requests.
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
