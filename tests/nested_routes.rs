//! Telling routes that only targets call from those of callers.

use jackdawpulley::calls::nesting::Detector;
use jackdawpulley::units::Service;
use proptest::prelude::*;

const SHELF: &str = "shelf";
const TILL: &str = "till";
const DESK: &str = "desk";

fn fleet() -> Vec<(Service, usize)> {
    vec![(DESK.into(), 3), (SHELF.into(), 5), (TILL.into(), 3)]
}

/// Requests until a route counts as nested that only hosts of `from` send.
fn learnt_after(from: &str) -> Option<usize> {
    let mut origins = Detector::default();
    let from = Service::from(from);
    (1..1_000).find(|_| origins.record("lookup", &from, &fleet()))
}

/// A route that the targets of one service call shows itself within a second of a busy day.
#[test]
fn nested_is_learnt() {
    let after = learnt_after(SHELF).expect("it is learnt");
    assert!((40..60).contains(&after), "{after}");
}

/// A route that is called from everywhere, though a lone host has none for a while, is a caller's.
#[test]
fn callers_come_from_everywhere() {
    let mut origins = Detector::default();
    for number in 0..5_000 {
        let from = [SHELF, SHELF, TILL, SHELF, DESK][number % 5];
        assert!(!origins.record("list", &from.into(), &fleet()), "{number}");
    }
}

/// A mesh of one service has nothing to compare with, and nobody is taken for a target.
#[test]
fn one_service_tells_nothing() {
    let mut origins = Detector::default();
    let fleet = [(Service::from(SHELF), 9)];
    assert!((0..500).all(|_| !origins.record("list", &SHELF.into(), &fleet)));
}

/// A route that targets alone called is opened to callers: it counts as theirs before long.
#[test]
fn opened_route_is_relearnt() {
    let mut origins = Detector::default();
    for _ in 0..900 {
        origins.record("lookup", &SHELF.into(), &fleet());
    }
    let until = (0..500).find(|number| {
        let from = [SHELF, TILL, DESK][number % 3];
        !origins.record("lookup", &from.into(), &fleet())
    });
    assert!(until.is_some_and(|until| until < 40), "{until:?}");
}

proptest! {
    /// Whatever the order in which callers' requests come, their route is not taken for a nested one
    /// while each service's hosts send at least half of their share.
    #[test]
    fn order_does_not_matter(order in Just((0..330).collect::<Vec<usize>>()).prop_shuffle()) {
        let mut origins = Detector::default();
        for number in order {
            let from = match number % 11 {
                0..5 => SHELF,
                5..8 => TILL,
                _ => DESK,
            };
            prop_assert!(!origins.record("list", &from.into(), &fleet()));
        }
    }
}
