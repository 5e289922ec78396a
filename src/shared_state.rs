//! State that the controllers of a daemon share with each other and with the request path.
//!
//! Each controller owns one part and replaces it as a whole. The request path reads immutable
//! snapshots, updates atomics, and takes no lock that a controller holds. A call keeps the snapshot
//! it began with.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, AtomicU8, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, OnceLock, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::{ArcSwap, ArcSwapOption};
use serde::Serialize;
use slog::Logger;
use tokio::sync::{Notify, watch};

use crate::calls::dialect::Dialect;
use crate::calls::log_rate::Limiter;
use crate::calls::notice::Tag;
use crate::calls::route::Table;
use crate::clock;
use crate::configuration::document::Document;
use crate::configuration::exchange::Digest;
use crate::configuration::fault::Fault;
use crate::configuration::freshness::Freshness;
use crate::drain::Schedule;
use crate::membership::absence::Absence;
use crate::membership::member::{Offer, Stage};
use crate::membership::roster::Roster;
use crate::membership::target::{Departure, Process, Processes, Renewal};
use crate::quarantine::detector::lock_running;
use crate::quarantine::running::Running;
use crate::quarantine::shared::Quarantine;
use crate::quota;
use crate::rollout::shared::Rollouts;
use crate::settings::Settings;
use crate::teams::directory::Directory;
use crate::telemetry::Meter;
use crate::units::{Generation, Instance, Millis, Revision, Slots, StartTime, Version};

/// Bounds the log lines caused by requests, so that logging does not make an overload worse.
const MAX_LOG_LINES_PER_SECOND: u32 = 40;

/// One version of the configuration, compiled for the request path.
#[derive(Debug)]
pub struct Snapshot {
    /// Version and hash of the document.
    pub digest: Digest,
    /// Document in its sorted form.
    pub document: Arc<Document>,
    /// Routing table compiled from the document.
    pub table: Table,
    /// Teams compiled from the document, with their keys.
    pub teams: Directory,
    /// When it was compiled for activation, in Unix microseconds.
    pub since_us: u64,
}

impl Snapshot {
    /// Compiles a document that has been checked and sorted.
    #[must_use]
    pub fn compile(version: Version, document: Arc<Document>) -> Self {
        let digest = Digest {
            version,
            hash: document.hash(),
        };
        let table = Table::compile(&document);
        let teams = Directory::compile(&document.teams);
        Self {
            digest,
            document,
            table,
            teams,
            since_us: clock::unix_us(),
        }
    }
}

/// The co-located target, as announced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize)]
pub struct Target {
    /// Identifier of the target process, if the target sends one.
    pub instance: Option<Instance>,
    /// When that process started, if the target sends it.
    #[serde(rename = "born")]
    pub start_time: Option<StartTime>,
    /// Address at which it accepts requests.
    pub address: SocketAddr,
    /// Service that it offers.
    pub service: crate::units::Service,
    /// Number of concurrent requests that it accepts.
    pub slots: Slots,
    /// Version of its software; unknown for a target that was discovered but has not announced itself.
    pub revision: Option<Revision>,
    /// When its warm-up after the start ends.
    #[serde(skip)]
    pub cold_until: Instant,
    /// When the lease of its announcement expires.
    #[serde(skip)]
    pub lease_until: Instant,
}

impl Target {
    /// The target of an announcement that arrived at `now`.
    #[must_use]
    pub fn announced(renewal: Renewal, now: Instant) -> Self {
        Self {
            instance: Some(renewal.process.instance),
            start_time: renewal.process.start_time,
            address: renewal.address,
            service: renewal.service,
            slots: renewal.slots,
            revision: renewal.revision,
            cold_until: now + renewal.cold.duration(),
            lease_until: now + renewal.lease.duration(),
        }
    }

    /// Its process, if it can be told from others; the start time alone is enough.
    #[must_use]
    pub fn process(&self) -> Option<Process> {
        let start_time = self.start_time;
        match &self.instance {
            Some(instance) => Some(Process::new(instance.clone(), start_time)),
            None => start_time.map(|_| Process::unnamed(start_time)),
        }
    }

    /// Tag of its process.
    #[must_use]
    pub fn tag(&self) -> Tag {
        Tag::new(self.instance.as_ref(), self.start_time)
    }

