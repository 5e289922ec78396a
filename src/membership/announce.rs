//! The face towards the co-located target: it announces itself, renews and leaves.
//!
//! `POST /announce` with an [`Announcement`] starts or renews a lease; `POST /leave` ends it. The
//! lease is a hint for liveness: when it lapses the target gets no new work, and what is in flight
//! is left alone.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Method, Request, StatusCode};
use serde::{Deserialize, Serialize};
use slog::{debug, info, warn};
use volo_http::body::Body;
use volo_http::server::Router;
use volo_http::server::route::{get, post};

use crate::board::{Board, Target};
use crate::calls::dispatch::Dispatcher;
use crate::clock;
use crate::membership::member::Stage;
use crate::membership::probe::Membership;
use crate::membership::target::{Beat, Life, Lives, Standing};
use crate::quarantine::detector::{Detector, lock_running};
use crate::units::{Birth, Instance, Millis, Revision, Service, Slots, Version};

/// Longest lease, in milliseconds.
pub const MAX_LEASE_MS: u64 = 60_000;
/// Time by which a birth may lie ahead of this host's clock, in milliseconds: clocks differ by
/// seconds at most.
const MAX_AHEAD_MS: u64 = 60_000;
/// Longest name of a revision, in bytes: it travels with each target's entry.
pub const MAX_REVISION: usize = 64;
/// Largest announcement, in bytes.
const MAX_BODY: usize = 4_096;
/// Time for a target to tell its health; it is on the same host.
const HEALTH: Duration = Duration::from_millis(400);
/// Slots of a target that has answered but not announced itself, where no peer remembers them: a
/// usual size. A target queues or refuses by itself what it can't do, and that is no harm; with a
/// small guess it would stand half idle after every daemon was killed, for an announcement's time.
const UNTOLD_SLOTS: Slots = Slots(16);
/// Lease of such a target: several times the usual time between two announcements.
const UNTOLD_LEASE: Duration = Duration::from_secs(10);

/// What a target says of itself.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Announcement {
    /// Service that it belongs to.
    pub service: Service,
    /// Where it takes calls, on this host.
    pub address: SocketAddr,
    /// Calls that it takes at the same time.
    pub slots: Slots,
    /// Time until it has to renew.
    pub lease_ms: Millis,
    /// Version of its software.
    #[serde(default)]
    pub revision: Option<Revision>,
    /// Time for which it is slow yet after its start.
    #[serde(default)]
    pub cold_ms: Millis,
    /// When it began, in milliseconds since 1970; with it, a restart is told apart from a renewal.
    #[serde(default)]
    pub born: Option<Birth>,
}

impl Announcement {
    /// What is wrong with it, with a remedy.
    #[must_use]
    pub fn fault(&self) -> Option<&'static str> {
        if !self.service.is_valid() {
            return Some("service must be 1 to 64 letters, digits, dots, dashes or underscores");
        }
        if self.slots.0 == 0 {
            return Some("slots is 0; name how many calls run at the same time");
        }
        if self.lease_ms.0 == 0 || self.lease_ms.0 > MAX_LEASE_MS {
            return Some("lease_ms must be 1 to 60000; renew at a third of it");
        }
        let revision = self.revision.as_ref().map_or("", Revision::as_str);
        if revision.len() > MAX_REVISION {
            return Some("revision must have at most 64 bytes");
        }
        if self.cold_ms.0 > MAX_LEASE_MS {
            return Some("cold_ms must be at most 60000; tell what is left of it");
        }
        let latest = Birth(clock::unix_ms() + MAX_AHEAD_MS);
        if self.born.is_some_and(|born| born > latest) {
            return Some("born lies in the future; tell the time of the start");
        }
        None
    }
}

/// Serves the co-located target.
#[derive(Debug)]
pub struct Desk {
    board: Arc<Board>,
    membership: Arc<Membership>,
    dispatcher: Dispatcher,
    crash_detector: Detector,
    lives: Mutex<Lives>,
    /// When the last target began that has no names for its lives, in milliseconds since 1970; 0 for not told.
    born_ms: AtomicU64,
}

/// Why an announcement was not taken: it contradicts itself, and the text names the remedy.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Faulty(pub &'static str);

impl Desk {
    /// A desk that writes the target on `board`.
    #[must_use]
    pub fn new(board: Arc<Board>, membership: Arc<Membership>) -> Self {
        Self {
            crash_detector: Detector::new(Arc::clone(&board)),
            board,
            membership,
            dispatcher: Dispatcher::new(Duration::ZERO),
            lives: Mutex::default(),
            born_ms: AtomicU64::new(0),
        }
    }

