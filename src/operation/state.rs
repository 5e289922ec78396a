//! Dump of a daemon's state for troubleshooting.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::calls::sidecar::Sidecar;
use crate::configuration::reader;
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::member::{Health, Member, Stage};
use crate::membership::roster::{Roster, Upstream};
use crate::membership::target::Processes;
use crate::quarantine::crash_set::Assessments;
use crate::quota::limiter::TeamState;
use crate::rollout::progress::Progress;
use crate::settings::Settings;
use crate::shared_state::{SharedState, Target};
use crate::telemetry::Reading;
use crate::units::{DataCentre, Generation, Millis, Rate, Revision, Service, Version};

/// Maximum number of members, of upstreams and of quarantined requests in a dump.
const MAX_LISTED: usize = 500;

/// State of a daemon, as the operators' API returns it.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// Settings as read at the start.
    pub settings: Settings,
    /// Lifecycle stage.
    pub stage: Stage,
    /// Active version.
    pub version: Version,
    /// Newest version that this daemon has received, active or not.
    pub offered: Version,
    /// What was changed or left out of the active version, the first few hundred; empty if a peer delivered it.
    pub config_faults: Vec<String>,
    /// Hash of the document, in hexadecimal.
    pub hash: String,
    /// Age of the watermark: since then the platform may have a newer version.
    pub watermark_ms: Option<Millis>,
    /// Number of routes in the active configuration.
    pub routes: usize,
    /// Number of teams in the active configuration.
    pub teams: usize,
    /// Teams with a quota, the first few hundred.
    pub quotas: Vec<TeamState>,
    /// Whether this daemon reads the log for its data centre.
    pub reads_log: bool,
    /// The co-located target.
    pub target: Option<Target>,
    /// Processes of the target that have announced themselves.
    pub processes: Processes,
    /// Time until this daemon is ready without its target, which it did not find at its start.
    pub absence_left_ms: Option<Millis>,
    /// Requests per second that the target accepts, if it names a limit.
    pub target_limit: Option<Rate>,
    /// Time until the target's lease expires.
    pub lease_left_ms: Option<Millis>,
    /// Number of calls in flight in this daemon.
    pub in_flight: u64,
    /// Number of requests running at the target.
    pub running: u32,
    /// Number of requests waiting for a slot.
    pub waiting: usize,
    /// Number of idempotency keys stored.
    pub keys: usize,
    /// Requests refused because they crash targets, the first few hundred.
    pub quarantined: Vec<QuarantineDump>,
    /// Rollouts known, running or ended.
    pub rollouts: Vec<Progress>,
    /// Highest known generation of the platform's store.
    pub era: Generation,
    /// Control traffic in bytes.
    pub control: Reading,
    /// Number of members that are not gone.
    pub live: usize,
    /// Number of members that are gone but not yet forgotten.
    pub gone: usize,
    /// Members, limited to the first few hundred.
    pub members: Vec<Member>,
    /// Upstreams, limited to the first few hundred.
    pub upstreams: Vec<UpstreamDump>,
}

/// A request that is refused because it crashes targets.
#[derive(Debug, Serialize)]
pub struct QuarantineDump {
    /// Fingerprint, which is the same when the request is sent again.
    pub fingerprint: String,
    /// Number of target crashes attributed to it.
    pub ends: usize,
    /// Time until the quarantine ends.
    pub left_ms: Millis,
}

/// State of one upstream, as this daemon knows it.
#[derive(Debug, Serialize)]
pub struct UpstreamDump {
    /// Service that its target offers.
    pub service: Service,
    /// Address of its daemon.
    pub peer: SocketAddr,
    /// Version of its target's software.
    pub revision: Option<Revision>,
    /// Whether it is in this daemon's data centre.
    pub local: bool,
    /// Number of requests that this daemon has in flight there.
    pub own: u32,
    /// Number of requests in flight there, as its sidecar last reported.
    pub reported: u32,
    /// Number of failures since the last success.
    pub failures: u32,
    /// Whether it is ejected as an outlier.
    pub ejected: bool,
    /// Time until its target's limit is expected to leave room for a request of this daemon.
    pub room_in_ms: Millis,
    /// Time since it was first seen.
    pub age_ms: Millis,
}

