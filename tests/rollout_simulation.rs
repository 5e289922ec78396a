//! Simulated rollouts in virtual time: exposure to bad revisions, and reliability of the verdicts.
//!
//! A fleet is modelled by the reports that its sidecars would send in each tick. All decisions are made by
//! the product's own code: analysis, test and decision.
#![expect(
    clippy::cast_precision_loss,
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few thousand requests"
)]

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawpulley::rollout::analysis::Analysis;
use jackdawpulley::rollout::counters::{Counters, Outcome, Report, RouteId};
use jackdawpulley::rollout::decision::decide;
use jackdawpulley::rollout::observed::{ExposureLimits, Observed};
use jackdawpulley::rollout::plan::Step;
use jackdawpulley::rollout::significance::Test;
use jackdawpulley::units::{Revision, Service};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

/// Interval between ticks, and between ticks during the promotion.
const TICKS: [Duration; 2] = [Duration::from_millis(250), Duration::from_millis(100)];
const LIMITS: ExposureLimits = ExposureLimits {
    share: 0.1,
    slack: 50,
};
/// The user requirement `rollback-s`.
const ROLLBACK_TIME: Duration = Duration::from_secs(5);
/// Number of bad answers from which that time counts.
const BAD_ANSWERS: usize = 50;
/// Requests per second for each old target.
const RATE: f64 = 30.0;
/// Sidecars of the old revision that report.
const OLD_REPORTERS: usize = 16;
/// Time after the order at which the new targets are warm.
const WARM_UP: Duration = Duration::from_secs(3);
/// Share of failures among the answers of any revision.
const BASE_FAILURE_SHARE: f64 = 0.002;

/// When a bad revision has its fault.
#[derive(Debug, Clone, Copy, PartialEq)]
enum Onset {
    Never,
    AtOnce,
    Late(Duration),
    Loaded,
    OneRoute,
}

#[derive(Debug, Clone, Copy)]
struct Case {
    /// Number of old targets, and of new ones.
    targets: usize,
    onset: Onset,
    /// Share of its answers that are bad during the fault.
    share: f64,
    /// Whether bad answers are slow; otherwise they are failures.
    slow: bool,
    duration: Duration,
}

#[derive(Debug, Clone, Copy, Default)]
struct Result {
    exposed: f64,
    allowed: f64,
    completed: bool,
    /// Time from the fiftieth bad answer to the last request.
    after_fiftieth: Duration,
    /// Time from the order to the verdict.
    took: Duration,
}

struct Fleet {
    rng: SmallRng,
    case: Case,
    counters: Vec<(SocketAddr, bool, Counters)>,
}

fn peer(number: usize) -> SocketAddr {
    let [_, _, a, b] = u32::try_from(number).expect("a few").to_be_bytes();
    SocketAddr::from(([127, 0, a, b], 1))
}

impl Fleet {
    fn new(case: Case, seed: u64) -> Self {
        let old = (0..case.targets.min(OLD_REPORTERS)).map(|number| (peer(number), false));
        let new = (0..case.targets).map(|number| (peer(10_000 + number), true));
        let sidecars = old.chain(new);
        let counters = sidecars
            .map(|(peer, new)| (peer, new, Counters::new(1)))
            .collect();
        Self {
            rng: SmallRng::seed_from_u64(seed),
            case,
            counters,
        }
    }

    /// Random number of requests with the given mean.
    fn random_count(&mut self, mean: f64) -> usize {
        let whole = mean.floor();
        let rest = usize::from(self.rng.random_bool((mean - whole).clamp(0.0, 1.0)));
        let spread = self.rng.random_range(0.8..1.2);
        ((whole * spread).round() as usize) + rest
    }

    /// Random outcome: half to one and a half times the usual time, with a tail.
    fn outcome(&mut self, bad: bool) -> Outcome {
        if bad && !self.case.slow || self.rng.random_bool(BASE_FAILURE_SHARE) {
            return Outcome::Failed;
        }
        let mut ms = 200.0 * self.rng.random_range(0.5..1.5_f64);
        if self.rng.random_bool(0.02) {
            ms *= 4.0;
        }
        if bad {
            ms *= 5.0;
        }
        Outcome::Answered(Duration::from_secs_f64(ms / 1_000.0))
    }

