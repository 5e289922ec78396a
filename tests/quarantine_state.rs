//! Tests for the quarantine state of one daemon.

use std::time::{Duration, Instant};

use jackdawpulley::quarantine::crash::{Crash, CrashId};
use jackdawpulley::quarantine::crash_set::COINCIDENCE_WINDOW;
use jackdawpulley::quarantine::fingerprint::{Content, Fingerprint};
use jackdawpulley::quarantine::shared::Quarantine;
use jackdawpulley::units::Millis;

const BYSTANDER: Fingerprint = Fingerprint(7);

fn quarantine() -> Quarantine {
    Quarantine::new(Duration::from_hours(1))
}

/// A crash at which these requests were running, so many coincidence windows ago.
fn end(id: u64, moments: u32, running: &[Fingerprint]) -> Crash {
    Crash {
        age: Millis::from(COINCIDENCE_WINDOW * moments),
        ..Crash::new(CrashId(id), running.to_vec())
    }
}

fn is_refused(quarantine: &Quarantine, fingerprint: Fingerprint) -> bool {
    let until = quarantine.assessment(fingerprint).quarantined_until;
    until.is_some_and(|until| Instant::now() < until)
}

/// Guards against flooding the fleet with answers: after fifty targets were killed, each of 900 requests that
/// was retried and answered caused 1,200 datagrams. An answer after a single crash is not sent to peers.
#[test]
fn answers_of_bystanders_stay_here() {
    let quarantine = quarantine();
    let running: Vec<Fingerprint> = (0..18).map(Fingerprint).collect();
    quarantine.merge(&[end(1, 0, &running)]);
    assert_eq!(quarantine.take_updates().len(), 1);
    let hash = quarantine.hash();
    for one in &running {
        quarantine.record_answer(*one);
    }
    assert!(quarantine.take_updates().is_empty());
    assert_eq!(quarantine.hash(), hash);
}

/// A lookup is running at one crash, is answered, and is running at two more. Its answer counts although no
/// peer was told at the time.
#[test]
fn answer_between_two_ends_counts() {
    let quarantine = quarantine();
    quarantine.merge(&[end(1, 9, &[BYSTANDER])]);
    quarantine.record_answer(BYSTANDER);
    quarantine.merge(&[end(2, 6, &[BYSTANDER])]);
    quarantine.merge(&[end(3, 3, &[BYSTANDER])]);
    assert!(!is_refused(&quarantine, BYSTANDER));
    let told = quarantine.snapshot();
    assert_eq!(told[0].cleared, [BYSTANDER], "the others hear of it now");
    quarantine.merge(&[end(4, 0, &[BYSTANDER])]);
    assert!(
        is_refused(&quarantine, BYSTANDER),
        "three more without an answer"
    );
}

#[test]
fn answer_after_two_ends_is_told() {
    let quarantine = quarantine();
    quarantine.merge(&[end(1, 9, &[BYSTANDER]), end(2, 6, &[BYSTANDER])]);
    assert_eq!(quarantine.take_updates().len(), 2);
    quarantine.record_answer(BYSTANDER);
    assert_eq!(quarantine.take_updates().len(), 2);
    assert_eq!(quarantine.assessment(BYSTANDER).crashes, 0);
}

/// Guards against a request that evades the quarantine by another spelling of its host.
#[test]
fn spelling_is_no_escape() {
    let of = |host| Fingerprint::of("GET", host, "/x", Content::Whole(b""));
    for host in ["Shop.Example", "shop.example.", "SHOP.example:80"] {
        assert_eq!(of(host), of("shop.example"), "{host}");
    }
    assert_ne!(of("shop.example"), of("shop"));
}
