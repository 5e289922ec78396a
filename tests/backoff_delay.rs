//! Exponential backoff.

use std::time::Duration;

use jackdawpulley::backoff::Backoff;
use proptest::prelude::*;

const INITIAL: Duration = Duration::from_millis(200);
const MAX: Duration = Duration::from_secs(1);

/// Guards against a daemon that overloads a store by retries: the store refuses requests for eight
/// seconds. Retrying every tenth of a second would send eighty; with backoff it is a dozen, and the
/// next one comes within a second of the store's recovery.
#[test]
fn tries_become_less_frequent() {
    let mut backoff = Backoff::new(INITIAL, MAX);
    let mut at = Duration::ZERO;
    let mut tries = 0;
    while at < Duration::from_secs(8) {
        at += backoff.delay_with(0.5);
        tries += 1;
    }
    assert!((10..=13).contains(&tries), "{tries}");
    assert!(at < Duration::from_secs(9), "{at:?}");
}

proptest! {
    #[test]
    fn delays_stay_in_bounds(fractions in prop::collection::vec(0.0..1.0_f64, 1..100)) {
        let mut backoff = Backoff::new(INITIAL, MAX);
        let mut before = Duration::ZERO;
        for fraction in fractions {
            let delay = backoff.delay_with(fraction);
            prop_assert!(delay >= INITIAL / 2 && delay <= MAX, "{:?}", delay);
            prop_assert!(delay >= before / 2, "a delay is never less than half of the last");
            before = delay;
        }
    }
}
