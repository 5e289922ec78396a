//! The blackboard that controllers read and write.
//!
//! Each controller owns one part and replaces it as a whole; the path of a request reads immutable
//! snapshots and moves atomics, and takes no lock that a controller holds. A call keeps the
//! snapshot it began with.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use serde::Serialize;
use slog::Logger;
use tokio::sync::watch;

use crate::calls::dialect::Dialect;
use crate::calls::log_rate::Limiter;
use crate::calls::route::Table;
use crate::clock;
use crate::configuration::document::Document;
use crate::configuration::exchange::Digest;
use crate::configuration::freshness::Freshness;
use crate::membership::member::{Offer, Stage};
use crate::membership::roster::Roster;
use crate::quarantine::running::Running;
use crate::quarantine::shared::Quarantine;
use crate::rollout::shared::Rollouts;
use crate::settings::Settings;
use crate::telemetry::Meter;
use crate::units::{Generation, Instance, Millis, Revision, Slots, StartTime, Version};

/// Lines a second that requests may cause, so that an overload is not made worse by being logged.
const LINES: u32 = 40;

/// The configuration of one version, compiled for the path of a request.
#[derive(Debug)]
pub struct Snapshot {
    /// What it is.
    pub digest: Digest,
    /// Document, sorted.
    pub document: Arc<Document>,
    /// Routes.
    pub table: Table,
    /// When it was compiled to be put in force, in microseconds since 1970.
    pub since_us: u64,
}

impl Snapshot {
    /// Compiles a checked and sorted document.
    #[must_use]
    pub fn compile(version: Version, document: Arc<Document>) -> Self {
        let digest = Digest {
            version,
            hash: document.hash(),
        };
        let table = Table::compile(&document);
        Self {
            digest,
            document,
            table,
            since_us: clock::unix_us(),
        }
    }
}

/// The co-located target, as it announced itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// The life that announced itself, where targets tell theirs.
    pub instance: Option<Instance>,
    /// When that life began, where targets tell it.
    #[serde(rename = "born")]
    pub start_time: Option<StartTime>,
    /// Where it takes calls.
    pub address: SocketAddr,
    /// What it offers.
    pub service: crate::units::Service,
    /// Calls that it takes at the same time.
    pub slots: Slots,
    /// Version of its software; not known of one that was found and has not announced itself.
    pub revision: Option<Revision>,
    /// When it is past the slow time after its start.
    #[serde(skip)]
    pub cold_until: Instant,
    /// When its announcement lapses.
    #[serde(skip)]
    pub lease_until: Instant,
}

impl Target {
    /// What the other daemons are told.
    #[must_use]
    pub fn offer(&self) -> Offer {
        Offer {
            service: self.service.clone(),
            slots: self.slots,
            start_time: self.start_time,
            revision: self.revision.clone(),
            open: true,
        }
    }
}

/// State shared by the controllers of one daemon.
#[derive(Debug)]
pub struct Board {
    /// Settings, fixed at the start.
    pub settings: Settings,
    /// Where events are written.
    pub logger: Logger,
    /// Bounds the lines that requests cause.
    pub lines: Limiter,
    /// How callers and targets spell their headers.
    pub dialect: Dialect,
    /// Control bytes.
    pub meter: Arc<Meter>,
    /// How recently this daemon knew the newest version of the platform.
    pub freshness: Freshness,
    config: ArcSwap<Snapshot>,
    roster: ArcSwap<Roster>,
    target: ArcSwapOption<Target>,
    /// What runs at it; held for a few instructions.
    pub running: Mutex<Running>,
    /// Requests that end targets.
    pub quarantine: Quarantine,
    /// Revisions that are rolled out.
    pub rollouts: Rollouts,
    stage: AtomicU8,
    /// Whether this daemon may stand on the platform's list.
    listed: AtomicBool,
    drain_ms: AtomicU64,
    in_flight: AtomicU64,
    versions: watch::Sender<Version>,
    /// Highest era of the platform that is known.
    eras: watch::Sender<Generation>,
    rosters: watch::Sender<u64>,
    stages: watch::Sender<Stage>,
    /// Whether a planned stop waits no longer.
    cut: watch::Sender<bool>,
}

impl Board {
    /// An empty board of a daemon that is starting.
    #[must_use]
    pub fn new(settings: Settings, dialect: Dialect, logger: Logger) -> Self {
        Self {
            drain_ms: AtomicU64::new(settings.drain_ms.0),
            quarantine: Quarantine::new(settings.quarantine_ms.duration()),
            rollouts: Rollouts::default(),
            settings,
            logger,
            lines: Limiter::new(LINES),
            dialect,
            meter: Meter::shared(),
            freshness: Freshness::default(),
            config: ArcSwap::from_pointee(Snapshot::compile(Version(0), Arc::default())),
            roster: ArcSwap::default(),
            target: ArcSwapOption::empty(),
            running: Mutex::default(),
            stage: AtomicU8::new(Stage::Starting as u8),
            listed: AtomicBool::new(false),
            in_flight: AtomicU64::new(0),
            versions: watch::Sender::new(Version(0)),
            eras: watch::Sender::new(Generation(0)),
            rosters: watch::Sender::new(0),
            stages: watch::Sender::new(Stage::Starting),
            cut: watch::Sender::new(false),
        }
    }

    /// The configuration in force.
    #[must_use]
    pub fn config(&self) -> Arc<Snapshot> {
        self.config.load_full()
    }

