//! Members and upstreams, arranged for the request path.
//!
//! A [`Roster`] is immutable and rebuilt whenever the membership view changes. An [`Upstream`] outlives its
//! roster, so that what was learnt about a target is kept.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::calls::latency::{Baseline, Outstanding, Profile};
use crate::calls::pace::Pace;
use crate::calls::pick::{self, Candidate, Cost, Detector, Standing};
use crate::configuration::document::{Ejection, Group};
use crate::membership::member::{Health, Member};
use crate::peer::Link;
use crate::rollout::stable::Revisions;
use crate::shared_state::Target;
use crate::units::{DataCentre, Millis, Revision, Service, StartTime};

const BYTES_PER_KB: f64 = 1_024.0;
/// Limit to the age of own requests, in milliseconds; longer than any time-out.
const MAX_REQUEST_AGE_MS: u64 = 5_000;
/// Time for which an upstream counts as known after a response: until its learnt slowdown has decayed.
const KNOWN_FOR: Duration = Duration::from_secs(12);
/// Size of the headers of a request and its response between two daemons, in kilobytes.
const HEADERS_KB: f64 = 0.5;

/// All members, sorted by address, and the upstreams of each service.
#[derive(Debug, Default)]
pub struct Roster {
    /// Members that are not gone, this daemon included.
    pub members: Vec<Member>,
    /// Members that count as gone and have not been dropped yet.
    pub gone: Vec<Departed>,
    /// Number of hosts of each service, sorted by service, whether or not their targets accept calls.
    pub host_counts: Vec<(Service, usize)>,
    pools: Vec<Pool>,
    /// Stable revision of each service.
    pub stable_revisions: Revisions,
}

/// A member that counts as gone.
#[derive(Debug, Clone)]
pub struct Departed {
    /// Its last entry.
    pub member: Member,
    /// When it was found to be gone.
    pub since: Instant,
}

/// Location of this daemon.
#[derive(Debug, Clone)]
pub struct Location {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Local address of its connections to peers.
    pub address: IpAddr,
}

/// Upstreams of one service.
#[derive(Debug)]
struct Pool {
    service: Service,
    upstreams: Vec<Arc<Upstream>>,
    /// Revision of each, in the same order.
    revisions: Vec<Option<Revision>>,
}

/// A target that accepts calls, reached through its daemon.
#[derive(Debug)]
pub struct Upstream {
    /// Address of its daemon.
    pub peer: SocketAddr,
    /// Whether it is in this daemon's data centre.
    pub local: bool,
    /// Connection for calls.
    pub link: Link,
    /// Start of the target's process in Unix milliseconds; 0 while it is not known.
    start_ms: AtomicU64,
    slots: AtomicU32,
    first_seen: Instant,
    suspect: AtomicBool,
    own_requests: AtomicU32,
    /// Sum of the times at which own outstanding requests were sent, in milliseconds since `first_seen`.
    sent_sum_ms: AtomicU64,
    reported_load: AtomicU32,
    /// When its sidecar responded last, in milliseconds after `first_seen`; 0 if it never did.
    responded_ms: AtomicU64,
    /// Locked for a few instructions, like the detector.
    latency: Mutex<Profile>,
    /// Locked for a few instructions, by the request path and the state dump.
    detector: Mutex<Detector>,
    /// Locked like the detector.
    pace: Mutex<Pace>,
}

impl Roster {
    /// Builds a roster of `members`, keeping the upstreams of the `old` one; updates the stable revisions.
    #[must_use]
    pub fn build(
        mut members: Vec<Member>,
        gone: Vec<Departed>,
        location: &Location,
        old: &Self,
        mut stable_revisions: Revisions,
        now: Instant,
    ) -> Self {
        members.sort_by_key(|member| member.peer);
        let mut pools: Vec<Pool> = Vec::new();
        for member in &members {
            let Some(offer) = member
                .offer
                .as_ref()
                .filter(|offer| offer.open && member.stage.takes_calls())
            else {
                continue;
            };
            let kept = old.upstream(&offer.service, member.peer);
            let kept = kept.filter(|upstream| upstream.is_same_process(offer.start_time));
            let upstream = kept.unwrap_or_else(|| Arc::new(Upstream::new(member, location, now)));
            upstream.slots.store(offer.slots.0, Ordering::Relaxed);
            if let Some(StartTime(start_ms)) = offer.start_time {
                upstream.start_ms.store(start_ms, Ordering::Relaxed);
            }
            upstream
                .suspect
                .store(member.health == Health::Suspect, Ordering::Relaxed);
            match pools.binary_search_by(|pool| pool.service.cmp(&offer.service)) {
                Ok(index) => {
                    pools[index].upstreams.push(upstream);
                    pools[index].revisions.push(offer.revision.clone());
                }
                Err(index) => {
                    let service = offer.service.clone();
                    pools.insert(
                        index,
                        Pool {
                            service,
                            upstreams: vec![upstream],
                            revisions: vec![offer.revision.clone()],
                        },
                    );
                }
            }
        }
        for pool in &pools {
            let reported: Vec<&Revision> = pool.revisions.iter().flatten().collect();
            stable_revisions.observe(now, &pool.service, &reported);
        }
        let services: Vec<&Service> = pools.iter().map(|pool| &pool.service).collect();
        stable_revisions.mark_absent(now, &services);
        Self {
            host_counts: host_counts(&members),
            members,
            gone,
            pools,
            stable_revisions,
        }
    }

