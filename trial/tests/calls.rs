//! Responses to callers while targets and daemons fail, with real daemons.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::faulty_target::{Behaviour, Target, announce};
use common::{document, fleet, places};
use http::{Method, StatusCode};
use jackdaw_trial::rig::deployment::Placement;
use jackdaw_trial::rig::fleet::{Fleet, get_json, wait_until};
use jackdaw_trial::rig::session::{Answer, Failure, Session};
use jackdaw_trial::stand_in::target::Echo;
use jackdawpulley::calls::outcome::{OUTCOME, REASON};
use jackdawpulley::configuration::document::Document;
use jackdawpulley::units::{DataCentre, Millis, Slots};
use rustix::process::Signal;

const TIMEOUT: Duration = Duration::from_secs(8);

/// Starts hosts of which only those in `with_target` run a target.
async fn hosts(count: usize, with_target: &[usize], document: Document) -> Fleet {
    let mut fleet = fleet(&[]).await;
    let bare = |index: usize| Placement {
        data_centre: DataCentre::from("eros"),
        service: places(1, 1)[0]
            .service
            .clone()
            .filter(|_| with_target.contains(&index)),
    };
    fleet
        .add_hosts(&(0..count).map(bare).collect::<Vec<_>>())
        .await;
    for host in &mut fleet.hosts {
        host.placement.service.clone_from(&places(1, 1)[0].service);
    }
    assert!(fleet.wait_for_members(count, TIMEOUT).await);
    let version = fleet.publish_document(0, document).await;
    assert!(fleet.wait_for_version(version, TIMEOUT).await);
    fleet
}

/// Waits until a daemon knows `count` upstreams.
async fn wait_for_upstreams(fleet: &Fleet, index: usize, count: usize) {
    let operator = fleet.hosts[index].operator_address();
    let seen = wait_until(TIMEOUT, || async move {
        let state: Option<serde_json::Value> = get_json(operator, "/state").await;
        state.is_some_and(|s| {
            s["upstreams"]
                .as_array()
                .is_some_and(|all| all.len() == count)
        })
    });
    assert!(seen.await, "host {index} knows {count} upstreams");
}

async fn call(
    ingress: SocketAddr,
    method: Method,
    path: &str,
    name: &str,
) -> Result<Answer, Failure> {
    let request = Session::request(method, path, &[("x-request", name)], "");
    Session::new(ingress).send(request, TIMEOUT).await
}

fn outcome_and_reason(response: &Answer) -> (&str, &str) {
    (response.header(OUTCOME), response.header(REASON))
}

/// Guards against retrying a non-repeatable request that may have run: the target reads it and
/// closes the connection before it responds.
#[tokio::test(flavor = "multi_thread")]
async fn broken_connection_is_not_retried() {
    let fleet = hosts(2, &[], document(1)).await;
    let targets = [
        Target::start(&fleet.hosts[0], Behaviour::CloseAfterReading).await,
        Target::start(&fleet.hosts[1], Behaviour::CloseAfterReading).await,
    ];
    wait_for_upstreams(&fleet, 0, 2).await;
    let response = call(fleet.hosts[0].call_address(), Method::POST, "/grants", "g")
        .await
        .expect("a complete response");
    assert_eq!(outcome_and_reason(&response), ("unknown", "broken"));
    assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    assert_eq!(targets[0].count() + targets[1].count(), 1);
    let response = call(fleet.hosts[0].call_address(), Method::GET, "/titles", "t")
        .await
        .expect("a complete response");
    assert_eq!(
        outcome_and_reason(&response),
        ("unknown", "broken"),
        "a read is retried at the other target, which fails as well"
    );
    assert_eq!(targets[0].count() + targets[1].count(), 3);
}

