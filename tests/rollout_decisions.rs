//! Tests for rollouts: decisions, analysis, replicated state and routing rules.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::configuration::control_plane::Position;
use jackdawpulley::membership::member::{Health, Member, Offer, Stage};
use jackdawpulley::membership::roster::{Departed, Roster};
use jackdawpulley::rollout::analysis::Analysis;
use jackdawpulley::rollout::counters::{Counters, Outcome, Report, RouteId};
use jackdawpulley::rollout::decision::{Cause, decide};
use jackdawpulley::rollout::observed::{ExposureLimits, Observed};
use jackdawpulley::rollout::order::{Change, Fault, Order, Verdict};
use jackdawpulley::rollout::plan::{PLAN_TTL, Plan, Step};
use jackdawpulley::rollout::progress::{LocalProgress, Progress};
use jackdawpulley::rollout::rules::{Rule, Side};
use jackdawpulley::rollout::significance::Test;
use jackdawpulley::rollout::stable::Revisions;
use jackdawpulley::rollout::tracker::{Sidecars, Tracker};
use jackdawpulley::units::{
    DataCentre, Generation, Incarnation, Millis, Offset, Revision, Service, Slots,
};
use proptest::prelude::*;

const LIMITS: ExposureLimits = ExposureLimits {
    share: 0.1,
    slack: 50,
};
const NORMAL_TIME: Duration = Duration::from_millis(100);

fn order(revision: &str) -> Order {
    Order {
        service: Service::from("shelf"),
        revision: Revision::from(revision),
        duration: Millis(12_000),
    }
}

fn at(era: u64, offset: u64) -> Position {
    Position {
        generation: Generation(era),
        offset: Offset(offset),
    }
}

fn change(revision: &str, at: Position) -> Change {
    Change {
        position: at,
        service: Service::from("shelf"),
        order: Some(order(revision)),
    }
}

fn known(revision: &str) -> LocalProgress {
    LocalProgress::new(Instant::now(), Progress::new(order(revision), at(1, 5)))
}

fn peer(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 1))
}

/// A rollout in the given step that may advance.
fn observed(step: Step, age_ms: u64) -> Observed {
    Observed {
        duration: Duration::from_secs(12),
        age: Duration::from_millis(age_ms),
        step,
        in_step: Duration::from_secs(1),
        confirmed: true,
        warm: 8,
        targets: 8,
        in_touch: true,
        per_second: Some(200.0),
        answers: 100,
        ..Observed::default()
    }
}

#[test]
fn steps_follow_each_other() {
    assert_eq!(
        decide(&LIMITS, &observed(Step::Waiting, 3_000)).step,
        Step::Canary
    );
    assert_eq!(
        decide(&LIMITS, &observed(Step::Canary, 5_000)).step,
        Step::Canary
    );
    assert_eq!(
        decide(&LIMITS, &observed(Step::Canary, 9_000)).step,
        Step::Ramp
    );
    assert_eq!(
        decide(&LIMITS, &observed(Step::Ramp, 9_500)).step,
        Step::All
    );
    let all = observed(Step::All, 10_500);
    assert!(
        !decide(&LIMITS, &all).complete,
        "old targets have requests in flight"
    );
    let drained = Observed {
        drained: true,
        ..all
    };
    assert!(decide(&LIMITS, &drained).complete);
    assert_eq!(
        decide(&LIMITS, &observed(Step::All, 12_000)).cause,
        Cause::TimeIsUp
    );
}

/// Guards against rolling back a good revision because another daemon takes over shortly before the end of
/// the order.
#[test]
fn end_of_the_order_completes() {
    let late = Observed {
        in_step: Duration::from_millis(450),
        drained: true,
        ..observed(Step::All, 11_770)
    };
    let decision = decide(&LIMITS, &late);
    assert!(decision.complete, "{decision:?}");
    let early = Observed {
        age: Duration::from_millis(11_200),
        in_step: Duration::from_millis(450),
        ..late
    };
    assert!(
        !decide(&LIMITS, &early).complete,
        "there is time to observe"
    );
    let unseen = Observed {
        in_step: Duration::from_millis(100),
        ..late
    };
    assert!(
        !decide(&LIMITS, &unseen).complete,
        "nothing has been reported yet"
    );
}

