//! Watching what every daemon has in force, for the whole of a trial.

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

/// Pause between two looks at a daemon.
const POLL_INTERVAL: Duration = Duration::from_millis(15);
/// Faults of one daemon that are kept.
const MAX_FAULTS: usize = 5;

/// What a daemon answers to `GET /config`.
#[derive(Debug, Clone, Deserialize)]
struct ActiveConfiguration {
    version: Version,
    hash: String,
    document: Document,
}

/// What a daemon answers to `GET /health/ready`.
#[derive(Debug, Clone, Deserialize)]
struct Health {
    ready: bool,
}

/// Follows daemons until it is finished.
#[derive(Debug)]
pub struct Monitor {
    stop: Arc<AtomicBool>,
    tasks: Vec<JoinHandle<Observation>>,
}

/// What was seen of one daemon.
#[derive(Debug, Default)]
struct Observation {
    samples: usize,
    /// Hash of each version that it served.
    versions: BTreeMap<Version, String>,
    faults: Vec<String>,
}

/// What was seen of all.
#[derive(Debug, Default)]
pub struct Report {
    /// Looks that found a serving daemon.
    pub samples: usize,
    /// What should not have been.
    pub faults: Vec<String>,
}

impl Monitor {
    /// Follows every host of a fleet, across restarts of its daemon.
    #[must_use]
    pub fn start(fleet: &Fleet) -> Self {
        let stop = Arc::new(AtomicBool::new(false));
        let follow = |operator| {
            let stop = Arc::clone(&stop);
            tokio::spawn(async move { follow(operator, &stop).await })
        };
        let tasks = fleet
            .hosts
            .iter()
            .map(|host| follow(host.operator_address()))
            .collect();
        Self { stop, tasks }
    }

    /// Stops looking.
    ///
    /// # Panics
    ///
    /// When a follower has panicked.
    pub async fn finish(self) -> Report {
        self.stop.store(true, Ordering::Release);
        let mut verdict = Report::default();
        let mut hashes: BTreeMap<Version, String> = BTreeMap::new();
        for task in self.tasks {
            let seen = task.await.expect("a follower ends");
            verdict.samples += seen.samples;
            verdict.faults.extend(seen.faults);
            for (version, hash) in seen.versions {
                let known = hashes.entry(version).or_insert_with(|| hash.clone());
                if *known != hash {
                    verdict
                        .faults
                        .push(format!("version {version} has two contents"));
                }
            }
        }
        verdict
    }
}

async fn follow(operator: SocketAddr, stop: &AtomicBool) -> Observation {
    let mut seen = Observation::default();
    let mut last = Version(0);
    while !stop.load(Ordering::Acquire) {
        tokio::time::sleep(POLL_INTERVAL).await;
        // Readiness is asked first: a daemon that was ready then has reached its floor.
        let ready = get_json::<Health>(operator, "/health/ready")
            .await
            .is_some_and(|h| h.ready);
        let Some(in_force) = get_json::<ActiveConfiguration>(operator, "/config")
            .await
            .filter(|_| ready)
        else {
            continue;
        };
        seen.samples += 1;
        if in_force.version < last {
            let fault = format!("{operator} went from {last} back to {}", in_force.version);
            seen.faults.push(fault);
        }
        last = last.max(in_force.version);
        let dangling = check::document(&in_force.document);
        if !dangling.is_empty() {
            seen.faults
                .push(format!("{operator} serves faults: {dangling:?}"));
        }
        if format!("{:016x}", in_force.document.hash()) != in_force.hash {
            seen.faults
                .push(format!("{operator} serves a mix at {}", in_force.version));
        }
        seen.versions.insert(in_force.version, in_force.hash);
        seen.faults.truncate(MAX_FAULTS);
    }
    seen
}