/// Guards against failing a request that a target refused before running it: even a non-repeatable
/// request is retried at another target.
#[tokio::test(flavor = "multi_thread")]
async fn refused_request_is_retried() {
    let fleet = hosts(2, &[1], document(1)).await;
    let target = Target::start(&fleet.hosts[0], Behaviour::Refuse).await;
    wait_for_upstreams(&fleet, 0, 2).await;
    let all = wait_until(TIMEOUT, || async {
        let response = call(fleet.hosts[0].call_address(), Method::POST, "/grants", "g").await;
        assert_eq!(
            response.expect("a complete response").header(OUTCOME),
            "answered"
        );
        target.count() > 0
    });
    assert!(all.await, "the refusing target received a request");
}

/// Guards against an unknown outcome, or a wait until the deadline, when nothing listens at the
/// announced address: the request can't have run, and the caller gets a `retry-after` at once.
#[tokio::test(flavor = "multi_thread")]
async fn unreachable_target_fails_fast() {
    let fleet = hosts(1, &[], document(1)).await;
    announce(&fleet.hosts[0], SocketAddr::new(fleet.hosts[0].ip, 7_199)).await;
    wait_for_upstreams(&fleet, 0, 1).await;
    let began = Instant::now();
    let response = call(fleet.hosts[0].call_address(), Method::POST, "/grants", "g")
        .await
        .expect("a complete response");
    assert_eq!(outcome_and_reason(&response), ("not-run", "unreachable"));
    assert!(
        began.elapsed() < Duration::from_millis(500),
        "the refusal comes before the deadline"
    );
    assert!(!response.header("retry-after").is_empty());
}

/// Guards against passing on a truncated response as a complete one. A short response is buffered
/// before it is passed on, so that the caller gets an error with an unknown outcome instead.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_response_is_an_error() {
    for ingress in [0, 1] {
        let fleet = hosts(2, &[], document(1)).await;
        Target::start(&fleet.hosts[0], Behaviour::CutShort).await;
        wait_for_upstreams(&fleet, ingress, 1).await;
        let response = call(
            fleet.hosts[ingress].call_address(),
            Method::GET,
            "/titles",
            "t",
        )
        .await;
        let response = response.expect("a complete response from the daemon");
        assert_eq!(
            outcome_and_reason(&response),
            ("unknown", "broken"),
            "through host {ingress}"
        );
        assert_eq!(response.status, StatusCode::BAD_GATEWAY);
    }
}

/// Guards against a clean end of a truncated response that is too long to be buffered: the
/// caller's connection must break as well.
#[tokio::test(flavor = "multi_thread")]
async fn truncated_long_response_breaks_connection() {
    for ingress in [0, 1] {
        let fleet = hosts(2, &[], document(1)).await;
        Target::start(&fleet.hosts[0], Behaviour::CutLong).await;
        wait_for_upstreams(&fleet, ingress, 1).await;
        let result = call(
            fleet.hosts[ingress].call_address(),
            Method::GET,
            "/titles",
            "t",
        )
        .await;
        assert!(
            matches!(result, Err(Failure::Cut(_))),
            "through host {ingress}: {result:?}"
        );
    }
}

/// Guards against forwarding reads to a frozen sidecar, one of three, until the membership drops it. Its host
/// still accepts connections, so each read would wait there for half of its time-out; the ingress
/// has to detect the silence on the link itself.
#[tokio::test(flavor = "multi_thread")]
async fn frozen_sidecar_is_detected() {
    let slow_to_suspect = ["--probe-period-ms", "3000", "--suspicion-ms", "60000"];
    let mut fleet = fleet(&slow_to_suspect).await;
    fleet.add_hosts(&places(3, 1)).await;
    let version = fleet.publish_document(0, document(1)).await;
    assert!(fleet.wait_for_version(version, TIMEOUT).await);
    // Gossip about the targets is piggybacked on the probes, which are slow here.
    assert!(fleet.wait_for_upstreams(3, Duration::from_secs(30)).await);
    for _ in 0..12 {
        let response = call(fleet.hosts[0].call_address(), Method::GET, "/titles", "t").await;
        assert_eq!(
            response.expect("a complete response").status,
            StatusCode::OK
        );
    }
    fleet.hosts[2]
        .daemon
        .as_ref()
        .expect("it runs")
        .signal(Signal::STOP);
    let mut slow = 0;
    for _ in 0..40 {
        let began = Instant::now();
        let response = call(fleet.hosts[0].call_address(), Method::GET, "/titles", "t").await;
        assert_eq!(
            response.expect("a complete response").status,
            StatusCode::OK
        );
        slow += u32::from(began.elapsed() > Duration::from_millis(500));
    }
    fleet.hosts[2]
        .daemon
        .as_ref()
        .expect("it runs")
        .signal(Signal::CONT);
    assert!(
        slow <= 2,
        "{slow} of 40 reads waited for the frozen sidecar"
    );
}

