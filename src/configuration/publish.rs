//! Publishing of edits: appends an edit to the log and determines its verdict.
//!
//! The response to an append may be lost although the append took effect. The publisher therefore
//! reads the log until it finds the edit's identifier, and appends the edit again under the same
//! identifier if it is not there. Every replica treats such repetitions as one edit.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::{info, warn};

use crate::configuration::check;
use crate::configuration::log::{Log, Stream};
use crate::configuration::reader::Reader;
use crate::configuration::replica::{Proposal, Record, Verdict};
use crate::configuration::store::Store;
use crate::error::{Error, Result};
use crate::shared_state::SharedState;
use crate::units::{EditId, Millis, Offset, Version};

/// Pause between two attempts.
const RETRY_PAUSE: Duration = Duration::from_millis(100);

/// Publishes edits on behalf of operators.
#[derive(Debug)]
pub struct Publisher {
    shared: Arc<SharedState>,
    store: Arc<Store>,
    reader: Arc<Reader>,
    log: Log,
}

impl Publisher {
    /// A publisher that appends to `log` and learns verdicts through `reader`.
    #[must_use]
    pub const fn new(
        shared: Arc<SharedState>,
        store: Arc<Store>,
        reader: Arc<Reader>,
        log: Log,
    ) -> Self {
        Self {
            shared,
            store,
            reader,
            log,
        }
    }

    /// Publishes a proposal and waits up to `timeout` for its verdict.
    ///
    /// # Errors
    ///
    /// [`Error::Faults`] and [`Error::Conflict`] are final. [`Error::OutcomeUnknown`] means that the edit may
    /// or may not be accepted, and that the same edit may be published again. [`Error::MissingRecords`] means that
    /// earlier records are missing, so that there is no verdict.
    pub async fn publish(&self, proposal: Proposal, timeout: Duration) -> Result<Version> {
        let faults = check::edit(&proposal.document);
        if !faults.is_empty() {
            return Err(Error::Faults { faults });
        }
        let deadline = Instant::now() + timeout;
        let id = proposal.id.clone();
        let record = Record::Edit(self.store.build_edit(proposal));
        while Instant::now() < deadline {
            if let Some(version) = self.verdict(&id)? {
                return Ok(version);
            }
            // Without an offset the append may still have taken effect, or may do so later.
            let offset = match self.log.append(Stream::Config, &record).await {
                Ok(offset) => Some(offset),
                Err(error) => {
                    warn!(self.shared.logger, "append not confirmed";
                        "edit" => %id, "error" => %error);
                    None
                }
            };
            if let Some(version) = self.await_verdict(&id, offset, deadline).await? {
                return Ok(version);
            }
            tokio::time::sleep(RETRY_PAUSE).await;
        }
        Err(Error::OutcomeUnknown { id })
    }

    /// The head of the log's stream of edits.
    ///
    /// # Errors
    ///
    /// [`Error::Log`] when the read failed.
    pub async fn head(&self) -> Result<Offset> {
        Ok(self.log.bounds(Stream::Config).await?.head)
    }

    /// Version that an edit created; `None` if it has no verdict yet.
    ///
    /// # Errors
    ///
    /// [`Error::Conflict`] or [`Error::Faults`] when the edit was rejected.
    pub fn verdict(&self, id: &EditId) -> Result<Option<Version>> {
        match self.store.verdict(id) {
            Some(Verdict::Accepted { version }) => {
                info!(self.shared.logger, "edit active"; "edit" => %id, "version" => version.0);
                Ok(Some(version))
            }
            Some(Verdict::Conflict { current }) => Err(Error::Conflict { current }),
            Some(Verdict::Invalid { faults }) => Err(Error::Faults { faults }),
            _ => Ok(None),
        }
    }

    /// Reads the log up to `offset`, or else to its head, until the edit has a verdict.
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
                // All records up to the edit have been applied. After a confirmed append there is no
                // verdict only if earlier records are missing.
                return if self.store.has_gap() {
                    Err(Error::MissingRecords { first: next })
                } else {
                    Ok(None)
                };
            }
        }
        Ok(None)
    }
}