    /// Upstreams of a service, sorted by address.
    #[must_use]
    pub fn upstreams(&self, service: &Service) -> &[Arc<Upstream>] {
        self.pool(service).map_or(&[], |pool| &pool.upstreams)
    }

    /// Revision of each upstream of a service, in the same order.
    #[must_use]
    pub fn revisions(&self, service: &Service) -> &[Option<Revision>] {
        self.pool(service).map_or(&[], |pool| &pool.revisions)
    }

    /// Whether a target runs the stable revision of its service, as far as both are known.
    #[must_use]
    pub fn is_stable(&self, target: &Target, now: Instant) -> bool {
        let stable_revisions = self.stable_revisions.get(&target.service, now);
        stable_revisions.is_none()
            || target.revision.is_none()
            || target.revision.as_ref() == stable_revisions
    }

    fn pool(&self, service: &Service) -> Option<&Pool> {
        let pools = &self.pools;
        let found = pools.binary_search_by(|pool| pool.service.cmp(service));
        found.ok().map(|index| &pools[index])
    }

    /// All upstreams with their services.
    pub fn all_upstreams(&self) -> impl Iterator<Item = (&Service, &Arc<Upstream>)> {
        self.pools
            .iter()
            .flat_map(|pool| pool.upstreams.iter().map(|u| (&pool.service, u)))
    }

    /// A member that is not gone.
    #[must_use]
    pub fn member(&self, peer: SocketAddr) -> Option<&Member> {
        let index = self
            .members
            .binary_search_by_key(&peer, |member| member.peer)
            .ok()?;
        self.members.get(index)
    }

    fn upstream(&self, service: &Service, peer: SocketAddr) -> Option<Arc<Upstream>> {
        let pool = self.upstreams(service);
        let index = pool
            .binary_search_by_key(&peer, |upstream| upstream.peer)
            .ok()?;
        pool.get(index).cloned()
    }
}

/// Number of hosts of each service, sorted by service.
fn host_counts(members: &[Member]) -> Vec<(Service, usize)> {
    let mut host_counts: Vec<(Service, usize)> = Vec::new();
    for offer in members.iter().filter_map(|member| member.offer.as_ref()) {
        match host_counts.binary_search_by(|(service, _)| service.cmp(&offer.service)) {
            Ok(index) => host_counts[index].1 += 1,
            Err(index) => host_counts.insert(index, (offer.service.clone(), 1)),
        }
    }
    host_counts
}

impl Upstream {
    fn new(member: &Member, location: &Location, now: Instant) -> Self {
        Self {
            peer: member.peer,
            local: member.data_centre == location.data_centre,
            link: Link::new(member.peer, location.address),
            start_ms: AtomicU64::new(0),
            slots: AtomicU32::new(0),
            first_seen: now,
            suspect: AtomicBool::new(false),
            own_requests: AtomicU32::new(0),
            sent_sum_ms: AtomicU64::new(0),
            reported_load: AtomicU32::new(0),
            responded_ms: AtomicU64::new(0),
            latency: Mutex::new(Profile::new(now)),
            detector: Mutex::default(),
            pace: Mutex::default(),
        }
    }

    /// Whether what was learnt also applies to a target process with this start time.
    ///
    /// The next process under the same name at the same address must not inherit the latency, refusals and
    /// ejection of one that has ended.
    fn is_same_process(&self, start_time: Option<StartTime>) -> bool {
        let known = self.start_ms.load(Ordering::Relaxed);
        known == 0 || start_time.is_none_or(|start_time| start_time.0 == known)
    }

    /// Properties at `now` by which an upstream is chosen.
    #[must_use]
    pub fn candidate(&self, group: &Group, now: Instant) -> Candidate {
        let age = now.saturating_duration_since(self.first_seen);
        let slots = self.slots.load(Ordering::Relaxed);
        let own_requests = self.own_requests.load(Ordering::Relaxed);
        Candidate {
            local: self.local,
            load: own_requests.max(self.reported_load.load(Ordering::Relaxed)),
            slots: group.slots.map_or(slots, |bound| slots.min(bound.0)),
            share: pick::slow_start_share(age, group.slow_start_ms.duration()),
            held: self.pace().is_held(now),
            ejected: self.suspect.load(Ordering::Relaxed)
                || self.ejected(now)
                || self.link.is_silent(),
        }
    }

