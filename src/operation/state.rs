//! The dump of a daemon's state, for a person who asks what it is doing.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};

use crate::board::{Board, Target};
use crate::calls::sidecar::Sidecar;
use crate::configuration::reader;
use crate::idempotency::deduplicator::Deduplicator;
use crate::membership::member::{Health, Member, Stage};
use crate::membership::roster::{Roster, Upstream};
use crate::quarantine::crash_set::Assessments;
use crate::rollout::progress::Progress;
use crate::settings::Settings;
use crate::telemetry::Reading;
use crate::units::{DataCentre, Generation, Millis, Revision, Service, Version};

/// Most members and upstreams that a dump names.
const MOST: usize = 500;

/// Everything that a daemon says of itself.
#[derive(Debug, Serialize)]
pub struct Dump {
    /// Settings in use.
    pub settings: Settings,
    /// Where it is in its life.
    pub stage: Stage,
    /// Version in force.
    pub version: Version,
    /// Newest version that this daemon has read from the platform, in force or not.
    pub offered: Version,
    /// Hash of the document, in hexadecimal.
    pub hash: String,
    /// Age of the watermark: since then the platform may hold a newer version.
    pub watermark_ms: Option<Millis>,
    /// Routes in force.
    pub routes: usize,
    /// Whether it reads the log for its data centre.
    pub reads_log: bool,
    /// The co-located target.
    pub target: Option<Target>,
    /// Time until the target's lease lapses.
    pub lease_left_ms: Option<Millis>,
    /// Calls in flight here.
    pub in_flight: u64,
    /// Requests that run at the target.
    pub running: u32,
    /// Requests that wait for a slot.
    pub waiting: usize,
    /// Idempotency keys that are remembered.
    pub keys: usize,
    /// Requests that are refused, since targets ended under them.
    pub quarantined: Vec<QuarantineDump>,
    /// Revisions that are rolled out, or were.
    pub rollouts: Vec<Progress>,
    /// Highest era of the platform that is known.
    pub era: Generation,
    /// Control bytes.
    pub control: Reading,
    /// Members that are not gone.
    pub live: usize,
    /// Members that are gone and not forgotten.
    pub gone: usize,
    /// Members, the first few hundred.
    pub members: Vec<Member>,
    /// Upstreams and the evidence on them, the first few hundred.
    pub upstreams: Vec<UpstreamDump>,
}

/// A request that is refused, since targets ended under it.
#[derive(Debug, Serialize)]
pub struct QuarantineDump {
    /// What stays the same when it is sent again.
    pub fingerprint: String,
    /// Ends of targets that it explains.
    pub ends: usize,
    /// Time until it may run again.
    pub left_ms: Millis,
}

/// What is known of one upstream.
#[derive(Debug, Serialize)]
pub struct UpstreamDump {
    /// Service it belongs to.
    pub service: Service,
    /// Address of its daemon.
    pub peer: SocketAddr,
    /// Version of its target's software.
    pub revision: Option<Revision>,
    /// Whether it is in this data centre.
    pub local: bool,
    /// Requests that this daemon has in flight there.
    pub own: u32,
    /// Requests in flight there as its gate last reported.
    pub reported: u32,
    /// Failures since the last success.
    pub failures: u32,
    /// Whether it is ejected.
    pub ejected: bool,
    /// Time since it came.
    pub age_ms: Millis,
}

/// The little that health checks and `jackdawctl status` need.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Brief {
    /// Whether it serves.
    pub ready: bool,
    /// Where it is in its life.
    pub stage: Stage,
    /// Version in force.
    pub version: Version,
    /// Hash of the document, in hexadecimal.
    pub hash: String,
    /// When the version was put in force, in microseconds since 1970.
    pub since_us: u64,
    /// Data centre.
    pub data_centre: DataCentre,
    /// Control bytes.
    pub control: Reading,
}

impl Brief {
    /// Reads a board.
    #[must_use]
    pub fn of(board: &Board) -> Self {
        let config = board.config();
        let digest = config.digest;
        Self {
            since_us: config.since_us,
            ready: board.stage() == Stage::Serving,
            stage: board.stage(),
            version: digest.version,
            hash: format!("{:016x}", digest.hash),
            data_centre: board.settings.data_centre.clone(),
            control: board.meter.read(),
        }
    }
}

impl Dump {
    /// Reads a daemon.
    #[must_use]
    pub fn of(board: &Board, gate: &Sidecar, keys: &Deduplicator) -> Self {
        let now = Instant::now();
        let config = board.config();
        let roster = board.roster();
        let (running, waiting) = gate.load();
        let target = board.target();
        let left = |until: Instant| until.saturating_duration_since(now);
        Self {
            settings: board.settings.clone(),
            stage: board.stage(),
            version: config.digest.version,
            hash: format!("{:016x}", config.digest.hash),
            offered: board.freshness.received(),
            watermark_ms: board.freshness.age(now),
            routes: config.table.len(),
            reads_log: reader::reader_rank(board).is_some(),
            lease_left_ms: target
                .as_ref()
                .map(|target| left(target.lease_until).into()),
            target: target.as_deref().cloned(),
            in_flight: board.in_flight(),
            running,
            waiting,
            keys: keys.len(),
            rollouts: board.rollouts.snapshot(),
            era: board.era(),
            quarantined: quarantined(&board.quarantine.assessments(), now),
            control: board.meter.read(),
            live: roster
                .members
                .iter()
                .filter(|m| m.health != Health::Gone)
                .count(),
            gone: roster.gone.len(),
            members: roster.members.iter().take(MOST).cloned().collect(),
            upstreams: roster
                .all_upstreams()
                .take(MOST)
                .map(|(s, u)| UpstreamDump::of(s, u, revision(&roster, u), now))
                .collect(),
        }
    }
}

/// Version of an upstream's software, as its daemon tells it.
fn revision(roster: &Roster, upstream: &Upstream) -> Option<Revision> {
    let offer = roster.member(upstream.peer)?.offer.as_ref()?;
    offer.revision.clone()
}

fn quarantined(assessments: &Assessments, now: Instant) -> Vec<QuarantineDump> {
    let quarantined = assessments.quarantined().take(MOST);
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
            age_ms: age.into(),
        }
    }
}
