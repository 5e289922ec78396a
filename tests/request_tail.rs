//! Longest time that requests of a route have taken lately.

use std::time::{Duration, Instant};

use jackdawpulley::calls::tail::Tail;

const SHORT: Duration = Duration::from_millis(50);
const LONG: Duration = Duration::from_secs(2);

/// A tail of `count` short requests.
fn tail(now: Instant, count: usize) -> Tail {
    let mut tail = Tail::new(now);
    (0..count).for_each(|_| tail.record(now, SHORT));
    tail
}

/// Guards against conclusions from a few requests.
#[test]
fn few_requests() {
    let now = Instant::now();
    assert_eq!(tail(now, 0).bound(now), None);
    assert_eq!(tail(now, 19).bound(now), None);
    assert_eq!(tail(now, 20).bound(now), Some(4 * SHORT));
}

/// Guards against a long request that is forgotten at once, or never.
#[test]
fn long_requests_fade() {
    let now = Instant::now();
    let at = |seconds| now + Duration::from_secs(seconds);
    let mut tail = tail(now, 20);
    tail.record(at(9), LONG);
    assert_eq!(tail.bound(at(9)), Some(4 * LONG));
    for second in 10..30 {
        (0..20).for_each(|_| tail.record(at(second), SHORT));
        let expected = if second < 20 { LONG } else { SHORT };
        assert_eq!(tail.bound(at(second)), Some(4 * expected), "{second}");
    }
    assert_eq!(tail.bound(at(60)), None, "no request for a while");
}
