//! Rate limit of log lines with the number of members.

use std::time::{Duration, Instant};

use jackdawpulley::membership::member_count::Throttle;

/// Guards against a log line for each change: when three hundred daemons start within a second, every daemon would
/// log 300 lines; later a third of them restart in turn. At most one line a second is logged, and always the last
/// number.
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
