//! Tests for the quarantine state of one daemon.

use std::time::{Duration, Instant};

use jackdawpulley::quarantine::crash::{Crash, CrashId};
use jackdawpulley::quarantine::crash_set::COINCIDENCE_WINDOW;
use jackdawpulley::quarantine::fingerprint::{Content, Fingerprint};
use jackdawpulley::quarantine::shared::Quarantine;
use jackdawpulley::units::Millis;

const UNRELATED: Fingerprint = Fingerprint(7);

fn quarantine() -> Quarantine {
    Quarantine::new(Duration::from_hours(1))
}

/// A crash at which these requests were running, so many coincidence windows ago.
fn crash(id: u64, windows: u32, running: &[Fingerprint]) -> Crash {
    Crash {
        age: Millis::from(COINCIDENCE_WINDOW * windows),
        ..Crash::new(CrashId(id), running.to_vec())
    }
}

fn is_quarantined(quarantine: &Quarantine, fingerprint: Fingerprint) -> bool {
    let until = quarantine.assessment(fingerprint).quarantined_until;
    until.is_some_and(|until| Instant::now() < until)
}

/// Guards against flooding the fleet with answers: after fifty targets were killed, each of 900 requests that
/// was retried and answered caused 1,200 datagrams. An answer after a single crash is not sent to peers.
#[test]
fn answers_after_one_crash_stay_local() {
    let quarantine = quarantine();
    let running: Vec<Fingerprint> = (0..18).map(Fingerprint).collect();
    quarantine.merge(&[crash(1, 0, &running)]);
    assert_eq!(quarantine.take_updates().len(), 1);
    let hash = quarantine.hash();
    for fingerprint in &running {
        quarantine.record_answered(*fingerprint);
    }
    assert!(quarantine.take_updates().is_empty());
    assert_eq!(quarantine.hash(), hash);
}

/// A lookup is running at one crash, is answered, and is running at two more. Its answer counts although no
/// peer was told at the time.
#[test]
fn local_answer_counts_after_second_crash() {
    let quarantine = quarantine();
    quarantine.merge(&[crash(1, 9, &[UNRELATED])]);
    quarantine.record_answered(UNRELATED);
    quarantine.merge(&[crash(2, 6, &[UNRELATED])]);
    quarantine.merge(&[crash(3, 3, &[UNRELATED])]);
    assert!(!is_quarantined(&quarantine, UNRELATED));
    let reports = quarantine.snapshot();
    assert_eq!(reports[0].cleared, [UNRELATED], "peers are told now");
    quarantine.merge(&[crash(4, 0, &[UNRELATED])]);
    assert!(
        is_quarantined(&quarantine, UNRELATED),
        "three more without an answer"
    );
}

#[test]
fn answer_after_two_crashes_is_sent() {
    let quarantine = quarantine();
    quarantine.merge(&[crash(1, 9, &[UNRELATED]), crash(2, 6, &[UNRELATED])]);
    assert_eq!(quarantine.take_updates().len(), 2);
    quarantine.record_answered(UNRELATED);
    assert_eq!(quarantine.take_updates().len(), 2);
    assert_eq!(quarantine.assessment(UNRELATED).crashes, 0);
}

/// Guards against a request that evades the quarantine by another spelling of its host.
#[test]
fn host_spelling_does_not_matter() {
    let of = |host| Fingerprint::of("GET", host, "/x", Content::Whole(b""));
    for host in ["Shop.Example", "shop.example.", "SHOP.example:80"] {
        assert_eq!(of(host), of("shop.example"), "{host}");
    }
    assert_ne!(of("shop.example"), of("shop"));
}