/// Guards against matching a late response to the wrong request: the target responds after the
/// time-out of one request, while the next one is on its way.
#[tokio::test(flavor = "multi_thread")]
async fn late_response_is_discarded() {
    let mut short = document(1);
    for route in &mut short.routes {
        route.timeout_ms = Millis(200);
    }
    let fleet = hosts(1, &[], short).await;
    Target::start(&fleet.hosts[0], Behaviour::Late).await;
    wait_for_upstreams(&fleet, 0, 1).await;
    let ingress = fleet.hosts[0].call_address();
    for round in 0..5 {
        let slow = call(ingress, Method::POST, "/grants", "slow")
            .await
            .expect("a complete response");
        assert_eq!(outcome_and_reason(&slow), ("unknown", "timed-out"));
        for next in 0..10 {
            let name = format!("{round}-{next}");
            let response = call(ingress, Method::POST, "/grants", &name)
                .await
                .expect("a complete response");
            assert_eq!(response.body, name.as_bytes());
        }
    }
}

/// Guards against running a request after its deadline: the sidecar is frozen while the request
/// waits for a slot, and continues when its caller has already got a time-out.
#[tokio::test(flavor = "multi_thread")]
async fn expired_request_does_not_run() {
    let mut narrow = document(1);
    narrow
        .groups
        .iter_mut()
        .for_each(|group| group.slots = Some(jackdawpulley::units::Slots(1)));
    let fleet = hosts(2, &[0], narrow).await;
    wait_for_upstreams(&fleet, 1, 1).await;
    let ingress = fleet.hosts[1].call_address();
    let request = |name: &'static str, work: &'static str, timeout: &'static str| {
        let headers = [
            ("x-request", name),
            ("x-work-ms", work),
            ("x-jackdaw-timeout-ms", timeout),
        ];
        let request = Session::request(Method::POST, "/grants", &headers, "");
        tokio::spawn(async move { Session::new(ingress).send(request, TIMEOUT).await })
    };
    let first = request("first", "700", "1900");
    let running = wait_until(TIMEOUT, || std::future::ready(fleet.runs().len() == 1)).await;
    assert!(running, "the first request occupies the slot");
    let second = request("second", "0", "1500");
    tokio::time::sleep(Duration::from_millis(100)).await;
    fleet.signal_daemon(0, Signal::STOP);
    let response = second.await.expect("it ends").expect("a complete response");
    assert_eq!(outcome_and_reason(&response), ("unknown", "timed-out"));
    fleet.signal_daemon(0, Signal::CONT);
    let _ = first.await;
    let response = call(ingress, Method::POST, "/grants", "third")
        .await
        .expect("a complete response");
    assert_eq!(
        response.header(OUTCOME),
        "answered",
        "the sidecar works again"
    );
    let runs = fleet.runs();
    assert!(runs.iter().all(|run| run.request != "second"), "{runs:?}");
}

