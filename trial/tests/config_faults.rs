//! The configuration under failure, with real processes.

mod common;

use std::time::Duration;

use common::{document, fleet, places};
use jackdaw_trial::rig::fleet::{get, until};
use jackdaw_trial::rig::watch::Watch;
use jackdaw_trial::stand_in::log::{Faults, Mode};
use jackdawpulley::configuration::replica::{Base, Proposal};
use jackdawpulley::units::{EditId, Version};
use rustix::process::Signal;
use serde_json::Value;

/// Time within which an accepted version has to be in force everywhere.
const SECONDS: Duration = Duration::from_secs(9);
/// Time for a daemon that comes back.
const RETURN: Duration = Duration::from_secs(20);

/// Half of the daemons are killed at once while versions go out, and all come back in the same
/// moment. A daemon that served the first thing it heard would serve an older version than before.
#[tokio::test(flavor = "multi_thread")]
async fn herd_dies_and_returns() {
    let mut fleet = fleet(&[]).await;
    fleet.add(&places(12, 3)).await;
    let watch = Watch::start(&fleet);
    for round in 0..3 {
        fleet.put(11, document(round * 10)).await;
        for index in 0..6 {
            fleet.kill_daemon(index);
        }
        let version = fleet.put(10, document(round * 10 + 1)).await;
        // The log is slow just then, so that it can't hide a daemon that serves too early.
        fleet
            .fail_log(Faults {
                slow_ms: 400,
                ..Faults::default()
            })
            .await;
        for index in 0..6 {
            fleet.start_daemon(index);
        }
        for index in 0..6 {
            assert!(fleet.serves(index, RETURN).await, "{index} serves again");
        }
        fleet.fail_log(Faults::default()).await;
        assert!(fleet.converges(version, SECONDS).await, "round {round}");
    }
    let verdict = watch.finish().await;
    assert_eq!(verdict.faults, Vec::<String>::new());
    assert!(verdict.samples > 100, "{verdict:?}");
}

/// The readers of a data centre are frozen while an edit is accepted, and continued afterwards
/// with updates of that time still in their sockets. Nobody may wait for them, and they may not
/// go back.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_daemons_hold_nobody_up() {
    let mut fleet = fleet(&[]).await;
    fleet.add(&places(9, 3)).await;
    let first = fleet.put(0, document(1)).await;
    assert!(fleet.converges(first, SECONDS).await);
    let watch = Watch::start(&fleet);
    let frozen = [1, 4];
    for index in frozen {
        fleet.signal_daemon(index, Signal::STOP);
    }
    let version = fleet.put(0, document(2)).await;
    for index in [0, 2, 3, 5, 6, 7, 8] {
        let there = until(SECONDS, || async {
            fleet
                .version(index)
                .await
                .is_some_and(|have| have >= version)
        });
        assert!(there.await, "{index} runs it");
    }
    for index in frozen {
        fleet.signal_daemon(index, Signal::CONT);
    }
    assert!(fleet.converges(version, SECONDS).await);
    assert_eq!(watch.finish().await.faults, Vec::<String>::new());
}

/// The log goes away in the moment in which an edit has been accepted. Daemons that have not read
/// it yet must get it from the others, and one that restarts meanwhile must not serve less.
#[tokio::test(flavor = "multi_thread")]
async fn log_vanishes_after_acceptance() {
    let mut fleet = fleet(&[]).await;
    fleet.add(&places(9, 3)).await;
    let watch = Watch::start(&fleet);
    let version = fleet.put(3, document(1)).await;
    fleet
        .fail_log(Faults {
            mode: Mode::Refuse,
            ..Faults::default()
        })
        .await;
    assert!(fleet.converges(version, SECONDS).await);
    fleet.kill_daemon(2);
    fleet.start_daemon(2);
    assert!(fleet.serves(2, RETURN).await, "peers give it a floor");
    assert_eq!(fleet.version(2).await, Some(version));
    fleet.fail_log(Faults::default()).await;
    let version = fleet.put(2, document(2)).await;
    assert!(fleet.converges(version, SECONDS).await);
    assert_eq!(watch.finish().await.faults, Vec::<String>::new());
}

/// The log takes appends and loses its answers. The publisher must find its edit again instead of
/// guessing, and publishing once more under the same identifier must not make a second version.
#[tokio::test(flavor = "multi_thread")]
async fn lost_answer_is_found_again() {
    let mut fleet = fleet(&[]).await;
    fleet.add(&places(3, 3)).await;
    fleet
        .fail_log(Faults {
            mode: Mode::LoseAnswers,
            ..Faults::default()
        })
        .await;
    let base = Base::Version(fleet.version(0).await.expect("it serves"));
    let edit = Proposal {
        id: EditId::from("lost"),
        base,
        document: document(1),
    };
    let (status, first) = fleet.publish(0, &edit).await.expect("an answer");
    assert_eq!((status, first["outcome"].as_str()), (200, Some("accepted")));
    let (status, again) = fleet.publish(1, &edit).await.expect("an answer");
    assert_eq!(status, 200);
    assert_eq!(first["version"], again["version"]);
    fleet.fail_log(Faults::default()).await;
    let next = fleet.put(2, document(2)).await;
    assert!(next.0 > first["version"].as_u64().expect("a version"));
}