/// Short state for health checks and `jackdawctl status`.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// Whether callers should come to the daemon.
    pub ready: bool,
    /// Lifecycle stage.
    pub stage: Stage,
    /// Active version.
    pub version: Version,
    /// Hash of the document, in hexadecimal.
    pub hash: String,
    /// Number of teams in the active configuration.
    #[serde(default)]
    pub teams: usize,
    /// When the version was activated, in Unix microseconds.
    pub since_us: u64,
    /// Data centre of the daemon.
    pub data_centre: DataCentre,
    /// Control traffic in bytes.
    pub control: Reading,
}

impl Brief {
    /// Reads the short state of a daemon.
    #[must_use]
    pub fn of(shared: &SharedState) -> Self {
        let config = shared.config();
        let digest = config.digest;
        Self {
            teams: config.teams.teams().len(),
            since_us: config.since_us,
            ready: shared.is_ready(),
            stage: shared.stage(),
            version: digest.version,
            hash: format!("{:016x}", digest.hash),
            data_centre: shared.settings.data_centre.clone(),
            control: shared.meter.read(),
        }
    }
}

impl Dump {
    /// Reads the state of a daemon.
    #[must_use]
    pub fn of(shared: &SharedState, sidecar: &Sidecar, keys: &Deduplicator) -> Self {
        let now = Instant::now();
        let config = shared.config();
        let roster = shared.roster();
        let (running, waiting) = sidecar.load();
        let target = shared.target();
        let time_left = |until: Instant| until.saturating_duration_since(now);
        Self {
            settings: shared.settings.clone(),
            stage: shared.stage(),
            version: config.digest.version,
            hash: format!("{:016x}", config.digest.hash),
            offered: shared.freshness.received(),
            config_faults: shared
                .config_faults()
                .iter()
                .take(MAX_LISTED)
                .map(ToString::to_string)
                .collect(),
            watermark_ms: shared.freshness.age(now),
            routes: config.table.len(),
            teams: config.teams.teams().len(),
            quotas: quotas(shared, now),
            reads_log: reader::reader_rank(shared).is_some(),
            lease_left_ms: target
                .as_ref()
                .map(|target| time_left(target.lease_until).into()),
            target: target.as_deref().cloned(),
            processes: shared.processes().clone(),
            absence_left_ms: shared.absence.remaining(now).map(Millis::from),
            target_limit: sidecar.rate_limit(),
            in_flight: shared.in_flight(),
            running,
            waiting,
            keys: keys.len(),
            rollouts: shared.rollouts.snapshot(),
            era: shared.generation(),
            quarantined: quarantined(&shared.quarantine.assessments(), now),
            control: shared.meter.read(),
            live: roster
                .members
                .iter()
                .filter(|m| m.health != Health::Gone)
                .count(),
            gone: roster.gone.len(),
            members: roster.members.iter().take(MAX_LISTED).cloned().collect(),
            upstreams: roster
                .all_upstreams()
                .take(MAX_LISTED)
                .map(|(s, u)| UpstreamDump::of(s, u, revision(&roster, u), now))
                .collect(),
        }
    }
}

/// State of the teams with a quota, limited to the first few hundred.
#[must_use]
pub fn quotas(shared: &SharedState, now: Instant) -> Vec<TeamState> {
    let config = shared.config();
    let mut teams = shared.quotas.states(now, config.teams.teams());
    teams.truncate(MAX_LISTED);
    teams
}

/// Version of an upstream's target software, as its daemon reports it.
fn revision(roster: &Roster, upstream: &Upstream) -> Option<Revision> {
    let offer = roster.member(upstream.peer)?.offer.as_ref()?;
    offer.revision.clone()
}

fn quarantined(assessments: &Assessments, now: Instant) -> Vec<QuarantineDump> {
    let quarantined = assessments.quarantined().take(MAX_LISTED);
    quarantined
        .map(|(cause, until)| QuarantineDump {
            fingerprint: cause.to_string(),
            ends: assessments.of(cause).crashes,
            left_ms: until.saturating_duration_since(now).into(),
        })
        .collect()
}

impl UpstreamDump {
    fn of(
        service: &Service,
        upstream: &Upstream,
        revision: Option<Revision>,
        now: Instant,
    ) -> Self {
        let (own, reported) = upstream.load();
        let age: Duration = upstream.age(now);
        Self {
            service: service.clone(),
            peer: upstream.peer,
            revision,
            local: upstream.local,
            own,
            reported,
            failures: upstream.detector().failures,
            ejected: upstream.ejected(now),
            room_in_ms: upstream.pace().room_in(now).into(),
            age_ms: age.into(),
        }
    }
}
