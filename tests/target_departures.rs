//! Departures of target processes: none of them is ever offered again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser as _;
use http::Request;
use jackdawpulley::calls::dialect::Dialect;
use jackdawpulley::calls::executor::{Executor, Received};
use jackdawpulley::calls::metadata::Metadata;
use jackdawpulley::calls::outcome::Reason;
use jackdawpulley::configuration::document::Guard;
use jackdawpulley::membership::target::{Process, Recency};
use jackdawpulley::quarantine::fingerprint::Fingerprint;
use jackdawpulley::settings::Settings;
use jackdawpulley::shared_state::{SharedState, Target};
use jackdawpulley::units::{Millis, Priority, Service, Slots};
use slog::{Discard, Logger, o};
use tokio::io::AsyncReadExt;
use tokio::net::TcpListener;
use volo_http::body::Body;

fn shared_state() -> SharedState {
    let flags = [
        "test",
        "--data-centre=here",
        "--peer-addr=127.0.0.1:7001",
        "--call-addr=127.0.0.1:7002",
        "--target-addr=127.0.0.1:7003",
        "--operator-addr=127.0.0.1:7004",
        "--log-addr=127.0.0.1:7000",
    ];
    let settings = Settings::try_parse_from(flags).expect("the flags are known");
    SharedState::new(settings, Dialect::default(), Logger::root(Discard, o!()))
}

fn target(process: &Process) -> Target {
    Target {
        instance: Some(process.instance.clone()),
        start_time: process.start_time,
        address: "127.0.0.1:7005".parse().expect("an address"),
        service: Service("shelf".to_owned()),
        slots: Slots(4),
        revision: None,
        cold_until: Instant::now(),
        lease_until: Instant::now() + Duration::from_secs(10),
    }
}

/// Guards against a departure that is forgotten since the target was withdrawn when its response said so.
#[test]
fn withdrawn_target_departs() {
    let shared = shared_state();
    let process = Process::new("a", None);
    assert_eq!(shared.processes().observe(&process, 1), Recency::New);
    assert!(shared.set_target(Some(target(&process))));
    let offered: Arc<Target> = shared.target().expect("it was set");
    shared.remove_target(&offered);
    shared.retire_target(&offered);
    assert!(!shared.set_target(Some(target(&process))));
}

fn metadata() -> Metadata {
    Metadata {
        id: "id".into(),
        service: Service::from("shelf"),
        group: "shelf".into(),
        route: "all".into(),
        caller_service: Service::default(),
        fingerprint: Fingerprint(1),
        priority: Priority(0),
        sent_ms: 0,
        remaining: Millis(5_000),
        max_wait: Millis(1_000),
        repeatable: true,
        key: None,
        guard: Guard::Memory,
        team: String::new(),
        draining: Vec::new(),
        notice: None,
        repeat: false,
    }
}

/// Guards against a request that is admitted before a departure and written to the target after it.
#[tokio::test]
async fn admitted_request_is_not_written() {
    let listener = TcpListener::bind("127.0.0.1:0").await.expect("a port");
    let shared = Arc::new(shared_state());
    let process = Process::new("a", None);
    let address = listener.local_addr().expect("bound");
    let offered = Target {
        address,
        ..target(&process)
    };
    assert!(shared.set_target(Some(offered)));
    let executor = Executor::new(Arc::clone(&shared));
    let request = Request::new(Body::empty());
    let received = Received::new(metadata(), request, false, shared.track_call());
    let admitted = received.admit(&executor).await.expect("it has slots");
    assert!(shared.record_departure(&process));
    let result = admitted.dispatch(&executor).await;
    assert_eq!(result.map(|_| ()), Err(Reason::NoTarget));
    let (mut stream, _) = listener.accept().await.expect("it connected");
    let mut byte = [0];
    assert_eq!(
        stream.read(&mut byte).await.ok(),
        Some(0),
        "nothing was sent"
    );
}