/// Guards against rolling back a good revision for lack of answers because nobody coordinated for a while.
#[test]
fn few_answers_promote_late() {
    let few = Observed {
        duration: Duration::from_secs(9),
        answers: 15,
        per_second: Some(74.0),
        ..observed(Step::Canary, 6_000)
    };
    assert_eq!(decide(&LIMITS, &few).step, Step::Canary, "more may come");
    let late = Observed {
        age: Duration::from_millis(6_800),
        ..few
    };
    assert_eq!(decide(&LIMITS, &late).step, Step::Ramp);
    let none = Observed { answers: 3, ..late };
    assert_eq!(decide(&LIMITS, &none).step, Step::Canary);
    let over = Observed {
        age: Duration::from_millis(7_300),
        ..none
    };
    assert_eq!(decide(&LIMITS, &over).cause, Cause::TimeIsUp);
}

/// Guards against completing a doubtful revision.
#[test]
fn doubt_delays_promotion() {
    // 200 requests per second for 12 s: the limits allow 290.
    let ramp = Observed {
        doubtful: true,
        exposed: 100,
        ..observed(Step::Ramp, 9_500)
    };
    let decision = decide(&LIMITS, &ramp);
    assert_eq!(
        (decision.step, decision.cause),
        (Step::Ramp, Cause::InDoubt)
    );
    let spent = Observed {
        exposed: 200,
        ..ramp
    };
    assert_eq!(
        decide(&LIMITS, &spent).step,
        Step::All,
        "the exposure limit is reached"
    );
    let late = Observed {
        age: Duration::from_secs(11),
        ..ramp
    };
    assert_eq!(decide(&LIMITS, &late).step, Step::All);
}

/// Guards against exposing more requests to a doubtful revision than the limits allow, and against rolling it
/// back earlier than necessary.
#[test]
fn doubt_is_resolved() {
    let all = Observed {
        doubtful: true,
        drained: true,
        exposed: 200,
        ..observed(Step::All, 10_500)
    };
    assert_eq!(decide(&LIMITS, &all).cause, Cause::InDoubt);
    let spent = Observed {
        exposed: 280,
        ..all
    };
    assert_eq!(decide(&LIMITS, &spent).cause, Cause::Doubtful);
    assert_eq!(decide(&LIMITS, &spent).step, Step::Back);
    let over = Observed {
        age: Duration::from_millis(11_700),
        ..all
    };
    assert_eq!(decide(&LIMITS, &over).step, Step::Back);
    let cleared = Observed {
        doubtful: false,
        ..spent
    };
    assert!(decide(&LIMITS, &cleared).complete);
}

/// A coordinator that receives few reports, or does not know whether there is a verdict, must not advance the
/// rollout: on its side of a network partition it would do so whatever the others have found.
#[test]
fn isolated_daemon_does_not_advance() {
    for step in [Step::Waiting, Step::Canary, Step::Ramp, Step::All] {
        for age_ms in (0..12_000).step_by(250) {
            let unconfirmed = Observed {
                confirmed: false,
                drained: true,
                ..observed(step, age_ms)
            };
            let decision = decide(&LIMITS, &unconfirmed);
            assert!(
                decision.step <= step || decision.step == Step::Back,
                "{decision:?}"
            );
            assert!(!decision.complete);
            let alone = Observed {
                in_touch: false,
                drained: true,
                ..observed(step, age_ms)
            };
            let decision = decide(&LIMITS, &alone);
            let first = step == Step::Waiting && decision.step == Step::Canary;
            assert!(decision.step <= step || decision.step == Step::Back || first);
            assert!(!decision.complete);
        }
    }
}

