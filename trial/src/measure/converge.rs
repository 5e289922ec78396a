//! Convergence time and control traffic of each delivery mode, on the same edits.

use std::path::PathBuf;
use std::time::{Duration, Instant};

use clap::Parser;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::settings::Delivery;
use jackdawpulley::telemetry;
use jackdawpulley::units::{DataCentre, Millis, Version};
use serde::{Deserialize, Serialize};

use crate::rig::deployment::{Placement, document_with_services};
use crate::rig::fleet::{Fleet, get_json};
use crate::rig::process::Usage;

/// Delivery modes to compare, the baseline first.
pub const DELIVERIES: [Delivery; 3] = [Delivery::Poll, Delivery::Whole, Delivery::Delta];
/// Time for which an idle fleet is measured.
const IDLE: Duration = Duration::from_secs(8);
/// Time-out of one change.
const TIMEOUT: Duration = Duration::from_secs(30);

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Number of daemons to start
    #[arg(long, default_value_t = 60)]
    pub daemons: usize,
    /// Number of changes to publish, one after another
    #[arg(long, default_value_t = 30)]
    pub changes: usize,
    /// Number of services in the document
    #[arg(long, default_value_t = 100)]
    pub services: usize,
    /// Number of data centres
    #[arg(long, default_value_t = 3)]
    pub data_centres: usize,
}

/// Results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub trial: &'static str,
    /// Delivery mode.
    pub delivery: Delivery,
    /// Number of daemons.
    pub daemons: usize,
    /// Number of data centres.
    pub data_centres: usize,
    /// Number of services in the document.
    pub services: usize,
    /// Size of the document as JSON, in bytes.
    pub document_bytes: usize,
    /// Number of changes.
    pub changes: usize,
    /// Median time from acceptance until a change is active on the last daemon, in milliseconds.
    pub converge_p50_ms: f64,
    /// 99th percentile of that time.
    pub converge_p99_ms: f64,
    /// Maximum of that time.
    pub converge_max_ms: f64,
    /// Control bytes per daemon and change, without the idle traffic.
    pub change_bytes: f64,
    /// Control bytes that an idle daemon sends per second, with the log's responses to it.
    pub idle_bytes_per_s: f64,
    /// Page reads that the log served, per change.
    pub log_reads_per_change: f64,
    /// Bytes of records that the log sent, per change.
    pub log_bytes_per_change: f64,
    /// Largest resident memory of a daemon at the end, in KiB.
    pub rss_max_kib: u64,
    /// CPU time of an idle daemon, in percent of one core.
    pub idle_cpu_percent: f64,
    /// CPU time of a daemon per change, without the idle CPU time, in milliseconds.
    pub change_cpu_ms: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct Health {
    version: Version,
    since_us: u64,
    control: telemetry::Reading,
}

/// Usage of the whole fleet at one time.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Instant,
    bytes: u64,
    cpu_s: f64,
    rss_max_kib: u64,
}