    /// Offer of this target that other daemons receive.
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
pub struct SharedState {
    /// Settings as read at the start.
    pub settings: Settings,
    /// Logger of this daemon.
    pub logger: Logger,
    /// Rate limiter for log lines caused by requests.
    pub log_limiter: Limiter,
    /// Header conventions of callers and targets.
    pub dialect: Dialect,
    /// Counts control traffic in bytes.
    pub meter: Arc<Meter>,
    /// How recently this daemon knew the platform's newest version.
    pub freshness: Freshness,
    config: ArcSwap<Snapshot>,
    /// What was changed or left out of a version that this daemon has read.
    config_faults: ArcSwap<(Version, Vec<Fault>)>,
    roster: ArcSwap<Roster>,
    target: ArcSwapOption<Target>,
    /// Processes of the targets at the co-located address. Locked for a few instructions, and while
    /// the target is set or removed.
    processes: Mutex<Processes>,
    /// Notified when a response has shown that the target is leaving.
    target_retired: Notify,
    /// Absence of the target at the start of this daemon.
    pub absence: Absence,
    /// Requests running at the target; the lock is held for a few instructions only.
    pub running: Mutex<Running>,
    /// Requests quarantined because they crash targets.
    pub quarantine: Quarantine,
    /// Quotas of teams.
    pub quotas: Arc<quota::limiter::Limiter>,
    /// Rollouts of new revisions.
    pub rollouts: Rollouts,
    stage: AtomicU8,
    /// Whether this daemon may be registered in the platform's list of daemons.
    registered: AtomicBool,
    drain_ms: AtomicU64,
    /// Times of the graceful shutdown, once it has begun.
    shutdown: OnceLock<Schedule>,
    in_flight: AtomicU64,
    versions: watch::Sender<Version>,
    /// Highest known generation of the platform's store.
    generations: watch::Sender<Generation>,
    rosters: watch::Sender<u64>,
    stages: watch::Sender<Stage>,
    /// Whether a graceful shutdown has stopped waiting for calls in flight.
    aborted: watch::Sender<bool>,
}

impl SharedState {
    /// Creates the state of a starting daemon, with an empty configuration.
    #[must_use]
    pub fn new(settings: Settings, dialect: Dialect, logger: Logger) -> Self {
        let processes = if settings.first_start {
            Processes::default()
        } else {
            Processes::after_restart()
        };
        Self {
            drain_ms: AtomicU64::new(settings.drain_ms.0),
            quarantine: Quarantine::new(settings.quarantine_ms.duration()),
            quotas: Arc::new(quota::limiter::Limiter::new(settings.identity())),
            rollouts: Rollouts::default(),
            settings,
            logger,
            log_limiter: Limiter::new(MAX_LOG_LINES_PER_SECOND),
            dialect,
            meter: Meter::shared(),
            freshness: Freshness::default(),
            config: ArcSwap::from_pointee(Snapshot::compile(Version(0), Arc::default())),
            config_faults: ArcSwap::default(),
            roster: ArcSwap::default(),
            target: ArcSwapOption::empty(),
            processes: Mutex::new(processes),
            target_retired: Notify::new(),
            absence: Absence::default(),
            running: Mutex::default(),
            stage: AtomicU8::new(Stage::Starting as u8),
            registered: AtomicBool::new(false),
            shutdown: OnceLock::new(),
            in_flight: AtomicU64::new(0),
            versions: watch::Sender::new(Version(0)),
            generations: watch::Sender::new(Generation(0)),
            rosters: watch::Sender::new(0),
            stages: watch::Sender::new(Stage::Starting),
            aborted: watch::Sender::new(false),
        }
    }

    /// Records what was changed or left out of a version that this daemon has read.
    pub fn set_config_faults(&self, version: Version, faults: Vec<Fault>) {
        let count = u32::try_from(faults.len()).unwrap_or(u32::MAX);
        metrics::gauge!("jackdaw_config_faults").set(f64::from(count));
        self.config_faults.store(Arc::new((version, faults)));
    }

    /// What was changed or left out of the active version; empty if a peer delivered it.
    #[must_use]
    pub fn config_faults(&self) -> Vec<Fault> {
        let faults = self.config_faults.load();
        let is_active = faults.0 == self.config().digest.version;
        if is_active {
            faults.1.clone()
        } else {
            Vec::new()
        }
    }

    /// The active configuration.
    #[must_use]
    pub fn config(&self) -> Arc<Snapshot> {
        self.config.load_full()
    }

    /// Version and hash of the active configuration.
    #[must_use]
    pub fn digest(&self) -> Digest {
        self.config.load().digest
    }

