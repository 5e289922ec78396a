//! Absence of the target at the start of its daemon.

use std::time::{Duration, Instant};

use jackdawpulley::membership::absence::Absence;

const LIMIT: Duration = Duration::from_secs(5);

/// Guards against a daemon that stays unready for longer than a stop may take.
#[test]
fn absence_expires() {
    let (began, absence) = (Instant::now(), Absence::default());
    assert_eq!(absence.remaining(began), None);
    absence.begin(began, LIMIT);
    assert_eq!(absence.remaining(began + LIMIT / 2), Some(LIMIT / 2));
    assert_eq!(absence.remaining(began + LIMIT), None);
}

/// Guards against a target that announces itself and leaves its daemon unready.
#[test]
fn found_target_counts() {
    let (began, absence) = (Instant::now(), Absence::default());
    absence.begin(began, LIMIT);
    absence.end();
    assert_eq!(absence.remaining(began), None);
}
