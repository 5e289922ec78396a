//! Choice and ejection of upstreams.

mod common;

use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::calls::pick::{
    Candidate, Detector, Policy, Standing, choose, sample, slow_start_share,
};
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
        prop::bool::weighted(0.2),
        prop::bool::weighted(0.3),
    )
        .prop_map(|(local, load, slots, share, held, ejected)| Candidate {
            local,
            load,
            slots,
            share,
            held,
            ejected,
        })
}

proptest! {
    #![proptest_config(deterministic_config(500))]

    #[test]
    fn best_tier_is_preferred(all in prop::collection::vec(candidate(), 1..12), seed: u64) {
        let mut rng = SmallRng::seed_from_u64(seed);
        let chosen = all[choose(Policy::TwoChoices, &all, &mut rng).expect("there are candidates")];
        let room = |c: &Candidate| !c.ejected && !c.held && c.load < c.slots;
        if all.iter().any(|c| room(c) && c.local) {
            prop_assert!(room(&chosen) && chosen.local);
        } else if all.iter().any(room) {
            prop_assert!(room(&chosen));
        } else if all.iter().any(|c| !c.ejected && !c.held) {
            prop_assert!(!chosen.ejected && !chosen.held);
        } else if all.iter().any(|c| !c.ejected) {
            prop_assert!(!chosen.ejected);
        }
    }

    /// Guards against refusing callers of a healthy group: if a fault that is not the targets' own
    /// fails every call, all targets would be ejected one after the other without a maximum share.
    #[test]
    fn group_is_never_fully_ejected(total in 1_usize..12, failing in prop::collection::vec(0_usize..12, 0..200)) {
        let rule = Ejection { failures: 2, base_ms: Millis(1_000), max_share: Percent(50) };
        let now = Instant::now();
        let mut all = vec![Detector::default(); total];
        for index in failing {
            let ejected = all.iter().filter(|detector| detector.ejected(now)).count();
            all[index % total].record_failure(now, &rule, ejected, total);
        }
        let ejected = all.iter().filter(|detector| detector.ejected(now)).count();
        prop_assert!(ejected * 2 <= total && ejected < total);
    }
}

#[test]
fn no_candidate_gives_no_choice() {
    let mut rng = SmallRng::seed_from_u64(1);
    assert_eq!(choose(Policy::TwoChoices, &[], &mut rng), None);
    assert_eq!(choose(Policy::Random, &[], &mut rng), None);
}

#[test]
fn share_grows_during_slow_start() {
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
    let first = detector.ejected_until.expect("it is ejected") - now;
    let later = now + first;
    assert!(!detector.ejected(later));
    detector.record_failure(later, &rule, 0, 4);
    assert_eq!(
        detector.ejected_until.expect("it is ejected") - later,
        2 * first
    );
}

/// Guards against sending every call to a daemon that is stopping: it refuses them until the
/// membership update has spread. It must be tried again a moment later.
#[test]
fn unavailable_upstream_is_ejected_briefly() {
    let now = Instant::now();
    let mut detector = Detector::default();
    detector.record_unavailable(now);
    assert!(detector.ejected(now));
    assert!(!detector.ejected(now + Duration::from_secs(1)));
    assert_eq!(
        detector.ejections, 0,
        "it does not count as an ejection for failures"
    );
}

/// Guards against a choice that takes time in proportion to the fleet, against targets that no daemon would ever
/// choose, and against leaving out the few that are known to be fast.
#[test]
fn sample_does_not_grow() {
    let mut rng = SmallRng::seed_from_u64(3);
    let standing = |index: usize| match index % 60 {
        0 => Standing::Known,
        1..=10 => Standing::Local,
        _ => Standing::Remote,
    };
    let sizes = [800, 1_600].map(|upstreams| {
        let standings: Vec<Standing> = (0..upstreams).map(standing).collect();
        let mut drawn = vec![0_u32; upstreams];
        for _ in 0..2_000 {
            for index in sample(&standings, &mut rng) {
                drawn[index] += 1;
            }
        }
        assert!(drawn.iter().all(|count| *count > 0), "{drawn:?}");
        let known = drawn.iter().step_by(60);
        assert!(known.into_iter().all(|count| *count == 2_000), "{drawn:?}");
        sample(&standings, &mut rng).len()
    });
    assert!(sizes.iter().all(|size| *size <= 128), "{sizes:?}");
    let few = [Standing::Local, Standing::Known, Standing::Remote];
    assert_eq!(sample(&few, &mut rng).len(), 3, "all of a few");
}
