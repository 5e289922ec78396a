//! Choosing and ejecting upstreams.

mod common;

use std::time::{Duration, Instant};

use common::fixed;
use jackdawpulley::calls::pick::{Candidate, Detector, Policy, choose, slow_start_share};
use jackdawpulley::configuration::document::Ejection;
use jackdawpulley::units::{Millis, Percent};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

fn candidate() -> impl Strategy<Value = Candidate> {
    (
        any::<bool>(),
        0_u32..30,
        1_u32..30,
        0.1_f64..1.0,
        prop::bool::weighted(0.3),
    )
        .prop_map(|(local, load, slots, share, ejected)| Candidate {
            local,
            load,
            slots,
            share,
            ejected,
        })
}

proptest! {
    #![proptest_config(fixed(500))]

    #[test]
    fn best_tier_is_kept_to(all in prop::collection::vec(candidate(), 1..12), seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chosen = all[choose(Policy::TwoChoices, &all, &mut rng).expect("there is one")];
        let room = |c: &Candidate| !c.ejected && c.load < c.slots;
        if all.iter().any(|c| room(c) && c.local) {
            prop_assert!(room(&chosen) && chosen.local);
        } else if all.iter().any(room) {
            prop_assert!(room(&chosen));
        } else if all.iter().any(|c| !c.ejected) {
            prop_assert!(!chosen.ejected);
        }
    }

    /// A fault that is not the targets' makes every call fail. Without the ceiling each target is
    /// ejected in turn and callers are refused by a group that is well.
    #[test]
    fn group_is_never_emptied(total in 1_usize..12, blamed in prop::collection::vec(0_usize..12, 0..200)) {
        let rule = Ejection { failures: 2, base_ms: Millis(1_000), max_share: Percent(50) };
        let now = Instant::now();
        let mut all = vec![Detector::default(); total];
        for index in blamed {
            let ejected = all.iter().filter(|detector| detector.ejected(now)).count();
            all[index % total].record_failure(now, &rule, ejected, total);
        }
        let ejected = all.iter().filter(|detector| detector.ejected(now)).count();
        prop_assert!(ejected * 2 <= total && ejected < total);
    }
}

#[test]
fn nobody_is_chosen_from_nobody() {
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(choose(Policy::TwoChoices, &[], &mut rng), None);
    assert_eq!(choose(Policy::Random, &[], &mut rng), None);
}

#[test]
fn newcomer_gets_a_growing_share() {
    let ramp = Duration::from_secs(10);
    let shares: Vec<f64> = [0, 5, 10]
        .map(|s| slow_start_share(Duration::from_secs(s), ramp))
        .to_vec();
    assert!(shares[0] > 0.0 && shares[0] < shares[1] && shares[1] < shares[2]);
    assert!((shares[2] - 1.0).abs() < f64::EPSILON);
}

#[test]
fn ejection_ends_and_grows() {
    let rule = Ejection {
        failures: 1,
        base_ms: Millis(100),
        max_share: Percent(100),
    };
    let now = Instant::now();
    let mut detector = Detector::default();
    detector.record_failure(now, &rule, 0, 4);
    let first = detector.ejected_until.expect("it is out") - now;
    let later = now + first;
    assert!(!detector.ejected(later));
    detector.record_failure(later, &rule, 0, 4);
    assert_eq!(
        detector.ejected_until.expect("it is out") - later,
        2 * first
    );
}

/// A daemon that stops says so to the first call, and news of it take a while to spread. The next
/// calls must not all be sent there to hear the same; a moment later it is asked again.
#[test]
fn absent_one_is_left_alone() {
    let now = Instant::now();
    let mut detector = Detector::default();
    detector.record_unavailable(now);
    assert!(detector.ejected(now));
    assert!(!detector.ejected(now + Duration::from_secs(1)));
    assert_eq!(detector.ejections, 0, "it is not held against it");
}