/// With five requests per second, a share of them is next to nothing. The fixed number of allowed requests
/// still lets the revision be tried.
#[test]
fn few_requests_are_enough() {
    let rare = Observed {
        per_second: Some(5.0),
        ..observed(Step::Waiting, 3_000)
    };
    let decision = decide(&LIMITS, &rare);
    assert!(decision.permille >= 250, "{decision:?}");
    let spent = Observed {
        exposed: 30,
        ..rare
    };
    assert_eq!(decide(&LIMITS, &spent).permille, 0, "not spent twice");
}

#[test]
fn unanswered_revision_is_rolled_back() {
    let unanswered = Observed {
        answers: 0,
        ..observed(Step::Canary, 10_500)
    };
    let decision = decide(&LIMITS, &unanswered);
    assert_eq!(
        (decision.step, decision.cause),
        (Step::Back, Cause::TimeIsUp)
    );
}

proptest! {
    #![proptest_config(deterministic_config(2_000))]

    /// For any input: a rollback is final, a worse revision receives nothing, and the canary step leaves
    /// exposure for the promotion.
    #[test]
    fn decisions_are_bounded(
        step in 0..5_usize, age_ms in 0..15_000_u64, rate in 0.0..5_000.0_f64, exposed in 0..3_000_u64,
        answers in 0..3_000_u64, bad: bool, drained: bool, confirmed: bool, in_touch: bool, warm in 0..300_usize,
    ) {
        let step = [Step::Waiting, Step::Canary, Step::Ramp, Step::All, Step::Back][step];
        let observed = Observed {
            per_second: Some(rate), exposed, answers, bad, drained, confirmed, in_touch, warm,
            targets: warm, ..observed(step, age_ms)
        };
        let decision = decide(&LIMITS, &observed);
        if step == Step::Back || bad {
            prop_assert_eq!((decision.step, decision.permille, decision.complete), (Step::Back, 0, false));
        }
        if decision.step == Step::Canary {
            let requests = rate * 12.0;
            let spent = f64::from(decision.permille) / 1_000.0 * rate * 7.8;
            prop_assert!(spent <= (LIMITS.share * requests + 50.0) * 0.31 + 1.0, "{:?}", decision);
        }
        if decision.complete {
            prop_assert!(confirmed && in_touch && !bad && step == Step::All);
        }
    }
}

/// A daemon that is cut off during a rollout does not learn of a rollback. Without an expiry of plans it
/// would go on sending requests to the revision.
#[test]
fn plan_expires() {
    let mut known = known("v2");
    let plan = Plan {
        number: 1,
        step: Step::Canary,
        permille: 100,
        chosen: vec![peer(1)],
    };
    let now = Instant::now();
    known.apply_plan(now, &plan);
    let rule = Rule::of(&known);
    let new = Revision::from("v2");
    assert_eq!(rule.side(Some(&new), peer(1), now), Some(Side::New));
    assert_eq!(rule.side(Some(&new), peer(2), now), None, "not chosen");
    assert_eq!(rule.choose_side(0.05, 0, now), Side::New);
    assert_eq!(rule.choose_side(0.05, 1, now), Side::Old, "a retry");
    assert_eq!(rule.side(Some(&new), peer(1), now + PLAN_TTL), None);
    assert_eq!(rule.choose_side(0.05, 0, now + PLAN_TTL), Side::Old);
    assert_eq!(
        rule.side(None, peer(3), now),
        None,
        "its revision is not known"
    );
}

/// Guards against a request that every old sidecar refuses because an ingress has not received the plan yet
/// under which they stopped admitting requests.
#[test]
fn third_attempt_uses_new_side() {
    let mut known = known("v2");
    let plan = Plan {
        number: 1,
        step: Step::Ramp,
        permille: 250,
        chosen: Vec::new(),
    };
    let now = Instant::now();
    known.apply_plan(now, &plan);
    let rule = Rule::of(&known);
    assert_eq!(rule.choose_side(0.9, 0, now), Side::Old);
    assert_eq!(rule.choose_side(0.9, 1, now), Side::Old);
    assert_eq!(rule.choose_side(0.9, 2, now), Side::New);
    assert_eq!(rule.choose_side(0.9, 2, now + PLAN_TTL), Side::Old);
}

