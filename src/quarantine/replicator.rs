//! Passes on what is learnt of requests that end targets, and has the archive keep what must last.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use crate::backoff::Backoff;
use crate::board::Board;
use crate::clock;
use crate::membership::probe::Membership;
use crate::quarantine::archive::Archive;
use crate::quarantine::crash_set::Assessments;
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::record::Record;

/// Time between two looks for ends that are too long ago: small beside the quarantine.
const EXPIRY_INTERVAL: Duration = Duration::from_secs(10);
/// Pauses after calls to the platform that failed; while it is away, the daemons remember.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(5));

/// Keeps what one daemon knows in step with the others and the platform.
#[derive(Debug, Clone)]
pub struct Replicator {
    board: Arc<Board>,
    membership: Arc<Membership>,
    archive: Archive,
}

impl Replicator {
    /// A keeper of what `board` knows, which has `archive` keep notes.
    #[must_use]
    pub fn new(board: &Arc<Board>, membership: &Arc<Membership>, archive: Archive) -> Self {
        Self {
            board: Arc::clone(board),
            membership: Arc::clone(membership),
            archive,
        }
    }

    /// Follows what is learnt for as long as the daemon runs.
    pub async fn run(self) {
        let mut changes = self.board.quarantine.changes();
        let mut eras = self.board.eras();
        let mut assessments: Arc<Assessments> = Arc::default();
        loop {
            // Nobody learns of anything without a change; time alone lets ends go.
            tokio::select! {
                _ = changes.changed() => {}
                _ = eras.changed() => self.store_all_again(&assessments),
                () = tokio::time::sleep(EXPIRY_INTERVAL) => {}
            }
            self.board.quarantine.expire();
            let updates = self.board.quarantine.take_updates();
            if !updates.is_empty() {
                self.membership.pass_on(updates).await;
            }
            let before = std::mem::replace(&mut assessments, self.board.quarantine.assessments());
            self.apply_changes(&before, &assessments);
        }
    }

    fn apply_changes(&self, before: &Assessments, now: &Assessments) {
        for (cause, _) in now.quarantined() {
            if before.of(cause).quarantined_until.is_none() {
                warn!(self.board.logger, "request in quarantine";
                    "fingerprint" => %cause, "ends" => now.of(cause).crashes);
                self.store(cause);
            }
        }
        for (cause, _) in before.quarantined() {
            if now.of(cause).quarantined_until.is_none() {
                info!(self.board.logger, "request out of quarantine"; "fingerprint" => %cause);
                self.store(cause);
            }
        }
        let count = u32::try_from(now.quarantined().count()).unwrap_or(u32::MAX);
        metrics::gauge!("jackdaw_quarantined").set(f64::from(count));
    }

    /// Has the archive keep once more what it may have lost.
    ///
    /// Guards against a platform that comes back from a copy of before a note: when all daemons are lost
    /// then, the request would end three targets again.
    fn store_all_again(&self, assessments: &Assessments) {
        assessments
            .quarantined()
            .for_each(|(cause, _)| self.store(cause));
    }

    /// Has the archive keep what holds of a request now.
    ///
    /// Guards against the loss of all daemons at once: those that start know nothing, and the request
    /// would end three targets again, and as many more as run it meanwhile. Each gate whose own target
    /// ended under the request writes, so that one that dies before it is done is not missed.
    fn store(&self, cause: Fingerprint) {
        if !self.board.quarantine.has_local_crash(cause) {
            return;
        }
        let (board, archive) = (Arc::clone(&self.board), self.archive.clone());
        tokio::spawn(async move {
            let mut backoff = RETRY_BACKOFF;
            while !board.stage().is_stopping() {
                let crashes = board.quarantine.crashes_of(cause);
                let is_quarantined = board
                    .quarantine
                    .assessment(cause)
                    .quarantined_until
                    .is_some();
                let record = is_quarantined.then(|| Record::of(&crashes, clock::unix_ms()));
                if archive.store(cause, record.as_ref()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(backoff.random_pause()).await;
            }
        });
    }
}
