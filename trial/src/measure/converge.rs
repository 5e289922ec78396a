//! Convergence time and control bytes, for each way of delivery on the same edits.

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

/// Ways of delivery that are compared, the baseline first.
pub const DELIVERIES: [Delivery; 3] = [Delivery::Poll, Delivery::Whole, Delivery::Delta];
/// Time over which an idle fleet is measured.
const IDLE: Duration = Duration::from_secs(8);
/// Longest time for one change.
const PATIENCE: Duration = Duration::from_secs(30);

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Daemons to start
    #[arg(long, default_value_t = 60)]
    pub daemons: usize,
    /// Changes to publish, one after another
    #[arg(long, default_value_t = 30)]
    pub changes: usize,
    /// Services in the document
    #[arg(long, default_value_t = 100)]
    pub services: usize,
    /// Data centres
    #[arg(long, default_value_t = 3)]
    pub data_centres: usize,
}

/// What a run showed.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Which trial this is.
    pub trial: &'static str,
    /// Way of delivery.
    pub delivery: Delivery,
    /// Daemons.
    pub daemons: usize,
    /// Data centres.
    pub data_centres: usize,
    /// Services in the document.
    pub services: usize,
    /// Size of the document as JSON, in bytes.
    pub document_bytes: usize,
    /// Changes made.
    pub changes: usize,
    /// Time from acceptance until the last daemon runs a change, median, in milliseconds.
    pub converge_p50_ms: f64,
    /// The same, 99 in 100.
    pub converge_p99_ms: f64,
    /// The same, the longest.
    pub converge_max_ms: f64,
    /// Control bytes sent for a change, for each daemon, idle traffic taken off.
    pub change_bytes: f64,
    /// Control bytes an idle daemon sends in a second, the log's answers to it included.
    pub idle_bytes_per_s: f64,
    /// Requests for records that the log served for a change.
    pub log_reads_per_change: f64,
    /// Bytes of records that the log sent for a change.
    pub log_bytes_per_change: f64,
    /// Largest memory of a daemon at the end, in KiB.
    pub rss_max_kib: u64,
    /// Processor time of an idle daemon, as a share of one core, in percent.
    pub idle_cpu_percent: f64,
    /// Processor time of a daemon for a change, idle time taken off, in milliseconds.
    pub change_cpu_ms: f64,
}

#[derive(Debug, Clone, Copy, Deserialize)]
struct Health {
    version: Version,
    since_us: u64,
    control: telemetry::Reading,
}

/// A reading of the whole fleet.
#[derive(Debug, Clone, Copy)]
struct Reading {
    at: Instant,
    bytes: u64,
    cpu_s: f64,
    rss_max_kib: u64,
}

/// Runs the changes over one way of delivery.
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
        fleet.wait_for_members(args.daemons, PATIENCE * 2).await,
        "all daemons know each other"
    );
    let mut document = document_with_services(args.services);
    let document_bytes = serde_json::to_vec(&document).map_or(0, |text| text.len());
    let version = fleet.publish_document(0, document.clone()).await;
    assert!(fleet.wait_for_version(version, PATIENCE).await);
    // Reads that were begun before the daemons knew each other end meanwhile.
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

/// One small edit, as operators make most of them.
fn edit(document: &mut Document, change: usize) {
    let index = change * 7 % document.routes.len();
    document.routes[index].timeout_ms = Millis(1_000 + change as u64);
}

/// Publishes a change; the time from acceptance until the last daemon runs it, in milliseconds.
async fn converge(fleet: &Fleet, index: usize, document: &Document) -> f64 {
    let version = fleet.publish_document(index, document.clone()).await;
    let accepted_us = fleet.log_stats().await.appended_us;
    assert!(
        fleet.wait_for_version(version, PATIENCE).await,
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

/// The value below which a share of sorted values lies.
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

/// A count as a number to calculate with.
#[expect(
    clippy::cast_precision_loss,
    reason = "counts of a trial are far below 2^52"
)]
#[must_use]
pub const fn as_f64(count: u64) -> f64 {
    count as f64
}