/// When the new revision receives all requests, the old targets finish theirs. An old sidecar that is cut off
/// admits requests again, since the others may have rolled back.
#[test]
fn old_targets_reopen() {
    let mut known = known("v2");
    let plan = Plan {
        number: 9,
        step: Step::All,
        permille: 1_000,
        chosen: Vec::new(),
    };
    let now = Instant::now();
    known.apply_plan(now, &plan);
    let rule = Rule::of(&known);
    let old = Revision::from("v1");
    assert_eq!(rule.side(Some(&old), peer(3), now), None);
    assert_eq!(
        rule.side(Some(&old), peer(3), now + PLAN_TTL),
        Some(Side::Old)
    );
    known.set_verdict(Verdict::Completed);
    assert_eq!(
        Rule::of(&known).side(Some(&old), peer(3), now + PLAN_TTL),
        None
    );
}

/// A coordinator rolled back, and another one that had not received that renewed its own plan.
#[test]
fn rollback_is_final() {
    let mut known = known("v2");
    let now = Instant::now();
    let back = Plan {
        number: 3,
        step: Step::Back,
        ..Plan::default()
    };
    assert!(known.apply_plan(now, &back));
    let later = Plan {
        number: 8,
        step: Step::All,
        permille: 1_000,
        chosen: Vec::new(),
    };
    assert!(!known.apply_plan(now, &later));
    assert_eq!(known.progress().plan.step, Step::Back);
}

/// A revision that was rolled back is ordered again under the same name: callers would meet the same
/// failures.
#[test]
fn refused_revision_stays_refused() {
    let mut known = known("v2");
    let now = Instant::now();
    known.set_verdict(Verdict::RolledBack);
    assert!(known.apply_change(now, &change("v3", at(1, 6))));
    assert_eq!(known.progress().plan.step, Step::Waiting);
    assert!(known.apply_change(now, &change("v2", at(1, 7))));
    assert_eq!(known.progress().plan.step, Step::Back);
    assert!(
        known.progress().verdict.is_none(),
        "the operator is told again"
    );
}

/// During a rollout another revision is ordered: the first one is neither old nor new and receives nothing.
#[test]
fn replaced_revision_is_excluded() {
    let mut known = known("v2");
    let now = Instant::now();
    assert!(known.apply_change(now, &change("v3", at(1, 6))));
    let rule = Rule::of(&known);
    assert_eq!(rule.side(Some(&Revision::from("v2")), peer(1), now), None);
    assert_eq!(
        rule.side(Some(&Revision::from("v1")), peer(1), now),
        Some(Side::Old)
    );
    // Ordered again, it is tried like any other.
    assert!(known.apply_change(now, &change("v2", at(1, 7))));
    assert_eq!(known.progress().plan.step, Step::Waiting);
    // A completed revision is an old one for the next order.
    known.set_verdict(Verdict::Completed);
    assert!(known.apply_change(now, &change("v4", at(1, 8))));
    let rule = Rule::of(&known);
    assert_eq!(
        rule.side(Some(&Revision::from("v2")), peer(1), now),
        Some(Side::Old)
    );
    assert_eq!(rule.side(Some(&Revision::from("v3")), peer(1), now), None);
}

#[test]
fn withdrawn_order_is_rolled_back() {
    let mut known = known("v2");
    let now = Instant::now();
    let withdrawal = Change {
        order: None,
        ..change("v2", at(1, 6))
    };
    assert!(known.apply_change(now, &withdrawal));
    assert_eq!(known.progress().plan.step, Step::Back);
    let mut completed = self::known("v2");
    completed.set_verdict(Verdict::Completed);
    assert!(completed.apply_change(now, &withdrawal));
    assert_eq!(completed.progress().verdict, Some(Verdict::Completed));
}

