//! Departures of target processes: none of them is ever offered again.

use std::sync::Arc;
use std::time::{Duration, Instant};

use clap::Parser as _;
use jackdawpulley::calls::dialect::Dialect;
use jackdawpulley::membership::target::{Process, Recency};
use jackdawpulley::settings::Settings;
use jackdawpulley::shared_state::{SharedState, Target};
use jackdawpulley::units::{Service, Slots};
use slog::{Discard, Logger, o};

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
