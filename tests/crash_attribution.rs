//! Tests for the attribution of crashes to requests.

mod common;

use std::time::{Duration, Instant};

use common::fixed;
use jackdawpulley::quarantine::crash::{Crash, CrashId, MAX_RUNNING};
use jackdawpulley::quarantine::crash_set::{
    COINCIDENCE_WINDOW, CrashSet, MAX_CRASHES, MIN_CRASHES,
};
use jackdawpulley::quarantine::fingerprint::Fingerprint;
use jackdawpulley::quarantine::record::Record;
use jackdawpulley::units::Millis;
use proptest::prelude::*;

const MEMORY: Duration = Duration::from_hours(1);
const FATAL: Fingerprint = Fingerprint(1);

fn crash(id: u64, running: &[u64]) -> Crash {
    let running = running.iter().copied().map(Fingerprint);
    Crash::new(CrashId(id), running.collect())
}

/// A set of crashes with the requests that were running at each, one [`COINCIDENCE_WINDOW`] apart.
fn evidence(ends: &[&[u64]]) -> CrashSet {
    let mut evidence = CrashSet::new(MEMORY);
    let now = Instant::now();
    for (id, running) in (0..).zip(ends) {
        let then = now + COINCIDENCE_WINDOW * u32::try_from(id).expect("a few");
        evidence.merge(then, &crash(id, running));
    }
    evidence
}

fn quarantined(evidence: &CrashSet) -> Vec<u64> {
    let verdicts = evidence.assess();
    verdicts.quarantined().map(|(cause, _)| cause.0).collect()
}

#[test]
fn third_end_tells() {
    assert_eq!(quarantined(&evidence(&[&[1], &[1]])), [0_u64; 0]);
    assert_eq!(quarantined(&evidence(&[&[1], &[1], &[1]])), [1]);
}

/// A lookup is retried along with the request that crashes targets, and is running at three of its five
/// crashes.
#[test]
fn explained_ends_accuse_nobody_else() {
    let ends: [&[u64]; 5] = [&[1, 2], &[1, 2], &[1, 2], &[1], &[1]];
    let evidence = evidence(&ends);
    assert_eq!(quarantined(&evidence), [1]);
    assert_eq!(evidence.assess().of(Fingerprint(2)).crashes, 0);
}

/// Two requests were running at the same three crashes. One of them is unrelated, and three crashes don't
/// tell which; neither is quarantined until the fourth does.
#[test]
fn alike_ones_are_told_by_one_more() {
    let mut ends: Vec<&[u64]> = vec![&[1, 2], &[1, 2], &[1, 2]];
    assert_eq!(quarantined(&evidence(&ends)), [0_u64; 0]);
    assert!(evidence(&ends).assess().of(FATAL).must_isolate());
    ends.push(&[1]);
    assert_eq!(quarantined(&evidence(&ends)), [1]);
}

/// Two requests crash targets at the same time, each its own.
#[test]
fn two_causes_are_told_apart() {
    let ends: [&[u64]; 6] = [&[1], &[1], &[1, 3], &[2], &[2, 3], &[2]];
    assert_eq!(quarantined(&evidence(&ends)), [1, 2]);
}

/// Guards against quarantining a long lookup because five targets are killed at once while it runs on each.
/// Apart from their time, nothing connects it with the crashes.
#[test]
fn killed_together_accuses_nobody() {
    let mut evidence = CrashSet::new(MEMORY);
    let now = Instant::now();
    for id in 0..5 {
        let then = now + Duration::from_millis(20 * id);
        evidence.merge(then, &crash(id, &[7]));
    }
    assert_eq!(quarantined(&evidence), [0_u64; 0]);
    // A request that goes on crashing targets is still found.
    for id in 10..13_u32 {
        evidence.merge(
            now + COINCIDENCE_WINDOW * 10 * id,
            &crash(id.into(), &[1, 7]),
        );
    }
    evidence.clear(Fingerprint(7), None);
    assert_eq!(quarantined(&evidence), [1]);
}

/// The same long lookup is running at three crashes. The next target answers it, so it is not the cause.
#[test]
fn answered_one_is_cleared() {
    let mut evidence = evidence(&[&[7], &[7], &[7]]);
    assert_eq!(quarantined(&evidence), [7]);
    let cleared = evidence.clear(Fingerprint(7), None);
    assert_eq!(cleared.len(), MIN_CRASHES);
    assert_eq!(quarantined(&evidence), [0_u64; 0]);
    // An older report of the same crash does not implicate it again.
    assert!(!evidence.merge(Instant::now(), &crash(0, &[7])));
    assert_eq!(quarantined(&evidence), [0_u64; 0]);
}

