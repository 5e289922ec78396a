//! Latency that daemons add to a call, with all paths measured in the same run.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, AtomicU64, Ordering};
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use http::Method;
use jackdawpulley::units::{DataCentre, Service};
use serde::Serialize;

use crate::measure::converge::as_f64;
use crate::rig::deployment::{Deployment, Placement};
use crate::rig::fleet::{Fleet, wait_until};
use crate::rig::process::Usage;
use crate::rig::session::{self, Session};

/// Time-out of a call.
const TIMEOUT: Duration = Duration::from_secs(5);
/// Most sessions that saturate a daemon.
const MAX_SESSIONS: usize = 32;

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Number of rounds; each calls over every path in turn
    #[arg(long, default_value_t = 4_000)]
    pub rounds: usize,
    /// Number of concurrent sessions
    #[arg(long, default_value_t = 4)]
    pub sessions: usize,
    /// Pause of a session between two rounds, in milliseconds
    #[arg(long, default_value_t = 2)]
    pub pause_ms: u64,
    /// Time for which a daemon is saturated, in seconds
    #[arg(long, default_value_t = 4)]
    pub saturate_s: u64,
}

/// Results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub trial: &'static str,
    /// Number of calls over each path.
    pub calls: u64,
    /// Median latency directly to the target, in milliseconds as all latencies here.
    pub direct_p50_ms: f64,
    /// 99th percentile directly to the target.
    pub direct_p99_ms: f64,
    /// Median latency through the target's own daemon.
    pub one_p50_ms: f64,
    /// 99th percentile through the target's own daemon.
    pub one_p99_ms: f64,
    /// Median latency through another daemon and the target's.
    pub two_p50_ms: f64,
    /// 99th percentile through another daemon and the target's.
    pub two_p99_ms: f64,
    /// Latency that one daemon adds at the median.
    pub one_added_p50_ms: f64,
    /// Latency that one daemon adds at the 99th percentile.
    pub one_added_p99_ms: f64,
    /// Latency that two daemons add at the median.
    pub two_added_p50_ms: f64,
    /// Latency that two daemons add at the 99th percentile.
    pub two_added_p99_ms: f64,
    /// Calls through one daemon per second of its CPU time.
    pub one_calls_per_core_s: f64,
    /// Calls through two daemons per second of the ingress's CPU time.
    pub entry_calls_per_core_s: f64,
    /// Calls through two daemons per second of the sidecar's CPU time.
    pub gate_calls_per_core_s: f64,
}

/// Measures the three paths.
///
/// # Panics
///
/// When the fleet does not start, or a call fails.
pub async fn run(program: PathBuf, args: &Args) -> Report {
    let mut fleet = Fleet::start(program, &[]).await;
    let place = |service: Option<&str>| Placement {
        data_centre: DataCentre::from("eros"),
        service: service.map(Service::from),
    };
    fleet.add_hosts(&[place(Some("shelf")), place(None)]).await;
    assert!(
        fleet.wait_for_members(2, TIMEOUT * 4).await,
        "both daemons see each other"
    );
    let version = fleet
        .publish_document(0, Deployment::Kalahari.document())
        .await;
    assert!(
        fleet.wait_for_version(version, TIMEOUT).await,
        "the document is active"
    );
    let addresses = [
        fleet.hosts[0].target_address(),
        fleet.hosts[0].call_address(),
        fleet.hosts[1].call_address(),
    ];
    // No call can succeed until the target has started and announced itself.
    for address in addresses {
        let answers = || async move {
            let read = Deployment::Kalahari.paths().read;
            let answer = session::send_once(address, Method::GET, read, "").await;
            answer.is_ok_and(|answer| answer.status.is_success())
        };
        assert!(wait_until(TIMEOUT * 4, answers).await, "{address} answers");
    }
    let times = latencies(args, addresses).await;
    let [direct, one, two] = &times;
    let one_usage = saturate(&fleet, addresses[1], args).await;
    let two_usage = saturate(&fleet, addresses[2], args).await;
    let ms = |times: &Histogram<u64>, share| as_f64(times.value_at_quantile(share)) / 1_000_000.0;
    Report {
        trial: "overhead",
        calls: direct.len(),
        direct_p50_ms: ms(direct, 0.50),
        direct_p99_ms: ms(direct, 0.99),
        one_p50_ms: ms(one, 0.50),
        one_p99_ms: ms(one, 0.99),
        two_p50_ms: ms(two, 0.50),
        two_p99_ms: ms(two, 0.99),
        one_added_p50_ms: ms(one, 0.50) - ms(direct, 0.50),
        one_added_p99_ms: ms(one, 0.99) - ms(direct, 0.99),
        two_added_p50_ms: ms(two, 0.50) - ms(direct, 0.50),
        two_added_p99_ms: ms(two, 0.99) - ms(direct, 0.99),
        one_calls_per_core_s: one_usage.calls / one_usage.cpu_s[0],
        entry_calls_per_core_s: two_usage.calls / two_usage.cpu_s[1],
        gate_calls_per_core_s: two_usage.calls / two_usage.cpu_s[0],
    }
}

