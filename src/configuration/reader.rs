//! Reads the source of the configuration on behalf of a data centre.
//!
//! The first few daemons in rendezvous order are readers; when the membership view drops one, the
//! next one takes its place. The role is advisory: two surplus readers cost bandwidth but not safety,
//! since all replicas decide alike.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use slog::{debug, info, warn};

use crate::backoff::Backoff;
use crate::configuration::control_plane::{ControlPlane, Release};
use crate::configuration::exchange::{Body, Update};
use crate::configuration::fault::Fault;
use crate::configuration::freshness::Limits;
use crate::configuration::log::{Log, Stream};
use crate::configuration::normalize::normalize;
use crate::configuration::relay::{jitter, rendezvous_order};
use crate::configuration::replica::Record;
use crate::configuration::store::{Channel, Store};
use crate::error::{Error, Result};
use crate::membership::member::Stage;
use crate::rollout::order::Change;
use crate::settings::Delivery;
use crate::shared_state::SharedState;
use crate::units::{Millis, Offset, Version};

/// Time that a read waits at the log for a first record.
const LONG_POLL_WAIT: Millis = Millis(5_000);
/// Pauses after failed reads: the longest one delays a change by at most a second once the source is
/// available again.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(1));
/// Faults of a version that are logged, one a line; `/state` names more.
const MAX_LOGGED_FAULTS: usize = 20;
/// Longest time between two checks of the role.
const ROLE_CHECK_INTERVAL: Duration = Duration::from_secs(1);

/// Rank of `me` in the rendezvous order of a data centre; the lowest ranks are readers.
#[must_use]
pub fn rank(order: &[SocketAddr], me: SocketAddr) -> Option<usize> {
    order.iter().position(|peer| *peer == me)
}

/// Rank of this daemon among the readers; `None` while it is not a reader.
///
/// A stopping daemon stays a reader until it leaves: callers use their connections until then, and if all
/// daemons stop together no other daemon would read.
#[must_use]
pub fn reader_rank(shared: &SharedState) -> Option<usize> {
    let settings = &shared.settings;
    if settings.delivery == Delivery::Poll {
        return Some(0);
    }
    let order = rendezvous_order(&shared.roster().members, &settings.data_centre);
    rank(&order, settings.identity()).filter(|rank| *rank < settings.readers)
}

/// Reads the source while this daemon is a reader.
#[derive(Debug)]
pub struct Reader {
    shared: Arc<SharedState>,
    store: Arc<Store>,
    source: Source,
    /// The last fault of an unreadable record that was logged.
    last_fault: Mutex<Option<String>>,
}

/// What a reader reads from.
#[derive(Debug, Clone)]
pub enum Source {
    /// The log of the operators' edits.
    Log(Log),
    /// A control plane that has accepted the versions already.
    ControlPlane(Arc<dyn ControlPlane>),
}

impl Reader {
    /// A reader of `source` into `store`.
    #[must_use]
    pub const fn new(shared: Arc<SharedState>, store: Arc<Store>, source: Source) -> Self {
        Self {
            shared,
            store,
            source,
            last_fault: Mutex::new(None),
        }
    }

    /// Reads for as long as the daemon runs.
    pub async fn run(self: Arc<Self>) {
        let mut rosters = self.shared.rosters();
        let mut failing = false;
        let mut is_reader = false;
        let mut backoff = RETRY_BACKOFF;
        if matches!(self.source, Source::ControlPlane(_)) {
            // While starting, the joining task reads the control plane itself.
            let mut stages = self.shared.stages();
            let _ = stages.wait_for(|stage| *stage != Stage::Starting).await;
        }
        loop {
            let was_reader = std::mem::replace(&mut is_reader, reader_rank(&self.shared).is_some());
            if is_reader != was_reader {
                self.log_role_change(is_reader);
            }
            if !is_reader {
                let _ = tokio::time::timeout(ROLE_CHECK_INTERVAL, rosters.changed()).await;
                continue;
            }
            let wait = match self.source {
                // A longer wait would delay a checkpoint that becomes due meanwhile.
                Source::Log(_) => LONG_POLL_WAIT.min(self.shared.settings.checkpoint_ms),
                // Short compared to the time within which a version must become active, since a broken
                // connection may show only by the missing response.
                Source::ControlPlane(_) => Limits::within(self.shared.settings.apply_ms).wait,
            };
            let began = Instant::now();
            if let Err(error) = self.read_once(wait).await {
                if !std::mem::replace(&mut failing, true) {
                    warn!(self.shared.logger, "reading the source failed"; "error" => %error,
                        "took_ms" => Millis::from(began.elapsed()).0, "version" => self.shared.digest().version.0);
                }
                tokio::time::sleep(backoff.next_delay()).await;
                continue;
            }
            backoff.reset();
            if std::mem::take(&mut failing) {
                info!(self.shared.logger, "source available again";
                    "version" => self.shared.digest().version.0);
            }
            self.write_checkpoint().await;
        }
    }

    fn log_role_change(&self, is_reader: bool) {
        let message = if is_reader {
            "became a reader"
        } else {
            "no longer a reader"
        };
        info!(self.shared.logger, "{}", message; "version" => self.shared.digest().version.0,
            "stage" => %self.shared.stage());
    }

