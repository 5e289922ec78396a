//! Passes on what is learnt of requests that end targets, and has the archive keep what must last.

use std::sync::Arc;
use std::time::Duration;

use slog::{info, warn};

use crate::backoff::Backoff;
use crate::board::Board;
use crate::clock;
use crate::membership::controller::Membership;
use crate::quarantine::archive::Archive;
use crate::quarantine::evidence::Verdicts;
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::note::Note;

/// Time between two looks for ends that are too long ago: small beside the quarantine.
const LOOK: Duration = Duration::from_secs(10);
/// Pauses after calls to the platform that failed; while it is away, the daemons remember.
const PAUSES: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(5));

/// Keeps what one daemon knows in step with the others and the platform.
#[derive(Debug, Clone)]
pub struct Keeper {
    board: Arc<Board>,
    membership: Arc<Membership>,
    archive: Archive,
}

impl Keeper {
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
        let mut verdicts: Arc<Verdicts> = Arc::default();
        loop {
            // Nobody learns of anything without a change; time alone lets ends go.
            tokio::select! {
                _ = changes.changed() => {}
                _ = eras.changed() => self.note_again(&verdicts),
                () = tokio::time::sleep(LOOK) => {}
            }
            self.board.quarantine.expire();
            let news = self.board.quarantine.take_news();
            if !news.is_empty() {
                self.membership.gossip_crashes(news).await;
            }
            let before = std::mem::replace(&mut verdicts, self.board.quarantine.verdicts());
            self.compare(&before, &verdicts);
        }
    }

    fn compare(&self, before: &Verdicts, now: &Verdicts) {
        for (cause, _) in now.quarantined() {
            if before.of(cause).until.is_none() {
                warn!(self.board.logger, "request in quarantine";
                    "fingerprint" => %cause, "ends" => now.of(cause).ends);
                self.note(cause);
            }
        }
        for (cause, _) in before.quarantined() {
            if now.of(cause).until.is_none() {
                info!(self.board.logger, "request out of quarantine"; "fingerprint" => %cause);
                self.note(cause);
            }
        }
        let count = u32::try_from(now.quarantined().count()).unwrap_or(u32::MAX);
        metrics::gauge!("jackdaw_quarantined").set(f64::from(count));
    }

    /// Has the archive keep once more what it may have lost.
    ///
    /// Guards against a platform that comes back from a copy of before a note: when all daemons are lost
    /// then, the request would end three targets again.
    fn note_again(&self, verdicts: &Verdicts) {
        verdicts
            .quarantined()
            .for_each(|(cause, _)| self.note(cause));
    }

    /// Has the archive keep what holds of a request now.
    ///
    /// Guards against the loss of all daemons at once: those that start know nothing, and the request
    /// would end three targets again, and as many more as run it meanwhile. Each gate whose own target
    /// ended under the request writes, so that one that dies before it is done is not missed.
    fn note(&self, cause: Fingerprint) {
        if !self.board.quarantine.has_seen(cause) {
            return;
        }
        let (board, archive) = (Arc::clone(&self.board), self.archive.clone());
        tokio::spawn(async move {
            let mut pauses = PAUSES;
            while !board.stage().is_stopping() {
                let ends = board.quarantine.ends_of(cause);
                let held = board.quarantine.standing(cause).until.is_some();
                let note = held.then(|| Note::of(&ends, clock::unix_ms()));
                if archive.note(cause, note.as_ref()).await.is_ok() {
                    return;
                }
                tokio::time::sleep(pauses.next_delay()).await;
            }
        });
    }
}
