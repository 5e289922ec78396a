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

const RETENTION: Duration = Duration::from_hours(1);
const CRASHING: Fingerprint = Fingerprint(1);

fn crash(id: u64, running: &[u64]) -> Crash {
    let running = running.iter().copied().map(Fingerprint);
    Crash::new(CrashId(id), running.collect())
}

/// A set of crashes with the requests that were running at each, one [`COINCIDENCE_WINDOW`] apart.
fn crash_set(running_at: &[&[u64]]) -> CrashSet {
    let mut crashes = CrashSet::new(RETENTION);
    let now = Instant::now();
    for (id, running) in (0..).zip(running_at) {
        let crashed_at = now + COINCIDENCE_WINDOW * u32::try_from(id).expect("a few");
        crashes.merge(crashed_at, &crash(id, running));
    }
    crashes
}

fn quarantined(crashes: &CrashSet) -> Vec<u64> {
    let assessments = crashes.assess();
    assessments
        .quarantined()
        .map(|(cause, _)| cause.0)
        .collect()
}

#[test]
fn third_crash_decides() {
    assert_eq!(quarantined(&crash_set(&[&[1], &[1]])), [0_u64; 0]);
    assert_eq!(quarantined(&crash_set(&[&[1], &[1], &[1]])), [1]);
}

/// A lookup is retried along with the request that crashes targets, and is running at three of its five
/// crashes.
#[test]
fn attributed_crashes_implicate_no_other() {
    let running_at: [&[u64]; 5] = [&[1, 2], &[1, 2], &[1, 2], &[1], &[1]];
    let crashes = crash_set(&running_at);
    assert_eq!(quarantined(&crashes), [1]);
    assert_eq!(crashes.assess().of(Fingerprint(2)).crashes, 0);
}

/// Two requests were running at the same three crashes. One of them is unrelated, and three crashes don't
/// tell which; neither is quarantined until the fourth does.
#[test]
fn ambiguous_requests_need_another_crash() {
    let mut running_at: Vec<&[u64]> = vec![&[1, 2], &[1, 2], &[1, 2]];
    assert_eq!(quarantined(&crash_set(&running_at)), [0_u64; 0]);
    assert!(crash_set(&running_at).assess().of(CRASHING).must_isolate());
    running_at.push(&[1]);
    assert_eq!(quarantined(&crash_set(&running_at)), [1]);
}

/// Two requests crash targets at the same time, each its own.
#[test]
fn two_causes_are_distinguished() {
    let running_at: [&[u64]; 6] = [&[1], &[1], &[1, 3], &[2], &[2, 3], &[2]];
    assert_eq!(quarantined(&crash_set(&running_at)), [1, 2]);
}

/// Guards against quarantining a long lookup because five targets are killed at once while it runs on each.
/// Apart from their time, nothing connects it with the crashes.
#[test]
fn simultaneous_crashes_quarantine_nothing() {
    let mut crashes = CrashSet::new(RETENTION);
    let now = Instant::now();
    for id in 0..5 {
        let crashed_at = now + Duration::from_millis(20 * id);
        crashes.merge(crashed_at, &crash(id, &[7]));
    }
    assert_eq!(quarantined(&crashes), [0_u64; 0]);
    // A request that goes on crashing targets is still found.
    for id in 10..13_u32 {
        crashes.merge(
            now + COINCIDENCE_WINDOW * 10 * id,
            &crash(id.into(), &[1, 7]),
        );
    }
    crashes.clear(Fingerprint(7), None);
    assert_eq!(quarantined(&crashes), [1]);
}

/// The same long lookup is running at three crashes. The next target answers it, so it is not the cause.
#[test]
fn answered_request_is_cleared() {
    let mut crashes = crash_set(&[&[7], &[7], &[7]]);
    assert_eq!(quarantined(&crashes), [7]);
    let cleared = crashes.clear(Fingerprint(7), None);
    assert_eq!(cleared.len(), MIN_CRASHES);
    assert_eq!(quarantined(&crashes), [0_u64; 0]);
    // An older report of the same crash does not implicate it again.
    assert!(!crashes.merge(Instant::now(), &crash(0, &[7])));
    assert_eq!(quarantined(&crashes), [0_u64; 0]);
}

