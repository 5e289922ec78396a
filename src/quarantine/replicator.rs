//! Replication of crash reports to the other daemons and of quarantine records to the archive.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use crate::backoff::Backoff;
use crate::clock;
use crate::membership::controller::Membership;
use crate::quarantine::archive::Archive;
use crate::quarantine::crash_set::Assessments;
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::record::Record;
use crate::shared_state::SharedState;

/// Interval at which expired crashes are removed: short beside the duration of a quarantine.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Delays after failed calls to the platform; until one succeeds, the daemons hold the crashes in memory.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(5));

/// Replicates the quarantine of one daemon to its peers and the archive.
#[derive(Debug, Clone)]
pub struct Replicator {
    shared: Arc<SharedState>,
    membership: Arc<Membership>,
    archive: Archive,
}

impl Replicator {
    /// A replicator of the quarantine on `shared`, which stores records in `archive`.
    #[must_use]
    pub fn new(shared: &Arc<SharedState>, membership: &Arc<Membership>, archive: Archive) -> Self {
        Self {
            shared: Arc::clone(shared),
            membership: Arc::clone(membership),
            archive,
        }
    }

    /// Replicates changes for as long as the daemon runs.
    pub async fn run(self) {
        let mut changes = self.shared.quarantine.changes();
        let mut generations = self.shared.generations();
        let mut assessments: Arc<Assessments> = Arc::default();
        loop {
            // All but the expiry of crashes is signalled as a change.
            tokio::select! {
                _ = changes.changed() => {}
                _ = generations.changed() => self.store_all_again(&assessments),
                () = tokio::time::sleep(EXPIRY_INTERVAL) => {}
            }
            self.shared.quarantine.expire();
            let updates = self.shared.quarantine.take_updates();
            if !updates.is_empty() {
                self.membership.gossip_crashes(updates).await;
            }
            let before = std::mem::replace(&mut assessments, self.shared.quarantine.assessments());
            self.apply_changes(&before, &assessments);
        }
    }

    fn apply_changes(&self, before: &Assessments, now: &Assessments) {
        for (cause, _) in now.quarantined() {
            if before.of(cause).quarantined_until.is_none() {
                warn!(self.shared.logger, "request quarantined";
                    "fingerprint" => %cause, "ends" => now.of(cause).crashes);
                self.store(cause);
            }
        }
        for (cause, _) in before.quarantined() {
            if now.of(cause).quarantined_until.is_none() {
                info!(self.shared.logger, "request released from quarantine"; "fingerprint" => %cause);
                self.store(cause);
            }
        }
        let count = u32::try_from(now.quarantined().count()).unwrap_or(u32::MAX);
        metrics::gauge!("jackdaw_quarantined").set(f64::from(count));
    }

    /// Stores all records again.
    ///
    /// The platform may have been restored from a backup that lacks them. If all daemons were lost after
    /// that, each request would crash three targets again.
    fn store_all_again(&self, assessments: &Assessments) {
        assessments
            .quarantined()
            .for_each(|(cause, _)| self.store(cause));
    }

    /// Stores the current record of a request, with retries.
    ///
    /// Without a record, daemons that start after the loss of all daemons know nothing, and the request would
    /// crash three targets again, and as many more as run it meanwhile. Every sidecar whose own target
    /// crashed under the request writes the record, so that the loss of one of them does not matter.
    fn store(&self, cause: Fingerprint) {
        if !self.shared.quarantine.has_local_crash(cause) {
            return;
        }
        let (shared, archive) = (Arc::clone(&self.shared), self.archive.clone());
        tokio::spawn(async move {
            let mut backoff = RETRY_BACKOFF;
            while !shared.stage().is_stopping() {
                let crashes = shared.quarantine.crashes_of(cause);
                let is_quarantined = shared
                    .quarantine
                    .assessment(cause)
                    .quarantined_until
                    .is_some();
                let record = is_quarantined.then(|| Record::of(&crashes, clock::unix_ms()));
                if archive.store(cause, record.as_ref()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(backoff.next_delay()).await;
            }
        });
    }
}