/// Calls over all paths in turn, so that other load on the machine affects all of them alike.
async fn latencies(args: &Args, addresses: [SocketAddr; 3]) -> [Histogram<u64>; 3] {
    let workers: Vec<_> = (0..args.sessions)
        .map(|_| {
            tokio::spawn(worker(
                addresses,
                args.rounds / args.sessions,
                args.pause_ms,
            ))
        })
        .collect();
    let mut total = [(); 3].map(|()| Histogram::new(3).expect("three digits are valid"));
    for worker in workers {
        let times = worker.await.expect("a worker ends");
        for (sum, part) in total.iter_mut().zip(&times) {
            sum.add(part).expect("equal histograms add up");
        }
    }
    total
}

async fn worker(addresses: [SocketAddr; 3], rounds: usize, pause_ms: u64) -> [Histogram<u64>; 3] {
    let mut sessions = addresses.map(Session::new);
    let mut times = [(); 3].map(|()| Histogram::new(3).expect("three digits are valid"));
    for round in 0..rounds + rounds / 10 {
        for (session, times) in sessions.iter_mut().zip(&mut times) {
            let began = Instant::now();
            call(session).await;
            // The first tenth warms up connections and caches.
            if round >= rounds / 10 {
                let took = u64::try_from(began.elapsed().as_nanos()).unwrap_or(u64::MAX);
                times.record(took).expect("the histogram resizes");
            }
        }
        tokio::time::sleep(Duration::from_millis(pause_ms)).await;
    }
    times
}

async fn call(session: &mut Session) {
    let headers = [("x-request", "o"), ("x-size", "300")];
    let request = Session::request(Method::GET, Deployment::Kalahari.paths().read, &headers, "");
    let answer = session
        .send(request, TIMEOUT)
        .await
        .expect("a complete response");
    assert!(answer.status.is_success(), "{answer:?}");
}

/// Calls and CPU time of saturated daemons.
#[derive(Debug)]
struct Load {
    calls: f64,
    /// CPU time of the two daemons, in seconds.
    cpu_s: [f64; 2],
}

async fn saturate(fleet: &Fleet, address: SocketAddr, args: &Args) -> Load {
    let usage = || {
        [0, 1].map(|i| {
            fleet.hosts[i]
                .daemon
                .as_ref()
                .map_or(0.0, |d| Usage::of_process(d.id()).cpu_s)
        })
    };
    let (stop, count) = (
        Arc::new(AtomicBool::new(false)),
        Arc::new(AtomicU64::new(0)),
    );
    let before = usage();
    // Fewer sessions than the target has slots: calls beyond the slots could be refused.
    let crowd: Vec<_> = (0..MAX_SESSIONS.min(16))
        .map(|_| {
            let (stop, count) = (Arc::clone(&stop), Arc::clone(&count));
            tokio::spawn(async move {
                let mut session = Session::new(address);
                while !stop.load(Ordering::Acquire) {
                    call(&mut session).await;
                    count.fetch_add(1, Ordering::Relaxed);
                }
            })
        })
        .collect();
    tokio::time::sleep(Duration::from_secs(args.saturate_s)).await;
    stop.store(true, Ordering::Release);
    for caller in crowd {
        caller.await.expect("a caller ends");
    }
    let after = usage();
    let cpu_s = [after[0] - before[0], after[1] - before[1]];
    Load {
        calls: as_f64(count.load(Ordering::Relaxed)),
        cpu_s,
    }
}
