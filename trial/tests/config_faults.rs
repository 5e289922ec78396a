//! Configuration updates during failures of the log, the network and daemons, with real processes.

mod common;

use std::time::Duration;

use common::{document, fleet, places};
use jackdaw_trial::rig::fleet::{get_json, wait_until};
use jackdaw_trial::rig::monitor::Monitor;
use jackdaw_trial::stand_in::log::{Faults, Mode};
use jackdawpulley::configuration::replica::{Base, Proposal};
use jackdawpulley::units::{EditId, Version};
use rustix::process::Signal;
use serde_json::Value;

/// Time within which an accepted version has to be active on all daemons.
const CONVERGENCE_TIMEOUT: Duration = Duration::from_secs(9);
/// Time within which a restarted or reconnected daemon has to serve again.
const RECOVERY_TIMEOUT: Duration = Duration::from_secs(20);

/// Guards against a restarted daemon that serves an older version than before: half of the daemons
/// are killed at once during updates and restarted together, so that the first version which one
/// receives may be outdated.
#[tokio::test(flavor = "multi_thread")]
async fn mass_restart_keeps_versions() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(12, 3)).await;
    let monitor = Monitor::start(&fleet);
    for round in 0..3 {
        fleet.publish_document(11, document(round * 10)).await;
        for index in 0..6 {
            fleet.kill_daemon(index);
        }
        let version = fleet.publish_document(10, document(round * 10 + 1)).await;
        // A fast log would hide a daemon that serves too early.
        fleet
            .set_log_faults(Faults {
                slow_ms: 400,
                ..Faults::default()
            })
            .await;
        for index in 0..6 {
            fleet.start_daemon(index);
        }
        for index in 0..6 {
            assert!(
                fleet.wait_for_ready(index, RECOVERY_TIMEOUT).await,
                "host {index} serves again"
            );
        }
        fleet.set_log_faults(Faults::default()).await;
        assert!(
            fleet.wait_for_version(version, CONVERGENCE_TIMEOUT).await,
            "round {round}"
        );
    }
    let report = monitor.finish().await;
    assert_eq!(report.faults, Vec::<String>::new());
    assert!(report.samples > 100, "{report:?}");
}

/// Guards against waiting for frozen daemons, and against their return to an older version: two
/// daemons are frozen while an edit is accepted, and continue with outdated updates in their
/// sockets.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_daemons_delay_nobody() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(9, 3)).await;
    let first = fleet.publish_document(0, document(1)).await;
    assert!(fleet.wait_for_version(first, CONVERGENCE_TIMEOUT).await);
    let monitor = Monitor::start(&fleet);
    let frozen = [1, 4];
    for index in frozen {
        fleet.signal_daemon(index, Signal::STOP);
    }
    let version = fleet.publish_document(0, document(2)).await;
    for index in [0, 2, 3, 5, 6, 7, 8] {
        let there = wait_until(CONVERGENCE_TIMEOUT, || async {
            fleet
                .version(index)
                .await
                .is_some_and(|have| have >= version)
        });
        assert!(there.await, "host {index} runs it");
    }
    for index in frozen {
        fleet.signal_daemon(index, Signal::CONT);
    }
    assert!(fleet.wait_for_version(version, CONVERGENCE_TIMEOUT).await);
    assert_eq!(monitor.finish().await.faults, Vec::<String>::new());
}