/// The platform is restored from a backup in which a replaced order is the newest. Applying it would replace
/// the current order and start a rollout anew.
#[test]
fn backup_does_not_restore_order() {
    let mut known = known("v2");
    let now = Instant::now();
    known.set_verdict(Verdict::Completed);
    assert!(known.apply_change(now, &change("v3", at(1, 9))));
    assert!(
        !known.apply_change(now, &change("v2", at(2, 5))),
        "it has the same offset"
    );
    assert_eq!(known.progress().order.revision, Revision::from("v3"));
    // The operator repeats the newer order, at an offset that was used before.
    assert!(known.apply_change(now, &change("v3", at(2, 6))));
    assert_eq!(known.progress().position, at(2, 6));
    assert_eq!(known.progress().plan.step, Step::Waiting);
    // Written again, the older order counts like any other.
    assert!(known.apply_change(now, &change("v2", at(2, 7))));
    assert_eq!(known.progress().order.revision, Revision::from("v2"));
}

fn progress() -> impl Strategy<Value = Progress> {
    let plan = (0..6_u64, 0..5_usize).prop_map(|(number, step)| Plan {
        number,
        step: [
            Step::Waiting,
            Step::Canary,
            Step::Ramp,
            Step::All,
            Step::Back,
        ][step],
        // A coordinator uses a plan number once.
        permille: u16::try_from(number * 7 + step as u64).expect("small"),
        chosen: Vec::new(),
    });
    (
        plan,
        0..3_u64,
        proptest::option::of(Just(Verdict::Completed)),
    )
        .prop_map(|(plan, offset, verdict)| Progress {
            plan,
            verdict,
            ..Progress::new(order("v2"), at(1, offset))
        })
}

proptest! {
    #![proptest_config(deterministic_config(500))]

    /// Daemons that receive the same states in any order, some of them twice, follow the same plan.
    #[test]
    fn merging_is_order_independent(states in proptest::collection::vec(progress(), 1..8)) {
        // Plans with the same number come from one coordinator and are equal.
        let mut states = states;
        states.sort_by_key(|state| state.plan.number);
        states.dedup_by_key(|state| state.plan.number);
        let now = Instant::now();
        let fold = |states: Vec<&Progress>| {
            let mut known = LocalProgress::new(now, states[0].clone());
            for state in states {
                known.merge(now, state);
            }
            let progress = known.progress();
            (progress.position, progress.plan.step, progress.verdict, progress.refused.clone())
        };
        let forth = fold(states.iter().collect());
        let back = fold(states.iter().rev().chain(&states).collect());
        prop_assert_eq!(forth, back);
    }
}

/// Records the answers of targets in rounds, four per second.
struct Rounds {
    analysis: Analysis,
    counters: Vec<(u8, Counters)>,
    now: Instant,
}

impl Rounds {
    fn new() -> Self {
        Self {
            analysis: Analysis::new(Revision::from("v2")),
            counters: Vec::new(),
            now: Instant::now(),
        }
    }

    /// One round of answers on a route, by host; hosts from 100 on have the new revision.
    fn record_round(&mut self, route: &str, answers: &[(u8, usize, Outcome)]) {
        for (host, count, outcome) in answers {
            let index = self.counters.iter().position(|(known, _)| known == host);
            let index = index.unwrap_or_else(|| {
                self.counters.push((*host, Counters::new(u64::from(*host))));
                self.counters.len() - 1
            });
            let counter = &mut self.counters[index].1;
            for _ in 0..*count {
                counter.requests += 1;
                counter.add(RouteId::of(route), *outcome);
            }
            let report = Report {
                service: Service::from("shelf"),
                revision: Revision::from(if *host >= 100 { "v2" } else { "v1" }),
                step: Step::Canary,
                in_flight: 0,
                warm: true,
                in_flight_ages: Vec::new(),
                counters: counter.clone(),
            };
            self.analysis.record(self.now, peer(*host), report);
        }
        self.analysis.start_tick();
    }

    fn is_bad(&self) -> bool {
        self.analysis
            .find_regression(Test::default(), TARGETS)
            .is_some()
    }
}

