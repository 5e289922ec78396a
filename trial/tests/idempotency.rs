//! Idempotency keys while daemons are killed and the log is unavailable, with real processes.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::{document, fleet, places};
use http::Method;
use jackdaw_trial::rig::fleet::{Fleet, wait_until};
use jackdaw_trial::rig::session::{Answer, Session};
use jackdaw_trial::stand_in::log::{Faults, Mode};
use jackdawpulley::calls::outcome::{OUTCOME, REASON};
use jackdawpulley::configuration::document::{Document, Guard};

const TIMEOUT: Duration = Duration::from_secs(8);

fn document_with_claims() -> Document {
    let mut document = document(1);
    for route in document.routes.iter_mut().filter(|route| !route.repeatable) {
        route.guard = Guard::Claim;
    }
    document
}

async fn start(count: usize, document: Document) -> Fleet {
    let mut fleet = fleet(&["--suspicion-ms", "1000"]).await;
    fleet.add_hosts(&places(count, 1)).await;
    assert!(fleet.wait_for_members(count, TIMEOUT).await);
    let version = fleet.publish_document(0, document).await;
    assert!(fleet.wait_for_version(version, TIMEOUT).await);
    for index in 0..count {
        let operator = fleet.hosts[index].operator_address();
        let all = wait_until(TIMEOUT, || async move {
            let state: Option<serde_json::Value> =
                jackdaw_trial::rig::fleet::get_json(operator, "/state").await;
            state.is_some_and(|s| s["upstreams"].as_array().is_some_and(|u| u.len() == count))
        });
        assert!(all.await, "host {index} sees all upstreams");
    }
    fleet
}

async fn send_with_key(ingress: SocketAddr, key: &str, work: &str) -> Answer {
    let headers = [
        ("x-request", key),
        ("x-work-ms", work),
        ("idempotency-key", key),
    ];
    let request = Session::request(Method::POST, "/grants", &headers, "");
    Session::new(ingress)
        .send(request, TIMEOUT)
        .await
        .expect("a complete response")
}

fn run_count(fleet: &Fleet, key: &str) -> usize {
    fleet.runs().iter().filter(|run| run.request == key).count()
}

/// Guards against a second run, or a different response, when a key is repeated through every host
/// while the first request runs and after it.
#[tokio::test(flavor = "multi_thread")]
async fn repeats_get_the_first_response() {
    for document in [document(1), document_with_claims()] {
        let fleet = start(4, document).await;
        for number in 0..6 {
            let key = format!("booking-{number}");
            let ingresses: Vec<SocketAddr> = fleet
                .hosts
                .iter()
                .map(jackdaw_trial::rig::host::Host::call_address)
                .collect();
            let early: Vec<_> = ingresses
                .iter()
                .map(|ingress| {
                    let (ingress, key) = (*ingress, key.clone());
                    tokio::spawn(async move { send_with_key(ingress, &key, "200").await })
                })
                .collect();
            let mut responses = Vec::new();
            for response in early {
                responses.push(response.await.expect("it ends"));
            }
            for ingress in ingresses {
                responses.push(send_with_key(ingress, &key, "0").await);
            }
            for response in &responses {
                assert_eq!(response.header(OUTCOME), "answered", "{response:?}");
                assert_eq!(response.body, responses[0].body);
            }
            assert_eq!(run_count(&fleet, &key), 1);
        }
    }
}

