//! Deciding on a roll-out: steps, evidence, and what daemons make of each other's word.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::fixed;
use jackdawpulley::configuration::origin::Position;
use jackdawpulley::membership::member::{Health, Member, Offer, Stage};
use jackdawpulley::membership::roster::{Departed, Roster};
use jackdawpulley::rollout::decision::{Cause, decide};
use jackdawpulley::rollout::duty::{Duty, Gates};
use jackdawpulley::rollout::evidence::Evidence;
use jackdawpulley::rollout::observed::{Limits, Observed};
use jackdawpulley::rollout::order::{Fault, Notice, Order, Verdict};
use jackdawpulley::rollout::plan::{LAPSE, Plan, Step};
use jackdawpulley::rollout::progress::{Known, Progress};
use jackdawpulley::rollout::rules::{Rule, Side};
use jackdawpulley::rollout::tally::{Outcome, Report, RouteId, Tally};
use jackdawpulley::rollout::test::Test;
use jackdawpulley::rollout::usual::Usual;
use jackdawpulley::units::{
    DataCentre, Era, Incarnation, Millis, Offset, Revision, Service, Slots,
};
use proptest::prelude::*;

const LIMITS: Limits = Limits {
    share: 0.1,
    slack: 50,
};
const USUAL: Duration = Duration::from_millis(100);

fn order(revision: &str) -> Order {
    Order {
        service: Service::from("shelf"),
        revision: Revision::from(revision),
        duration: Millis(12_000),
    }
}

fn at(era: u64, offset: u64) -> Position {
    Position {
        era: Era(era),
        offset: Offset(offset),
    }
}

fn notice(revision: &str, at: Position) -> Notice {
    Notice {
        at,
        service: Service::from("shelf"),
        order: Some(order(revision)),
    }
}

fn known(revision: &str) -> Known {
    Known::new(Instant::now(), Progress::new(order(revision), at(1, 5)))
}

fn peer(host: u8) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, host], 1))
}

/// A roll-out in a step, with everything in order.
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
    assert!(!decide(&LIMITS, &all).complete, "old targets have work");
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

/// Guards against a good revision that goes back, since another daemon decides shortly before the end.
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
    assert!(!decide(&LIMITS, &early).complete, "there is time to look");
    let unseen = Observed {
        in_step: Duration::from_millis(100),
        ..late
    };
    assert!(
        !decide(&LIMITS, &unseen).complete,
        "nothing was reported since"
    );
}

