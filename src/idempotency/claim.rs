//! The stronger guard of idempotency keys: a claim on the log before a request runs.
//!
//! Claims of one sidecar that arrive during an append are written together as one record, so the log
//! gets a few appends a second from each sidecar however many claims there are. While the log is
//! unavailable claims fail, and their requests do not run.

use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Duration;

use slog::{debug, warn};
use tokio::sync::{Notify, oneshot};

use crate::board::Board;
use crate::calls::outcome::Reason;
use crate::clock;
use crate::configuration::log::{Log, Page, Stream};
use crate::error::{Error, Result};
use crate::idempotency::keys::Holder;
use crate::idempotency::ledger::{Batch, Claim, Entry, Ledger};
use crate::units::{IdempotencyKey, Millis, Offset, Service};

/// Allowed clock difference between hosts, in milliseconds.
const MAX_CLOCK_SKEW_MS: u64 = 30_000;
/// Pause after the log failed; claims that arrive meanwhile wait for its end.
const RETRY_PAUSE: Duration = Duration::from_millis(100);
/// Most entries in one record.
const MAX_BATCH_ENTRIES: usize = 256;

/// Claims of one service at one sidecar.
#[derive(Debug)]
pub struct Claims {
    board: Arc<Board>,
    log: Log,
    stream: Stream,
    holder: Holder,
    next_number: AtomicU64,
    /// Locked only to move entries in and out.
    pending: Mutex<Vec<PendingEntry>>,
    enqueued: Notify,
}

#[derive(Debug)]
struct PendingEntry {
    entry: Entry,
    reply: Option<oneshot::Sender<Result<(), Reason>>>,
}

impl Claims {
    /// Starts the task that writes claims of `service` on behalf of `holder`.
    #[must_use]
    pub fn start(board: Arc<Board>, log: Log, service: Service, holder: Holder) -> Arc<Self> {
        let claims = Arc::new(Self {
            board,
            log,
            stream: Stream::Claims(service),
            holder,
            next_number: AtomicU64::new(0),
            pending: Mutex::default(),
            enqueued: Notify::new(),
        });
        let writer = Arc::clone(&claims);
        tokio::spawn(async move { writer.run().await });
        claims
    }

    /// Claims a key, which may run once the claim is returned.
    ///
    /// # Errors
    ///
    /// [`Reason::LogAway`] when the claim was not confirmed by the log: the key must not run;
    /// [`Reason::KeyInDoubt`] when another claim came first.
    pub async fn claim(&self, key: &IdempotencyKey) -> Result<Claim, Reason> {
        let number = self.next_number.fetch_add(1, Ordering::Relaxed);
        let claim = Claim {
            key: key.clone(),
            holder: self.holder,
            number,
        };
        let (reply, verdict) = oneshot::channel();
        self.enqueue(Entry::Claim(claim.clone()), Some(reply));
        verdict
            .await
            .unwrap_or(Err(Reason::LogAway))
            .map(|()| claim)
    }

    /// Releases a claim whose key has provably not run.
    pub fn release(&self, claim: Claim) {
        self.enqueue(Entry::Release(claim), None);
    }

    fn enqueue(&self, entry: Entry, reply: Option<oneshot::Sender<Result<(), Reason>>>) {
        self.pending().push(PendingEntry { entry, reply });
        self.enqueued.notify_one();
    }

    async fn run(&self) {
        let mut ledger = None;
        loop {
            let batch = self.take_batch();
            if batch.is_empty() {
                self.enqueued.notified().await;
            } else if self.flush(&mut ledger, batch).await.is_err() {
                tokio::time::sleep(RETRY_PAUSE).await;
            }
        }
    }

    fn take_batch(&self) -> Vec<PendingEntry> {
        let mut pending = self.pending();
        let count = pending.len().min(MAX_BATCH_ENTRIES);
        pending.drain(..count).collect()
    }

    /// Writes a batch as one record, and replies to each claim with its verdict.
    async fn flush(&self, ledger: &mut Option<Ledger>, mut batch: Vec<PendingEntry>) -> Result<()> {
        let written = self.write(ledger, &batch).await;
        if let Err(error) = &written {
            debug!(self.board.logger, "writing claims failed"; "error" => %error, "count" => batch.len());
        }
        for pending in &mut batch {
            let Some(reply) = pending.reply.take() else {
                continue;
            };
            let verdict = match (&written, &pending.entry, ledger.as_ref()) {
                (Ok(()), Entry::Claim(claim), Some(ledger)) => verdict(ledger, claim),
                _ => Err(Reason::LogAway),
            };
            // The request may have given up while its claim was written. Its key will not run, and
            // without a release repeats would be in doubt until the claim is forgotten.
            if let (Err(Ok(())), Entry::Claim(claim)) = (reply.send(verdict), &pending.entry) {
                self.release(claim.clone());
            }
        }
        if written.is_err() {
            self.release_unconfirmed(batch);
        }
        written
    }