/// Number of targets of the new revision.
const TARGETS: usize = 3;

const NORMAL: Outcome = Outcome::Answered(NORMAL_TIME);

#[test]
fn equal_revision_is_good() {
    let mut rounds = Rounds::new();
    for _ in 0..40 {
        rounds.record_round("a", &[(1, 40, NORMAL), (1, 1, Outcome::Failed)]);
        rounds.record_round(
            "a",
            &[
                (100, 6, NORMAL),
                (101, 6, NORMAL),
                (101, 1, Outcome::Failed),
            ],
        );
        assert!(!rounds.is_bad());
    }
}

#[test]
fn failures_are_detected() {
    let mut rounds = Rounds::new();
    rounds.record_round("a", &[(1, 200, NORMAL)]);
    rounds.record_round("a", &[(100, 4, NORMAL), (100, 3, Outcome::Failed)]);
    assert!(!rounds.is_bad(), "it may be the target only");
    rounds.record_round("a", &[(101, 4, NORMAL), (101, 4, Outcome::Failed)]);
    assert!(rounds.is_bad());
}

/// One target of the new revision is on a broken host and fails all requests; the others do well.
#[test]
fn single_bad_target_is_tolerated() {
    let mut rounds = Rounds::new();
    for _ in 0..30 {
        rounds.record_round("a", &[(1, 100, NORMAL), (2, 100, NORMAL)]);
        rounds.record_round(
            "a",
            &[
                (100, 5, Outcome::Failed),
                (101, 5, NORMAL),
                (102, 5, NORMAL),
            ],
        );
    }
    assert!(!rounds.is_bad());
}

/// A downstream service fails for both revisions alike.
#[test]
fn downstream_fault_is_tolerated() {
    let mut rounds = Rounds::new();
    for _ in 0..20 {
        rounds.record_round("a", &[(1, 60, NORMAL), (1, 40, Outcome::Failed)]);
        rounds.record_round("a", &[(100, 6, NORMAL), (100, 4, Outcome::Failed)]);
        rounds.record_round("a", &[(101, 6, NORMAL), (101, 4, Outcome::Failed)]);
    }
    assert!(!rounds.is_bad());
}

/// The revision does well for seven seconds and then fails: the earlier answers must not outweigh the
/// failures.
#[test]
fn late_fault_is_detected() {
    let mut rounds = Rounds::new();
    for _ in 0..28 {
        rounds.record_round(
            "a",
            &[(1, 100, NORMAL), (100, 20, NORMAL), (101, 20, NORMAL)],
        );
    }
    assert!(!rounds.is_bad());
    let half = [
        (1, 100, NORMAL),
        (100, 10, NORMAL),
        (100, 10, Outcome::Failed),
    ];
    rounds.record_round("a", &half);
    rounds.record_round("a", &[(101, 10, NORMAL), (101, 10, Outcome::Failed)]);
    assert!(rounds.is_bad());
}

#[test]
fn fault_on_one_route_is_detected() {
    let slow = Outcome::Answered(NORMAL_TIME * 4);
    let mut rounds = Rounds::new();
    for _ in 0..8 {
        rounds.record_round(
            "a",
            &[(1, 100, NORMAL), (100, 20, NORMAL), (101, 20, NORMAL)],
        );
        rounds.record_round("b", &[(1, 20, NORMAL), (100, 2, slow), (101, 2, slow)]);
    }
    let finding = rounds.analysis.find_regression(Test::default(), TARGETS);
    assert_eq!(finding.map(|finding| finding.route), Some(RouteId::of("b")));
}

/// Guards against missing a fault that no single route has enough answers to show.
#[test]
fn fault_across_routes_is_detected() {
    let slow = Outcome::Answered(NORMAL_TIME * 4);
    let mut rounds = Rounds::new();
    for route in ["a", "b"] {
        rounds.record_round(route, &[(1, 180, NORMAL)]);
        for host in 100..104 {
            rounds.record_round(route, &[(host, 10, NORMAL), (host, 1, slow)]);
        }
    }
    assert!(rounds.is_bad());
}

