//! Injects faults into a fleet while callers send requests.

use std::net::SocketAddr;
use std::sync::{Mutex, PoisonError};
use std::time::{Duration, Instant};

use jackdawpulley::clock;
use jackdawpulley::units::Millis;
use rustix::process::Signal;

use crate::calls::history::Departure;
use crate::calls::options::{Args, Fault};
use crate::rig::fleet::{Fleet, wait_until};
use crate::stand_in::log::{Faults, Mode};

/// Time for a process to stop or to become ready again.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Injects a fault during a run of `length`, with a configuration change in the middle.
///
/// Returns the targets that were shut down gracefully. The addresses of killed daemons are added to
/// `killed` before they are killed.
///
/// # Panics
///
/// When a process does not stop or does not become ready again.
pub async fn run(
    fleet: &mut Fleet,
    args: &Args,
    length: Duration,
    killed: &Mutex<Vec<SocketAddr>>,
) -> Vec<Departure> {
    let began = Instant::now();
    tokio::time::sleep(length / 4).await;
    let mut leavings = Vec::new();
    match args.fault {
        Fault::None | Fault::Surge => {}
        Fault::Kill => kill(fleet, killed),
        Fault::Freeze => freeze(fleet, Signal::STOP),
        Fault::LogOutage => {
            fleet
                .set_log_faults(Faults {
                    mode: Mode::Refuse,
                    ..Faults::default()
                })
                .await;
        }
        Fault::Leave => leavings = rolling_restart(fleet, began + length).await,
    }
    tokio::time::sleep((length / 2).saturating_sub(began.elapsed())).await;
    if args.fault == Fault::LogOutage {
        tokio::time::sleep(length / 10).await;
        fleet.set_log_faults(Faults::default()).await;
    }
    change(fleet, args).await;
    tokio::time::sleep((length * 3 / 4).saturating_sub(began.elapsed())).await;
    match args.fault {
        Fault::Kill => restart(fleet),
        Fault::Freeze => freeze(fleet, Signal::CONT),
        _ => {}
    }
    leavings
}

/// Indices of the hosts that get the faults, one of each service.
fn affected_hosts(fleet: &Fleet) -> (usize, usize) {
    let last = fleet.hosts.len() - 1;
    (1, last)
}

/// Kills a whole host of the first service and only the target of a host of the second.
fn kill(fleet: &mut Fleet, killed: &Mutex<Vec<SocketAddr>>) {
    let (host, target) = affected_hosts(fleet);
    let address = fleet.hosts[host].call_address();
    killed
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .push(address);
    fleet.hosts[host].daemon = None;
    fleet.hosts[host].target = None;
    fleet.hosts[target].target = None;
}

fn restart(fleet: &mut Fleet) {
    let (host, target) = affected_hosts(fleet);
    fleet.start_daemon(host);
    fleet.start_target(host);
    fleet.start_target(target);
}

/// Sends a stop or continue signal to the target of one host and the daemon of another.
fn freeze(fleet: &Fleet, signal: Signal) {
    let (daemon, target) = affected_hosts(fleet);
    fleet.signal_daemon(daemon, signal);
    if let Some(target) = &fleet.hosts[target].target {
        target.signal(signal);
    }
}

/// Shuts down every target and daemon gracefully, host by host until `end`, and restarts them.
async fn rolling_restart(fleet: &mut Fleet, end: Instant) -> Vec<Departure> {
    let mut leavings = Vec::new();
    for index in 0..fleet.hosts.len() {
        if Instant::now() >= end {
            break;
        }
        let target = fleet.hosts[index].target_address();
        let asked_ms = clock::unix_ms();
        stop(fleet.hosts[index].target.take()).await;
        stop(fleet.hosts[index].daemon.take()).await;
        let back_ms = clock::unix_ms();
        leavings.push(Departure {
            target,
            asked_ms,
            back_ms,
        });
        fleet.start_daemon(index);
        fleet.start_target(index);
        assert!(
            fleet.wait_for_ready(index, TIMEOUT).await,
            "host {index} comes back"
        );
    }
    leavings
}

async fn stop(process: Option<crate::rig::host::Process>) {
    let Some(mut process) = process else {
        return;
    };
    process.signal(Signal::TERM);
    let ended = wait_until(TIMEOUT, || {
        std::future::ready(process.exit_status().is_some())
    })
    .await;
    assert!(ended, "the graceful shutdown ends");
}

/// Publishes a changed time-out through a running daemon.
async fn change(fleet: &Fleet, args: &Args) {
    let mut document = args.deployment.document();
    document.routes[0].timeout_ms = Millis(2_100);
    fleet.publish_document(0, document).await;
}
