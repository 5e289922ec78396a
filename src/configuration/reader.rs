//! Reading the log on behalf of a data centre.
//!
//! The first few daemons in rendezvous order read; the next one steps in when the view drops one.
//! The duty is advisory: two readers too many cost bytes, never safety, since everyone folds alike.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{debug, info, warn};

use crate::backoff::Backoff;
use crate::board::Board;
use crate::configuration::config::{Store, Way};
use crate::configuration::exchange::{Body, Update};
use crate::configuration::fault::Fault;
use crate::configuration::fit::fit;
use crate::configuration::fold::Record;
use crate::configuration::freshness::Limits;
use crate::configuration::log::{Log, Stream};
use crate::configuration::origin::{Origin, Release};
use crate::configuration::relay::{jitter, order};
use crate::error::{Error, Result};
use crate::membership::member::Stage;
use crate::rollout::order::Change;
use crate::settings::Delivery;
use crate::units::{Millis, Offset, Version};

/// Time that a read waits at the log for the first record.
const WAIT: Millis = Millis(5_000);
/// Pauses after reads that failed: with the longest one a change waits a second at most once the source is
/// back.
const PAUSES: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(1));
/// Time between two looks at the duty.
const LOOK: Duration = Duration::from_secs(1);

/// Rank of `me` among the daemons of a data centre; readers have the lowest.
#[must_use]
pub fn rank(order: &[SocketAddr], me: SocketAddr) -> Option<usize> {
    order.iter().position(|peer| *peer == me)
}

/// Rank of a daemon among the readers; `None` while reading is not its duty.
///
/// A daemon that stops has its duty until it leaves: callers use their connections to the end, and where all
/// daemons stop together nobody else would read.
#[must_use]
pub fn duty(board: &Board) -> Option<usize> {
    let settings = &board.settings;
    if settings.delivery == Delivery::Poll {
        return Some(0);
    }
    let order = order(&board.roster().members, &settings.data_centre);
    rank(&order, settings.identity()).filter(|rank| *rank < settings.readers)
}

/// Reads the log while it is this daemon's duty.
#[derive(Debug)]
pub struct Reader {
    board: Arc<Board>,
    store: Arc<Store>,
    source: Source,
    /// The last fault of a record that was written to the log.
    fault: Mutex<Option<String>>,
}

/// What is read.
#[derive(Debug, Clone)]
pub enum Source {
    /// The operators' edits.
    Log(Log),
    /// Versions that the platform has accepted.
    Origin(Arc<dyn Origin>),
}

impl Reader {
    /// A reader of `source` into `store`.
    #[must_use]
    pub const fn new(board: Arc<Board>, store: Arc<Store>, source: Source) -> Self {
        Self {
            board,
            store,
            source,
            fault: Mutex::new(None),
        }
    }