/// The log is slow, so that an accepted edit often reaches its own publisher by a peer before the
/// log's answer does. The publisher took that for somebody else's edit and told its operator of a
/// conflict, with an edit that was in force everywhere.
#[tokio::test(flavor = "multi_thread")]
async fn own_edit_is_no_conflict() {
    let mut fleet = fleet(&["--readers", "1"]).await;
    fleet.add(&places(4, 1)).await;
    assert!(fleet.meets(4, RETURN).await);
    fleet
        .fail_log(Faults {
            slow_ms: 50,
            ..Faults::default()
        })
        .await;
    let mut base = fleet.version(0).await.expect("it serves");
    for number in 0..12 {
        assert!(fleet.converges(base, SECONDS).await);
        let id = EditId(format!("edit-{number}"));
        let edit = Proposal {
            id,
            base: Base::Version(base),
            document: document(number),
        };
        let index = usize::try_from(number % 4).expect("small");
        let (status, answer) = fleet.publish(index, &edit).await.expect("an answer");
        assert_eq!(status, 200, "{answer}");
        base = Version(answer["version"].as_u64().expect("a version"));
    }
}

/// The log hangs: an operator is told that the fate is unknown and what to do, not that the edit
/// failed. When the log is back, the same edit can be published again.
#[tokio::test(flavor = "multi_thread")]
async fn silent_log_means_unknown() {
    let mut fleet = fleet(&[]).await;
    fleet.add(&places(3, 3)).await;
    fleet
        .fail_log(Faults {
            mode: Mode::Hang,
            ..Faults::default()
        })
        .await;
    let base = Base::Version(fleet.version(0).await.expect("it serves"));
    let edit = Proposal {
        id: EditId::from("hung"),
        base,
        document: document(1),
    };
    let (status, answer) = fleet.publish(0, &edit).await.expect("an answer");
    assert_eq!(
        (status, answer["outcome"].as_str()),
        (503, Some("unknown")),
        "{answer}"
    );
    fleet
        .fail_log(Faults {
            slow_ms: 300,
            ..Faults::default()
        })
        .await;
    let (status, answer) = fleet.publish(0, &edit).await.expect("an answer");
    assert_eq!(
        (status, answer["outcome"].as_str()),
        (200, Some("accepted")),
        "{answer}"
    );
}

/// The log forgets almost everything, after an outage as well. Checkpoints keep the accepted
/// state inside its retention, so that a newcomer and a whole new fleet still find it.
#[tokio::test(flavor = "multi_thread")]
async fn records_expire() {
    let mut fleet = fleet(&["--checkpoint-ms", "300"]).await;
    fleet
        .fail_log(Faults {
            retain: 6,
            ..Faults::default()
        })
        .await;
    fleet.add(&places(4, 2)).await;
    let mut version = fleet.put(0, document(0)).await;
    for number in 1..12 {
        version = fleet
            .put(
                usize::try_from(number % 4).expect("small"),
                document(number),
            )
            .await;
    }
    assert!(fleet.converges(version, SECONDS).await);
    // Checkpoints alone push the edits out of the retention.
    let appends = fleet.log_stats().await.appends;
    let pushed = until(RETURN, || async {
        fleet.log_stats().await.appends > appends + 8
    });
    assert!(pushed.await, "checkpoints are written");
    for index in 0..4 {
        fleet.kill_daemon(index);
    }
    for index in 0..4 {
        fleet.start_daemon(index);
    }
    for index in 0..4 {
        assert!(fleet.serves(index, RETURN).await);
        assert_eq!(
            fleet.version(index).await,
            Some(version),
            "{index} found the checkpoint"
        );
    }
    let next = fleet.put(3, document(99)).await;
    assert!(fleet.converges(next, SECONDS).await);
}

/// Two data centres part while an edit is accepted and the log is slow as well. Both sides have
/// their own readers, and one view after the cut.
#[tokio::test(flavor = "multi_thread")]
async fn data_centres_part() {
    let mut fleet = fleet(&["--suspicion-ms", "1500"]).await.with_net();
    fleet.add(&places(6, 2)).await;
    assert!(fleet.meets(6, RETURN).await);
    let watch = Watch::start(&fleet);
    let net = fleet.net.clone().expect("it has one");
    net.cut("dc-0", "dc-1");
    assert!(fleet.meets(3, RETURN).await, "each side sees itself alone");
    fleet
        .fail_log(Faults {
            slow_ms: 200,
            ..Faults::default()
        })
        .await;
    let version = fleet.put(0, document(1)).await;
    assert!(
        fleet.converges(version, SECONDS).await,
        "on both sides of the cut"
    );
    net.heal();
    assert!(fleet.meets(6, RETURN).await, "one view again");
    let version = fleet.put(5, document(2)).await;
    assert!(fleet.converges(version, SECONDS).await);
    assert_eq!(watch.finish().await.faults, Vec::<String>::new());
}

/// The one reader of a data centre is killed and the log goes away before another has stepped in.
/// The data centre hears of the version only from the digests on probes of the others.
#[tokio::test(flavor = "multi_thread")]
async fn reader_dies_with_the_log() {
    let mut fleet = fleet(&["--readers", "1"]).await;
    fleet.add(&places(8, 2)).await;
    assert!(fleet.meets(8, RETURN).await);
    let watch = Watch::start(&fleet);
    let settled = until(RETURN, || async { fleet.log_stats().await.waiting == 2 });
    assert!(
        settled.await,
        "one daemon of each data centre waits at the log"
    );
    let mut reader = None;
    for index in [1, 3, 5, 7] {
        let state: Option<Value> = get(fleet.hosts[index].operator(), "/state").await;
        if state.is_some_and(|state| state["reads_log"] == true) {
            reader = Some(index);
        }
    }
    fleet.kill_daemon(reader.expect("one of the data centre reads"));
    let version = fleet.put(0, document(1)).await;
    fleet
        .fail_log(Faults {
            mode: Mode::Hang,
            ..Faults::default()
        })
        .await;
    assert!(fleet.converges(version, SECONDS).await);
    assert_eq!(watch.finish().await.faults, Vec::<String>::new());
}