    /// The routes of this face.
    pub fn router(self: Arc<Self>) -> Router {
        let announcing = Arc::clone(&self);
        let leaving = Arc::clone(&self);
        let announce = move |body: Vec<u8>| {
            let desk = Arc::clone(&announcing);
            async move { desk.announce(&body).await }
        };
        let leave = move || {
            let desk = Arc::clone(&leaving);
            async move { desk.leave().await }
        };
        let stage = move || {
            let stage = self.board.stage().to_string();
            async move { (StatusCode::OK, stage) }
        };
        Router::new()
            .route("/announce", post(announce))
            .route("/leave", post(leave))
            .route("/stage", get(stage))
    }

    /// Takes an announcement of a target that tells its lives apart.
    ///
    /// # Errors
    ///
    /// [`Faulty`], and nothing is changed by it.
    pub async fn beat(&self, beat: Beat) -> Result<(), Faulty> {
        let announcement = Announcement {
            service: beat.service.clone(),
            address: beat.address,
            slots: beat.slots,
            lease_ms: beat.lease,
            revision: beat.revision.clone(),
            cold_ms: beat.cold,
            born: beat.life.born,
        };
        let fault = announcement.fault().or_else(|| self.fault(&beat));
        if let Some(fault) = fault {
            return Err(Faulty(fault));
        }
        let (standing, contested, leaving) = {
            let mut lives = self.lives();
            let contested = lives.contest(&beat.life);
            let standing = lives.hear(&beat.life, beat.sequence);
            if beat.leaving && matches!(standing, Standing::New | Standing::Current) {
                lives.leave();
            }
            (standing, contested, lives.leaving())
        };
        match standing {
            Standing::Stale | Standing::Past => {
                debug!(self.board.logger, "late announcement passed over";
                    "instance" => %beat.life.instance, "sequence" => beat.sequence);
                return Ok(());
            }
            Standing::New => {
                info!(self.board.logger, "target announced"; "service" => %beat.service,
                    "instance" => %beat.life.instance, "born" => beat.life.born.map(|born| born.0),
                    "sequence" => beat.sequence,
                    "revision" => beat.revision.as_ref().map(ToString::to_string),
                    "slots" => beat.slots.0);
            }
            Standing::Current => {}
        }
        if leaving {
            self.close("target leaves", &beat.life.instance).await;
            return Ok(());
        }
        // Two lives have claimed the address, in an order that proves nothing: ask who is there.
        if standing == Standing::New && contested {
            let asked = self.ask_health(beat.address, &beat.service).await;
            if let Some(there) = asked.filter(|there| *there != beat.life.instance) {
                self.lives().prove(&there);
                return Ok(());
            }
        }
        let target = Target {
            instance: Some(beat.life.instance),
            born: beat.life.born,
            address: beat.address,
            service: beat.service,
            slots: beat.slots,
            revision: beat.revision,
            cold_until: Instant::now() + beat.cold.duration(),
            lease_until: Instant::now() + beat.lease.duration(),
        };
        if standing == Standing::New && contested {
            self.crash_detector.target_restarted(&target);
        }
        self.open(target).await;
        Ok(())
    }

