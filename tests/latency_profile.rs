//! What is expected of an upstream.

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

fn typical() -> Baseline {
    let mut typical = Baseline::default();
    for _ in 0..100 {
        typical.record(Duration::from_millis(160), 1.0, 5_000);
    }
    typical
}

/// A target turns five times slower for some seconds. Requests that go on landing there miss
/// their time although the others are well: within some thirty answers it has to be avoided, and
/// when it is well again it must get its part back.
#[test]
fn slow_spell_is_noticed_and_forgotten() {
    let (now, typical) = (Instant::now(), typical());
    let (mut slow, well) = (Profile::new(now), Profile::new(now));
    for _ in 0..30 {
        slow.record_response(now, Duration::from_millis(800), &typical);
    }
    let full = |pace: &Profile, at| pace.expected_ms(at, NONE, SLOTS, &typical);
    assert!(full(&slow, now) > 3.0 * full(&well, now));
    let later = now + Duration::from_secs(15);
    assert!(full(&slow, later) < 1.1 * full(&well, later));
}

/// A target refuses half of its requests at once. Being quick with that must not draw more work
/// to it, or the refusals use up the budget of retries.
#[test]
fn quick_refusals_attract_nothing() {
    let (now, typical) = (Instant::now(), typical());
    let (mut grey, well) = (Profile::new(now), Profile::new(now));
    for _ in 0..30 {
        grey.record_response(now, Duration::from_millis(160), &typical);
        grey.record_failure(now);
    }
    let cost = |pace: &Profile| pace.expected_ms(now, NONE, SLOTS, &typical);
    assert!(cost(&grey) > 1.7 * cost(&well));
}

/// A target turns twelve times slower. Its first slow answer comes after two seconds; until then
/// whatever was learnt says that it is quick. That nothing comes back has to count.
#[test]
fn silence_counts_before_answers() {
    let (now, typical) = (Instant::now(), typical());
    let pace = Profile::new(now);
    let expected = |count, age_ms| {
        let own = Outstanding {
            count,
            mean_age: Duration::from_millis(age_ms),
        };
        pace.expected_ms(now, own, SLOTS, &typical)
    };
    assert!(expected(6, 800) > 3.0 * expected(6, 100));
    assert!(
        expected(1, 400) < 1.5 * expected(1, 100),
        "one may just be long"
    );
}

#[test]
fn full_upstream_is_expected_to_wait() {
    let (now, typical) = (Instant::now(), typical());
    let mut pace = Profile::new(now);
    pace.record_load(now, 2 * SLOTS, 0);
    let busy = pace.expected_ms(now, NONE, SLOTS, &typical);
    assert!(busy > 2.0 * typical.processing_ms);
    let later = now + Duration::from_secs(5);
    assert!(pace.expected_ms(later, NONE, SLOTS, &typical) < 1.1 * typical.processing_ms);
}

#[test]
fn ejected_is_chosen_only_alone() {
    let mut rng = SmallRng::seed_from_u64(1);
    let out = Cost {
        ms: 1.0,
        ejected: true,
    };
    let well = Cost {
        ms: 500.0,
        ejected: false,
    };
    assert_eq!(cheapest(&[out, well], &mut rng), Some(1));
    assert_eq!(cheapest(&[out], &mut rng), Some(0));
    assert_eq!(cheapest(&[], &mut rng), None);
}
