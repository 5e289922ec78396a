//! The configuration controller: the fold, what is in force, and content for peers.
//!
//! Everything that may change the configuration goes through [`Store`], which keeps the fold, puts
//! each newer version on the board as one swap, and encodes content for peers once.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use bytes::Bytes;
use slog::{info, warn};
use strum::Display;

use crate::board::{Board, Snapshot};
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
use crate::units::{EditId, Offset, Version};
use crate::wire;

/// Earlier versions that deltas can start from; whoever is further behind takes the whole document.
///
/// A document of some hundred routes takes about half a megabyte of memory.
const MAX_HISTORY: usize = 4;

/// How a version reaches a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display)]
#[strum(serialize_all = "kebab-case")]
pub enum Channel {
    /// Read from the log or the platform.
    Read,
    /// Sent by a peer.
    Push,
    /// Fetched from a peer.
    Pull,
}

/// Holds the configuration and its history.
#[derive(Debug)]
pub struct Store {
    board: Arc<Board>,
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    replica: Replica,
    /// Documents that were in force, oldest first, the current one last.
    history: Vec<HistoryEntry>,
    /// Encoded updates to the current version, by the version they start from.
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

/// Content for a peer, encoded.
#[derive(Debug, Clone)]
pub struct EncodedUpdate {
    /// A [`Reply::Update`].
    pub reply: Bytes,
    /// Whether it is a whole document.
    pub whole: bool,
}

impl Store {
    /// A store that holds nothing.
    #[must_use]
    pub fn new(board: Arc<Board>) -> Self {
        let state = State {
            replica: Replica::new(),
            history: Vec::new(),
            encoded: Vec::new(),
            checkpoint_seen: Instant::now(),
        };
        Self {
            board,
            state: Mutex::new(state),
        }
    }

    /// First offset not folded yet.
    #[must_use]
    pub fn next(&self) -> Offset {
        self.state().replica.next()
    }

    /// The state to write to the log; `None` while records are missing or there is nothing.
    #[must_use]
    pub fn checkpoint(&self) -> Option<Checkpoint> {
        let state = self.state();
        let known = !state.replica.has_gap() && state.replica.version() > Version(0);
        known.then(|| state.replica.checkpoint().clone())
    }

    /// Whether records are missing.
    #[must_use]
    pub fn gapped(&self) -> bool {
        self.state().replica.has_gap()
    }

    /// Time since a checkpoint was read from the log.
    #[must_use]
    pub fn checkpoint_age(&self) -> Duration {
        self.state().checkpoint_seen.elapsed()
    }

    /// Verdict on an edit, while it is remembered.
    #[must_use]
    pub fn verdict(&self, id: &EditId) -> Option<Verdict> {
        self.state().replica.verdict(id).cloned()
    }

    /// The edit for a proposal, in the fewest bytes.
    #[must_use]
    pub fn build_edit(&self, proposal: Proposal) -> Edit {
        let state = self.state();
        let Proposal { id, base, document } = proposal;
        let document = document.sorted();
        // Every fold that could accept the edit holds its base, so the changes are enough.
        let known = base == Base::Version(state.replica.version());
        let content = if known && self.board.settings.delivery == Delivery::Delta {
            Content::Delta(Delta::between(state.replica.document(), &document))
        } else {
            Content::Whole(document)
        };
        Edit { id, base, content }
    }

    /// Notes that all records before `first` have expired.
    pub fn expire(&self, first: Offset) {
        self.state().replica.expire(first);
    }

    /// Folds records of the log that were read from offset `from` on.
    pub fn apply_records(&self, from: Offset, records: &[Stored]) {
        let mut state = self.state();
        // Guards against a page that was asked for before a checkpoint took the fold back: it
        // would look as if the records in between had expired.
        if from > state.replica.next() {
            return;
        }
        for stored in records {
            let verdict = state.apply(stored);
            match &verdict {
                Verdict::Accepted { version } => {
                    info!(self.board.logger, "edit accepted"; "version" => version.0);
                }
                Verdict::Restored => {
                    info!(self.board.logger, "restored from checkpoint";
                        "version" => state.replica.version().0, "next" => state.replica.next().0);
                    // Folding goes on from the checkpoint's own place; what follows in this page
                    // is read again from there.
                    break;
                }
                _ => {}
            }
        }
        self.activate(&mut state, Channel::Read);
    }

    /// Takes an update that came by a way.
    ///
    /// # Errors
    ///
    /// [`Error::Delta`] when it starts from a version that is not in force here, or does not lead
    /// to what it promises; [`Error::Faults`] when its document contradicts itself.
    pub fn accept(&self, update: Update, way: Channel) -> Result<Digest> {
        let mut state = self.state();
        let Update {
            version,
            body,
            accepted,
        } = update;
        if version <= state.replica.version() {
            return Ok(self.board.digest());
        }
        let document = match body {
            Body::Delta { base, delta } if base == state.replica.version() => {
                delta.apply(state.replica.document())?
            }
            Body::Delta { .. } => return Err(Error::Delta),
            Body::Whole(document) => document,
        };
        // Guards against a peer that sends a document no fold accepted: every daemon checks the
        // whole of it again, and holds on to what it has when a fault turns up.
        let faults = check::document(&document);
        if !faults.is_empty() {
            warn!(self.board.logger, "refused a faulty document"; "way" => %way,
                "version" => version.0, "keeps" => state.replica.version().0, "faults" => faults.len(),
                "first" => faults.first().map(ToString::to_string));
            return Err(Error::Faults { faults });
        }
        state.replica.adopt(version, Arc::new(document), accepted);
        self.activate(&mut state, way);
        Ok(self.board.digest())
    }

    /// Content that leads a peer from `have` to what is in force.
    #[must_use]
    pub fn encoded_update(&self, have: Version) -> EncodedUpdate {
        let mut state = self.state();
        if let Some(done) = state.encoded.iter().find(|encoded| encoded.base == have) {
            return EncodedUpdate {
                reply: done.reply.clone(),
                whole: done.whole,
            };
        }
        let update = state.update(have, self.board.settings.delivery);
        let whole = matches!(update.body, Body::Whole(_));
        let reply = wire::encode(&Reply::Update(CompressedUpdate::new(&update)));
        state.encoded.push(CachedUpdate {
            base: have,
            reply: reply.clone(),
            whole,
        });
        EncodedUpdate { reply, whole }
    }

    /// The version in force before the current one: what peers most likely hold.
    #[must_use]
    pub fn previous_version(&self) -> Version {
        let state = self.state();
        let index = state.history.len().checked_sub(2);
        index.map_or(Version(0), |index| state.history[index].version)
    }

    fn activate(&self, state: &mut State, way: Channel) {
        let version = state.replica.version();
        if version <= self.board.digest().version {
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
        if self.board.install(Snapshot::compile(version, document)) {
            info!(self.board.logger, "configuration in force"; "version" => version.0,
                "way" => %way);
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
            // Something foreign on the stream: it takes an offset and changes nothing, in every
            // fold alike.
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