    /// Activates a snapshot; returns `false` if it is not newer than the active one.
    pub fn install(&self, snapshot: Snapshot) -> bool {
        let version = snapshot.digest.version;
        let snapshot = Arc::new(snapshot);
        // Guards against updates that arrive out of order: a late older one would revert routes.
        // The comparison and the swap are one atomic step, so any order of arrival is safe.
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

    /// Subscribes to the active version.
    #[must_use]
    pub fn versions(&self) -> watch::Receiver<Version> {
        self.versions.subscribe()
    }

    /// Highest known generation of the platform's store.
    #[must_use]
    pub fn generation(&self) -> Generation {
        *self.generations.borrow()
    }

    /// Records a generation reported by the platform or another daemon; a lower one has no effect.
    pub fn record_generation(&self, generation: Generation) {
        self.generations.send_if_modified(|known| {
            let later = generation > *known;
            *known = generation.max(*known);
            later
        });
    }

    /// Subscribes to the generation of the platform's store. After each change, earlier writes to
    /// the store may be lost.
    #[must_use]
    pub fn generations(&self) -> watch::Receiver<Generation> {
        self.generations.subscribe()
    }

    /// The roster used by the request path.
    #[must_use]
    pub fn roster(&self) -> Arc<Roster> {
        self.roster.load_full()
    }

    /// Replaces the roster.
    pub fn set_roster(&self, roster: Roster) {
        self.roster.store(Arc::new(roster));
        self.rosters.send_modify(|count| *count += 1);
    }

    /// Subscribes to changes of the roster.
    #[must_use]
    pub fn rosters(&self) -> watch::Receiver<u64> {
        self.rosters.subscribe()
    }

    /// The co-located target, if there is one.
    #[must_use]
    pub fn target(&self) -> Option<Arc<Target>> {
        self.target.load_full()
    }

    /// Replaces the co-located target, unless the new one has departed; returns whether there is one
    /// now.
    pub fn set_target(&self, target: Option<Target>) -> bool {
        let processes = self.processes();
        let has_departed = |target: &Target| {
            let process = target.process();
            process.is_some_and(|process| processes.has_departed(&process))
        };
        let target = target.filter(|target| !has_departed(target));
        let is_set = target.is_some();
        if is_set {
            self.absence.end();
        }
        self.target.store(target.map(Arc::new));
        is_set
    }

    /// Records that a process has said that it accepts no more calls, and removes it if it is the
    /// co-located target; returns whether it was.
    pub fn record_departure(&self, process: &Process) -> bool {
        let mut processes = self.processes();
        let is_current = processes.depart(process, StartTime(clock::unix_ms()));
        let target = self.target().and_then(|target| target.process());
        let is_target = target.is_some_and(|target| processes.has_departed(&target));
        if is_current || is_target {
            lock_running(&self.running).mark_draining();
        }
        if is_target {
            self.target.store(None);
        }
        is_target
    }

    /// Records departures that an earlier process of this daemon acknowledged, as its peers report
    /// them.
    pub fn adopt_departures(&self, departures: &[Departure]) {
        let mut processes = self.processes();
        for departure in departures {
            processes.record_departure(departure.clone());
        }
        let target = self.target().and_then(|target| target.process());
        if target.is_some_and(|target| processes.has_departed(&target)) {
            lock_running(&self.running).mark_draining();
            self.target.store(None);
            self.target_retired.notify_one();
        }
    }

    /// Records that a target has said in a response that it is leaving, like an announcement that
    /// says so; returns `false` if it is not the current target.
    pub fn retire_target(&self, leaving: &Target) -> bool {
        let is_retired = match leaving.process() {
            Some(process) => self.record_departure(&process),
            None => self.remove_anonymous(leaving),
        };
        if is_retired {
            self.target_retired.notify_one();
        }
        is_retired
    }

    /// Removes a target whose process cannot be told from others, if it is the current one.
    fn remove_anonymous(&self, leaving: &Target) -> bool {
        let _processes = self.processes();
        let current = self.target();
        let is_current = current.is_some_and(|current| current.tag().may_be(leaving.tag()));
        if is_current {
            lock_running(&self.running).mark_draining();
            self.target.store(None);
        }
        is_current
    }

    /// Waits until [`retire_target`](Self::retire_target) has retired a target.
    pub async fn target_retired(&self) {
        self.target_retired.notified().await;
    }

    /// Processes of the targets at the co-located address.
    pub fn processes(&self) -> MutexGuard<'_, Processes> {
        self.processes
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
    }

    /// Removes the co-located target if it is still the one that failed, until it announces itself
    /// again or another process takes its place.
    pub fn remove_target(&self, failed: &Arc<Target>) {
        let mut processes = self.processes();
        let current = self.target.load();
        if current.as_ref().is_some_and(|now| Arc::ptr_eq(now, failed)) {
            self.target.store(None);
            failed.instance.iter().for_each(|it| processes.withdraw(it));
        }
    }

