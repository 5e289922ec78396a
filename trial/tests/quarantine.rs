//! Quarantine of requests that crash targets, on daemons that read the platform's log.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{document, fleet, places};
use futures_util::future::join_all;
use http::Method;
use jackdaw_trial::rig::deployment::Placement;
use jackdaw_trial::rig::fleet::{Fleet, get_json, wait_until};
use jackdaw_trial::rig::session::{Answer, Session};
use jackdawpulley::calls::outcome::REASON;
use rustix::process::Signal;

const TIMEOUT: Duration = Duration::from_secs(8);
const HOST_COUNT: usize = 3;
/// Time within which daemons detect that those across a partition are gone: one probe in four crosses it.
const PARTITION_TIMEOUT: Duration = Duration::from_secs(20);
/// Time for which the request runs before its target is killed, longer than the interval within which
/// crashes count as simultaneous.
const RUN_TIME: Duration = Duration::from_millis(400);

/// Sends a request that runs for one second, so that its target can be killed meanwhile.
async fn send_request(fleet: &Fleet, index: usize, name: &str) -> Answer {
    let headers = [("x-request", name), ("x-work-ms", "1000")];
    let request = Session::request(Method::POST, "/grants", &headers, "a studio");
    let mut session = Session::new(fleet.hosts[index].call_address());
    let response = session.send(request, TIMEOUT).await;
    response.expect("a complete response")
}

/// Kills the target that runs the request, and restarts it.
async fn crash_target(fleet: &mut Fleet, name: &str) {
    crash_target_of(fleet, name, HOST_COUNT).await;
}

/// Kills and restarts the target, in a network part with `targets` targets.
async fn crash_target_of(fleet: &mut Fleet, name: &str, targets: usize) {
    let runs = || fleet.runs().into_iter().find(|run| run.request == name);
    let (response, target) = tokio::join!(send_request(fleet, 0, name), async {
        assert!(wait_until(TIMEOUT, || std::future::ready(runs().is_some())).await);
        tokio::time::sleep(RUN_TIME).await;
        let target = runs().expect("it runs").target;
        let mut hosts = fleet.hosts.iter();
        let index = hosts
            .position(|host| host.target_address() == target)
            .expect("known");
        let target = fleet.hosts[index].target.as_ref().expect("it runs");
        target.signal(Signal::KILL);
        index
    });
    assert_eq!(response.header(REASON), "broken");
    fleet.start_target(target);
    assert!(fleet.wait_for_upstreams(targets, TIMEOUT).await);
}

/// Whether all daemons come to quarantine exactly one request.
async fn all_quarantine(fleet: &Fleet) -> bool {
    let all = fleet.hosts.iter().map(|host| {
        let operator = host.operator_address();
        wait_until(TIMEOUT, move || async move {
            let state: Option<serde_json::Value> = get_json(operator, "/state").await;
            let refused = state.and_then(|state| state["quarantined"].as_array().map(Vec::len));
            refused == Some(1)
        })
    });
    join_all(all).await.into_iter().all(|refuses| refuses)
}

/// Starts the hosts and waits until all of them serve.
async fn start_serving(mut fleet: Fleet, places: &[Placement]) -> Fleet {
    fleet.add_hosts(places).await;
    assert!(fleet.wait_for_members(places.len(), TIMEOUT).await);
    let version = fleet.publish_document(0, document(1)).await;
    assert!(fleet.wait_for_version(version, TIMEOUT).await);
    assert!(fleet.wait_for_upstreams(places.len(), TIMEOUT).await);
    fleet
}

/// Starts a fleet that quarantines one request, after three target crashes.
async fn start_quarantining() -> Fleet {
    let mut fleet = start_serving(fleet(&[]).await, &places(HOST_COUNT, 1)).await;
    for name in ["first", "second", "third"] {
        crash_target(&mut fleet, name).await;
    }
    assert!(all_quarantine(&fleet).await);
    fleet
}

/// Guards against crashes in one of two data centres that was partitioned off while the other one quarantined
/// the request: its daemons must learn of the crashes when the partition heals.
#[tokio::test(flavor = "multi_thread")]
async fn partitioned_daemons_learn_crashes() {
    let mut fleet = fleet(&["--suspicion-ms", "1000"]).await.with_network();
    let net = Arc::clone(fleet.net.as_ref().expect("it has one"));
    let mut places = places(HOST_COUNT + 1, 2);
    places.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
    fleet = start_serving(fleet, &places).await;
    net.partition("dc-0", "dc-1");
    let inside = HOST_COUNT.div_ceil(2);
    assert!(fleet.wait_for_upstreams(inside, PARTITION_TIMEOUT).await);
    for name in ["first", "second", "third"] {
        crash_target_of(&mut fleet, name, inside).await;
    }
    net.heal();
    assert!(
        all_quarantine(&fleet).await,
        "all daemons refuse the request within the time-out after the partition heals"
    );
    assert_quarantined(&fleet, "known").await;
}

async fn assert_quarantined(fleet: &Fleet, name: &str) {
    for index in 0..fleet.hosts.len() {
        let response = send_request(fleet, index, name).await;
        assert_eq!(response.header(REASON), "quarantined", "{response:?}");
        assert_eq!(response.status, 503);
        let wait: u64 = response.header("retry-after").parse().expect("a number");
        assert!(
            (3_500..=3_600).contains(&wait),
            "about one hour, in seconds: {wait}"
        );
    }
    assert_eq!(fleet.runs().len(), 3, "nothing runs after the third crash");
}

/// Guards against missing a crash when a supervisor restarts the target within milliseconds: a sidecar
/// that checked 10 ms later found the port open, took the crash for a broken connection, and the
/// request went on crashing targets.
#[tokio::test(flavor = "multi_thread")]
async fn quick_restart_is_noticed() {
    let fleet = start_quarantining().await;
    assert_quarantined(&fleet, "known").await;
}

/// Guards against losing the quarantine of a request that crashed three targets when all daemons are
/// killed at once: the restarted daemons must restore it from the log.
#[tokio::test(flavor = "multi_thread")]
async fn quarantine_survives_restart() {
    let mut fleet = start_quarantining().await;
    for index in 0..HOST_COUNT {
        fleet.kill_daemon(index);
    }
    for index in 0..HOST_COUNT {
        fleet.start_daemon(index);
    }
    for index in 0..HOST_COUNT {
        assert!(fleet.wait_for_ready(index, TIMEOUT).await);
    }
    assert_quarantined(&fleet, "after").await;
}