    /// Reads and applies one page; waits up to `wait` for its first record. Returns the head of the log, or
    /// the next offset to read from the control plane.
    ///
    /// # Errors
    ///
    /// As [`Log::read`], except that expired records of the log are no error: the replica records the gap.
    pub async fn read_once(&self, wait: Millis) -> Result<Offset> {
        let log = match &self.source {
            Source::Log(log) => log,
            Source::ControlPlane(control_plane) => {
                return self
                    .follow_control_plane(control_plane.as_ref(), wait)
                    .await;
            }
        };
        let from = self.store.next();
        match log.read(Stream::Config, from, wait).await {
            Ok(page) => {
                self.store.apply_records(from, &page.records);
                Ok(page.head)
            }
            Err(Error::Expired { first }) => {
                warn!(self.shared.logger, "records expired before they were read"; "first" => first.0);
                self.store.expire(first);
                Ok(first)
            }
            Err(error) => Err(error),
        }
    }

    /// Reads what follows the position of the watermark, or else the newest records, and applies it.
    async fn follow_control_plane(
        &self,
        control_plane: &dyn ControlPlane,
        wait: Millis,
    ) -> Result<Offset> {
        let from = self.shared.freshness.latest().next;
        let mut began = Instant::now();
        let changes = match from {
            Some(from) => control_plane.read_from(from, wait).await,
            None => control_plane.read_newest().await,
        };
        let changes = match changes {
            // The newest version is always retained. After the platform was restored from an older copy,
            // offsets are assigned again: reading on from an old one would miss the records written
            // before it since then.
            Err(Error::Expired { .. } | Error::Rewound) => {
                began = Instant::now();
                control_plane.read_newest().await?
            }
            changes => changes?,
        };
        self.log_unreadable(&changes.faults);
        self.accept_newest(changes.releases);
        for change in &changes.orders {
            self.apply_order(change);
        }
        let has_waited = from == Some(changes.next) && began.elapsed() >= wait.duration();
        // A wait without a result shows that there was no record until the wait ended.
        let as_of = if has_waited {
            began + wait.duration()
        } else {
            began
        };
        let as_of = Some(as_of).filter(|_| changes.at_end);
        self.shared.freshness.record_read(changes.next, as_of);
        Ok(changes.next.offset)
    }

    /// Activates the newest valid version.
    ///
    /// An invalid version does not fail the read: it would be repeated for ever, and a valid version read
    /// together with it would never become active.
    fn accept_newest(&self, releases: Vec<Release>) {
        for release in releases.into_iter().rev() {
            let Release {
                version,
                document,
                mut faults,
            } = release;
            self.shared.freshness.note_received(version);
            let active = self.shared.digest().version;
            if version < active {
                return;
            }
            let (document, changes) = normalize(document);
            faults.extend(changes);
            if version == active {
                self.shared.set_config_faults(version, faults);
                return;
            }
            let update = Update {
                version,
                body: Body::Whole(document),
                accepted: Vec::new(),
            };
            if self.store.accept(update, Channel::Read).is_ok() {
                self.log_normalized(version, &faults);
                self.shared.set_config_faults(version, faults);
                return;
            }
        }
    }

    /// Logs that normalization changed a version.
    fn log_normalized(&self, version: Version, faults: &[Fault]) {
        if let Some(first) = faults.first() {
            warn!(self.shared.logger, "version normalized to the supported limits"; "version" => version.0,
                "faults" => faults.len(), "first" => %first);
            for fault in faults.iter().skip(1).take(MAX_LOGGED_FAULTS - 1) {
                warn!(self.shared.logger, "part of the version normalized"; "version" => version.0,
                    "fault" => %fault);
            }
        }
    }

    fn apply_order(&self, change: &Change) {
        if !self.shared.rollouts.apply_change(change) {
            return;
        }
        let Some(order) = &change.order else {
            info!(self.shared.logger, "rollout order withdrawn"; "service" => %change.service);
            return;
        };
        info!(self.shared.logger, "rollout order received"; "service" => %order.service,
            "revision" => %order.revision, "duration_ms" => order.duration.0,
            "era" => change.position.generation.0, "offset" => change.position.offset.0);
        let config = self.shared.config();
        let mut groups = config.document.groups.iter();
        if !groups.any(|group| group.service == order.service) {
            warn!(self.shared.logger, "no group has the service of the rollout order; publish one, or correct the order";
                "service" => %order.service);
        }
    }

    /// Logs each fault of unreadable records, but not the same one twice in a row.
    fn log_unreadable(&self, faults: &[String]) {
        let mut last_fault = self
            .last_fault
            .lock()
            .unwrap_or_else(PoisonError::into_inner);
        for fault in faults {
            if last_fault.as_ref() != Some(fault) {
                warn!(self.shared.logger, "unreadable record skipped"; "problem" => fault);
                *last_fault = Some(fault.clone());
            }
        }
    }

    /// Appends a checkpoint when one is due, so that the accepted state stays within the log's retention.
    async fn write_checkpoint(&self) {
        let Source::Log(log) = &self.source else {
            return;
        };
        let Some(rank) = reader_rank(&self.shared) else {
            return;
        };
        let interval = self.shared.settings.checkpoint_ms.duration();
        // Higher ranks wait longer and the delay is jittered, so that usually only one daemon writes.
        let max_age = interval.mul_f64(1.0 + 0.2 * f64::from(u32::try_from(rank).unwrap_or(1)));
        if self.store.checkpoint_age() < max_age + jitter(interval / 4) {
            return;
        }
        if let Some(checkpoint) = self.store.checkpoint() {
            let version = checkpoint.version.0;
            let record = Record::Checkpoint(checkpoint);
            match log.append(Stream::Config, &record).await {
                Ok(offset) => {
                    info!(self.shared.logger, "checkpoint written";
                        "version" => version, "offset" => offset.0);
                }
                Err(error) => {
                    debug!(self.shared.logger, "checkpoint failed"; "error" => %error);
                }
            }
        }
    }
}
