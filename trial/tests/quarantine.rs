//! Quarantine of requests that crash targets, on daemons that read the platform's log.

mod common;

use std::sync::Arc;
use std::time::Duration;

use common::{document, fleet, places};
use futures_util::future::join_all;
use http::Method;
use jackdaw_trial::rig::deployment::Place;
use jackdaw_trial::rig::fleet::{Fleet, get, until};
use jackdaw_trial::rig::session::{Answer, Session};
use jackdawpulley::calls::outcome::REASON;
use rustix::process::Signal;

const PATIENCE: Duration = Duration::from_secs(8);
const HOSTS: usize = 3;
/// Time within which daemons detect that those across a partition are gone: one probe in four crosses it.
const PARTING: Duration = Duration::from_secs(20);
/// Time for which the request runs before its target is killed, longer than the interval within which
/// crashes count as simultaneous.
const WORK: Duration = Duration::from_millis(400);

/// Sends a request that runs for one second, so that its target can be killed meanwhile.
async fn grant(fleet: &Fleet, index: usize, name: &str) -> Answer {
    let headers = [("x-request", name), ("x-work-ms", "1000")];
    let request = Session::request(Method::POST, "/grants", &headers, "a studio");
    let mut session = Session::new(fleet.hosts[index].calls());
    let answer = session.send(request, PATIENCE).await;
    answer.expect("a whole answer")
}

/// Kills the target that runs the request, and restarts it.
async fn end_under(fleet: &mut Fleet, name: &str) {
    end_under_with(fleet, name, HOSTS).await;
}

/// Kills and restarts the target, in a network part with `targets` targets.
async fn end_under_with(fleet: &mut Fleet, name: &str, targets: usize) {
    let runs = || fleet.runs().into_iter().find(|run| run.request == name);
    let (answer, target) = tokio::join!(grant(fleet, 0, name), async {
        assert!(until(PATIENCE, || std::future::ready(runs().is_some())).await);
        tokio::time::sleep(WORK).await;
        let target = runs().expect("it runs").target;
        let mut hosts = fleet.hosts.iter();
        let index = hosts.position(|host| host.work() == target).expect("known");
        let target = fleet.hosts[index].target.as_ref().expect("it runs");
        target.signal(Signal::KILL);
        index
    });
    assert_eq!(answer.header(REASON), "broken");
    fleet.start_target(target);
    assert!(fleet.offers(targets, PATIENCE).await);
}

/// Whether all daemons come to quarantine exactly one request.
async fn all_refuse(fleet: &Fleet) -> bool {
    let all = fleet.hosts.iter().map(|host| {
        let operator = host.operator();
        until(PATIENCE, move || async move {
            let state: Option<serde_json::Value> = get(operator, "/state").await;
            let refused = state.and_then(|state| state["quarantined"].as_array().map(Vec::len));
            refused == Some(1)
        })
    });
    join_all(all).await.into_iter().all(|refuses| refuses)
}

/// Starts the hosts and waits until all of them serve.
async fn serving(mut fleet: Fleet, places: &[Place]) -> Fleet {
    fleet.add(places).await;
    assert!(fleet.meets(places.len(), PATIENCE).await);
    let version = fleet.put(0, document(1)).await;
    assert!(fleet.converges(version, PATIENCE).await);
    assert!(fleet.offers(places.len(), PATIENCE).await);
    fleet
}

/// Starts a fleet that quarantines one request, after three target crashes.
async fn refusing() -> Fleet {
    let mut fleet = serving(fleet(&[]).await, &places(HOSTS, 1)).await;
    for name in ["first", "second", "third"] {
        end_under(&mut fleet, name).await;
    }
    assert!(all_refuse(&fleet).await);
    fleet
}

/// Guards against crashes in a data centre that was partitioned off while the other one quarantined
/// the request: its daemons must learn of the crashes when the partition heals.
#[tokio::test(flavor = "multi_thread")]
async fn cut_off_daemons_hear_of_it() {
    let mut fleet = fleet(&["--suspicion-ms", "1000"]).await.with_net();
    let net = Arc::clone(fleet.net.as_ref().expect("it has one"));
    let mut places = places(HOSTS + 1, 2);
    places.sort_by(|a, b| a.data_centre.cmp(&b.data_centre));
    fleet = serving(fleet, &places).await;
    net.cut("dc-0", "dc-1");
    let inside = HOSTS.div_ceil(2);
    assert!(fleet.offers(inside, PARTING).await);
    for name in ["first", "second", "third"] {
        end_under_with(&mut fleet, name, inside).await;
    }
    net.heal();
    assert!(
        all_refuse(&fleet).await,
        "all daemons refuse the request within the time-out after the partition heals"
    );
    assert_refused(&fleet, "known").await;
}

async fn assert_refused(fleet: &Fleet, name: &str) {
    for index in 0..fleet.hosts.len() {
        let answer = grant(fleet, index, name).await;
        assert_eq!(answer.header(REASON), "quarantined", "{answer:?}");
        assert_eq!(answer.status, 503);
        let wait: u64 = answer.header("retry-after").parse().expect("a number");
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
    let fleet = refusing().await;
    assert_refused(&fleet, "known").await;
}

/// Guards against losing a quarantine when all daemons are killed at once: the restarted daemons must
/// restore it from the log.
#[tokio::test(flavor = "multi_thread")]
async fn log_keeps_the_quarantine() {
    let mut fleet = refusing().await;
    for index in 0..HOSTS {
        fleet.kill_daemon(index);
    }
    for index in 0..HOSTS {
        fleet.start_daemon(index);
    }
    for index in 0..HOSTS {
        assert!(fleet.serves(index, PATIENCE).await);
    }
    assert_refused(&fleet, "after").await;
}
