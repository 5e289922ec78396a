//! End-to-end smoke trial with real processes.

use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use http::Method;
use jackdawpulley::calls::outcome::OUTCOME;
use jackdawpulley::units::Version;
use rustix::process::Signal;
use serde::Serialize;
use serde_json::Value;

use crate::rig::deployment::Deployment;
use crate::rig::fleet::{Fleet, wait_until};
use crate::rig::session::{Failure, Session};
use crate::stand_in::target::Echo;

/// Results of the trial.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub trial: &'static str,
    /// Number of daemons.
    pub daemons: usize,
    /// Time until all daemons know all targets, in milliseconds.
    pub start_ms: u128,
    /// Time from publishing a version until it is active on all daemons, in milliseconds.
    pub apply_ms: u128,
    /// Calls answered during the configuration change and the shutdown of a daemon.
    pub answered: usize,
    /// Calls with a wrong response.
    pub failed: usize,
    /// Calls that got no complete response, because the connection broke or the time-out passed.
    pub cut: usize,
    /// Whether every call was answered correctly.
    pub passed: bool,
}

/// Counts of calls by result.
#[derive(Debug, Default)]
struct Tally {
    answered: usize,
    failed: usize,
    cut: usize,
}

/// Runs the trial.
///
/// # Panics
///
/// When a step fails.
pub async fn run(program: PathBuf) -> Report {
    let began = Instant::now();
    let deployment = Deployment::Hooghly;
    let mut fleet = Fleet::start(program, &[]).await;
    let places = deployment.placements();
    fleet.add_hosts(&places[..4]).await;
    fleet.add_hosts(&places[9..]).await;
    let daemons = fleet.hosts.len();
    assert!(
        fleet
            .wait_for_members(daemons, Duration::from_secs(20))
            .await,
        "all daemons know each other"
    );
    // A target is a separate process that may start later than its daemon.
    assert!(
        fleet
            .wait_for_upstreams(daemons, Duration::from_secs(20))
            .await,
        "all daemons know every target"
    );
    let start_ms = began.elapsed().as_millis();

    let (version, apply_ms) = apply(&fleet, deployment).await;
    call_elsewhere(&fleet, deployment).await;
    dump(&fleet, version).await;
    let tally = change_under_load(&mut fleet, deployment).await;
    Report {
        trial: "path",
        daemons,
        start_ms,
        apply_ms,
        answered: tally.answered,
        failed: tally.failed,
        cut: tally.cut,
        passed: tally.failed == 0 && tally.cut == 0 && tally.answered > 0,
    }
}

/// Publishes with the operator's command and waits until the version is active on all daemons.
async fn apply(fleet: &Fleet, deployment: Deployment) -> (Version, u128) {
    let file = fleet.logs().join("document.json");
    let text = serde_json::to_vec(&deployment.document()).expect("a document is JSON");
    std::fs::write(&file, text).expect("the temporary folder can be written");
    let began = Instant::now();
    let (status, out) = fleet.run_ctl(0, &["apply", &file.to_string_lossy()]).await;
    assert_eq!(status, Some(0), "apply: {out}");
    let answer: Value = serde_json::from_str(&out).expect("ctl prints JSON");
    let version = answer["version"]
        .as_u64()
        .expect("an accepted edit has a version");
    let (status, out) = fleet
        .run_ctl(1, &["status", "--watch", &version.to_string()])
        .await;
    assert_eq!(status, Some(0), "status: {out}");
    (Version(version), began.elapsed().as_millis())
}

/// Sends a call through a host whose own target offers another service.
async fn call_elsewhere(fleet: &Fleet, deployment: Deployment) {
    let paths = deployment.paths();
    let headers = [("x-request", "first"), ("x-size", "20000")];
    let mut session = Session::new(fleet.hosts[0].call_address());
    let call = Session::request(Method::GET, paths.feed, &headers, "");
    let answer = session
        .send(call, Duration::from_secs(5))
        .await
        .expect("a complete response");
    assert_eq!(answer.header(OUTCOME), "answered", "{answer:?}");
    let echo: Echo = serde_json::from_slice(&answer.body).expect("the target's response");
    assert_eq!(
        (echo.request.as_str(), echo.padding.len()),
        ("first", 20_000)
    );
    assert_ne!(echo.target.ip(), fleet.hosts[0].ip, "another host answered");
}