    /// Simulates a tick at a sidecar; returns the number of requests and of bad answers.
    fn simulate(
        &mut self,
        sidecar: usize,
        mean: f64,
        age: Duration,
        tick: Duration,
    ) -> (usize, usize) {
        let count = self.random_count(mean);
        let new = self.counters[sidecar].1;
        let mut bad_answers = 0;
        for _ in 0..count {
            let first = self.rng.random_bool(0.6);
            let case = self.case;
            let on = new
                && match case.onset {
                    Onset::Never => false,
                    Onset::AtOnce => true,
                    Onset::Late(after) => age >= after,
                    Onset::Loaded => mean >= RATE * tick.as_secs_f64() * 0.8,
                    Onset::OneRoute => !first,
                };
            let bad = on && self.rng.random_bool(case.share);
            bad_answers += usize::from(bad);
            let outcome = self.outcome(bad);
            let counter = &mut self.counters[sidecar].2;
            counter.requests += 1;
            counter.add(RouteId::of(if first { "a" } else { "b" }), outcome);
        }
        (count, bad_answers)
    }

    fn report(&self, sidecar: usize, step: Step, age: Duration) -> Report {
        let (_, new, counter) = &self.counters[sidecar];
        Report {
            service: Service::from("shelf"),
            revision: Revision::from(if *new { "v2" } else { "v1" }),
            step,
            in_flight: 0,
            warm: age >= WARM_UP,
            in_flight_ages: Vec::new(),
            counters: counter.clone(),
        }
    }
}

/// Simulates an order until its verdict.
fn simulate(case: Case, test: Test, seed: u64) -> Result {
    let mut fleet = Fleet::new(case, seed);
    let mut analysis = Analysis::new(Revision::from("v2"));
    let start = Instant::now();
    let rate = RATE * case.targets as f64;
    let old_count = case.targets.min(OLD_REPORTERS);
    let (mut step, mut since, mut permille, mut chosen) = (Step::Waiting, Duration::ZERO, 0, 0);
    let mut result = Result {
        allowed: LIMITS.share * rate * case.duration.as_secs_f64() + 50.0,
        ..Result::default()
    };
    let mut bad_answers = 0;
    let mut fiftieth_at = None;
    let mut age = Duration::ZERO;
    while age < case.duration + ROLLBACK_TIME {
        // Requests of this tick follow the plan of the previous one, since plans take time to arrive.
        let share = f64::from(permille) / 1_000.0;
        let receivers = if chosen == 0 { case.targets } else { chosen };
        let is_promotion = matches!(step, Step::Ramp | Step::All);
        let tick = TICKS[usize::from(is_promotion)];
        let per_tick = rate * tick.as_secs_f64();
        for sidecar in 0..old_count + case.targets {
            let new = sidecar >= old_count;
            let mean = match (new, sidecar < old_count + receivers) {
                (false, _) => per_tick * (1.0 - share) / case.targets as f64,
                (true, true) => per_tick * share / receivers as f64,
                (true, false) => 0.0,
            };
            let (count, bad) = fleet.simulate(sidecar, mean, age, tick);
            if new && count > 0 {
                result.exposed += count as f64;
                bad_answers += bad;
                if let Some(then) = fiftieth_at {
                    result.after_fiftieth = age.saturating_sub(then);
                }
            }
            let report = fleet.report(sidecar, step, age);
            analysis.record(start + age, fleet.counters[sidecar].0, report);
        }
        analysis.start_tick();
        if bad_answers >= BAD_ANSWERS && fiftieth_at.is_none() {
            fiftieth_at = Some(age);
        }
        age += tick;
        let observed = Observed {
            duration: case.duration,
            age,
            step,
            in_step: age.saturating_sub(since),
            confirmed: true,
            warm: if age >= WARM_UP { case.targets } else { 0 },
            targets: case.targets,
            in_touch: true,
            per_second: (age >= Duration::from_secs(1)).then_some(rate),
            exposed: analysis.exposed(),
            answers: analysis.answers(),
            bad: analysis.find_regression(test, case.targets).is_some(),
            doubtful: analysis.is_doubtful(test, case.targets),
            // Requests in flight end within a second.
            drained: step == Step::All && age.saturating_sub(since) >= Duration::from_secs(1),
        };
        let decision = decide(&LIMITS, &observed);
        if decision.complete || decision.step == Step::Back && step != Step::Back {
            result.took = age;
        }
        if decision.complete {
            result.completed = true;
            return result;
        }
        if decision.step != step {
            since = age;
        }
        (step, permille, chosen) = (decision.step, decision.permille, decision.targets);
    }
    result
}