#[test]
fn quarantine_expires() {
    let mut crashes = crash_set(&[&[1], &[1], &[1]]);
    let until = crashes
        .assess()
        .of(CRASHING)
        .quarantined_until
        .expect("it is quarantined");
    assert!(!crashes.expire(Instant::now() + RETENTION / 2));
    assert!(crashes.expire(until));
    assert_eq!(quarantined(&crashes), [0_u64; 0]);
    let old = Crash::with_cause(CrashId(9), CRASHING, Millis::from(RETENTION));
    assert!(
        !crashes.merge(Instant::now(), &old),
        "it is not added again"
    );
}

/// Guards against a host with thousands of crashes, which must not displace the crashes of a quarantined
/// request nor exhaust memory.
#[test]
fn crash_count_is_bounded() {
    let mut crashes = crash_set(&[&[1], &[1], &[1]]);
    let now = Instant::now();
    for id in 100..500 {
        let running: Vec<u64> = (0..200).map(|run| id * 1_000 + run).collect();
        crashes.merge(now, &crash(id, &running));
    }
    let reports = crashes.snapshot(now, None);
    assert_eq!(reports.len(), MAX_CRASHES);
    assert!(
        reports
            .iter()
            .all(|crash| crash.running.len() <= MAX_RUNNING)
    );
    assert_eq!(quarantined(&crashes), [1]);
}

/// All daemons are lost. A record that one of them stored restores the same quarantine.
#[test]
fn record_restores_quarantine() {
    let known = crash_set(&[&[1, 2], &[1, 3], &[1, 4]]);
    let now = Instant::now() + Duration::from_secs(1);
    let record = Record::of(&known.crashes_of(CRASHING, now), 1_000_000);
    let read: Record = record.to_string().parse().expect("it was written so");
    let mut started = CrashSet::new(RETENTION);
    for crash in read.to_crashes(CRASHING, 1_060_000) {
        started.merge(now, &crash);
    }
    assert_eq!(quarantined(&started), [1]);
    let left = started
        .assess()
        .of(CRASHING)
        .quarantined_until
        .expect("it is quarantined")
        - now;
    assert!(left + Duration::from_mins(1) <= RETENTION, "{left:?}");
    for text in ["", "x", "1@", "1@2,zz@3", "1@2,,3@4"] {
        assert!(text.parse::<Record>().is_err(), "{text}");
    }
}

/// What a daemon learns about crashes.
#[derive(Debug, Clone)]
enum Event {
    Crash(u64, Vec<u64>),
    Answered(u64),
}

fn event() -> impl Strategy<Value = Event> {
    prop_oneof![
        3 => (0_u64..6, prop::collection::vec(0_u64..5, 0..4)).prop_map(|(id, run)| Event::Crash(id, run)),
        1 => (0_u64..5).prop_map(Event::Answered),
    ]
}

fn apply_events(events: &[Event]) -> CrashSet {
    let mut crashes = CrashSet::new(RETENTION);
    for event in events {
        match event {
            Event::Crash(id, running) => {
                crashes.merge(Instant::now(), &crash(*id, running));
            }
            Event::Answered(request) => {
                crashes.clear(Fingerprint(*request), None);
            }
        }
    }
    crashes
}

fn merge_all(crashes: &mut CrashSet, other: &CrashSet) {
    let now = Instant::now();
    for crash in other.snapshot(now, None) {
        crashes.merge(now, &crash);
    }
}

proptest! {
    #![proptest_config(fixed(300))]

    /// Daemons that have exchanged all reports assess the same requests alike, whatever the order and number
    /// of messages.
    #[test]
    fn merging_is_order_independent(
        one in prop::collection::vec(event(), 0..12),
        two in prop::collection::vec(event(), 0..12),
        three in prop::collection::vec(event(), 0..12),
    ) {
        let all = [apply_events(&one), apply_events(&two), apply_events(&three)];
        let mut forward = CrashSet::new(RETENTION);
        let mut backward = CrashSet::new(RETENTION);
        for index in [0, 1, 2, 0] {
            merge_all(&mut forward, &all[index]);
        }
        for index in [2, 1, 0] {
            merge_all(&mut backward, &all[index]);
        }
        prop_assert_eq!(forward.hash(), backward.hash());
        let assess = |crashes: &CrashSet| {
            let assessments = crashes.assess();
            (0..5).map(|request| {
                let assessment = assessments.of(Fingerprint(request));
                (assessment.crashes, assessment.quarantined_until.is_some())
            }).collect::<Vec<_>>()
        };
        prop_assert_eq!(assess(&forward), assess(&backward));
    }
}
