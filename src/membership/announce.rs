//! Endpoint for the co-located target, through which it announces itself, renews its lease and leaves.
//!
//! `POST /announce` with an [`Announcement`] starts or renews a lease; `POST /leave` ends it. The lease is a
//! hint about liveness: when it expires, the target gets no new requests, and those in flight are left alone.

use std::cmp::Ordering;
use std::sync::atomic::{self, AtomicU64};
use std::sync::{Arc, MutexGuard};
use std::time::{Duration, Instant};

use http::StatusCode;
use slog::{info, warn};
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::backoff::Backoff;
use crate::membership::announcement::{Announcement, process_problem};
use crate::membership::controller::Membership;
use crate::membership::health_check::{Finding, HealthCheck, TIMEOUT};
use crate::membership::member::Stage;
use crate::membership::target::{Process, Processes, Recency, Renewal};
use crate::membership::verification::Verification;
use crate::quarantine::detector::{Detector, lock_running};
use crate::shared_state::{SharedState, Target};
use crate::units::{Service, Slots, StartTime, Version};

/// Largest announcement, in bytes.
const MAX_BODY_BYTES: usize = 4_096;
/// Slots of a target that has passed its health check but not announced itself, if no peer remembers them.
///
/// This is a common size. A target queues or refuses the requests that it cannot run, which does no harm. With
/// a smaller value it would be half idle until its next announcement after all daemons were killed.
const DEFAULT_SLOTS: Slots = Slots(16);
/// Lease of such a target: several times the usual interval between two announcements.
const DEFAULT_LEASE: Duration = Duration::from_secs(10);

/// Pauses between the health checks of a target that claims the address after a restart of the daemon. It is
/// mostly busy with requests from before the restart, which end within a second.
const VERIFICATION_PAUSES: Backoff =
    Backoff::new(Duration::from_millis(100), Duration::from_secs(1));
/// Time-out of these health checks; nothing waits for them.
const VERIFICATION_TIMEOUT: Duration = Duration::from_secs(1);

/// HTTP endpoint for the co-located target.
#[derive(Debug)]
pub struct Endpoint {
    shared: Arc<SharedState>,
    membership: Arc<Membership>,
    health_check: HealthCheck,
    crash_detector: Detector,
    /// Latest start time of targets that name no instance, in milliseconds since 1970; 0 if none was reported.
    latest_start_ms: AtomicU64,
    verification: Verification,
}

/// Reason why an announcement was rejected, with a remedy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Rejection(pub &'static str);

impl Endpoint {
    /// Creates an endpoint that records the target on `shared`.
    #[must_use]
    pub fn new(shared: Arc<SharedState>, membership: Arc<Membership>) -> Self {
        Self {
            crash_detector: Detector::new(Arc::clone(&shared)),
            health_check: HealthCheck::new(Arc::clone(&shared)),
            shared,
            membership,
            latest_start_ms: AtomicU64::new(0),
            verification: Verification::new(Instant::now()),
        }
    }

    /// Routes of this endpoint.
    pub fn router(self: Arc<Self>) -> Router {
        let announcing = Arc::clone(&self);
        let leaving = Arc::clone(&self);
        let announce = move |body: Vec<u8>| {
            let endpoint = Arc::clone(&announcing);
            async move { endpoint.announce(&body).await }
        };
        let leave = move || {
            let endpoint = Arc::clone(&leaving);
            async move { endpoint.leave().await }
        };
        let stage = move || {
            let stage = self.shared.stage().to_string();
            async move { (StatusCode::OK, stage) }
        };
        Router::new()
            .route("/announce", post(announce))
            .route("/leave", post(leave))
            .route("/stage", get(stage))
    }