/// Guards against a second run after the key's holder is killed before it responds: the request may
/// have run, so repeats through other hosts get an unknown outcome.
#[tokio::test(flavor = "multi_thread")]
async fn killed_holder_means_unknown() {
    for document in [document(1), document_with_claims()] {
        let mut fleet = start(4, document).await;
        let ingress = fleet.hosts[0].call_address();
        let first = tokio::spawn(async move {
            let headers = [
                ("x-request", "k"),
                ("x-work-ms", "1500"),
                ("idempotency-key", "k"),
            ];
            let request = Session::request(Method::POST, "/grants", &headers, "");
            Session::new(ingress).send(request, TIMEOUT).await
        });
        let running = wait_until(TIMEOUT, || std::future::ready(run_count(&fleet, "k") == 1)).await;
        assert!(running);
        let target = fleet.runs()[0].target;
        let holder = fleet
            .hosts
            .iter()
            .position(|host| host.target_address() == target)
            .expect("known");
        fleet.kill_daemon(holder);
        let _ = first.await;
        assert!(
            fleet.wait_for_members(3, TIMEOUT).await,
            "the other daemons see it as gone"
        );
        for index in (0..4).filter(|index| *index != holder) {
            let response = send_with_key(fleet.hosts[index].call_address(), "k", "0").await;
            assert_eq!(response.header(OUTCOME), "unknown", "{response:?}");
        }
        fleet.start_daemon(holder);
        assert!(
            fleet.wait_for_ready(holder, TIMEOUT).await && fleet.wait_for_members(4, TIMEOUT).await
        );
        for host in &fleet.hosts {
            let response = send_with_key(host.call_address(), "k", "0").await;
            assert_ne!(response.header(OUTCOME), "answered", "{response:?}");
        }
        assert_eq!(run_count(&fleet, "k"), 1);
        let fresh = send_with_key(fleet.hosts[0].call_address(), "other", "0").await;
        assert_ne!(fresh.header(REASON), "log-away");
    }
}

/// Guards against running a request that needs a claim, or refusing it only near its deadline, while
/// the log is unavailable. When the log is back, the same key runs once.
#[tokio::test(flavor = "multi_thread")]
async fn unavailable_log_prevents_claims() {
    let fleet = start(2, document_with_claims()).await;
    assert_eq!(
        send_with_key(fleet.hosts[0].call_address(), "warm", "0")
            .await
            .header(OUTCOME),
        "answered"
    );
    fleet
        .set_log_faults(Faults {
            mode: Mode::Refuse,
            ..Faults::default()
        })
        .await;
    let began = Instant::now();
    let response = send_with_key(fleet.hosts[0].call_address(), "k", "0").await;
    assert_eq!(
        (response.header(OUTCOME), response.header(REASON)),
        ("not-run", "log-away")
    );
    assert!(began.elapsed() < Duration::from_secs(1));
    assert_eq!(run_count(&fleet, "k"), 0);
    fleet.set_log_faults(Faults::default()).await;
    let back = wait_until(TIMEOUT, || async {
        send_with_key(fleet.hosts[1].call_address(), "k", "0")
            .await
            .header(OUTCOME)
            == "answered"
    });
    assert!(back.await);
    assert_eq!(run_count(&fleet, "k"), 1);
}

/// Guards against a second run, and against keys that stay claimed after a "not run" outcome, when
/// the log appends claims and its responses are lost.
#[tokio::test(flavor = "multi_thread")]
async fn unconfirmed_claims_are_released() {
    let fleet = start(2, document_with_claims()).await;
    assert_eq!(
        send_with_key(fleet.hosts[0].call_address(), "warm", "0")
            .await
            .header(OUTCOME),
        "answered"
    );
    fleet
        .set_log_faults(Faults {
            mode: Mode::LoseAnswers,
            ..Faults::default()
        })
        .await;
    for number in 0..5 {
        let response = send_with_key(
            fleet.hosts[number % 2].call_address(),
            &format!("k{number}"),
            "0",
        )
        .await;
        assert_eq!(response.header(OUTCOME), "not-run", "{response:?}");
    }
    fleet.set_log_faults(Faults::default()).await;
    for number in 0..5 {
        let key = format!("k{number}");
        let runs = wait_until(TIMEOUT, || async {
            send_with_key(fleet.hosts[number % 2].call_address(), &key, "0")
                .await
                .header(OUTCOME)
                == "answered"
        });
        assert!(runs.await, "{key} can be claimed again");
        assert_eq!(run_count(&fleet, &key), 1);
    }
}