/// Guards against a graceful shutdown that aborts requests in flight.
#[tokio::test(flavor = "multi_thread")]
async fn graceful_shutdown_waits_for_calls() {
    let mut fleet = hosts(2, &[0, 1], document(1)).await;
    wait_for_upstreams(&fleet, 0, 2).await;
    let ingress = fleet.hosts[0].call_address();
    let calls: Vec<_> = (0..12)
        .map(|number| {
            let name = format!("long-{number}");
            let headers = [("x-request", name.as_str()), ("x-work-ms", "1500")];
            let request = Session::request(Method::POST, "/grants", &headers, "");
            tokio::spawn(async move { Session::new(ingress).send(request, TIMEOUT).await })
        })
        .collect();
    let running = wait_until(TIMEOUT, || std::future::ready(fleet.runs().len() == 12)).await;
    assert!(running);
    fleet.signal_daemon(0, Signal::TERM);
    for call in calls {
        let response = call.await.expect("it ends").expect("a complete response");
        assert_eq!(response.header(OUTCOME), "answered");
    }
    let daemon = fleet.hosts[0].daemon.as_mut().expect("it was started");
    let ended = wait_until(TIMEOUT, || {
        std::future::ready(daemon.exit_status().is_some())
    })
    .await;
    assert!(ended);
}

/// Guards against a target that has left and is taken back by its next announcement, which was under way.
#[tokio::test(flavor = "multi_thread")]
async fn late_announcement_returns_no_target() {
    let fleet = hosts(2, &[0, 1], document(1)).await;
    wait_for_upstreams(&fleet, 1, 2).await;
    let leaving = SocketAddr::new(fleet.hosts[0].ip, 7_003);
    // The target goes on to announce itself.
    let left = jackdaw_trial::rig::session::send_once(leaving, Method::POST, "/leave", "").await;
    assert!(left.is_ok_and(|response| response.status.is_success()));
    let began = Instant::now();
    while began.elapsed() < Duration::from_secs(4) {
        let id = format!("{:?}", began.elapsed());
        let response = call(fleet.hosts[1].call_address(), Method::POST, "/grants", &id).await;
        let response = response.expect("a complete response");
        assert_eq!(response.header(OUTCOME), "answered");
        tokio::time::sleep(Duration::from_millis(20)).await;
    }
    let runs = fleet.runs();
    let late = runs
        .iter()
        .filter(|run| run.target == fleet.hosts[0].target_address());
    assert_eq!(late.count(), 0);
}

/// Guards against forwarding requests to a target after it has sent `/leave` to its sidecar.
#[tokio::test(flavor = "multi_thread")]
async fn leaving_target_gets_no_requests() {
    let fleet = hosts(2, &[0, 1], document(1)).await;
    wait_for_upstreams(&fleet, 1, 2).await;
    let leaving = SocketAddr::new(fleet.hosts[0].ip, 7_003);
    // Stops the lease renewals, which would announce the target again.
    fleet.hosts[0]
        .target
        .as_ref()
        .expect("it runs")
        .signal(Signal::STOP);
    let left = jackdaw_trial::rig::session::send_once(leaving, Method::POST, "/leave", "").await;
    assert!(left.is_ok_and(|response| response.status.is_success()));
    let before = fleet
        .runs()
        .iter()
        .filter(|run| run.target == fleet.hosts[0].target_address())
        .count();
    for number in 0..40 {
        let response = call(
            fleet.hosts[1].call_address(),
            Method::POST,
            "/grants",
            &format!("{number}"),
        )
        .await;
        assert_eq!(
            response.expect("a complete response").header(OUTCOME),
            "answered"
        );
    }
    let after = fleet
        .runs()
        .iter()
        .filter(|run| run.target == fleet.hosts[0].target_address())
        .count();
    assert_eq!(before, after);
}

/// Guards against damage to large request and response bodies, directly and through two daemons.
#[tokio::test(flavor = "multi_thread")]
async fn large_bodies_arrive_complete() {
    let fleet = hosts(2, &[0], document(1)).await;
    wait_for_upstreams(&fleet, 1, 1).await;
    let body = "y".repeat(3 << 20);
    let headers = [("x-request", "large"), ("x-size", "3000000")];
    for ingress in [0, 1] {
        let request = Session::request(Method::POST, "/grants", &headers, &body);
        let mut session = Session::new(fleet.hosts[ingress].call_address());
        let response = session
            .send(request, TIMEOUT)
            .await
            .expect("a complete response");
        let echo: Echo = serde_json::from_slice(&response.body).expect("the target's response");
        assert_eq!((echo.received, echo.padding.len()), (3 << 20, 3_000_000));
    }
}