/// Guards against a good revision that goes back for want of answers, since nobody decided for a while.
#[test]
fn few_answers_move_late() {
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

/// Guards against a revision that is completed although most of what is known speaks against it.
#[test]
fn doubt_waits() {
    // 200 a second for 12 s: 290 are allowed.
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
    assert_eq!(decide(&LIMITS, &spent).step, Step::All, "all answers tell");
    let late = Observed {
        age: Duration::from_secs(11),
        ..ramp
    };
    assert_eq!(decide(&LIMITS, &late).step, Step::All);
}

/// Guards against a revision in doubt that gets more than a bad one may, or goes back while it need not.
#[test]
fn doubt_ends() {
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

/// A daemon that decides and hears few gates, or does not know whether there is a verdict, must not give the
/// revision more: it would do so on its side of a cut, whatever the others have found.
#[test]
fn nobody_goes_on_alone() {
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

/// A service of five requests a second: a share of them is next to nothing, and the requests that are allowed
/// beside it let the revision be tried all the same.
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
fn nothing_known_goes_back() {
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
    #![proptest_config(fixed(2_000))]

    /// Whatever is observed: going back is final, a revision that proved worse gets nothing, and the first
    /// step leaves room for the move.
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

/// A daemon is cut off while a revision is tried. It does not learn that it was taken back, and would send it
/// its share for as long as it is alone.
#[test]
fn plan_lapses() {
    let mut known = known("v2");
    let plan = Plan {
        number: 1,
        step: Step::Canary,
        permille: 100,
        chosen: vec![peer(1)],
    };
    let now = Instant::now();
    known.follow(now, &plan);
    let rule = Rule::of(&known);
    let new = Revision::from("v2");
    assert_eq!(rule.side(Some(&new), peer(1), now), Some(Side::New));
    assert_eq!(rule.side(Some(&new), peer(2), now), None, "not chosen");
    assert_eq!(rule.draw(0.05, 0, now), Side::New);
    assert_eq!(rule.draw(0.05, 1, now), Side::Old, "once more");
    assert_eq!(rule.side(Some(&new), peer(1), now + LAPSE), None);
    assert_eq!(rule.draw(0.05, 0, now + LAPSE), Side::Old);
    assert_eq!(
        rule.side(None, peer(3), now),
        None,
        "it has not said what it is"
    );
}

/// All old gates have closed by a plan that an entry has not heard of yet. Its requests went to one of them
/// after the other and were refused by each.
#[test]
fn third_try_is_a_new_one() {
    let mut known = known("v2");
    let plan = Plan {
        number: 1,
        step: Step::Ramp,
        permille: 250,
        chosen: Vec::new(),
    };
    let now = Instant::now();
    known.follow(now, &plan);
    let rule = Rule::of(&known);
    assert_eq!(rule.draw(0.9, 0, now), Side::Old);
    assert_eq!(rule.draw(0.9, 1, now), Side::Old);
    assert_eq!(rule.draw(0.9, 2, now), Side::New);
    assert_eq!(rule.draw(0.9, 2, now + LAPSE), Side::Old);
}

/// With all requests at the new revision the old targets end what they have. A gate that hears nobody any more
/// takes requests again: the others may have gone back.
#[test]
fn old_ones_open_again() {
    let mut known = known("v2");
    let plan = Plan {
        number: 9,
        step: Step::All,
        permille: 1_000,
        chosen: Vec::new(),
    };
    let now = Instant::now();
    known.follow(now, &plan);
    let rule = Rule::of(&known);
    let old = Revision::from("v1");
    assert_eq!(rule.side(Some(&old), peer(3), now), None);
    assert_eq!(rule.side(Some(&old), peer(3), now + LAPSE), Some(Side::Old));
    known.conclude(Verdict::Completed);
    assert_eq!(
        Rule::of(&known).side(Some(&old), peer(3), now + LAPSE),
        None
    );
}

/// A daemon that decided went back, and another one that had not heard of it renewed its own plan.
#[test]
fn going_back_is_final() {
    let mut known = known("v2");
    let now = Instant::now();
    let back = Plan {
        number: 3,
        step: Step::Back,
        ..Plan::default()
    };
    assert!(known.follow(now, &back));
    let later = Plan {
        number: 8,
        step: Step::All,
        permille: 1_000,
        chosen: Vec::new(),
    };
    assert!(!known.follow(now, &later));
    assert_eq!(known.progress().plan.step, Step::Back);
}

/// A revision was rolled back, and the operator orders it once more under its name: its callers would meet the
/// same failures again.
#[test]
fn refused_revision_stays_refused() {
    let mut known = known("v2");
    let now = Instant::now();
    known.conclude(Verdict::RolledBack);
    assert!(known.notice(now, &notice("v3", at(1, 6))));
    assert_eq!(known.progress().plan.step, Step::Waiting);
    assert!(known.notice(now, &notice("v2", at(1, 7))));
    assert_eq!(known.progress().plan.step, Step::Back);
    assert!(
        known.progress().verdict.is_none(),
        "the operator is told again"
    );
}

/// While one revision is tried another one is ordered: the first is neither old nor new, and gets nothing.
#[test]
fn replaced_revision_is_barred() {
    let mut known = known("v2");
    let now = Instant::now();
    assert!(known.notice(now, &notice("v3", at(1, 6))));
    let rule = Rule::of(&known);
    assert_eq!(rule.side(Some(&Revision::from("v2")), peer(1), now), None);
    assert_eq!(
        rule.side(Some(&Revision::from("v1")), peer(1), now),
        Some(Side::Old)
    );
    // Ordered once more it is tried like any other.
    assert!(known.notice(now, &notice("v2", at(1, 7))));
    assert_eq!(known.progress().plan.step, Step::Waiting);
    // What has got all requests is an old revision for the next order.
    known.conclude(Verdict::Completed);
    assert!(known.notice(now, &notice("v4", at(1, 8))));
    let rule = Rule::of(&known);
    assert_eq!(
        rule.side(Some(&Revision::from("v2")), peer(1), now),
        Some(Side::Old)
    );
    assert_eq!(rule.side(Some(&Revision::from("v3")), peer(1), now), None);
}

#[test]
fn order_taken_away_goes_back() {
    let mut known = known("v2");
    let now = Instant::now();
    let away = Notice {
        order: None,
        ..notice("v2", at(1, 6))
    };
    assert!(known.notice(now, &away));
    assert_eq!(known.progress().plan.step, Step::Back);
    let mut completed = self::known("v2");
    completed.conclude(Verdict::Completed);
    assert!(completed.notice(now, &away));
    assert_eq!(completed.progress().verdict, Some(Verdict::Completed));
}

/// The store comes back from a copy in which the order before the last one is the newest. Read there, it would
/// take the place of the last one, and start anew what was replaced.
#[test]
fn older_copy_brings_no_order_back() {
    let mut known = known("v2");
    let now = Instant::now();
    known.conclude(Verdict::Completed);
    assert!(known.notice(now, &notice("v3", at(1, 9))));
    assert!(
        !known.notice(now, &notice("v2", at(2, 5))),
        "it stands where it stood"
    );
    assert_eq!(known.progress().order.revision, Revision::from("v3"));
    // The operator writes the newer one again, at an offset that was given out before.
    assert!(known.notice(now, &notice("v3", at(2, 6))));
    assert_eq!(known.progress().at, at(2, 6));
    assert_eq!(known.progress().plan.step, Step::Waiting);
    // Written anew, the older one is an order like any other.
    assert!(known.notice(now, &notice("v2", at(2, 7))));
    assert_eq!(known.progress().order.revision, Revision::from("v2"));
}

fn told() -> impl Strategy<Value = Progress> {
    let plan = (0..6_u64, 0..5_usize).prop_map(|(number, step)| Plan {
        number,
        step: [
            Step::Waiting,
            Step::Canary,
            Step::Ramp,
            Step::All,
            Step::Back,
        ][step],
        // One that decides gives one plan a number.
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
    #![proptest_config(fixed(500))]

    /// Daemons that have heard the same in any order, and some of it twice, go by the same plan.
    #[test]
    fn words_merge_in_any_order(words in proptest::collection::vec(told(), 1..8)) {
        // Two plans of one number are one decider's, so they are the same plan.
        let mut words = words;
        words.sort_by_key(|word| word.plan.number);
        words.dedup_by_key(|word| word.plan.number);
        let now = Instant::now();
        let fold = |words: Vec<&Progress>| {
            let mut known = Known::new(now, words[0].clone());
            for word in words {
                known.merge(now, word);
            }
            let progress = known.progress();
            (progress.at, progress.plan.step, progress.verdict, progress.refused.clone())
        };
        let forth = fold(words.iter().collect());
        let back = fold(words.iter().rev().chain(&words).collect());
        prop_assert_eq!(forth, back);
    }
}

/// Counts what targets answer in rounds of four a second.
struct Rounds {
    evidence: Evidence,
    tallies: Vec<(u8, Tally)>,
    now: Instant,
}

impl Rounds {
    fn new() -> Self {
        Self {
            evidence: Evidence::new(Revision::from("v2")),
            tallies: Vec::new(),
            now: Instant::now(),
        }
    }

    /// One round in which each host's target answers so on a route; hosts from 100 on have the new revision.
    fn play(&mut self, route: &str, answers: &[(u8, usize, Outcome)]) {
        for (host, count, outcome) in answers {
            let index = self.tallies.iter().position(|(known, _)| known == host);
            let index = index.unwrap_or_else(|| {
                self.tallies.push((*host, Tally::new(u64::from(*host))));
                self.tallies.len() - 1
            });
            let tally = &mut self.tallies[index].1;
            for _ in 0..*count {
                tally.arrived += 1;
                tally.add(RouteId::of(route), *outcome);
            }
            let report = Report {
                service: Service::from("shelf"),
                revision: Revision::from(if *host >= 100 { "v2" } else { "v1" }),
                step: Step::Canary,
                busy: 0,
                warm: true,
                under_way: Vec::new(),
                tally: tally.clone(),
            };
            self.evidence.hear(self.now, peer(*host), report);
        }
        self.evidence.tick();
    }

    fn is_bad(&self) -> bool {
        self.evidence.judge(Test::default(), TARGETS).is_some()
    }
}

/// Targets of the new revision in these rounds.
const TARGETS: usize = 3;

const FINE: Outcome = Outcome::Answered(USUAL);

#[test]
fn like_the_old_is_good() {
    let mut rounds = Rounds::new();
    for _ in 0..40 {
        rounds.play("a", &[(1, 40, FINE), (1, 1, Outcome::Failed)]);
        rounds.play(
            "a",
            &[(100, 6, FINE), (101, 6, FINE), (101, 1, Outcome::Failed)],
        );
        assert!(!rounds.is_bad());
    }
}

#[test]
fn failures_tell() {
    let mut rounds = Rounds::new();
    rounds.play("a", &[(1, 200, FINE)]);
    rounds.play("a", &[(100, 4, FINE), (100, 3, Outcome::Failed)]);
    assert!(!rounds.is_bad(), "it may be the target");
    rounds.play("a", &[(101, 4, FINE), (101, 4, Outcome::Failed)]);
    assert!(rounds.is_bad());
}

/// One target of the new revision stands on a broken host and fails everything; the others do well.
#[test]
fn bad_target_is_not_the_revision() {
    let mut rounds = Rounds::new();
    for _ in 0..30 {
        rounds.play("a", &[(1, 100, FINE), (2, 100, FINE)]);
        rounds.play(
            "a",
            &[(100, 5, Outcome::Failed), (101, 5, FINE), (102, 5, FINE)],
        );
    }
    assert!(!rounds.is_bad());
}

/// A service beneath fails for both revisions alike.
#[test]
fn fault_beneath_is_not_the_revision() {
    let mut rounds = Rounds::new();
    for _ in 0..20 {
        rounds.play("a", &[(1, 60, FINE), (1, 40, Outcome::Failed)]);
        rounds.play("a", &[(100, 6, FINE), (100, 4, Outcome::Failed)]);
        rounds.play("a", &[(101, 6, FINE), (101, 4, Outcome::Failed)]);
    }
    assert!(!rounds.is_bad());
}

/// The revision does well for seven seconds, and then it fails: what went well before must not outweigh it.
#[test]
fn late_fault_tells() {
    let mut rounds = Rounds::new();
    for _ in 0..28 {
        rounds.play("a", &[(1, 100, FINE), (100, 20, FINE), (101, 20, FINE)]);
    }
    assert!(!rounds.is_bad());
    let half = [(1, 100, FINE), (100, 10, FINE), (100, 10, Outcome::Failed)];
    rounds.play("a", &half);
    rounds.play("a", &[(101, 10, FINE), (101, 10, Outcome::Failed)]);
    assert!(rounds.is_bad());
}

#[test]
fn one_route_tells() {
    let slow = Outcome::Answered(USUAL * 4);
    let mut rounds = Rounds::new();
    for _ in 0..8 {
        rounds.play("a", &[(1, 100, FINE), (100, 20, FINE), (101, 20, FINE)]);
        rounds.play("b", &[(1, 20, FINE), (100, 2, slow), (101, 2, slow)]);
    }
    let finding = rounds.evidence.judge(Test::default(), TARGETS);
    assert_eq!(finding.map(|finding| finding.route), Some(RouteId::of("b")));
}

/// Guards against a fault that no route has enough answers to show.
#[test]
fn routes_together() {
    let slow = Outcome::Answered(USUAL * 4);
    let mut rounds = Rounds::new();
    for route in ["a", "b"] {
        rounds.play(route, &[(1, 180, FINE)]);
        for host in 100..104 {
            rounds.play(route, &[(host, 10, FINE), (host, 1, slow)]);
        }
    }
    assert!(rounds.is_bad());
}

/// Guards against a doubt that a few answers raise, and against one that passes for a proof.
#[test]
fn doubt_before_proof() {
    let mut rounds = Rounds::new();
    rounds.play("a", &[(1, 300, FINE)]);
    let doubtful = |rounds: &Rounds| rounds.evidence.is_doubtful(Test::default(), TARGETS);
    rounds.play("a", &[(100, 15, FINE), (100, 1, Outcome::Failed)]);
    assert!(!doubtful(&rounds), "one of 16");
    rounds.play("a", &[(101, 15, FINE), (101, 1, Outcome::Failed)]);
    assert!(doubtful(&rounds), "two of 32");
    assert!(!rounds.is_bad());
}

/// Guards against a good revision that gets more of a route on which some requests always fail.
#[test]
fn other_mix() {
    let mut rounds = Rounds::new();
    rounds.play("a", &[(1, 400, FINE)]);
    rounds.play("b", &[(1, 80, FINE), (1, 20, Outcome::Failed)]);
    rounds.play("a", &[(100, 10, FINE), (101, 10, FINE)]);
    for host in [100, 101] {
        rounds.play("b", &[(host, 40, FINE), (host, 10, Outcome::Failed)]);
    }
    assert!(!rounds.is_bad());
}

/// A gate starts again and counts from nothing: what it has told before stays counted once.
#[test]
fn restarted_gate_counts_on() {
    let mut rounds = Rounds::new();
    rounds.play("a", &[(100, 10, FINE)]);
    rounds.tallies[0].1 = Tally::new(77);
    rounds.play("a", &[(100, 4, FINE)]);
    assert_eq!(rounds.evidence.exposed(), 14);
    // A datagram that comes again, or late, adds nothing.
    let report = Report {
        service: Service::from("shelf"),
        revision: Revision::from("v2"),
        step: Step::Canary,
        busy: 0,
        warm: true,
        under_way: Vec::new(),
        tally: rounds.tallies[0].1.clone(),
    };
    let now = rounds.now;
    rounds.evidence.hear(now, peer(100), report);
    assert_eq!(rounds.evidence.exposed(), 14);
}

#[test]
fn faulty_orders_are_told() {
    let key = Service::from("shelf");
    let misplaced = order("v2").check(&Service::from("till"));
    assert!(matches!(misplaced, Err(Fault::Misplaced { .. })));
    let untimed = Order {
        duration: Millis(0),
        ..order("v2")
    };
    assert!(matches!(untimed.check(&key), Err(Fault::NoTime { .. })));
    assert!(matches!(
        order("").check(&key),
        Err(Fault::NoRevision { .. })
    ));
    let nameless = Order {
        service: Service::from("no name"),
        ..order("v2")
    };
    assert!(matches!(nameless.check(&key), Err(Fault::Name { .. })));
    assert!(order("v2").check(&key).is_ok());
}

/// A daemon loses sight of all targets of the old revision for a moment, while targets of a new one are there
/// whose order has not been given yet. It took those for the usual ones, and sent them everything from then on.
#[test]
fn lost_sight_changes_nothing() {
    let (service, now) = (Service::from("shelf"), Instant::now());
    let (old, new) = (Revision::from("v1"), Revision::from("v2"));
    let mut usual = Usual::default();
    usual.note(now, &service, &[&old, &old]);
    let later = now + Duration::from_secs(5);
    usual.note(later, &service, &[&new, &new]);
    assert_eq!(usual.get(&service, later), Some(&old));
    usual.miss(later, &[]);
    usual.note(later, &service, &[&old, &new]);
    assert_eq!(usual.get(&service, later), Some(&old));
    // Gone for good it is not the usual one any more.
    usual.note(later, &service, &[&new]);
    let long = later + Duration::from_mins(1);
    assert_eq!(usual.get(&service, long), None, "any may take requests");
    usual.note(long, &service, &[&new]);
    assert_eq!(usual.get(&service, long), Some(&new));
}

/// A daemon joins, and hears of targets of the new revision first. What those that welcome it have known for
/// longer goes before that.
#[test]
fn joiner_takes_the_others_word() {
    let (service, now) = (Service::from("shelf"), Instant::now());
    let (old, new) = (Revision::from("v1"), Revision::from("v2"));
    let mut usual = Usual::default();
    usual.note(now, &service, &[&new]);
    usual.adopt(&[(service.clone(), old.clone())]);
    assert_eq!(usual.get(&service, now), Some(&old));
    usual.adopt(&[(service.clone(), new)]);
    assert_eq!(usual.get(&service, now), Some(&old), "the first one counts");
    assert_eq!(usual.told(), [(service, old)]);
}

/// A revision takes six times as long for some requests, and is given all of them: its slow answers come when it is
/// too late, but the requests that wait for them show it earlier.
#[test]
fn overdue_requests_tell() {
    let mut rounds = Rounds::new();
    for _ in 0..8 {
        rounds.play("a", &[(1, 60, FINE), (100, 4, FINE), (101, 4, FINE)]);
    }
    assert!(!rounds.is_bad());
    let mut ages = Tally::default();
    for _ in 0..3 {
        ages.add(RouteId::of("a"), Outcome::Answered(USUAL * 4));
    }
    for host in [100, 101] {
        let tally = rounds.tallies.iter().find(|(known, _)| *known == host);
        let report = Report {
            service: Service::from("shelf"),
            revision: Revision::from("v2"),
            step: Step::All,
            busy: 3,
            warm: true,
            under_way: ages.routes.clone(),
            tally: tally.map(|(_, tally)| tally.clone()).unwrap_or_default(),
        };
        rounds.evidence.hear(rounds.now, peer(host), report);
    }
    assert!(rounds.is_bad());
}

/// A member that offers a target of a revision.
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
    }
}

/// Guards against a roll-out that is completed while old targets beyond a cut have work.
#[test]
fn lost_sight_is_no_drain() {
    let now = Instant::now();
    let known = known("v2");
    let drained = |lost: Option<Health>| {
        let gone = lost.map(|health| Departed {
            member: member(3, "v1", health),
            since: now,
        });
        let mut roster = Roster::default();
        roster.members = vec![
            member(1, "v1", Health::Alive),
            member(2, "v2", Health::Alive),
        ];
        roster.gone = gone.into_iter().collect();
        let mut duty = Duty::new(order("v2"), &known);
        duty.evidence.hear(now, peer(1), idle("v1"));
        let service = Service::from("shelf");
        let gates = Gates::of(&roster, &service, &Revision::from("v2"));
        duty.observe(now, &known, &gates, false).drained
    };
    assert!(drained(None));
    assert!(drained(Some(Health::Left)));
    assert!(!drained(Some(Health::Gone)));
}

/// What a gate reports whose target has no work in the last step.
fn idle(revision: &str) -> Report {
    Report {
        service: Service::from("shelf"),
        revision: Revision::from(revision),
        step: Step::All,
        busy: 0,
        warm: true,
        under_way: Vec::new(),
        tally: Tally::default(),
    }
}
