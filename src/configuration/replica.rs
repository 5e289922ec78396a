//! The fold of the log that decides which edits are accepted.
//!
//! Every daemon that folds the same records reaches the same version and document: an edit is
//! accepted when it is based on the version in force and its document checks out. Two racing edits
//! name the same base, so exactly one is accepted. The version is the offset after the accepted
//! record: totally ordered and never reused.
//!
//! ```
//! use jackdawpulley::configuration::document::Document;
//! use jackdawpulley::configuration::replica::{Base, Content, Edit, Record, Replica, Verdict};
//! use jackdawpulley::units::{Offset, Version};
//!
//! let mut replica = Replica::new();
//! let content = Content::Whole(Document::default());
//! let edit = Edit { id: "e1".into(), base: Base::Version(Version(0)), content };
//! let verdict = replica.apply(Offset(0), &Record::Edit(edit));
//! assert_eq!(verdict, Verdict::Accepted { version: Version(1) });
//! ```

use std::sync::Arc;

use serde::{Deserialize, Serialize};

use crate::configuration::check;
use crate::configuration::delta::Delta;
use crate::configuration::document::Document;
use crate::configuration::exchange::Accepted;
use crate::configuration::fault::Fault;
use crate::units::{EditId, Offset, Version};

/// Verdicts that a fold remembers, to answer a publisher who asks again.
pub const RECENT_EDITS: usize = 256;

/// One record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// Somebody's wish to replace the document.
    Edit(Edit),
    /// The state of a fold, kept inside the retention of the log.
    Checkpoint(Checkpoint),
}

/// A wish to replace the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Chosen by the publisher; the same for every try.
    pub id: EditId,
    /// What the edit was made on.
    pub base: Base,
    /// The new document.
    pub content: Content,
}

/// The new document of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// All of it.
    Whole(Document),
    /// The changes from the document in force.
    Delta(Delta),
}

/// An edit as its publisher writes it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Chosen by the publisher; the same for every try.
    pub id: EditId,
    /// What the edit was made on.
    pub base: Base,
    /// The whole new document.
    pub document: Document,
}

/// What an edit was made on.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Base {
    /// This version: accepted while it is in force.
    Version(Version),
    /// The log up to this head: accepted over any version, if no edit was accepted since.
    Head(Offset),
}

/// The state of a fold.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Version in force.
    pub version: Version,
    /// First offset that is not part of the state.
    pub next: Offset,
    /// Document in force.
    pub document: Arc<Document>,
    /// Verdicts on the latest edits, oldest first.
    pub recent: Vec<Decision>,
}

/// A remembered verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// Edit it is about.
    pub id: EditId,
    /// What became of it.
    pub verdict: Verdict,
}

/// What a fold makes of a record.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Verdict {
    /// The edit is in force as this version.
    Accepted {
        /// Version it got.
        version: Version,
    },
    /// Another edit came first.
    Conflict {
        /// Version that was current.
        current: Version,
    },
    /// The document contradicts itself.
    Invalid {
        /// Every fault.
        faults: Vec<Fault>,
    },
    /// The record is folded already, or is a checkpoint that adds nothing.
    Skipped,
    /// Records before this one are missing; a checkpoint or a peer has to close the gap.
    Gap,
    /// A checkpoint closed the gap; folding goes on from the fold's next offset.
    Restored,
}

/// The state reached so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    state: Checkpoint,
    /// First offset that was still there when records were found missing.
    gap: Option<Offset>,
    /// End of the records that were missed, or could not be judged.
    unjudged_end: Offset,
}

impl Default for Replica {
    fn default() -> Self {
        Self::new()
    }
}

impl Replica {
    /// A fold that has seen nothing and starts at offset zero.
    #[must_use]
    pub fn new() -> Self {
        let state = Checkpoint {
            version: Version(0),
            next: Offset(0),
            document: Arc::default(),
            recent: Vec::new(),
        };
        Self {
            state,
            gap: None,
            unjudged_end: Offset(0),
        }
    }

    /// A fold that goes on from a checkpoint.
    #[must_use]
    pub const fn restore(checkpoint: Checkpoint) -> Self {
        Self {
            state: checkpoint,
            gap: None,
            unjudged_end: Offset(0),
        }
    }

    /// The state, to be written or handed on.
    #[must_use]
    pub const fn checkpoint(&self) -> &Checkpoint {
        &self.state
    }