#[test]
fn quarantine_ends_with_its_time() {
    let mut evidence = evidence(&[&[1], &[1], &[1]]);
    let until = evidence
        .assess()
        .of(FATAL)
        .quarantined_until
        .expect("it is refused");
    assert!(!evidence.expire(Instant::now() + MEMORY / 2));
    assert!(evidence.expire(until));
    assert_eq!(quarantined(&evidence), [0_u64; 0]);
    let old = Crash::with_cause(CrashId(9), FATAL, Millis::from(MEMORY));
    assert!(
        !evidence.merge(Instant::now(), &old),
        "it is not taken in again"
    );
}

/// Guards against a host with thousands of crashes, which must not displace the crashes of a quarantined
/// request nor exhaust memory.
#[test]
fn flood_is_bounded() {
    let mut evidence = evidence(&[&[1], &[1], &[1]]);
    let now = Instant::now();
    for id in 100..500 {
        let running: Vec<u64> = (0..200).map(|run| id * 1_000 + run).collect();
        evidence.merge(now, &crash(id, &running));
    }
    let told = evidence.snapshot(now, None);
    assert_eq!(told.len(), MAX_CRASHES);
    assert!(told.iter().all(|crash| crash.running.len() <= MAX_RUNNING));
    assert_eq!(quarantined(&evidence), [1]);
}

/// All daemons are lost. A record that one of them stored restores the same quarantine.
#[test]
fn note_restores_the_quarantine() {
    let known = evidence(&[&[1, 2], &[1, 3], &[1, 4]]);
    let now = Instant::now() + Duration::from_secs(1);
    let note = Record::of(&known.crashes_of(FATAL, now), 1_000_000);
    let read: Record = note.to_string().parse().expect("it was written so");
    let mut started = CrashSet::new(MEMORY);
    for crash in read.to_crashes(FATAL, 1_060_000) {
        started.merge(now, &crash);
    }
    assert_eq!(quarantined(&started), [1]);
    let left = started
        .assess()
        .of(FATAL)
        .quarantined_until
        .expect("it is refused")
        - now;
    assert!(left + Duration::from_mins(1) <= MEMORY, "{left:?}");
    for text in ["", "x", "1@", "1@2,zz@3", "1@2,,3@4"] {
        assert!(text.parse::<Record>().is_err(), "{text}");
    }
}

/// What a daemon learns about crashes.
#[derive(Debug, Clone)]
enum Word {
    Crash(u64, Vec<u64>),
    Answered(u64),
}

fn word() -> impl Strategy<Value = Word> {
    prop_oneof![
        3 => (0_u64..6, prop::collection::vec(0_u64..5, 0..4)).prop_map(|(id, run)| Word::Crash(id, run)),
        1 => (0_u64..5).prop_map(Word::Answered),
    ]
}

fn hear(words: &[Word]) -> CrashSet {
    let mut evidence = CrashSet::new(MEMORY);
    for word in words {
        match word {
            Word::Crash(id, running) => {
                evidence.merge(Instant::now(), &crash(*id, running));
            }
            Word::Answered(request) => {
                evidence.clear(Fingerprint(*request), None);
            }
        }
    }
    evidence
}

fn take_in(evidence: &mut CrashSet, other: &CrashSet) {
    let now = Instant::now();
    for crash in other.snapshot(now, None) {
        evidence.merge(now, &crash);
    }
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Daemons that have exchanged all reports assess the same requests alike, whatever the order and number
    /// of messages.
    #[test]
    fn all_come_to_the_same(
        one in prop::collection::vec(word(), 0..12),
        two in prop::collection::vec(word(), 0..12),
        three in prop::collection::vec(word(), 0..12),
    ) {
        let all = [hear(&one), hear(&two), hear(&three)];
        let mut forward = CrashSet::new(MEMORY);
        let mut backward = CrashSet::new(MEMORY);
        for index in [0, 1, 2, 0] {
            take_in(&mut forward, &all[index]);
        }
        for index in [2, 1, 0] {
            take_in(&mut backward, &all[index]);
        }
        prop_assert_eq!(forward.hash(), backward.hash());
        let standings = |evidence: &CrashSet| {
            let verdicts = evidence.assess();
            (0..5).map(|request| {
                let standing = verdicts.of(Fingerprint(request));
                (standing.crashes, standing.quarantined_until.is_some())
            }).collect::<Vec<_>>()
        };
        prop_assert_eq!(standings(&forward), standings(&backward));
    }
}