#[tokio::test(flavor = "multi_thread")]
async fn unknown_path_is_rejected() {
    let fleet = hosts(1, &[0], document(1)).await;
    let response = call(fleet.hosts[0].call_address(), Method::GET, "/nowhere", "n")
        .await
        .expect("a complete response");
    assert_eq!(outcome_and_reason(&response), ("not-run", "no-route"));
    assert_eq!(response.status, StatusCode::NOT_FOUND);
    let report: serde_json::Value = serde_json::from_slice(&response.body).expect("JSON");
    assert_eq!(report["outcome"], "not-run");
}

/// Guards against an ingress that ignores the load which a sidecar reports with a refusal, and
/// keeps forwarding requests to it.
#[tokio::test(flavor = "multi_thread")]
async fn refusal_reports_load() {
    let mut document = document(1);
    for group in &mut document.groups {
        (group.slots, group.queue) = (Some(Slots(1)), 0);
    }
    let fleet = hosts(2, &[1], document).await;
    wait_for_upstreams(&fleet, 0, 1).await;
    let (ingress, operator) = (
        fleet.hosts[0].call_address(),
        fleet.hosts[0].operator_address(),
    );
    let long = tokio::spawn(async move {
        let headers = [("x-request", "long"), ("x-work-ms", "1500")];
        let request = Session::request(Method::POST, "/grants", &headers, "");
        Session::new(ingress).send(request, TIMEOUT).await
    });
    assert!(wait_until(TIMEOUT, || std::future::ready(!fleet.runs().is_empty())).await);
    let refused = call(ingress, Method::POST, "/grants", "refused").await;
    assert_eq!(
        outcome_and_reason(&refused.expect("a complete response")),
        ("not-run", "overloaded")
    );
    let state: Option<serde_json::Value> = get_json(operator, "/state").await;
    let state = state.expect("the daemon is there");
    assert_eq!(state["upstreams"][0]["reported"], 1);
    assert!(long.await.expect("it ends").is_ok());
}

/// Guards against refusing callers for lack of local slots while another data centre has some free.
#[tokio::test(flavor = "multi_thread")]
async fn remote_slots_are_used() {
    let mut document = document(1);
    for group in &mut document.groups {
        (group.slots, group.queue) = (Some(Slots(1)), 0);
    }
    for route in &mut document.routes {
        route.timeout_ms = Millis(20_000);
    }
    let mut fleet = fleet(&["--pick", "expected", "--far-ms-per-kb", "100000"]).await;
    fleet.add_hosts(&places(4, 1)).await;
    assert!(fleet.wait_for_members(4, TIMEOUT).await);
    let version = fleet.publish_document(0, document).await;
    assert!(fleet.wait_for_version(version, TIMEOUT).await);
    wait_for_upstreams(&fleet, 0, 4).await;
    let ingress = fleet.hosts[0].call_address();
    let mut near = tokio::task::JoinSet::new();
    for busy in 1..=4 {
        near.spawn(async move {
            let headers = [("x-request", "near"), ("x-work-ms", "6000")];
            let request = Session::request(Method::POST, "/grants", &headers, "");
            Session::new(ingress).send(request, 2 * TIMEOUT).await
        });
        assert!(wait_until(TIMEOUT, || std::future::ready(fleet.runs().len() == busy)).await);
    }
    let mut far = places(1, 1);
    far[0].data_centre = DataCentre::from("far");
    fleet.add_hosts(&far).await;
    wait_for_upstreams(&fleet, 0, 5).await;
    let response = call(ingress, Method::POST, "/grants", "far")
        .await
        .expect("a complete response");
    assert_eq!(outcome_and_reason(&response), ("answered", ""));
    near.shutdown().await;
}