    /// Reads for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        let mut rosters = self.board.rosters();
        let mut lost = false;
        let mut on_duty = false;
        let mut backoff = PAUSES;
        if matches!(self.source, Source::Origin(_)) {
            // Until then the joiner reads, for itself.
            let mut stages = self.board.stages();
            let _ = stages.wait_for(|stage| *stage != Stage::Starting).await;
        }
        loop {
            let was_on_duty = std::mem::replace(&mut on_duty, duty(&self.board).is_some());
            if on_duty != was_on_duty {
                self.note_duty(on_duty);
            }
            if !on_duty {
                let _ = tokio::time::timeout(LOOK, rosters.changed()).await;
                continue;
            }
            let wait = match self.source {
                // A longer wait would hold back the checkpoint that is due meanwhile.
                Source::Log(_) => WAIT.min(self.board.settings.checkpoint_ms),
                // Short against the time in which a version has to be in force, since a connection that
                // has gone silent shows only by the lack of an answer.
                Source::Origin(_) => Limits::within(self.board.settings.apply_ms).wait,
            };
            let began = Instant::now();
            if let Err(error) = self.turn(wait).await {
                if !std::mem::replace(&mut lost, true) {
                    warn!(self.board.logger, "source lost"; "error" => %error,
                        "took_ms" => Millis::from(began.elapsed()).0, "version" => self.board.digest().version.0);
                }
                tokio::time::sleep(backoff.next_delay()).await;
                continue;
            }
            backoff.reset();
            if std::mem::take(&mut lost) {
                info!(self.board.logger, "source regained";
                    "version" => self.board.digest().version.0);
            }
            self.write_checkpoint().await;
        }
    }

    fn note_duty(&self, on_duty: bool) {
        let line = if on_duty {
            "reading begins"
        } else {
            "reading ends"
        };
        info!(self.board.logger, "{}", line; "version" => self.board.digest().version.0,
            "stage" => %self.board.stage());
    }

    /// Reads and folds one page; waits up to `wait` for its first record. Returns the log's head.
    ///
    /// # Errors
    ///
    /// As [`Log::read`], but for expired records, which the fold takes note of.
    pub async fn turn(&self, wait: Millis) -> Result<Offset> {
        let log = match &self.source {
            Source::Log(log) => log,
            Source::Origin(origin) => return self.follow(origin.as_ref(), wait).await,
        };
        let from = self.store.next();
        match log.read(Stream::Config, from, wait).await {
            Ok(page) => {
                self.store.fold(from, &page.records);
                Ok(page.head)
            }
            Err(Error::Expired { first }) => {
                warn!(self.board.logger, "records have expired unread"; "first" => first.0);
                self.store.expire(first);
                Ok(first)
            }
            Err(error) => Err(error),
        }
    }

    /// Takes the newest version of an origin that can be taken, or what follows the latest watermark.
    async fn follow(&self, origin: &dyn Origin, wait: Millis) -> Result<Offset> {
        let from = self.board.freshness.latest().next;
        let mut began = Instant::now();
        let found = match from {
            Some(from) => origin.follow(from, wait).await,
            None => origin.newest().await,
        };
        let found = match found {
            // The newest version is kept whatever else was dropped. After a platform came back from
            // an older copy, offsets are given out again: what is read on from the old one leaves out
            // the records that were written again before it.
            Err(Error::Expired { .. } | Error::Rewound) => {
                began = Instant::now();
                origin.newest().await?
            }
            found => found?,
        };
        self.note_faults(&found.faults);
        self.take_newest(found.releases);
        for notice in &found.orders {
            self.note_order(notice);
        }
        let has_waited = from == Some(found.next) && began.elapsed() >= wait.duration();
        // After a wait that brought nothing, nothing had come until its end.
        let as_of = if has_waited {
            began + wait.duration()
        } else {
            began
        };
        let as_of = Some(as_of).filter(|_| found.at_end);
        self.board.freshness.note_read(found.next, as_of);
        Ok(found.next.offset)
    }

    /// Puts the newest version in force that does not contradict itself.
    ///
    /// Guards against a record that is no valid version: were the read to fail by it, it would be made again
    /// and again, and a valid version beside it would wait.
    fn take_newest(&self, releases: Vec<Release>) {
        for Release { version, document } in releases.into_iter().rev() {
            self.board.freshness.note_offer(version);
            if version <= self.board.digest().version {
                return;
            }
            let (document, faults) = fit(document);
            let update = Update {
                version,
                body: Body::Whole(document),
                accepted: Vec::new(),
            };
            if self.store.accept(update, Way::Read).is_ok() {
                self.note_fit(version, &faults);
                return;
            }
        }
    }

    /// Says which parts of a version are carried out otherwise than they are written.
    fn note_fit(&self, version: Version, faults: &[Fault]) {
        if let Some(first) = faults.first() {
            warn!(self.board.logger, "version brought within limits"; "version" => version.0,
                "faults" => faults.len(), "first" => %first);
        }
    }

    fn note_order(&self, notice: &Change) {
        if !self.board.rollouts.apply_change(notice) {
            return;
        }
        let Some(order) = &notice.order else {
            info!(self.board.logger, "order taken away"; "service" => %notice.service);
            return;
        };
        info!(self.board.logger, "order to roll out"; "service" => %order.service,
            "revision" => %order.revision, "duration_ms" => order.duration.0,
            "era" => notice.position.era.0, "offset" => notice.position.offset.0);
        let config = self.board.config();
        let mut groups = config.document.groups.iter();
        if !groups.any(|group| group.service == order.service) {
            warn!(self.board.logger, "order for a service of no group: publish one, or correct it";
                "service" => %order.service);
        }
    }

    /// Says once what is wrong with records that can't be read.
    fn note_faults(&self, faults: &[String]) {
        let mut noted = self.fault.lock().unwrap_or_else(PoisonError::into_inner);
        for fault in faults {
            if noted.as_ref() != Some(fault) {
                warn!(self.board.logger, "record passed over"; "problem" => fault);
                *noted = Some(fault.clone());
            }
        }
    }

    /// Keeps the accepted state inside the retention of the log.
    async fn write_checkpoint(&self) {
        let Source::Log(log) = &self.source else {
            return;
        };
        let Some(rank) = duty(&self.board) else {
            return;
        };
        let interval = self.board.settings.checkpoint_ms.duration();
        // Later ranks and other data centres wait longer, so that mostly one of them writes.
        let patience = interval.mul_f64(1.0 + 0.2 * f64::from(u32::try_from(rank).unwrap_or(1)));
        if self.store.checkpoint_age() < patience + jitter(interval / 4) {
            return;
        }
        if let Some(checkpoint) = self.store.checkpoint() {
            let version = checkpoint.version.0;
            let record = Record::Checkpoint(checkpoint);
            match log.append(Stream::Config, &record).await {
                Ok(offset) => {
                    info!(self.board.logger, "checkpoint written";
                        "version" => version, "offset" => offset.0);
                }
                Err(error) => {
                    debug!(self.board.logger, "checkpoint failed"; "error" => %error);
                }
            }
        }
    }
}
