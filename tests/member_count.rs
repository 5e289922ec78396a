//! Lines about the number of members.

use std::time::{Duration, Instant};

use jackdawpulley::membership::member_count::Throttle;

/// Three hundred daemons start within a second, later a third of them restart in turn. Each change was
/// a line at every daemon, 300 in the first second; now there is a line a second at most, and the last
/// number is always said.
#[test]
fn count_changes_are_rate_limited() {
    let start = Instant::now();
    let mut throttle = Throttle::default();
    let mut lines = Vec::new();
    let changes = (1..=300).chain((200..300).rev()).chain(201..=300);
    for (tick, members) in (0_u64..).zip(changes) {
        let now = start + Duration::from_millis(tick * 4);
        lines.extend(throttle.due(now, members).map(|_| (now, members)));
    }
    assert!(lines.len() <= 2, "in two seconds: {lines:?}");
    let later = start + Duration::from_secs(10);
    assert!(throttle.due(later, 300).is_some());
    assert!(throttle.due(later + Duration::from_secs(10), 300).is_none());
}