/// Guards against a doubt on too few answers, and against taking a doubt for a significant finding.
#[test]
fn doubt_before_proof() {
    let mut rounds = Rounds::new();
    rounds.record_round("a", &[(1, 300, NORMAL)]);
    let doubtful = |rounds: &Rounds| rounds.analysis.is_doubtful(Test::default(), TARGETS);
    rounds.record_round("a", &[(100, 15, NORMAL), (100, 1, Outcome::Failed)]);
    assert!(!doubtful(&rounds), "one of 16");
    rounds.record_round("a", &[(101, 15, NORMAL), (101, 1, Outcome::Failed)]);
    assert!(doubtful(&rounds), "two of 32");
    assert!(!rounds.is_bad());
}

/// Guards against rolling back a good revision because it receives more of a route on which some requests
/// always fail.
#[test]
fn different_route_mix_is_tolerated() {
    let mut rounds = Rounds::new();
    rounds.record_round("a", &[(1, 400, NORMAL)]);
    rounds.record_round("b", &[(1, 80, NORMAL), (1, 20, Outcome::Failed)]);
    rounds.record_round("a", &[(100, 10, NORMAL), (101, 10, NORMAL)]);
    for host in [100, 101] {
        rounds.record_round("b", &[(host, 40, NORMAL), (host, 10, Outcome::Failed)]);
    }
    assert!(!rounds.is_bad());
}

/// A sidecar restarts and counts from zero: its earlier counts are added once.
#[test]
fn restarted_sidecar_counts_on() {
    let mut rounds = Rounds::new();
    rounds.record_round("a", &[(100, 10, NORMAL)]);
    rounds.counters[0].1 = Counters::new(77);
    rounds.record_round("a", &[(100, 4, NORMAL)]);
    assert_eq!(rounds.analysis.exposed(), 14);
    // A duplicate or late datagram adds nothing.
    let report = Report {
        service: Service::from("shelf"),
        revision: Revision::from("v2"),
        step: Step::Canary,
        in_flight: 0,
        warm: true,
        in_flight_ages: Vec::new(),
        counters: rounds.counters[0].1.clone(),
    };
    let now = rounds.now;
    rounds.analysis.record(now, peer(100), report);
    assert_eq!(rounds.analysis.exposed(), 14);
}

#[test]
fn invalid_orders_are_rejected() {
    let key = Service::from("shelf");
    let misplaced = order("v2").check(&Service::from("till"));
    assert!(matches!(misplaced, Err(Fault::Misplaced { .. })));
    let untimed = Order {
        duration: Millis(0),
        ..order("v2")
    };
    assert!(matches!(
        untimed.check(&key),
        Err(Fault::InvalidDuration { .. })
    ));
    assert!(matches!(
        order("").check(&key),
        Err(Fault::InvalidRevision { .. })
    ));
    let nameless = Order {
        service: Service::from("no name"),
        ..order("v2")
    };
    assert!(matches!(
        nameless.check(&key),
        Err(Fault::InvalidService { .. })
    ));
    assert!(order("v2").check(&key).is_ok());
}

/// Guards against a daemon that loses sight of all targets of the old revision for a moment and takes a new
/// revision without an order for the stable one: it then sent it all requests.
#[test]
fn brief_absence_keeps_stable_revision() {
    let (service, now) = (Service::from("shelf"), Instant::now());
    let (old, new) = (Revision::from("v1"), Revision::from("v2"));
    let mut stable = Revisions::default();
    stable.observe(now, &service, &[&old, &old]);
    let later = now + Duration::from_secs(5);
    stable.observe(later, &service, &[&new, &new]);
    assert_eq!(stable.get(&service, later), Some(&old));
    stable.mark_absent(later, &[]);
    stable.observe(later, &service, &[&old, &new]);
    assert_eq!(stable.get(&service, later), Some(&old));
    // After a longer absence it is no longer stable.
    stable.observe(later, &service, &[&new]);
    let long = later + Duration::from_mins(1);
    assert_eq!(stable.get(&service, long), None, "any may take requests");
    stable.observe(long, &service, &[&new]);
    assert_eq!(stable.get(&service, long), Some(&new));
}