/// Guards against depending on the log for an accepted edit: the log fails right after accepting
/// it. Daemons that have not read the edit must get it from peers, and a daemon that restarts
/// meanwhile must not serve an older version.
#[tokio::test(flavor = "multi_thread")]
async fn accepted_edit_survives_log_outage() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(9, 3)).await;
    let monitor = Monitor::start(&fleet);
    let version = fleet.publish_document(3, document(1)).await;
    fleet
        .set_log_faults(Faults {
            mode: Mode::Refuse,
            ..Faults::default()
        })
        .await;
    assert!(fleet.wait_for_version(version, CONVERGENCE_TIMEOUT).await);
    fleet.kill_daemon(2);
    fleet.start_daemon(2);
    assert!(
        fleet.wait_for_ready(2, RECOVERY_TIMEOUT).await,
        "peers tell it which version it needs to become ready"
    );
    assert_eq!(fleet.version(2).await, Some(version));
    fleet.set_log_faults(Faults::default()).await;
    let version = fleet.publish_document(2, document(2)).await;
    assert!(fleet.wait_for_version(version, CONVERGENCE_TIMEOUT).await);
    assert_eq!(monitor.finish().await.faults, Vec::<String>::new());
}

/// Guards against a wrong or duplicate result when the log appends an edit and its response is
/// lost. The publisher must find the edit on the log; publishing it again under the same identifier
/// must not create a second version.
#[tokio::test(flavor = "multi_thread")]
async fn lost_log_response_is_recovered() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(3, 3)).await;
    fleet
        .set_log_faults(Faults {
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
    let (status, first) = fleet.publish(0, &edit).await.expect("a response");
    assert_eq!((status, first["outcome"].as_str()), (200, Some("accepted")));
    let (status, again) = fleet.publish(1, &edit).await.expect("a response");
    assert_eq!(status, 200);
    assert_eq!(first["version"], again["version"]);
    fleet.set_log_faults(Faults::default()).await;
    let next = fleet.publish_document(2, document(2)).await;
    assert!(next.0 > first["version"].as_u64().expect("a version"));
}

/// Guards against reporting a conflict for an edit that is active on all daemons: with a slow log,
/// an accepted edit often reaches its publisher through a peer before the log's response does, and
/// the publisher took it for an edit of another operator.
#[tokio::test(flavor = "multi_thread")]
async fn own_edit_is_no_conflict() {
    let mut fleet = fleet(&["--readers", "1"]).await;
    fleet.add_hosts(&places(4, 1)).await;
    assert!(fleet.wait_for_members(4, RECOVERY_TIMEOUT).await);
    fleet
        .set_log_faults(Faults {
            slow_ms: 50,
            ..Faults::default()
        })
        .await;
    let mut base = fleet.version(0).await.expect("it serves");
    for number in 0..12 {
        assert!(fleet.wait_for_version(base, CONVERGENCE_TIMEOUT).await);
        let id = EditId(format!("edit-{number}"));
        let edit = Proposal {
            id,
            base: Base::Version(base),
            document: document(number),
        };
        let index = usize::try_from(number % 4).expect("small");
        let (status, response) = fleet.publish(index, &edit).await.expect("a response");
        assert_eq!(status, 200, "{response}");
        base = Version(response["version"].as_u64().expect("a version"));
    }
}

/// Guards against reporting an edit as failed when the log does not respond: its outcome is unknown,
/// and the same edit can be published again when the log is back.
#[tokio::test(flavor = "multi_thread")]
async fn hanging_log_means_unknown() {
    let mut fleet = fleet(&[]).await;
    fleet.add_hosts(&places(3, 3)).await;
    fleet
        .set_log_faults(Faults {
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
    let (status, response) = fleet.publish(0, &edit).await.expect("a response");
    assert_eq!(
        (status, response["outcome"].as_str()),
        (503, Some("unknown")),
        "{response}"
    );
    fleet
        .set_log_faults(Faults {
            slow_ms: 300,
            ..Faults::default()
        })
        .await;
    let (status, response) = fleet.publish(0, &edit).await.expect("a response");
    assert_eq!(
        (status, response["outcome"].as_str()),
        (200, Some("accepted")),
        "{response}"
    );
}

/// Guards against losing the accepted configuration to the log's retention: checkpoints have to
/// keep it readable for daemons that all start anew.
#[tokio::test(flavor = "multi_thread")]
async fn checkpoints_survive_retention() {
    let mut fleet = fleet(&["--checkpoint-ms", "300"]).await;
    fleet
        .set_log_faults(Faults {
            retain: 6,
            ..Faults::default()
        })
        .await;
    fleet.add_hosts(&places(4, 2)).await;
    let mut version = fleet.publish_document(0, document(0)).await;
    for number in 1..12 {
        version = fleet
            .publish_document(
                usize::try_from(number % 4).expect("small"),
                document(number),
            )
            .await;
    }
    assert!(fleet.wait_for_version(version, CONVERGENCE_TIMEOUT).await);
    // More than eight further checkpoints push all edits out of the retention of 6 records.
    let appends = fleet.log_stats().await.appends;
    let pushed = wait_until(RECOVERY_TIMEOUT, || async {
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
        assert!(fleet.wait_for_ready(index, RECOVERY_TIMEOUT).await);
        assert_eq!(
            fleet.version(index).await,
            Some(version),
            "host {index} found the checkpoint"
        );
    }
    let next = fleet.publish_document(3, document(99)).await;
    assert!(fleet.wait_for_version(next, CONVERGENCE_TIMEOUT).await);
}

/// Guards against an edit that does not reach both sides of a network partition between data
/// centres while the log is slow, and against separate views after the partition heals.
#[tokio::test(flavor = "multi_thread")]
async fn partition_heals() {
    let mut fleet = fleet(&["--suspicion-ms", "1500"]).await.with_network();
    fleet.add_hosts(&places(6, 2)).await;
    assert!(fleet.wait_for_members(6, RECOVERY_TIMEOUT).await);
    let monitor = Monitor::start(&fleet);
    let net = fleet.net.clone().expect("it has one");
    net.partition("dc-0", "dc-1");
    assert!(
        fleet.wait_for_members(3, RECOVERY_TIMEOUT).await,
        "each side sees itself alone"
    );
    fleet
        .set_log_faults(Faults {
            slow_ms: 200,
            ..Faults::default()
        })
        .await;
    let version = fleet.publish_document(0, document(1)).await;
    assert!(
        fleet.wait_for_version(version, CONVERGENCE_TIMEOUT).await,
        "on both sides of the partition"
    );
    net.heal();
    assert!(
        fleet.wait_for_members(6, RECOVERY_TIMEOUT).await,
        "one view again"
    );
    let version = fleet.publish_document(5, document(2)).await;
    assert!(fleet.wait_for_version(version, CONVERGENCE_TIMEOUT).await);
    assert_eq!(monitor.finish().await.faults, Vec::<String>::new());
}

/// Guards against a data centre that misses a version when its only reader is killed and the log
/// fails before another daemon takes over: only the digests on the probes from other data centres
/// announce the version.
#[tokio::test(flavor = "multi_thread")]
async fn reader_and_log_fail() {
    let mut fleet = fleet(&["--readers", "1"]).await;
    fleet.add_hosts(&places(8, 2)).await;
    assert!(fleet.wait_for_members(8, RECOVERY_TIMEOUT).await);
    let monitor = Monitor::start(&fleet);
    let settled = wait_until(RECOVERY_TIMEOUT, || async {
        fleet.log_stats().await.waiting == 2
    });
    assert!(
        settled.await,
        "one daemon of each data centre reads the log"
    );
    let mut reader = None;
    for index in [1, 3, 5, 7] {
        let state: Option<Value> = get_json(fleet.hosts[index].operator_address(), "/state").await;
        if state.is_some_and(|state| state["reads_log"] == true) {
            reader = Some(index);
        }
    }
    fleet.kill_daemon(reader.expect("one of the data centre reads"));
    let version = fleet.publish_document(0, document(1)).await;
    fleet
        .set_log_faults(Faults {
            mode: Mode::Hang,
            ..Faults::default()
        })
        .await;
    assert!(fleet.wait_for_version(version, CONVERGENCE_TIMEOUT).await);
    assert_eq!(monitor.finish().await.faults, Vec::<String>::new());
}