async fn dump(fleet: &Fleet, version: Version) {
    let address = fleet.hosts[2].operator_address().to_string();
    let (status, out) = fleet.run_ctl(0, &["state", &address]).await;
    assert_eq!(status, Some(0), "state: {out}");
    let state: Value = serde_json::from_str(&out).expect("ctl prints JSON");
    assert_eq!(state["version"].as_u64(), Some(version.0));
    assert_eq!(state["stage"], "serving");
}

/// Changes the configuration and shuts down a daemon while sessions are open at all daemons.
async fn change_under_load(fleet: &mut Fleet, deployment: Deployment) -> Tally {
    let stop = Arc::new(AtomicBool::new(false));
    let mut sessions = Vec::new();
    for (index, host) in fleet.hosts.iter().enumerate() {
        let other = fleet.hosts[(index + 1) % fleet.hosts.len()].call_address();
        let stop = Arc::clone(&stop);
        let session = Session::new(host.call_address());
        sessions.push(tokio::spawn(async move {
            load(session, other, deployment, index, &stop).await
        }));
    }
    tokio::time::sleep(Duration::from_millis(500)).await;
    let mut document = deployment.document();
    document.routes[0].timeout_ms.0 = 1_500;
    let version = fleet.publish_document(1, document).await;
    assert!(
        fleet
            .wait_for_version(version, Duration::from_secs(9))
            .await,
        "the version is active on all daemons"
    );
    tokio::time::sleep(Duration::from_millis(500)).await;

    let stopping = fleet.hosts[3].daemon.as_ref().expect("it runs");
    stopping.signal(Signal::TERM);
    let mut daemon = fleet.hosts[3].daemon.take().expect("it runs");
    let ended = wait_until(Duration::from_secs(20), || {
        std::future::ready(daemon.exit_status().is_some())
    })
    .await;
    assert!(ended, "the graceful shutdown ends");
    assert_eq!(
        daemon.exit_status().and_then(|status| status.code()),
        Some(0),
        "with status 0"
    );
    stop.store(true, Ordering::Release);
    let mut total = Tally::default();
    for session in sessions {
        let tally = session.await.expect("the session's task ends");
        total.answered += tally.answered;
        total.failed += tally.failed;
        total.cut += tally.cut;
    }
    total
}

/// Sends calls over one session until `stop` is set; moves to another daemon when its connection
/// closes.
async fn load(
    mut session: Session,
    other: std::net::SocketAddr,
    deployment: Deployment,
    index: usize,
    stop: &AtomicBool,
) -> Tally {
    let paths = deployment.paths();
    let mut tally = Tally::default();
    let mut count = 0;
    while !stop.load(Ordering::Acquire) {
        count += 1;
        let name = format!("{index}-{count}");
        let headers = [("x-request", name.as_str()), ("x-work-ms", "2")];
        let (method, path) = if count % 3 == 0 {
            (Method::POST, paths.write)
        } else {
            (Method::GET, paths.read)
        };
        let request = Session::request(method, path, &headers, "body");
        match session.send(request, Duration::from_secs(5)).await {
            Ok(answer) => {
                let echo = serde_json::from_slice::<Echo>(&answer.body).ok();
                if echo.is_some_and(|echo| echo.request == name) {
                    tally.answered += 1;
                } else {
                    eprintln!("{name}: {} {:?}", answer.status, answer.body);
                    tally.failed += 1;
                }
                if answer.closes_connection() {
                    session.reconnect_to(other);
                }
            }
            Err(Failure::Refused) => session.reconnect_to(other),
            Err(failure) => {
                eprintln!("{name}: {failure:?}");
                tally.cut += 1;
                session.reconnect_to(other);
            }
        }
        tokio::time::sleep(Duration::from_millis(2)).await;
    }
    tally
}