    /// Removes the co-located target if its lease has expired, and withdraws its process if there is
    /// no target.
    pub fn expire_target(&self, now: Instant) {
        match self.target() {
            Some(target) if target.lease_until > now => {}
            Some(expired) => self.remove_target(&expired),
            None => self.processes().withdraw_current(),
        }
    }

    /// Whether the known rollouts allow a target on this host to receive requests.
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

    /// Whether this daemon may be registered in the platform's list, and so has to deregister.
    #[must_use]
    pub fn is_registered(&self) -> bool {
        self.registered.load(Ordering::Acquire)
    }

    /// Records that this daemon is about to register in the platform's list.
    pub fn set_registered(&self) {
        self.registered.store(true, Ordering::Release);
    }

    /// Drain limit: how long a graceful shutdown waits for calls in flight.
    #[must_use]
    pub fn drain_limit(&self) -> Millis {
        Millis(self.drain_ms.load(Ordering::Relaxed))
    }

    /// Sets the drain limit; returns whether it has changed.
    pub fn set_drain_limit(&self, drain: Millis) -> bool {
        self.drain_ms.swap(drain.0, Ordering::Relaxed) != drain.0
    }

    /// Lifecycle stage of this daemon.
    #[must_use]
    pub fn stage(&self) -> Stage {
        match self.stage.load(Ordering::Acquire) {
            stage if stage == Stage::Starting as u8 => Stage::Starting,
            stage if stage == Stage::Serving as u8 => Stage::Serving,
            stage if stage == Stage::Leaving as u8 => Stage::Leaving,
            _ => Stage::Draining,
        }
    }

    /// Whether callers should come to this daemon: it serves, and does not wait for an absent target.
    #[must_use]
    pub fn is_ready(&self) -> bool {
        self.stage() == Stage::Serving && self.absence.remaining(Instant::now()).is_none()
    }

    /// Advances the lifecycle stage; an earlier stage has no effect.
    pub fn advance(&self, stage: Stage) {
        self.stage.fetch_max(stage as u8, Ordering::AcqRel);
        self.stages.send_replace(self.stage());
    }

    /// Begins a graceful shutdown, unless one has begun, and returns its times. With `accept_ms` above 0 the
    /// daemon is `Leaving` first, so that the target still receives calls while callers go elsewhere.
    pub fn begin_shutdown(&self) -> Schedule {
        let accept = self.settings.accept_ms;
        let (accept_time, limit) = (accept.duration(), self.drain_limit().duration());
        let schedule = self
            .shutdown
            .get_or_init(|| Schedule::new(Instant::now(), accept_time, limit));
        let accepts_callers = accept > Millis(0);
        self.advance(if accepts_callers {
            Stage::Leaving
        } else {
            Stage::Draining
        });
        *schedule
    }

    /// Whether a call that ends at `end` may begin: not if a shutdown could give it up.
    #[must_use]
    pub fn admits_call(&self, end: Instant) -> bool {
        let schedule = self.shutdown.get();
        schedule.is_none_or(|schedule| schedule.admits(Instant::now(), end))
    }

    /// Subscribes to the lifecycle stage.
    #[must_use]
    pub fn stages(&self) -> watch::Receiver<Stage> {
        self.stages.subscribe()
    }

    /// Number of calls in flight in this daemon, as ingress or sidecar.
    #[must_use]
    pub fn in_flight(&self) -> u64 {
        self.in_flight.load(Ordering::Acquire)
    }

    /// Tells every call still in flight to respond at once, since the drain limit has passed.
    pub fn abort_calls(&self) {
        self.aborted.send_replace(true);
    }

    /// Waits until [`abort_calls`](Self::abort_calls) is called.
    pub async fn calls_aborted(&self) {
        let aborted = self
            .aborted
            .subscribe()
            .wait_for(|aborted| *aborted)
            .await
            .is_ok();
        if !aborted {
            std::future::pending::<()>().await;
        }
    }

    /// Counts a call as in flight until the returned guard is dropped.
    #[must_use]
    pub fn track_call(self: &Arc<Self>) -> InFlight {
        self.in_flight.fetch_add(1, Ordering::AcqRel);
        InFlight {
            shared: Arc::clone(self),
        }
    }

    /// Waits until no call is in flight; returns `false` if `limit` passes first.
    pub async fn wait_until_idle(&self, limit: Duration) -> bool {
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

/// Guard that counts one call as in flight until it is dropped.
#[derive(Debug)]
pub struct InFlight {
    shared: Arc<SharedState>,
}

impl Drop for InFlight {
    fn drop(&mut self) {
        self.shared.in_flight.fetch_sub(1, Ordering::AcqRel);
    }
}
