//! Remembering that an upstream had no room.

use std::time::{Duration, Instant};

use jackdawpulley::refusal::Refusal;
use jackdawpulley::units::Priority;

const WAIT: Duration = Duration::from_millis(100);

/// Twelve entries ask nine full gates for each of 400 lists a second: 74,000 attempts were refused
/// within 45 seconds for 12,000 that were served, a third of them from another data centre.
#[test]
fn refused_ones_do_not_ask_again_at_once() {
    let at = Instant::now();
    let refusal = Refusal {
        at,
        priority: Priority(2),
        tolerance: WAIT,
    };
    assert!(refusal.covers(at, Priority(2), WAIT));
    assert!(
        refusal.covers(at, Priority(3), WAIT / 2),
        "it asks for no more"
    );
    let later = at + Duration::from_secs(1);
    assert!(!refusal.covers(later, Priority(2), WAIT));
}

/// A gate that is full for lists has room for a booking, which goes first, and for whoever waits
/// longer.
#[test]
fn others_still_ask() {
    let at = Instant::now();
    let refusal = Refusal {
        at,
        priority: Priority(2),
        tolerance: WAIT,
    };
    assert!(!refusal.covers(at, Priority(0), WAIT));
    assert!(!refusal.covers(at, Priority(2), 2 * WAIT));
}