    /// Handles an announcement of a target that names its instance.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the announcement is invalid; it then changes nothing.
    pub async fn renew_lease(&self, renewal: Renewal) -> Result<(), Rejection> {
        if renewal.leaving {
            // Neither the offer nor the order of announcements matters to a departure.
            return self.depart("target is leaving", &renewal.process).await;
        }
        let announcement = Announcement {
            service: renewal.service.clone(),
            address: renewal.address,
            slots: renewal.slots,
            lease_ms: renewal.lease,
            revision: renewal.revision.clone(),
            cold_ms: renewal.cold,
            start_time: renewal.process.start_time,
        };
        let problem = process_problem(&renewal.process)
            .or_else(|| announcement.problem())
            .or_else(|| self.service_problem(&renewal));
        if let Some(problem) = problem {
            return Err(Rejection(problem));
        }
        let now = Instant::now();
        let contested = self.processes().may_replace_another(&renewal.process);
        match self.observe(&renewal, now) {
            Recency::Stale | Recency::Ended => {}
            Recency::Current => self.set_target(Target::announced(renewal, now)).await,
            Recency::New => {
                self.handle_claim(Target::announced(renewal, now), contested)
                    .await;
            }
        }
        Ok(())
    }

    /// Records an announcement in the processes of the address, and logs it unless it is a mere renewal.
    fn observe(&self, renewal: &Renewal, now: Instant) -> Recency {
        self.shared.expire_target(now);
        let recency = {
            let mut processes = self.processes();
            if self.verification.is_over(now) {
                processes.trust_announcements();
            }
            processes.observe(&renewal.process, renewal.sequence)
        };
        let verdict: &str = recency.into();
        metrics::counter!("jackdaw_target_announcements_total", "verdict" => verdict).increment(1);
        match recency {
            Recency::Stale | Recency::Ended => {
                info!(self.shared.logger, "announcement ignored"; "verdict" => verdict,
                    "instance" => %renewal.process.instance, "sequence" => renewal.sequence);
            }
            Recency::New => {
                info!(self.shared.logger, "target announced"; "service" => %renewal.service,
                    "instance" => %renewal.process.instance, "born" => renewal.process.start_time.map(|start_time| start_time.0),
                    "sequence" => renewal.sequence,
                    "revision" => renewal.revision.as_ref().map(ToString::to_string),
                    "slots" => renewal.slots.0);
            }
            Recency::Current => {}
        }
        recency
    }

    /// Handles an announcement of a process that was not the current one; it is `contested` if another process may
    /// be at the address.
    async fn handle_claim(&self, target: Target, contested: bool) {
        let unverified = self.processes().is_unverified();
        let needs_check = contested || unverified;
        if needs_check && !self.holds_address(&target, TIMEOUT).await {
            if unverified {
                self.verification.add(target);
            }
            return;
        }
        if contested {
            self.crash_detector.target_restarted(&target);
        }
        self.set_target(target).await;
    }

    /// Whether the process of `target`, which claims the address, is the one at the address.
    ///
    /// The order of the announcements proves nothing; the health check tells which one is running, and if it does
    /// not, a current process that works keeps the address.
    async fn holds_address(&self, target: &Target, timeout: Duration) -> bool {
        let Some(claimant) = &target.instance else {
            return false;
        };
        let checking = self
            .health_check
            .run(target.address, &target.service, timeout);
        let finding = checking.await;
        info!(self.shared.logger, "claim of the address checked"; "finding" => ?finding,
            "instance" => %claimant);
        let mut processes = self.processes();
        match &finding {
            Finding::Healthy(responder) => _ = processes.confirm(responder),
            Finding::Absent if !processes.is_unverified() => processes.accept(claimant),
            Finding::Unsupported if processes.is_vacant() => processes.accept(claimant),
            Finding::Absent | Finding::Unsupported | Finding::Unknown => {}
        }
        processes.is_current(claimant)
    }

    /// Repeats the health check of targets that claim the address after a restart of the daemon, until no late
    /// announcement can arrive any more.
    pub async fn verify_claims(&self) {
        let end = self.verification.ends_at();
        while tokio::time::timeout_at(end.into(), self.verification.claimed())
            .await
            .is_ok()
        {
            let mut pauses = VERIFICATION_PAUSES;
            while let Some(target) = self.waiting_claim() {
                tokio::time::sleep(pauses.next_delay()).await;
                if self.holds_address(&target, VERIFICATION_TIMEOUT).await {
                    self.set_target(self.verification.latest(target)).await;
                }
            }
        }
    }