    /// Appends a batch and applies the log up to it.
    async fn write(&self, ledger: &mut Option<Ledger>, batch: &[PendingEntry]) -> Result<()> {
        if ledger.is_none() {
            *ledger = Some(self.load_ledger().await?);
        }
        let Some(ledger) = ledger.as_mut() else {
            return Ok(());
        };
        let entries = batch.iter().map(|pending| pending.entry.clone()).collect();
        let record = Batch {
            at_ms: clock::unix_ms(),
            entries,
        };
        let offset = self.log.append(self.stream.clone(), &record).await?;
        while ledger.next() <= offset {
            self.read(ledger).await?;
        }
        ledger.forget_before(self.horizon_ms());
        Ok(())
    }

    /// Enqueues releases for a batch whose append was not confirmed.
    ///
    /// The append may have taken effect although its response was lost. The keys do not run, and without
    /// a release repeats would be in doubt until the claims are forgotten.
    fn release_unconfirmed(&self, batch: Vec<PendingEntry>) {
        let mut pending = self.pending();
        for unconfirmed in batch {
            let (Entry::Claim(claim) | Entry::Release(claim)) = unconfirmed.entry;
            pending.push(PendingEntry {
                entry: Entry::Release(claim),
                reply: None,
            });
        }
        // Bounds the queue during a long outage; the keys of dropped entries stay in doubt, which is safe.
        let excess = pending.len().saturating_sub(MAX_BATCH_ENTRIES * 4);
        if excess > 0 {
            warn!(self.board.logger, "queued claims dropped, their keys stay in doubt"; "count" => excess);
            pending.drain(..excess);
        }
    }

    async fn read(&self, ledger: &mut Ledger) -> Result<()> {
        let page = self
            .log
            .read(self.stream.clone(), ledger.next(), Millis(0))
            .await?;
        for stored in &page.records {
            match serde_json::from_str::<Batch>(&stored.value) {
                Ok(batch) => ledger.apply(stored.offset, batch.at_ms, &batch.entries),
                Err(_) => ledger.apply(stored.offset, 0, &[]),
            }
        }
        Ok(())
    }

    /// Reads a ledger of all claims that are still remembered.
    async fn load_ledger(&self) -> Result<Ledger> {
        let bounds = self.log.bounds(self.stream.clone()).await?;
        let horizon_ms = self.horizon_ms();
        let start = self.first_since(&bounds, horizon_ms).await?;
        // If the log's retention is shorter than the time for which keys are remembered, the key of an
        // expired claim may have run.
        if bounds.first > Offset(0) && start == bounds.first {
            return Err(Error::Expired {
                first: bounds.first,
            });
        }
        let mut ledger = Ledger::new(start);
        while ledger.next() < bounds.head {
            self.read(&mut ledger).await?;
        }
        Ok(ledger)
    }

    /// First offset whose record was written at or after the Unix time `horizon_ms`, found by binary search.
    async fn first_since(&self, bounds: &Page, horizon_ms: u64) -> Result<Offset> {
        let (mut low, mut high) = (bounds.first.0, bounds.head.0);
        while low < high {
            let middle = low.midpoint(high);
            let page = self
                .log
                .read(self.stream.clone(), Offset(middle), Millis(0))
                .await?;
            let batch = page.records.first();
            let batch = batch.and_then(|s| serde_json::from_str::<Batch>(&s.value).ok());
            if batch.is_some_and(|batch| batch.at_ms < horizon_ms) {
                low = middle + 1;
            } else {
                high = middle;
            }
        }
        Ok(Offset(low))
    }

    fn horizon_ms(&self) -> u64 {
        let retention_ms = self.board.settings.key_memory_ms.0;
        clock::unix_ms().saturating_sub(retention_ms + MAX_CLOCK_SKEW_MS)
    }

    fn pending(&self) -> MutexGuard<'_, Vec<PendingEntry>> {
        self.pending.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn verdict(ledger: &Ledger, claim: &Claim) -> Result<(), Reason> {
    if ledger.holder(&claim.key) == Some(claim) {
        Ok(())
    } else {
        Err(Reason::KeyInDoubt)
    }
}
