//! A request in quarantine on daemons that read the platform's log.

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
/// Time in which the daemons on the two sides of a cut find each other gone: one probe in four crosses it.
const PARTING: Duration = Duration::from_secs(20);
/// Time for which the request runs until its target ends, longer than ends at one moment are apart.
const WORK: Duration = Duration::from_millis(400);

/// Sends a request that works for a second; a target that is killed meanwhile has ended under it.
async fn grant(fleet: &Fleet, index: usize, name: &str) -> Answer {
    let headers = [("x-request", name), ("x-work-ms", "1000")];
    let request = Session::request(Method::POST, "/grants", &headers, "a studio");
    let mut session = Session::new(fleet.hosts[index].calls());
    let answer = session.send(request, PATIENCE).await;
    answer.expect("a whole answer")
}

/// Has the target end that runs a request, and come back.
async fn end_under(fleet: &mut Fleet, name: &str) {
    end_under_with(fleet, name, HOSTS).await;
}

/// The same where so many targets are offered.
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

/// Whether all daemons refuse one request before long.
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

/// A fleet that serves.
async fn serving(mut fleet: Fleet, places: &[Place]) -> Fleet {
    fleet.add(places).await;
    assert!(fleet.meets(places.len(), PATIENCE).await);
    let version = fleet.put(0, document(1)).await;
    assert!(fleet.converges(version, PATIENCE).await);
    assert!(fleet.offers(places.len(), PATIENCE).await);
    fleet
}

/// A fleet that refuses one request, since three targets have ended under it.
async fn refusing() -> Fleet {
    let mut fleet = serving(fleet(&[]).await, &places(HOSTS, 1)).await;
    for name in ["first", "second", "third"] {
        end_under(&mut fleet, name).await;
    }
    assert!(all_refuse(&fleet).await);
    fleet
}

/// One of two data centres is cut off while targets of the other end under a request. The cut heals, and the
/// caller goes on in the data centre that has heard of nothing: its targets must not end as well.
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
        "within the time of a cut daemon to be well again"
    );
    assert_refused(&fleet, "known").await;
}

async fn assert_refused(fleet: &Fleet, name: &str) {
    for index in 0..fleet.hosts.len() {
        let answer = grant(fleet, index, name).await;
        assert_eq!(answer.header(REASON), "quarantined", "{answer:?}");
        assert_eq!(answer.status, 503);
        let wait: u64 = answer.header("retry-after").parse().expect("a number");
        assert!((3_500..=3_600).contains(&wait), "an hour: {wait}");
    }
    assert_eq!(fleet.runs().len(), 3, "nothing runs after the third end");
}

/// A supervisor starts a target again within milliseconds of its end. A gate that looked 10 ms later found
/// somebody listening, took the end for a cut connection, and the request went on ending targets.
#[tokio::test(flavor = "multi_thread")]
async fn quick_restart_is_noticed() {
    let fleet = refusing().await;
    assert_refused(&fleet, "known").await;
}

/// Three targets have ended under a request, and the whole fleet loses power. Nobody is left who remembers
/// it, and its caller goes on: the daemons that start find it on the log and refuse it.
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
