//! Expected latency of an upstream.

use std::time::{Duration, Instant};

use jackdawpulley::calls::latency::{Baseline, Outstanding, Profile};
use jackdawpulley::calls::pick::{Cost, cheapest};
use rand::SeedableRng;
use rand::rngs::SmallRng;

const SLOTS: u32 = 18;
const NONE: Outstanding = Outstanding {
    count: 0,
    mean_age: Duration::ZERO,
};

fn baseline() -> Baseline {
    let mut baseline = Baseline::default();
    for _ in 0..100 {
        baseline.record(Duration::from_millis(160), 1.0, 5_000);
    }
    baseline
}

/// Guards against requests that come late from a target five times slower than the others: it must be
/// avoided within about thirty responses, and get its share back after it has recovered.
#[test]
fn slowdown_is_detected_and_forgotten() {
    let (now, baseline) = (Instant::now(), baseline());
    let (mut slow, healthy) = (Profile::new(now), Profile::new(now));
    for _ in 0..30 {
        slow.record_response(now, Duration::from_millis(800), &baseline);
    }
    let expected = |profile: &Profile, at| profile.expected_ms(at, NONE, SLOTS, &baseline);
    assert!(expected(&slow, now) > 3.0 * expected(&healthy, now));
    let later = now + Duration::from_secs(15);
    assert!(expected(&slow, later) < 1.1 * expected(&healthy, later));
}

/// Guards against a target that refuses half of its requests immediately: if failing fast made it
/// look fast, it would draw more requests and their retries would use up the retry budget.
#[test]
fn fast_failures_attract_no_requests() {
    let (now, baseline) = (Instant::now(), baseline());
    let (mut failing, healthy) = (Profile::new(now), Profile::new(now));
    for _ in 0..30 {
        failing.record_response(now, Duration::from_millis(160), &baseline);
        failing.record_failure(now);
    }
    let cost = |profile: &Profile| profile.expected_ms(now, NONE, SLOTS, &baseline);
    assert!(cost(&failing) > 1.7 * cost(&healthy));
}

/// Guards against a target that becomes twelve times slower: its first slow response takes two
/// seconds, and until then only the age of outstanding requests shows the slowdown.
#[test]
fn outstanding_age_counts_before_responses() {
    let (now, baseline) = (Instant::now(), baseline());
    let profile = Profile::new(now);
    let expected = |count, age_ms| {
        let own = Outstanding {
            count,
            mean_age: Duration::from_millis(age_ms),
        };
        profile.expected_ms(now, own, SLOTS, &baseline)
    };
    assert!(expected(6, 800) > 3.0 * expected(6, 100));
    assert!(
        expected(1, 400) < 1.5 * expected(1, 100),
        "a single request may just be long"
    );
}

#[test]
fn overloaded_upstream_is_expected_to_wait() {
    let (now, baseline) = (Instant::now(), baseline());
    let mut profile = Profile::new(now);
    profile.record_load(now, 2 * SLOTS, 0);
    let busy = profile.expected_ms(now, NONE, SLOTS, &baseline);
    assert!(busy > 2.0 * baseline.processing_ms);
    let later = now + Duration::from_secs(5);
    assert!(profile.expected_ms(later, NONE, SLOTS, &baseline) < 1.1 * baseline.processing_ms);
}

#[test]
fn ejected_is_chosen_only_without_alternative() {
    let mut rng = SmallRng::seed_from_u64(1);
    let ejected = Cost {
        ms: 1.0,
        held: false,
        ejected: true,
    };
    let healthy = Cost {
        ms: 500.0,
        held: false,
        ejected: false,
    };
    let held = Cost {
        ms: 10.0,
        held: true,
        ..healthy
    };
    assert_eq!(cheapest(&[ejected, healthy], &mut rng), Some(1));
    assert_eq!(cheapest(&[held, healthy], &mut rng), Some(1));
    assert_eq!(cheapest(&[ejected, held], &mut rng), Some(1));
    assert_eq!(cheapest(&[ejected], &mut rng), Some(0));
    assert_eq!(cheapest(&[], &mut rng), None);
}