const SEEDS: u64 = 20;

fn cases(targets: usize) -> Vec<Case> {
    let good = Case {
        targets,
        onset: Onset::Never,
        share: 0.0,
        slow: false,
        duration: Duration::from_secs(12),
    };
    let onsets = [
        Onset::AtOnce,
        Onset::Late(Duration::from_secs(6)),
        Onset::Loaded,
        Onset::OneRoute,
    ];
    let bad = onsets.into_iter().flat_map(|onset| {
        // If a tenth of the answers fails, four targets show six bad answers within the canary's exposure:
        // too few to require a verdict.
        let rare = (targets > 4).then_some((0.1, false));
        let often = [(0.3, false), (0.6, true)];
        often
            .into_iter()
            .chain(rare)
            .map(move |(share, slow)| Case {
                onset,
                share,
                slow,
                ..good
            })
    });
    std::iter::once(good).chain(bad).collect()
}

/// Results of a case for all seeds.
fn verdicts(case: Case, test: Test) -> Vec<Result> {
    (0..SEEDS).map(|seed| simulate(case, test, seed)).collect()
}

/// For a fleet of one size: no bad revision exceeds the allowed exposure or completes, and no good one is
/// rolled back.
fn check_fleet(targets: usize) {
    for case in cases(targets) {
        let results = verdicts(case, Test::default());
        let worst = results
            .iter()
            .map(|r| r.exposed / r.allowed)
            .fold(0.0, f64::max);
        let late = results
            .iter()
            .map(|r| r.after_fiftieth)
            .max()
            .unwrap_or_default();
        let completed = results.iter().filter(|r| r.completed).count();
        let took = results.iter().map(|r| r.took).max().unwrap_or_default();
        println!(
            "{targets} targets, {:?} {} {}: exposed at most {worst:.2} of what is allowed, last request {late:?} \
             after the 50th bad answer, {completed} of {SEEDS} completed, {took:?} at most",
            case.onset,
            case.share,
            if case.slow { "slow" } else { "failing" },
        );
        if case.onset == Onset::Never {
            assert_eq!(completed as u64, SEEDS, "good ones complete");
            assert!(took <= case.duration);
        } else {
            assert_eq!(completed, 0, "{case:?}");
            assert!(worst <= 1.0, "{case:?}");
            assert!(late <= ROLLBACK_TIME, "{case:?}");
        }
    }
}

#[test]
fn four_targets() {
    check_fleet(4);
}

#[test]
fn thirty_targets() {
    check_fleet(30);
}

#[test]
fn many_targets() {
    check_fleet(150);
}

/// Compares the sequential test with the threshold test on the same seeds: no more bad revisions and no fewer
/// good ones complete.
#[test]
fn sequential_test_is_no_worse() {
    for targets in [4, 30] {
        for case in cases(targets) {
            let [sequential, threshold] = [Test::Sequential, Test::Threshold].map(|test| {
                let results = verdicts(case, test);
                let completed = results.iter().filter(|r| r.completed).count();
                let exposed: f64 = results.iter().map(|r| r.exposed / r.allowed).sum();
                (completed, exposed / SEEDS as f64)
            });
            println!(
                "{targets} targets, {:?} {} slow {}: completed and mean exposure {sequential:?} sequential, \
                 {threshold:?} threshold",
                case.onset, case.share, case.slow
            );
            if case.onset == Onset::Never {
                assert!(sequential.0 >= threshold.0);
            } else {
                assert!(sequential.0 <= threshold.0);
            }
        }
    }
}
