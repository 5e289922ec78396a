//! Polls the active configuration of every daemon during a trial, and checks it.

use std::collections::BTreeMap;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::Duration;

use jackdawpulley::configuration::check;
use jackdawpulley::configuration::document::Document;
use jackdawpulley::units::Version;
use serde::Deserialize;
use tokio::task::JoinHandle;

use crate::rig::fleet::{Fleet, get_json};

/// Interval between polls of a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Most faults that are kept for one daemon.
const MAX_FAULTS: usize = 5;

/// Response of a daemon to `GET /config`.
#[derive(Debug, Clone, Deserialize)]
struct ActiveConfiguration {
    version: Version,
    hash: String,
    document: Document,
}

/// Response of a daemon to `GET /health/ready`.
#[derive(Debug, Clone, Deserialize)]
struct Health {
    ready: bool,
}

/// Polls daemons until [`Monitor::finish`] is called.
#[derive(Debug)]
pub struct Monitor {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Observation>>,
}

/// Observations of one daemon.
#[derive(Debug, Default)]
struct Observation {
    samples: usize,
    /// Hash of each version that the daemon served.
    versions: BTreeMap<Version, String>,
    faults: Vec<String>,
}

/// Observations of all daemons.
#[derive(Debug, Default)]
pub struct Report {
    /// Number of polls that found a ready daemon.
    pub samples: usize,
    /// Violations of the invariants, as text.
    pub faults: Vec<String>,
}

impl Monitor {
    /// Polls every host of a fleet, across restarts of its daemon.
    #[must_use]
    pub fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let poll = |operator| {
            let stop = Arc::clone(&stop);
            tokio::spawn(async move { poll(operator, &stop).await })
        };
        let tasks = fleet
            .hosts
            .iter()
            .map(|host| poll(host.operator_address()))
            .collect();
        Self { stop, tasks }
    }

    /// Stops polling and returns the findings.
    ///
    /// # Panics
    ///
    /// When a polling task has panicked.
    pub async fn finish(self) -> Report {
        self.stop.store(true, Ordering::Release);
        let mut report = Report::default();
        let mut hashes: BTreeMap<Version, String> = BTreeMap::new();
        for task in self.tasks {
            let observation = task.await.expect("the polling task ends");
            report.samples += observation.samples;
            report.faults.extend(observation.faults);
            for (version, hash) in observation.versions {
                let known = hashes.entry(version).or_insert_with(|| hash.clone());
                if *known != hash {
                    report
                        .faults
                        .push(format!("version {version} has two different hashes"));
                }
            }
        }
        report
    }
}

async fn poll(operator: SocketAddr, stop: &AtomicBool) -> Observation {
    let mut observation = Observation::default();
    let mut last = Version(0);
    while !stop.load(Ordering::Acquire) {
        tokio::time::sleep(POLL_INTERVAL).await;
        // Readiness is polled first: a daemon that was ready then had the version it needs.
        let ready = get_json::<Health>(operator, "/health/ready")
            .await
            .is_some_and(|h| h.ready);
        let Some(active) = get_json::<ActiveConfiguration>(operator, "/config")
            .await
            .filter(|_| ready)
        else {
            continue;
        };
        observation.samples += 1;
        if active.version < last {
            let fault = format!("{operator} went from {last} back to {}", active.version);
            observation.faults.push(fault);
        }
        last = last.max(active.version);
        let problems = check::document(&active.document);
        if !problems.is_empty() {
            observation.faults.push(format!(
                "{operator} serves an invalid document: {problems:?}"
            ));
        }
        if format!("{:016x}", active.document.hash()) != active.hash {
            observation.faults.push(format!(
                "{operator} serves a document that does not match its hash at {}",
                active.version
            ));
        }
        observation.versions.insert(active.version, active.hash);
        observation.faults.truncate(MAX_FAULTS);
    }
    observation
}
