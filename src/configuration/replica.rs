//! A replica of the configuration: the state machine that decides which edits on the log are accepted.
//!
//! Every daemon that applies the same records reaches the same version and document: an edit is
//! accepted if it is based on the active version and its document is valid. Two concurrent edits
//! name the same base, so exactly one is accepted. The version is the offset after the accepted
//! record, so versions are totally ordered and never reused.
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

/// Most recent verdicts that a replica remembers, for publishers that repeat an edit.
pub const RECENT_EDITS: usize = 256;

/// One record of the `config` stream.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "kind", rename_all = "snake_case")]
pub enum Record {
    /// A proposed change of the document.
    Edit(Edit),
    /// The state of a replica, written again before it passes the retention of the log.
    Checkpoint(Checkpoint),
}

/// A proposed change of the document.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Edit {
    /// Chosen by the publisher; the same for every attempt to append it.
    pub id: EditId,
    /// State that the edit is based on.
    pub base: Base,
    /// The new document.
    pub content: Content,
}

/// The new document of an edit.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Content {
    /// The whole document.
    Whole(Document),
    /// The changes from the active document.
    Delta(Box<Delta>),
}

/// An edit as its publisher submits it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Proposal {
    /// Chosen by the publisher; the same for every attempt to publish it.
    pub id: EditId,
    /// State that the edit is based on.
    pub base: Base,
    /// The whole new document.
    pub document: Document,
}

/// State that an edit is based on, and thereby the condition for accepting it.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(rename_all = "snake_case")]
pub enum Base {
    /// A version: accepted while that is the active one.
    Version(Version),
    /// The log up to this head: accepted on any version, if no edit was accepted since.
    Head(Offset),
}

/// The state of a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Checkpoint {
    /// Active version.
    pub version: Version,
    /// Offset of the first record that is not part of the state.
    pub next: Offset,
    /// Active document.
    pub document: Arc<Document>,
    /// Verdicts on the most recent edits, oldest first.
    pub recent: Vec<Decision>,
}

/// A remembered verdict.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Decision {
    /// The edit.
    pub id: EditId,
    /// Verdict on it.
    pub verdict: Verdict,
}

/// Result of applying a record to a replica.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(tag = "outcome", rename_all = "snake_case")]
pub enum Verdict {
    /// The edit was accepted.
    Accepted {
        /// Version that it created.
        version: Version,
    },
    /// Another edit was accepted since the base.
    Conflict {
        /// Version that was active.
        current: Version,
    },
    /// The document is invalid.
    Invalid {
        /// All faults.
        faults: Vec<Fault>,
    },
    /// The record changes nothing: it was applied already, is a checkpoint that is not needed, or
    /// cannot be decoded.
    Skipped,
    /// Not decided, since earlier records are missing; a checkpoint or a peer has to close the gap.
    Gap,
    /// A checkpoint closed the gap; [`Replica::next`] is the offset to continue from.
    Restored,
}

/// The state after the records applied so far.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Replica {
    state: Checkpoint,
    /// First retained offset when records were last found missing; `None` without a gap.
    gap: Option<Offset>,
    /// End of the records that were missed, or could not be evaluated.
    unjudged_end: Offset,
}

impl Default for Replica {
    fn default() -> Self {
        Self::new()
    }
}

impl Replica {
    /// An empty replica at offset zero.
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

    /// A replica that continues from a checkpoint.
    #[must_use]
    pub const fn restore(checkpoint: Checkpoint) -> Self {
        Self {
            state: checkpoint,
            gap: None,
            unjudged_end: Offset(0),
        }
    }

    /// The current state.
    #[must_use]
    pub const fn checkpoint(&self) -> &Checkpoint {
        &self.state
    }

    /// Active version.
    #[must_use]
    pub const fn version(&self) -> Version {
        self.state.version
    }

    /// Offset of the next record to apply.
    #[must_use]
    pub const fn next(&self) -> Offset {
        self.state.next
    }

    /// Active document.
    #[must_use]
    pub const fn document(&self) -> &Arc<Document> {
        &self.state.document
    }

    /// Whether records before the next one are missing.
    #[must_use]
    pub const fn has_gap(&self) -> bool {
        self.gap.is_some()
    }

    /// Verdict on an edit, if it is still remembered.
    #[must_use]
    pub fn verdict(&self, id: &EditId) -> Option<&Verdict> {
        self.state
            .recent
            .iter()
            .rev()
            .find(|d| d.id == *id)
            .map(|d| &d.verdict)
    }

    /// Applies the record at `offset`.
    pub fn apply(&mut self, offset: Offset, record: &Record) -> Verdict {
        if offset < self.state.next {
            return Verdict::Skipped;
        }
        self.expire(offset);
        match record {
            Record::Checkpoint(checkpoint) => self.apply_checkpoint(offset, checkpoint),
            // An edit among the missing records may have changed the version. Evaluating a later
            // edit against the old version could accept what every replica without a gap rejects,
            // so only an edit based on a head is evaluated, if all records since are known.
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

    /// Skips the record at `offset`, which cannot be decoded.
    pub fn skip(&mut self, offset: Offset) -> Verdict {
        if offset >= self.state.next {
            self.expire(offset);
            self.state.next = offset.next();
        }
        Verdict::Skipped
    }

    /// Records that all records before `first` have expired.
    pub fn expire(&mut self, first: Offset) {
        if first > self.state.next {
            self.gap = Some(first);
            self.unjudged_end = first;
            self.state.next = first;
        }
    }

    /// Edits accepted after version `base`, oldest first, as far as they are remembered.
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

    /// Adopts a version that is active at a peer; returns `false` if it is not newer.
    ///
    /// `accepted` are the edits that led to it. Without them, a publisher whose edit arrives through
    /// a peer before the log is read would not find its own edit, publish it again, and be told that
    /// another edit had won.
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
            // The records after the version are still retained: apply them again, now without a gap.
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
        // A writer that was paused may append a stale checkpoint: edits after its state may have
        // expired, or its version may be older. A checkpoint is used only if all records after its
        // state are retained; they are applied again, including those before its own offset.
        if checkpoint.next < first || checkpoint.version < self.state.version {
            return Verdict::Skipped;
        }
        self.state = checkpoint.clone();
        self.gap = None;
        Verdict::Restored
    }

    fn evaluate(&mut self, offset: Offset, edit: &Edit) -> Verdict {
        // A publisher that lost the response to its append appends the edit again. The second record
        // must change nothing and have the first one's verdict.
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

    /// The new document if the edit is accepted, otherwise the verdict.
    fn decide(&self, offset: Offset, edit: &Edit) -> Result<Document, Verdict> {
        // Accepting an edit makes this condition false for a repetition of it, so a replica that no
        // longer remembers its identifier, or never saw it, rejects the repetition as well.
        let is_current = match edit.base {
            Base::Version(base) => base == self.state.version,
            Base::Head(head) => self.state.version.end() <= head && head <= offset,
        };
        if !is_current {
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