    /// Version in force.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.state.version
    }

    /// First offset not folded yet.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.state.next
    }

    /// Document in force.
    #[must_use]
    pub const fn document(&self) -> &Arc<Document> {
        &self.state.document
    }

    /// Whether records are missing before the next one.
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Verdict on an edit, while it is remembered.
    #[must_use]
    pub fn verdict(&self, id: &EditId) -> Option<&Verdict> {
        self.state
            .recent
            .iter()
            .rev()
            .find(|d| d.id == *id)
            .map(|d| &d.verdict)
    }

    /// Folds the record at `offset`.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset < self.state.next {
            return Verdict::Skipped;
        }
        self.expire(offset);
        match record {
            Record::Checkpoint(checkpoint) => self.apply_checkpoint(offset, checkpoint),
            // Guards against expired records: an edit accepted among them may have moved the
            // version, so judging a later edit by the old one could accept what every full reader
            // refused. A gapped fold judges only an edit over a head that it has seen all since.
            Record::Edit(edit) if self.has_gap() && !self.has_all_since(edit.base) => {
                self.state.next = offset.next();
                self.unjudged_end = offset.next();
                Verdict::Gap
            }
            Record::Edit(edit) => {
                self.state.next = offset.next();
                self.evaluate(offset, edit)
            }
        }
    }

    /// Passes over the record at `offset`, which is not one of ours.
    pub fn skip(&mut self, offset: Offset) -> Verdict {
        if offset >= self.state.next {
            self.expire(offset);
            self.state.next = offset.next();
        }
        Verdict::Skipped
    }

    /// Notes that all records before `first` have expired.
    pub fn expire(&mut self, first: Offset) {
        if first > self.state.next {
            self.gap = Some(first);
            self.unjudged_end = first;
            self.state.next = first;
        }
    }

    /// Accepted edits that led past `base`, oldest first, as far as they are remembered.
    #[must_use]
    pub fn accepted_since(&self, base: Version) -> Vec<Accepted> {
        let since = |decision: &Decision| match decision.verdict {
            Verdict::Accepted { version } if version > base => {
                let id = decision.id.clone();
                Some(Accepted { id, version })
            }
            _ => None,
        };
        self.state.recent.iter().filter_map(since).collect()
    }

    /// Takes over a version that a peer has in force; `false` when it is not newer.
    ///
    /// `accepted` are the edits that led to it. Without them a publisher whose edit arrives here
    /// by a peer, before the log is read, would not find it again, publish it once more, and be
    /// told that somebody else had won.
    pub fn adopt(
        &mut self,
        version: Version,
        document: Arc<Document>,
        accepted: Vec<Accepted>,
    ) -> bool {
        if version <= self.state.version {
            return false;
        }
        for Accepted { id, version } in accepted {
            if self.verdict(&id).is_none() {
                let verdict = Verdict::Accepted { version };
                self.record_decision(Decision { id, verdict });
            }
        }
        self.state.version = version;
        self.state.document = document;
        match self.gap {
            // The records after the version are still there: fold them again, ungapped.
            Some(first) if version.end() >= first => {
                self.state.next = version.end();
                self.gap = None;
            }
            Some(_) => {}
            None => self.state.next = self.state.next.max(version.end()),
        }
        true
    }

    fn apply_checkpoint(&mut self, offset: Offset, checkpoint: &Checkpoint) -> Verdict {
        self.state.next = offset.next();
        let Some(first) = self.gap else {
            return Verdict::Skipped;
        };
        // Guards against a paused writer's stale checkpoint: the edits after its state may have
        // expired, or it may lead back. Only a checkpoint whose following records are all still
        // there is taken, and those are folded again, also the ones before its own offset.
        if checkpoint.next < first || checkpoint.version < self.state.version {
            return Verdict::Skipped;
        }
        self.state = checkpoint.clone();
        self.gap = None;
        Verdict::Restored
    }

    fn evaluate(&mut self, offset: Offset, edit: &Edit) -> Verdict {
        // Guards against a repeated append: a publisher whose answer was lost appends the edit
        // again. The second record must be a no-op and give the first one's verdict.
        if let Some(known) = self.verdict(&edit.id) {
            return known.clone();
        }
        let verdict = match self.decide(offset, edit) {
            Ok(document) => {
                let version = Version::of(offset);
                self.state.version = version;
                self.state.document = Arc::new(document);
                self.gap = None;
                Verdict::Accepted { version }
            }
            Err(verdict) => verdict,
        };
        let id = edit.id.clone();
        self.record_decision(Decision {
            id,
            verdict: verdict.clone(),
        });
        verdict
    }

    fn record_decision(&mut self, decision: Decision) {
        if self.state.recent.len() == RECENT_EDITS {
            self.state.recent.remove(0);
        }
        self.state.recent.push(decision);
    }

    fn has_all_since(&self, base: Base) -> bool {
        matches!(base, Base::Head(head) if head >= self.unjudged_end)
    }

    /// The document that the edit puts in force, or why it does not.
    fn decide(&self, offset: Offset, edit: &Edit) -> Result<Document, Verdict> {
        // Either way an accepted edit makes the condition false for its own repetition, so that
        // a fold which has forgotten its identifier, or never saw it, refuses it all the same.
        let fits = match edit.base {
            Base::Version(base) => base == self.state.version,
            Base::Head(head) => self.state.version.end() <= head && head <= offset,
        };
        if !fits {
            return Err(Verdict::Conflict {
                current: self.state.version,
            });
        }
        let document = match &edit.content {
            Content::Whole(document) => document.clone().sorted(),
            Content::Delta(delta) => match delta.apply(&self.state.document) {
                Ok(document) => document,
                Err(error) => return Err(mismatch(&error.to_string())),
            },
        };
        let faults = check::document(&document);
        if faults.is_empty() {
            Ok(document)
        } else {
            Err(Verdict::Invalid { faults })
        }
    }
}

fn mismatch(problem: &str) -> Verdict {
    let fault = Fault {
        path: "content".to_owned(),
        problem: problem.to_owned(),
        remedy: "publish the whole document".to_owned(),
    };
    Verdict::Invalid {
        faults: vec![fault],
    }
}