    /// The claim that waits for a health check, unless it has been decided meanwhile.
    fn waiting_claim(&self) -> Option<Target> {
        let claim = self.verification.get()?;
        let process = claim.process()?;
        let is_waiting = {
            let processes = self.processes();
            processes.is_vacant() && !processes.has_departed(&process)
        };
        if is_waiting && !self.verification.is_over(Instant::now()) {
            return Some(claim);
        }
        self.verification.clear();
        None
    }

    /// Describes a mismatch with the configuration, with a remedy.
    ///
    /// An announcement of an unknown service is not the target's. Accepted as one of its next process, it would
    /// take the running process out of service until that announces itself again.
    fn service_problem(&self, renewal: &Renewal) -> Option<&'static str> {
        let config = self.shared.config();
        let groups = &config.document.groups;
        let named = groups.iter().any(|group| group.service == renewal.service);
        if config.digest.version != Version(0) && !named {
            return Some("no group names the service; publish one or correct the announcement");
        }
        None
    }

    /// Records that an announcement was rejected, and why.
    pub fn record_rejected(&self, problem: &str) {
        metrics::counter!("jackdaw_bad_announcements_total").increment(1);
        warn!(self.shared.logger, "announcement rejected"; "problem" => problem);
    }

    /// Handles the end of a target process, which gets no new requests.
    ///
    /// # Errors
    ///
    /// [`Rejection`] if the name or the start time of the process is invalid; the process then remains.
    pub async fn deregister(&self, process: &Process) -> Result<(), Rejection> {
        self.depart("target deregistered", process).await
    }

    /// Records a departure. Whoever is told of it afterwards can rely on it: the process gets no new requests.
    async fn depart(&self, event: &'static str, process: &Process) -> Result<(), Rejection> {
        if let Some(problem) = process_problem(process) {
            return Err(Rejection(problem));
        }
        let is_repeated = self.processes().has_departed(process);
        let is_target = self.shared.record_departure(process);
        if is_target || !is_repeated {
            info!(self.shared.logger, "{}", event; "instance" => %process.instance,
                "was_target" => is_target);
        }
        self.membership.publish_own_entry().await;
        Ok(())
    }

    /// Looks for the target that the settings name, if it has not announced itself yet; records its
    /// [absence](crate::membership::absence) if nothing accepts connections at its address.
    ///
    /// After a daemon is killed and restarted beside a healthy target, the target would otherwise be idle until
    /// its next announcement, and its share of the requests would go to the others.
    pub async fn discover_target(&self, slots: Option<Slots>) {
        let settings = &self.shared.settings;
        let (Some(address), Some(name)) = (settings.service_addr, &settings.service) else {
            return;
        };
        let service = Service::from_name(name.as_str());
        if !self.processes().is_empty() {
            return;
        }
        let finding = self.health_check.run(address, &service, TIMEOUT).await;
        if !self.processes().is_empty() {
            return;
        }
        let instance = match finding {
            Finding::Healthy(instance) => instance,
            Finding::Absent => return self.record_absence(),
            Finding::Unknown | Finding::Unsupported => return,
        };
        if !self.processes().confirm(&instance) {
            return;
        }
        info!(self.shared.logger, "target found"; "instance" => %instance, "slots" => ?slots);
        let found = Target {
            instance: Some(instance),
            start_time: None,
            address,
            service,
            slots: slots.unwrap_or(DEFAULT_SLOTS),
            revision: None,
            cold_until: Instant::now(),
            lease_until: Instant::now() + DEFAULT_LEASE,
        };
        self.set_target(self.verification.latest(found)).await;
    }

    /// Records that the target is absent, until a stop requested before the start would be over.
    fn record_absence(&self) {
        let limit = self.shared.drain_limit();
        // An announcement that arrives meanwhile sets the target after this lock is released.
        let processes = self.processes();
        if processes.is_empty() {
            info!(self.shared.logger, "target absent at the start, not ready"; "limit_ms" => limit.0);
            self.shared.absence.begin(Instant::now(), limit.duration());
        }
    }

    async fn set_target(&self, target: Target) {
        let identity = |target: &Target| (target.instance.clone(), target.start_time);
        let before = self.shared.target();
        let same = before.is_some_and(|before| identity(&before) == identity(&target));
        if !self.shared.set_target(Some(target)) {
            // A response has shown meanwhile that it is leaving.
            return;
        }
        lock_running(&self.shared.running).mark_ready(!same);
        self.membership.publish_own_entry().await;
    }

    fn processes(&self) -> MutexGuard<'_, Processes> {
        self.shared.processes()
    }

    async fn announce(&self, body: &[u8]) -> (StatusCode, String) {
        if body.len() > MAX_BODY_BYTES {
            return (
                StatusCode::PAYLOAD_TOO_LARGE,
                "the announcement is larger than 4096 bytes".to_owned(),
            );
        }
        let announcement: Announcement = match serde_json::from_slice(body) {
            Ok(announcement) => announcement,
            Err(error) => {
                return (
                    StatusCode::BAD_REQUEST,
                    format!("invalid announcement: {error}"),
                );
            }
        };
        if let Some(problem) = announcement.problem() {
            return (StatusCode::UNPROCESSABLE_ENTITY, problem.to_owned());
        }
        if self.shared.stage() == Stage::Draining {
            return (
                StatusCode::SERVICE_UNAVAILABLE,
                "the daemon is draining".to_owned(),
            );
        }
        let known = self.shared.target().is_some();
        let target = Target {
            instance: None,
            start_time: announcement.start_time,
            address: announcement.address,
            service: announcement.service,
            slots: announcement.slots,
            revision: announcement.revision,
            cold_until: Instant::now() + announcement.cold_ms.duration(),
            lease_until: Instant::now() + announcement.lease_ms.duration(),
        };
        if !known {
            info!(self.shared.logger, "target announced"; "service" => %target.service);
        }
        let process = target.process();
        if process.is_some_and(|process| self.processes().has_departed(&process)) {
            return (
                StatusCode::CONFLICT,
                "the process has left; announce the next one with its own born".to_owned(),
            );
        }
        match self.record_start(target.start_time) {
            Ordering::Greater => self.crash_detector.target_restarted(&target),
            Ordering::Equal => {}
            Ordering::Less => {
                return (
                    StatusCode::CONFLICT,
                    "a process with a later born has announced itself".to_owned(),
                );
            }
        }
        self.set_target(target).await;
        (StatusCode::OK, "announced".to_owned())
    }

    /// Records a start time, and compares it with the latest one before. One that is not reported, or the first
    /// one, counts as equal.
    fn record_start(&self, start_time: Option<StartTime>) -> Ordering {
        let Some(StartTime(start_ms)) = start_time else {
            return Ordering::Equal;
        };
        match self
            .latest_start_ms
            .fetch_max(start_ms, atomic::Ordering::AcqRel)
        {
            0 => Ordering::Equal,
            previous_ms => start_ms.cmp(&previous_ms),
        }
    }

    /// The process that `POST /leave` is about, if it can be told from others.
    fn leaving_process(&self) -> Option<Process> {
        if let Some(target) = self.shared.target() {
            return target.process();
        }
        let latest_ms = self.latest_start_ms.load(atomic::Ordering::Acquire);
        (latest_ms != 0).then(|| Process::unnamed(Some(StartTime(latest_ms))))
    }

    async fn leave(&self) -> (StatusCode, String) {
        let Some(process) = self.leaving_process() else {
            // Nothing tells the process from the next one.
            info!(self.shared.logger, "target left");
            lock_running(&self.shared.running).mark_draining();
            self.shared.set_target(None);
            self.membership.publish_own_entry().await;
            return (StatusCode::OK, "left".to_owned());
        };
        match self.depart("target left", &process).await {
            Ok(()) => (StatusCode::OK, "left".to_owned()),
            Err(Rejection(problem)) => (StatusCode::UNPROCESSABLE_ENTITY, problem.to_owned()),
        }
    }
}
