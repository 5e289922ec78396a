//! Detection of nested routes, which only targets call.

use jackdawpulley::calls::nesting::Detector;
use jackdawpulley::units::Service;
use proptest::prelude::*;

const SHELF: &str = "shelf";
const TILL: &str = "till";
const DESK: &str = "desk";

fn fleet() -> Vec<(Service, usize)> {
    vec![(DESK.into(), 3), (SHELF.into(), 5), (TILL.into(), 3)]
}

/// Number of requests from hosts of `from` alone after which their route counts as nested.
fn detected_after(from: &str) -> Option<usize> {
    let mut detector = Detector::default();
    let from = Service::from(from);
    (1..1_000).find(|_| detector.record("lookup", &from, &fleet()))
}

/// A route that only targets of one service call is detected within a second under high load.
#[test]
fn nested_route_is_detected() {
    let after = detected_after(SHELF).expect("it is detected");
    assert!((40..60).contains(&after), "{after}");
}

/// A route called from hosts of all services is not nested, even if a single host sends none for a
/// while.
#[test]
fn route_of_callers_is_not_nested() {
    let mut detector = Detector::default();
    for number in 0..5_000 {
        let from = [SHELF, SHELF, TILL, SHELF, DESK][number % 5];
        assert!(!detector.record("list", &from.into(), &fleet()), "{number}");
    }
}

/// With one service there is nothing to compare with, and no route is nested.
#[test]
fn single_service_has_no_nested_routes() {
    let mut detector = Detector::default();
    let fleet = [(Service::from(SHELF), 9)];
    assert!((0..500).all(|_| !detector.record("list", &SHELF.into(), &fleet)));
}

/// A nested route that is opened to callers soon stops counting as nested.
#[test]
fn opened_route_is_reclassified() {
    let mut detector = Detector::default();
    for _ in 0..900 {
        detector.record("lookup", &SHELF.into(), &fleet());
    }
    let until = (0..500).find(|number| {
        let from = [SHELF, TILL, DESK][number % 3];
        !detector.record("lookup", &from.into(), &fleet())
    });
    assert!(until.is_some_and(|until| until < 40), "{until:?}");
}

proptest! {
    /// In whatever order callers' requests arrive, their route is not nested while the hosts of each
    /// service send at least half of their share.
    #[test]
    fn order_does_not_matter(order in Just((0..330).collect::<Vec<usize>>()).prop_shuffle()) {
        let mut detector = Detector::default();
        for number in order {
            let from = match number % 11 {
                0..5 => SHELF,
                5..8 => TILL,
                _ => DESK,
            };
            prop_assert!(!detector.record("list", &from.into(), &fleet()));
        }
    }
}