    /// Version and hash in force.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.config.load().digest
    }

    /// Puts a snapshot in force; `false` when it is not newer than the one in force.
    pub fn install(&self, snapshot: Snapshot) -> bool {
        let version = snapshot.digest.version;
        let snapshot = Arc::new(snapshot);
        // Guards against updates that cross in flight: an older one that arrives late would take
        // routes back. The comparison and the swap are one step, so no order of arrival can.
        let previous = self.config.rcu(|current| {
            if current.digest.version < version {
                Arc::clone(&snapshot)
            } else {
                Arc::clone(current)
            }
        });
        let newer = previous.digest.version < version;
        if newer {
            self.versions.send_replace(version);
        }
        newer
    }

    /// Follows the version in force.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Highest era of the platform that is known.
    #[must_use]
    pub fn era(&self) -> Generation {
        *self.eras.borrow()
    }

    /// Notes an era that the platform or another daemon has told.
    pub fn note_era(&self, era: Generation) {
        self.eras.send_if_modified(|known| {
            let later = era > *known;
            *known = era.max(*known);
            later
        });
    }

    /// Follows the eras of the platform: in each, what was written to it before may be gone.
    #[must_use]
    pub fn eras(&self) -> watch::Receiver<Generation> {
        self.eras.subscribe()
    }

    /// The members, as the path of a request sees them.
    #[must_use]
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.load_full()
    }

    /// Replaces the members.
    pub fn set_roster(&self, roster: Roster) {
        self.roster.store(Arc::new(roster));
        self.rosters.send_modify(|count| *count += 1);
    }

    /// Follows changes of the members.
    #[must_use]
    pub fn rosters(&self) -> watch::Receiver<u64> {
        self.rosters.subscribe()
    }

    /// The co-located target, while its lease holds.
    #[must_use]
    pub fn target(&self) -> Option<Arc<Target>> {
        self.target.load_full()
    }

    /// Replaces the co-located target.
    pub fn set_target(&self, target: Option<Target>) {
        self.target.store(target.map(Arc::new));
    }

    /// Closes the co-located target if it is still the one that was seen failing.
    pub fn drop_target(&self, failed: &Arc<Target>) {
        let current = self.target.load();
        if current.as_ref().is_some_and(|now| Arc::ptr_eq(now, failed)) {
            self.target.compare_and_swap(&current, None);
        }
    }

    /// Whether a target of this daemon's own host may take requests by the roll-outs that are known.
    #[must_use]
    pub fn admits(&self, target: &Target, now: Instant) -> bool {
        let (revision, me) = (target.revision.as_ref(), self.settings.identity());
        match self.rollouts.rules().get(&target.service) {
            Some(rule) => rule.side(revision, me, now).is_some(),
            None => {
                self.settings.exposure_share.is_none() || self.roster.load().is_stable(target, now)
            }
        }
    }

    /// Whether this daemon may stand on the platform's list, so that it has to be taken off.
    #[must_use]
    pub fn is_listed(&self) -> bool {
        self.listed.load(Ordering::Acquire)
    }

    /// Notes that this daemon is about to be listed.
    pub fn set_listed(&self) {
        self.listed.store(true, Ordering::Release);
    }

    /// Time that a planned stop waits for calls in flight.
    #[must_use]
    pub fn drain(&self) -> Millis {
        Millis(self.drain_ms.load(Ordering::Relaxed))
    }

    /// Changes that time; whether it is another one now.
    pub fn set_drain(&self, drain: Millis) -> bool {
        self.drain_ms.swap(drain.0, Ordering::Relaxed) != drain.0
    }

    /// Where the daemon is in its life.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            stage if stage == Stage::Starting as u8 => Stage::Starting,
            stage if stage == Stage::Serving as u8 => Stage::Serving,
            stage if stage == Stage::Leaving as u8 => Stage::Leaving,
            _ => Stage::Draining,
        }
    }

    /// Moves the daemon on in its life; it never moves back.
    pub fn advance(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        self.stages.send_replace(self.stage());
    }

    /// Begins a planned stop; the target takes calls for as long as callers still come.
    pub fn leave(&self) {
        let waits = self.settings.accept_ms > Millis(0);
        self.advance(if waits {
            Stage::Leaving
        } else {
            Stage::Draining
        });
    }

    /// Follows the stage.
    #[must_use]
    pub fn stages(&self) -> watch::Receiver<Stage> {
        self.stages.subscribe()
    }

    /// Calls that this daemon works on, as entry or gate.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Has every call that is still in flight answered at once, as a planned stop waits no longer.
    pub fn cut_short(&self) {
        self.cut.send_replace(true);
    }

    /// Waits until calls in flight are cut short.
    pub async fn until_cut(&self) {
        let cut = self.cut.subscribe().wait_for(|cut| *cut).await.is_ok();
        if !cut {
            std::future::pending::<()>().await;
        }
    }

    /// Counts a call until the returned value is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight {
            board: Arc::clone(self),
        }
    }

    /// Waits until no call is in flight, or `limit` has passed; `false` in the latter case.
    pub async fn idle(&self, limit: Duration) -> bool {
        let deadline = Instant::now() + limit;
        while self.in_flight() > 0 {
            if Instant::now() >= deadline {
                return false;
            }
            tokio::time::sleep(Duration::from_millis(10)).await;
        }
        true
    }
}

/// Counts one call while it exists.
#[derive(Debug)]
pub struct InFlight {
    board: Arc<Board>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.board.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