    /// Expected cost of a request of a route at `now`; `remote_ms_per_kb` is the cost of each kilobyte from
    /// another data centre, in milliseconds.
    #[must_use]
    pub fn cost(
        &self,
        group: &Group,
        baseline: &Baseline,
        remote_ms_per_kb: f64,
        now: Instant,
    ) -> Cost {
        let candidate = self.candidate(group, now);
        let outstanding = self.outstanding();
        let expected = self
            .latency()
            .expected_ms(now, outstanding, candidate.slots, baseline);
        let transfer_ms = self.transfer_cost(baseline, remote_ms_per_kb).as_secs_f64() * 1_000.0;
        let token_ms = self.pace().room_in(now).as_secs_f64() * 1_000.0;
        Cost {
            ms: expected / candidate.share + transfer_ms + token_ms,
            held: candidate.held,
            ejected: candidate.ejected,
        }
    }

    /// Cost of the transfer there and back, as a time that a request of a route could wait instead.
    #[must_use]
    pub fn transfer_cost(&self, baseline: &Baseline, remote_ms_per_kb: f64) -> Duration {
        if self.local {
            return Duration::ZERO;
        }
        let ms = remote_ms_per_kb * (HEADERS_KB + baseline.response_bytes / BYTES_PER_KB);
        Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
    }

    /// Latency statistics, to read or to update.
    pub fn latency(&self) -> MutexGuard<'_, Profile> {
        self.latency.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Pace by the limit of its target, to read or to update.
    pub fn pace(&self) -> MutexGuard<'_, Pace> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether this daemon's outlier detection ejects it at `now`.
    #[must_use]
    pub fn ejected(&self, now: Instant) -> bool {
        self.detector().ejected(now)
    }

    /// Copy of the outlier detection's state, for the state dump.
    #[must_use]
    pub fn detector(&self) -> Detector {
        *self.detector.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Records the number of requests in flight that its sidecar reported.
    pub fn record_load(&self, now: Instant, load: u32) {
        self.reported_load.store(load, Ordering::Relaxed);
        let age = now.saturating_duration_since(self.first_seen);
        self.responded_ms
            .store(Millis::from(age).0.max(1), Ordering::Relaxed);
        let own_requests = self.own_requests.load(Ordering::Relaxed);
        self.latency().record_load(now, load, own_requests);
    }

    /// What is known of it at `now`.
    #[must_use]
    pub fn standing(&self, now: Instant) -> Standing {
        let responded_ms = self.responded_ms.load(Ordering::Relaxed);
        let responded = self.first_seen + Millis(responded_ms).duration();
        let is_recent = now.saturating_duration_since(responded) < KNOWN_FOR;
        if responded_ms > 0 && is_recent {
            Standing::Known
        } else if self.local {
            Standing::Local
        } else {
            Standing::Remote
        }
    }

    /// Load as known to this daemon: own requests, and those that its sidecar reported.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        (
            self.own_requests.load(Ordering::Relaxed),
            self.reported_load.load(Ordering::Relaxed),
        )
    }

    /// Records a success.
    pub fn record_success(&self) {
        self.detector
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }

    /// Records that it could not be reached.
    pub fn record_unavailable(&self, now: Instant) {
        let mut detector = self.detector.lock().unwrap_or_else(PoisonError::into_inner);
        detector.record_unavailable(now);
    }

    /// Records a failure; `out` of `total` upstreams of its group are ejected.
    pub fn record_failure(&self, now: Instant, rule: &Ejection, out: usize, total: usize) {
        let mut detector = self.detector.lock().unwrap_or_else(PoisonError::into_inner);
        detector.record_failure(now, rule, out, total);
    }

    /// Counts an own request until the returned value is dropped.
    #[must_use]
    pub fn track_request(self: &Arc<Self>) -> RequestGuard {
        let sent_ms = Millis::from(self.first_seen.elapsed()).0;
        self.own_requests.fetch_add(1, Ordering::Relaxed);
        self.sent_sum_ms.fetch_add(sent_ms, Ordering::Relaxed);
        RequestGuard {
            upstream: Arc::clone(self),
            sent_ms,
        }
    }

    /// Own requests that are outstanding.
    #[must_use]
    pub fn outstanding(&self) -> Outstanding {
        let count = self.own_requests.load(Ordering::Relaxed);
        let sum_ms = self.sent_sum_ms.load(Ordering::Relaxed);
        let mean_ms = sum_ms.checked_div(u64::from(count));
        // The two are not read atomically; a sum that is ahead of its count gives an age of 0.
        let age = mean_ms.map_or(0, |mean_ms| {
            Millis::from(self.first_seen.elapsed())
                .0
                .saturating_sub(mean_ms)
        });
        Outstanding {
            count,
            mean_age: Millis(age.min(MAX_REQUEST_AGE_MS)).duration(),
        }
    }

    /// Time since it was first seen.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.first_seen)
    }
}

/// Counts one own request while it exists.
#[derive(Debug)]
pub struct RequestGuard {
    upstream: Arc<Upstream>,
    sent_ms: u64,
}

impl Drop for RequestGuard {
    fn drop(&mut self) {
        self.upstream.own_requests.fetch_sub(1, Ordering::Relaxed);
        self.upstream
            .sent_sum_ms
            .fetch_sub(self.sent_ms, Ordering::Relaxed);
    }
}
