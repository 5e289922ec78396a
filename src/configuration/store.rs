//! The configuration controller: the replica, the active version, and updates for peers.
//!
//! Every change of the configuration goes through [`Store`], which holds the replica, installs each
//! newer version on the shared state in one swap, and encodes updates for peers once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::{info, warn};
use strum::Display;

use crate::configuration::check;
use crate::configuration::delta::Delta;
use crate::configuration::document::Document;
use crate::configuration::exchange::{Body, CompressedUpdate, Digest, Reply, Update};
use crate::configuration::log::Stored;
use crate::configuration::replica::{
    Base, Checkpoint, Content, Edit, Proposal, Record, Replica, Verdict,
};
use crate::error::{Error, Result};
use crate::settings::Delivery;
use crate::shared_state::{SharedState, Snapshot};
use crate::units::{EditId, Offset, Version};
use crate::wire;

/// Versions that deltas can start from, the active one included; peers that are further behind get the
/// whole document.
///
/// A document with some hundred routes takes about half a megabyte of memory.
const MAX_HISTORY: usize = 4;

/// How a version reached this daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Channel {
    /// Read from the log or the control plane.
    Read,
    /// Pushed by a peer.
    Push,
    /// Pulled from a peer.
    Pull,
}

/// Holds the configuration and its history.
#[derive(Debug)]
pub struct Store {
    shared: Arc<SharedState>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    replica: Replica,
    /// Recently active documents, oldest first, the active one last.
    history: Vec<HistoryEntry>,
    /// Encoded updates to the active version, one for each base version requested so far.
    encoded: Vec<CachedUpdate>,
    checkpoint_seen: Instant,
}

#[derive(Debug)]
struct HistoryEntry {
    version: Version,
    document: Arc<Document>,
}

#[derive(Debug)]
struct CachedUpdate {
    base: Version,
    reply: Bytes,
    whole: bool,
}

/// An encoded update for a peer.
#[derive(Debug, Clone)]
pub struct EncodedUpdate {
    /// A [`Reply::Update`].
    pub reply: Bytes,
    /// Whether it contains the whole document.
    pub whole: bool,
}

