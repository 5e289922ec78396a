//! Spacing of the rebuilds of the roster.

use std::time::{Duration, Instant};

use jackdawpulley::membership::rebuild::Spacing;

/// Rebuilds in a second in which a change arrives every millisecond.
fn rebuilds(members: usize) -> usize {
    let start = Instant::now();
    let mut spacing = Spacing::default();
    let mut count = 0;
    for ms in 0..1_000 {
        let now = start + Duration::from_millis(ms);
        if spacing.request(now, members).is_none() {
            spacing.record(now);
            count += 1;
        }
    }
    count
}

/// Guards against a daemon of a large fleet that spends its processor on rebuilding the roster while many members
/// change: the members that are copied in a second must not grow with the fleet.
#[test]
fn rebuilt_members_do_not_grow() {
    for members in [500, 1_000, 2_000, 4_000] {
        let rebuilt = members * rebuilds(members);
        assert!(rebuilt <= 10_000, "{rebuilt} of {members}");
        assert!(rebuilds(members) >= 2, "{members}");
    }
}

/// Guards against a first change that waits.
#[test]
fn first_change_is_taken_at_once() {
    let now = Instant::now();
    let mut spacing = Spacing::default();
    assert_eq!(spacing.request(now, 4_000), None);
    spacing.record(now);
    let due = spacing.request(now, 4_000).expect("too soon");
    assert!(due <= now + Duration::from_secs(1));
    assert_eq!(spacing.request(due, 4_000), None);
}