/// A daemon that joins sees targets of the new revision first. The stable revisions of its peers replace its
/// own.
#[test]
fn joining_daemon_adopts_peers_revisions() {
    let (service, now) = (Service::from("shelf"), Instant::now());
    let (old, new) = (Revision::from("v1"), Revision::from("v2"));
    let mut stable = Revisions::default();
    stable.observe(now, &service, &[&new]);
    stable.adopt(&[(service.clone(), old.clone())]);
    assert_eq!(stable.get(&service, now), Some(&old));
    stable.adopt(&[(service.clone(), new)]);
    assert_eq!(
        stable.get(&service, now),
        Some(&old),
        "the first one counts"
    );
    assert_eq!(stable.snapshot(), [(service, old)]);
}

/// A revision is six times as slow for some requests and receives all of them. Its slow answers arrive too
/// late, but its requests in flight show the fault earlier.
#[test]
fn overdue_requests_are_detected() {
    let mut rounds = Rounds::new();
    for _ in 0..8 {
        rounds.record_round("a", &[(1, 60, NORMAL), (100, 4, NORMAL), (101, 4, NORMAL)]);
    }
    assert!(!rounds.is_bad());
    let mut ages = Counters::default();
    for _ in 0..3 {
        ages.add(RouteId::of("a"), Outcome::Answered(NORMAL_TIME * 4));
    }
    for host in [100, 101] {
        let counter = rounds.counters.iter().find(|(known, _)| *known == host);
        let report = Report {
            service: Service::from("shelf"),
            revision: Revision::from("v2"),
            step: Step::All,
            in_flight: 3,
            warm: true,
            in_flight_ages: ages.routes.clone(),
            counters: counter
                .map(|(_, counter)| counter.clone())
                .unwrap_or_default(),
        };
        rounds.analysis.record(rounds.now, peer(host), report);
    }
    assert!(rounds.is_bad());
}

/// A member that offers a target with a revision.
fn member(host: u8, revision: &str, health: Health) -> Member {
    Member {
        peer: peer(host),
        operator: peer(host),
        data_centre: DataCentre::from("north"),
        incarnation: Incarnation(1),
        health,
        stage: Stage::Serving,
        offer: Some(Offer {
            service: Service::from("shelf"),
            slots: Slots(8),
            start_time: None,
            revision: Some(Revision::from(revision)),
            open: true,
        }),
        departures: Vec::new(),
    }
}

/// Guards against completing a rollout while old targets beyond a network partition have requests in flight.
#[test]
fn unreachable_target_is_not_drained() {
    let now = Instant::now();
    let known = known("v2");
    let drained = |unreachable: Option<Health>| {
        let gone = unreachable.map(|health| Departed {
            member: member(3, "v1", health),
            since: now,
        });
        let mut roster = Roster::default();
        roster.members = vec![
            member(1, "v1", Health::Alive),
            member(2, "v2", Health::Alive),
        ];
        roster.gone = gone.into_iter().collect();
        let mut tracker = Tracker::new(order("v2"), &known);
        tracker.analysis.record(now, peer(1), idle("v1"));
        let service = Service::from("shelf");
        let sidecars = Sidecars::of(&roster, &service, &Revision::from("v2"));
        tracker.observe(now, &known, &sidecars, false).drained
    };
    assert!(drained(None));
    assert!(drained(Some(Health::Left)));
    assert!(!drained(Some(Health::Gone)));
}

/// Report of a sidecar in the last step whose target has no requests in flight.
fn idle(revision: &str) -> Report {
    Report {
        service: Service::from("shelf"),
        revision: Revision::from(revision),
        step: Step::All,
        in_flight: 0,
        warm: true,
        in_flight_ages: Vec::new(),
        counters: Counters::default(),
    }
}