impl Store {
    /// An empty store.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        let state = State {
            replica: Replica::new(),
            history: Vec::new(),
            encoded: Vec::new(),
            checkpoint_seen: Instant::now(),
        };
        Self {
            shared,
            state: Mutex::new(state),
        }
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.state().replica.next()
    }

    /// The state to write to the log; `None` while records are missing or no version is active.
    #[must_use]
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let state = self.state();
        let known = !state.replica.has_gap() && state.replica.version() > Version(0);
        known.then(|| state.replica.checkpoint().clone())
    }

    /// Whether records are missing.
    #[must_use]
    pub fn has_gap(&self) -> bool {
        self.state().replica.has_gap()
    }

    /// Time since a checkpoint was read from the log.
    #[must_use]
    pub fn checkpoint_age(&self) -> Duration {
        self.state().checkpoint_seen.elapsed()
    }

    /// Verdict on an edit, if it is still remembered.
    #[must_use]
    pub fn verdict(&self, id: &EditId) -> Option<Verdict> {
        self.state().replica.verdict(id).cloned()
    }

    /// The edit for a proposal: a delta where possible, otherwise the whole document.
    #[must_use]
    pub fn build_edit(&self, proposal: Proposal) -> Edit {
        let state = self.state();
        let Proposal { id, base, document } = proposal;
        let document = document.sorted();
        // Every replica that could accept the edit holds its base, so the delta is enough.
        let known = base == Base::Version(state.replica.version());
        let content = if known && self.shared.settings.delivery == Delivery::Delta {
            Content::Delta(Box::new(Delta::between(
                state.replica.document(),
                &document,
            )))
        } else {
            Content::Whole(document)
        };
        Edit { id, base, content }
    }

    /// Records that all records before `first` have expired.
    pub fn expire(&self, first: Offset) {
        self.state().replica.expire(first);
    }

    /// Applies records of the log that were read from offset `from` on.
    pub fn apply_records(&self, from: Offset, records: &[Stored]) {
        let mut state = self.state();
        // The page may have been requested before a checkpoint moved the replica back. Applying it
        // would look as if the records in between had expired.
        if from > state.replica.next() {
            return;
        }
        for stored in records {
            let verdict = state.apply(stored);
            match &verdict {
                Verdict::Accepted { version } => {
                    info!(self.shared.logger, "edit accepted"; "version" => version.0);
                }
                Verdict::Restored => {
                    info!(self.shared.logger, "restored from checkpoint";
                        "version" => state.replica.version().0, "next" => state.replica.next().0);
                    // The next read starts at the checkpoint's `next`, so the rest of this page is
                    // read again.
                    break;
                }
                _ => {}
            }
        }
        self.activate(&mut state, Channel::Read);
    }

    /// Applies an update that arrived through `channel`, unless it is not newer than the active version.
    ///
    /// # Errors
    ///
    /// [`Error::Delta`] when its base is not the active version, or the result has another hash than
    /// stated; [`Error::Faults`] when its document is invalid.
    pub fn accept(&self, update: Update, channel: Channel) -> Result<Digest> {
        let mut state = self.state();
        let Update {
            version,
            body,
            accepted,
        } = update;
        if version <= state.replica.version() {
            return Ok(self.shared.digest());
        }
        let document = match body {
            Body::Delta { base, delta } if base == state.replica.version() => {
                delta.apply(state.replica.document())?
            }
            Body::Delta { .. } => return Err(Error::Delta),
            Body::Whole(document) => document,
        };
        // A peer may send a document that no replica accepted. Every daemon therefore validates the
        // whole document again, and keeps its active version if there are faults.
        let faults = check::document(&document);
        if !faults.is_empty() {
            warn!(self.shared.logger, "rejected an invalid document"; "way" => %channel,
                "version" => version.0, "keeps" => state.replica.version().0, "faults" => faults.len(),
                "first" => faults.first().map(ToString::to_string));
            return Err(Error::Faults { faults });
        }
        state.replica.adopt(version, Arc::new(document), accepted);
        self.activate(&mut state, channel);
        Ok(self.shared.digest())
    }

    /// The update that leads a peer from version `have` to the active one.
    #[must_use]
    pub fn encoded_update(&self, have: Version) -> EncodedUpdate {
        let mut state = self.state();
        if let Some(done) = state.encoded.iter().find(|encoded| encoded.base == have) {
            return EncodedUpdate {
                reply: done.reply.clone(),
                whole: done.whole,
            };
        }
        let update = state.update(have, self.shared.settings.delivery);
        let whole = matches!(update.body, Body::Whole(_));
        let reply = wire::encode(&Reply::Update(CompressedUpdate::new(&update)));
        state.encoded.push(CachedUpdate {
            base: have,
            reply: reply.clone(),
            whole,
        });
        EncodedUpdate { reply, whole }
    }

    /// The version before the active one, which most peers are likely to hold.
    #[must_use]
    pub fn previous_version(&self) -> Version {
        let state = self.state();
        let index = state.history.len().checked_sub(2);
        index.map_or(Version(0), |index| state.history[index].version)
    }

    fn activate(&self, state: &mut State, channel: Channel) {
        let version = state.replica.version();
        if version <= self.shared.digest().version {
            return;
        }
        let document = Arc::clone(state.replica.document());
        state.encoded.clear();
        state.history.push(HistoryEntry {
            version,
            document: Arc::clone(&document),
        });
        if state.history.len() > MAX_HISTORY {
            state.history.remove(0);
        }
        if self.shared.install(Snapshot::compile(version, document)) {
            info!(self.shared.logger, "configuration active"; "version" => version.0,
                "way" => %channel);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn apply(&mut self, stored: &Stored) -> Verdict {
        match serde_json::from_str::<Record>(&stored.value) {
            Ok(record) => {
                if matches!(record, Record::Checkpoint(_)) {
                    self.checkpoint_seen = Instant::now();
                }
                self.replica.apply(stored.offset, &record)
            }
            // A foreign record takes up an offset but changes nothing, in every replica alike.
            Err(_) => self.replica.skip(stored.offset),
        }
    }

    fn update(&self, have: Version, delivery: Delivery) -> Update {
        let version = self.replica.version();
        let document = self.replica.document();
        let known = self
            .history
            .binary_search_by_key(&have, |past| past.version);
        let (base, body) = match known {
            Ok(index) if delivery == Delivery::Delta => {
                let delta = Delta::between(&self.history[index].document, document);
                (have, Body::Delta { base: have, delta })
            }
            _ => (Version(0), Body::Whole(Document::clone(document))),
        };
        Update {
            version,
            body,
            accepted: self.replica.accepted_since(base),
        }
    }
}
