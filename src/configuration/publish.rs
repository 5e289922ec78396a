//! Publishing an edit: append it, and find out what the fold made of it.
//!
//! The answer to an append can be lost after it took effect. The publisher therefore never guesses:
//! it reads the log until it meets the edit's own identifier, and appends again under the same
//! identifier when it is not there, which every fold treats as one edit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};

use crate::board::Board;
use crate::configuration::check;
use crate::configuration::log::{Log, Stream};
use crate::configuration::reader::Reader;
use crate::configuration::replica::{Proposal, Record, Verdict};
use crate::configuration::store::Store;
use crate::error::{Error, Result};
use crate::units::{EditId, Millis, Offset, Version};

/// Pause between two tries.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Publishes edits on behalf of operators.
#[derive(Debug)]
pub struct Publisher {
    board: Arc<Board>,
    store: Arc<Store>,
    reader: Arc<Reader>,
    log: Log,
}

impl Publisher {
    /// A publisher to `log`, which learns verdicts through `reader`.
    #[must_use]
    pub const fn new(board: Arc<Board>, store: Arc<Store>, reader: Arc<Reader>, log: Log) -> Self {
        Self {
            board,
            store,
            reader,
            log,
        }
    }

    /// Publishes a proposal and waits up to `patience` for its verdict.
    ///
    /// # Errors
    ///
    /// [`Error::Faults`] and [`Error::Conflict`] are final; [`Error::Undecided`] means that the
    /// edit may or may not be accepted, and that the same edit may be published again.
    pub async fn publish(&self, proposal: Proposal, patience: Duration) -> Result<Version> {
        let faults = check::document(&proposal.document);
        if !faults.is_empty() {
            return Err(Error::Faults { faults });
        }
        let deadline = Instant::now() + patience;
        let id = proposal.id.clone();
        let record = Record::Edit(self.store.build_edit(proposal));
        while Instant::now() < deadline {
            if let Some(verdict) = self.verdict(&id)? {
                return Ok(verdict);
            }
            // Without an offset the append may still have taken effect, also later on.
            let offset = match self.log.append(Stream::Config, &record).await {
                Ok(offset) => Some(offset),
                Err(error) => {
                    warn!(self.board.logger, "append without answer";
                        "edit" => %id, "error" => %error);
                    None
                }
            };
            if let Some(version) = self.await_verdict(&id, offset, deadline).await? {
                return Ok(version);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(Error::Undecided { id })
    }

    /// Where the log ends.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] when it can't be reached.
    pub async fn head(&self) -> Result<Offset> {
        Ok(self.log.bounds(Stream::Config).await?.head)
    }

    /// Verdict on an edit, when it is known.
    ///
    /// # Errors
    ///
    /// As [`publish`](Self::publish).
    pub fn verdict(&self, id: &EditId) -> Result<Option<Version>> {
        match self.store.verdict(id) {
            Some(Verdict::Accepted { version }) => {
                info!(self.board.logger, "edit in force"; "edit" => %id, "version" => version.0);
                Ok(Some(version))
            }
            Some(Verdict::Conflict { current }) => Err(Error::Conflict { current }),
            Some(Verdict::Invalid { faults }) => Err(Error::Faults { faults }),
            _ => Ok(None),
        }
    }

    /// Reads the log up to `offset`, or to its head, looking for the edit.
    async fn await_verdict(
        &self,
        id: &EditId,
        offset: Option<Offset>,
        deadline: Instant,
    ) -> Result<Option<Version>> {
        while Instant::now() < deadline {
            let Ok(head) = self.reader.read_once(Millis(0)).await else {
                return Ok(None);
            };
            if let Some(version) = self.verdict(id)? {
                return Ok(Some(version));
            }
            let next = self.store.next();
            let end = offset.map_or(head, Offset::next);
            if next >= end {
                // Everything up to the edit has been folded. It is without a verdict only when
                // earlier records are missing.
                return if self.store.gapped() {
                    Err(Error::Gapped { first: next })
                } else {
                    Ok(None)
                };
            }
        }
        Ok(None)
    }
}