    /// What contradicts what this daemon knows, with a remedy.
    ///
    /// Guards against an announcement that is not the target's: taken for the word of its next life,
    /// it would put the one that serves out of use until it announces itself again.
    fn fault(&self, beat: &Beat) -> Option<&'static str> {
        let config = self.board.config();
        let groups = &config.document.groups;
        let named = groups.iter().any(|group| group.service == beat.service);
        if config.digest.version != Version(0) && !named {
            return Some("no group names the service; publish one or correct the announcement");
        }
        None
    }

    /// Notes an announcement that could not be read, and why.
    pub fn unreadable(&self, problem: &str) {
        metrics::counter!("jackdaw_bad_announcements_total").increment(1);
        warn!(self.board.logger, "announcement refused"; "problem" => problem);
    }

    /// Notes that a life of the target ends: it gets no new work.
    pub async fn deregister(&self, life: &Life) {
        if self.lives().close(life) {
            self.close("target ends", &life.instance).await;
        }
    }

    /// Looks for the target that the settings name, when it has not announced itself yet.
    ///
    /// Guards against a daemon that was killed beside a healthy target: until the next
    /// announcement the target would stand idle and its share of the work go to the others.
    pub async fn find_target(&self, slots: Option<Slots>) {
        let settings = &self.board.settings;
        let (Some(address), Some(service)) = (settings.service_addr, settings.service.clone())
        else {
            return;
        };
        if !self.lives().is_empty() {
            return;
        }
        let Some(instance) = self.ask_health(address, &service).await else {
            return;
        };
        if !self.lives().is_empty() {
            return;
        }
        self.lives().prove(&instance);
        info!(self.board.logger, "target found"; "instance" => %instance, "slots" => ?slots);
        self.open(Target {
            instance: Some(instance),
            born: None,
            address,
            service,
            slots: slots.unwrap_or(UNTOLD_SLOTS),
            revision: None,
            cold_until: Instant::now(),
            lease_until: Instant::now() + UNTOLD_LEASE,
        })
        .await;
    }

    /// The life that is healthy at `address`, where targets of the service tell it.
    async fn ask_health(&self, address: SocketAddr, service: &Service) -> Option<Instance> {
        let config = self.board.config();
        let mut groups = config.document.groups.iter();
        let group = groups.find(|group| group.service == *service)?;
        let name = self.board.dialect.instance.as_ref()?;
        let request = Request::builder()
            .method(Method::GET)
            .uri(group.health_path.as_ref()?)
            .header(http::header::HOST, address.to_string())
            .body(Body::empty());
        let request = request.ok()?;
        let asking = self.dispatcher.send(address, request, true);
        let (response, _lease) = tokio::time::timeout(HEALTH, asking).await.ok()?.ok()?;
        let healthy = response.status().is_success();
        let instance = response.headers().get(name).filter(|_| healthy)?;
        instance.to_str().ok().map(Instance::from)
    }

    async fn open(&self, target: Target) {
        let life = |target: &Target| (target.instance.clone(), target.born);
        let before = self.board.target();
        let same = before.is_some_and(|before| life(&before) == life(&target));
        lock_running(&self.board.running).mark_ready(!same);
        self.board.set_target(Some(target));
        self.membership.reflect().await;
    }

    async fn close(&self, event: &'static str, instance: &Instance) {
        if self.board.target().is_some() {
            info!(self.board.logger, "{}", event; "instance" => %instance);
        }
        lock_running(&self.board.running).mark_draining();
        self.board.set_target(None);
        self.membership.reflect().await;
    }

    fn lives(&self) -> MutexGuard<'_, Lives> {
        self.lives.lock().unwrap_or_else(PoisonError::into_inner)
    }

    async fn announce(&self, body: &[u8]) -> (StatusCode, String) {
        if body.len() > MAX_BODY {
            return (
                StatusCode::PAYLOAD_TOO_LARGE,
                "announce in under 4096 bytes".to_owned(),
            );
        }
        let announcement: Announcement = match serde_json::from_slice(body) {
            Ok(announcement) => announcement,
            Err(error) => {
                return (
                    StatusCode::BAD_REQUEST,
                    format!("not an announcement: {error}"),
                );
            }
        };
        if let Some(fault) = announcement.fault() {
            return (StatusCode::UNPROCESSABLE_ENTITY, fault.to_owned());
        }
        if self.board.stage() == Stage::Draining {
            return (
                StatusCode::SERVICE_UNAVAILABLE,
                "the daemon is draining".to_owned(),
            );
        }
        let known = self.board.target().is_some();
        let target = Target {
            instance: None,
            born: announcement.born,
            address: announcement.address,
            service: announcement.service,
            slots: announcement.slots,
            revision: announcement.revision,
            cold_until: Instant::now() + announcement.cold_ms.duration(),
            lease_until: Instant::now() + announcement.lease_ms.duration(),
        };
        if !known {
            info!(self.board.logger, "target announced"; "service" => %target.service);
        }
        if self.follows_another(target.born) {
            self.crash_detector.target_restarted(&target);
        }
        self.open(target).await;
        (StatusCode::OK, "announced".to_owned())
    }

    /// Whether a target that began then follows one that began earlier; notes when it began.
    fn follows_another(&self, born: Option<Birth>) -> bool {
        let Some(Birth(born_ms)) = born else {
            return false;
        };
        let before_ms = self.born_ms.fetch_max(born_ms, Ordering::AcqRel);
        before_ms != 0 && before_ms < born_ms
    }

    async fn leave(&self) -> (StatusCode, String) {
        info!(self.board.logger, "target left");
        lock_running(&self.board.running).mark_draining();
        self.board.set_target(None);
        self.membership.reflect().await;
        (StatusCode::OK, "left".to_owned())
    }
}