/// Runs the changes with one delivery mode.
///
/// # Panics
///
/// When a change does not converge.
pub async fn run(program: PathBuf, args: &Args, delivery: Delivery) -> Report {
    let option = delivery.to_string();
    let mut fleet = Fleet::start(program, &["--delivery", &option]).await;
    let places: Vec<Placement> = (0..args.daemons)
        .map(|index| Placement {
            data_centre: DataCentre(format!("dc-{}", index % args.data_centres)),
            service: None,
        })
        .collect();
    fleet.add_hosts(&places).await;
    assert!(
        fleet.wait_for_members(args.daemons, TIMEOUT * 2).await,
        "all daemons see each other"
    );
    let mut document = document_with_services(args.services);
    let document_bytes = serde_json::to_vec(&document).map_or(0, |text| text.len());
    let version = fleet.publish_document(0, document.clone()).await;
    assert!(fleet.wait_for_version(version, TIMEOUT).await);
    // Lets the reads end that were started before the daemons knew each other.
    tokio::time::sleep(IDLE).await;

    let resting = read(&fleet).await;
    tokio::time::sleep(IDLE).await;
    let before = read(&fleet).await;
    let log_before = fleet.log_stats().await;
    let mut times = Vec::new();
    for change in 0..args.changes {
        edit(&mut document, change);
        times.push(converge(&fleet, change % args.daemons, &document).await);
    }
    let after = read(&fleet).await;
    let log_after = fleet.log_stats().await;
    times.sort_by(f64::total_cmp);

    let daemons = as_f64(args.daemons as u64);
    let changes = as_f64(args.changes as u64);
    let idle_s = (before.at - resting.at).as_secs_f64();
    let busy_s = (after.at - before.at).as_secs_f64();
    let idle_bytes = as_f64(before.bytes - resting.bytes) / idle_s;
    let idle_cpu = (before.cpu_s - resting.cpu_s) / idle_s;
    let busy_bytes = as_f64(after.bytes - before.bytes) - idle_bytes * busy_s;
    let busy_cpu = (after.cpu_s - before.cpu_s) - idle_cpu * busy_s;
    Report {
        trial: "converge",
        delivery,
        daemons: args.daemons,
        data_centres: args.data_centres,
        services: args.services,
        document_bytes,
        changes: args.changes,
        converge_p50_ms: quantile(&times, 0.50),
        converge_p99_ms: quantile(&times, 0.99),
        converge_max_ms: quantile(&times, 1.0),
        change_bytes: busy_bytes / daemons / changes,
        idle_bytes_per_s: idle_bytes / daemons,
        log_reads_per_change: as_f64(log_after.reads - log_before.reads) / changes,
        log_bytes_per_change: as_f64(log_after.bytes - log_before.bytes) / changes,
        rss_max_kib: after.rss_max_kib,
        idle_cpu_percent: idle_cpu / daemons * 100.0,
        change_cpu_ms: busy_cpu / daemons / changes * 1_000.0,
    }
}

/// Makes a small edit, as most edits of operators are.
fn edit(document: &mut Document, change: usize) {
    let index = change * 7 % document.routes.len();
    document.routes[index].timeout_ms = Millis(1_000 + change as u64);
}

/// Publishes a change and returns the time from acceptance until it is active on the last daemon, in
/// milliseconds.
async fn converge(fleet: &Fleet, index: usize, document: &Document) -> f64 {
    let version = fleet.publish_document(index, document.clone()).await;
    let accepted_us = fleet.log_stats().await.appended_us;
    assert!(
        fleet.wait_for_version(version, TIMEOUT).await,
        "version {version} converges"
    );
    let mut last_us = accepted_us;
    for host in &fleet.hosts {
        let health: Health = get_json(host.operator_address(), "/health/ready")
            .await
            .expect("it answers");
        assert_eq!(health.version, version);
        last_us = last_us.max(health.since_us);
    }
    as_f64(last_us - accepted_us) / 1_000.0
}

async fn read(fleet: &Fleet) -> Reading {
    let mut reading = Reading {
        at: Instant::now(),
        bytes: 0,
        cpu_s: 0.0,
        rss_max_kib: 0,
    };
    for host in &fleet.hosts {
        let health: Health = get_json(host.operator_address(), "/health/ready")
            .await
            .expect("it answers");
        let control = health.control;
        reading.bytes += control.peer_bytes + control.probe_bytes + control.log_bytes;
        let usage = host
            .daemon
            .as_ref()
            .map(|daemon| Usage::of_process(daemon.id()))
            .unwrap_or_default();
        reading.cpu_s += usage.cpu_s;
        reading.rss_max_kib = reading.rss_max_kib.max(usage.rss_kib);
    }
    reading
}

/// Quantile of sorted values; 0 if there are none.
#[must_use]
pub fn quantile(sorted: &[f64], share: f64) -> f64 {
    let last = sorted.len().saturating_sub(1);
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        clippy::cast_precision_loss,
        reason = "a share of a small index"
    )]
    let index = (last as f64 * share).ceil() as usize;
    sorted.get(index).copied().unwrap_or(0.0)
}

/// Converts a count to a floating-point number.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a trial are far below 2^52"
)]
#[must_use]
pub const fn as_f64(count: u64) -> f64 {
    count as f64
}
