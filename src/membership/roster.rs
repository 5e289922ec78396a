//! The members, arranged for the path of a request.
//!
//! A [`Roster`] is rebuilt whenever the membership view changes. An [`Upstream`] outlives its
//! roster, so that what was learnt about a target is kept.

use std::net::{IpAddr, SocketAddr};
use std::sync::atomic::{AtomicBool, AtomicU32, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use crate::board::Target;
use crate::calls::latency::{Baseline, Outstanding, Profile};
use crate::calls::pick::{self, Candidate, Cost, Detector};
use crate::configuration::document::{Ejection, Group};
use crate::membership::member::{Health, Member};
use crate::peer::Link;
use crate::rollout::usual::Usual;
use crate::units::{Birth, DataCentre, Millis, Revision, Service};

/// Bytes in a kilobyte.
const KB: f64 = 1_024.0;
/// Greatest age of own requests that is reckoned with, in milliseconds: beyond any time-out.
const OLDEST_MS: u64 = 5_000;
/// Size of the heads of a request and its answer between two daemons, in kilobytes.
const HEADS_KB: f64 = 0.5;

/// All members, sorted by address, and the upstreams of each service.
#[derive(Debug, Default)]
pub struct Roster {
    /// Members that are not gone, this daemon included.
    pub members: Vec<Member>,
    /// Members that are thought to be gone and not yet forgotten.
    pub gone: Vec<Departed>,
    /// Hosts of each service, sorted by it, whether their targets take calls or not.
    pub fleet: Vec<(Service, usize)>,
    pools: Vec<Pool>,
    /// Revisions that get requests without an order.
    pub usual: Usual,
}

/// A member that is thought to be gone.
#[derive(Debug, Clone)]
pub struct Departed {
    /// Its last entry.
    pub member: Member,
    /// When it went.
    pub since: Instant,
}

/// Where this daemon is.
#[derive(Debug, Clone)]
pub struct Home {
    /// Its data centre.
    pub data_centre: DataCentre,
    /// Address that its connections leave from.
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

/// A target that takes calls, reached through its daemon.
#[derive(Debug)]
pub struct Upstream {
    /// Address of its daemon.
    pub peer: SocketAddr,
    /// Whether it is in this daemon's data centre.
    pub local: bool,
    /// Connection for calls.
    pub link: Link,
    /// Start of the target's life in Unix milliseconds; 0 while it is not known.
    born: AtomicU64,
    slots: AtomicU32,
    came: Instant,
    suspect: AtomicBool,
    own: AtomicU32,
    /// Times at which own requests were sent, in milliseconds since it came, as their sum.
    sent_ms: AtomicU64,
    reported: AtomicU32,
    /// Held for a few instructions, as the evidence is.
    pace: Mutex<Profile>,
    /// Held for a few instructions, by the path of a request alone.
    evidence: Mutex<Detector>,
}

impl Roster {
    /// Arranges `members`, keeping the upstreams of the `old` roster; what is `usual` goes on being so.
    #[must_use]
    pub fn build(
        mut members: Vec<Member>,
        gone: Vec<Departed>,
        home: &Home,
        old: &Self,
        mut usual: Usual,
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
            let kept = kept.filter(|upstream| upstream.continues(offer.born));
            let upstream = kept.unwrap_or_else(|| Arc::new(Upstream::new(member, home, now)));
            upstream.slots.store(offer.slots.0, Ordering::Relaxed);
            if let Some(Birth(born)) = offer.born {
                upstream.born.store(born, Ordering::Relaxed);
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
            let told: Vec<&Revision> = pool.revisions.iter().flatten().collect();
            usual.note(now, &pool.service, &told);
        }
        let services: Vec<&Service> = pools.iter().map(|pool| &pool.service).collect();
        usual.miss(now, &services);
        Self {
            fleet: fleet(&members),
            members,
            gone,
            pools,
            usual,
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

    /// Whether a target is of the revision that gets the requests without an order.
    #[must_use]
    pub fn is_usual(&self, target: &Target, now: Instant) -> bool {
        let usual = self.usual.get(&target.service, now);
        usual.is_none() || target.revision.is_none() || target.revision.as_ref() == usual
    }

    fn pool(&self, service: &Service) -> Option<&Pool> {
        let pools = &self.pools;
        let found = pools.binary_search_by(|pool| pool.service.cmp(service));
        found.ok().map(|index| &pools[index])
    }

    /// All upstreams with their services.
    pub fn all(&self) -> impl Iterator<Item = (&Service, &Arc<Upstream>)> {
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

/// Hosts of each service, sorted by it.
fn fleet(members: &[Member]) -> Vec<(Service, usize)> {
    let mut fleet: Vec<(Service, usize)> = Vec::new();
    for offer in members.iter().filter_map(|member| member.offer.as_ref()) {
        match fleet.binary_search_by(|(service, _)| service.cmp(&offer.service)) {
            Ok(index) => fleet[index].1 += 1,
            Err(index) => fleet.insert(index, (offer.service.clone(), 1)),
        }
    }
    fleet
}

impl Upstream {
    fn new(member: &Member, home: &Home, now: Instant) -> Self {
        Self {
            peer: member.peer,
            local: member.data_centre == home.data_centre,
            link: Link::new(member.peer, home.address),
            born: AtomicU64::new(0),
            slots: AtomicU32::new(0),
            came: now,
            suspect: AtomicBool::new(false),
            own: AtomicU32::new(0),
            sent_ms: AtomicU64::new(0),
            reported: AtomicU32::new(0),
            pace: Mutex::new(Profile::new(now)),
            evidence: Mutex::default(),
        }
    }

    /// Whether what was learnt still holds for a target that was born then.
    ///
    /// Guards against the bad name of a life that has ended: the next one, under the same name at
    /// the same address, would inherit its pace, its refusals and its ejection.
    fn continues(&self, born: Option<Birth>) -> bool {
        let known = self.born.load(Ordering::Relaxed);
        known == 0 || born.is_none_or(|born| born.0 == known)
    }

    /// What a choice needs to know at `now`.
    #[must_use]
    pub fn candidate(&self, group: &Group, now: Instant) -> Candidate {
        let age = now.saturating_duration_since(self.came);
        let slots = self.slots.load(Ordering::Relaxed);
        let own = self.own.load(Ordering::Relaxed);
        Candidate {
            local: self.local,
            load: own.max(self.reported.load(Ordering::Relaxed)),
            slots: group.slots.map_or(slots, |bound| slots.min(bound.0)),
            share: pick::slow_start_share(age, group.slow_start_ms.duration()),
            ejected: self.suspect.load(Ordering::Relaxed)
                || self.ejected(now)
                || self.link.is_silent(),
        }
    }

    /// What it would cost a request of a route at `now`; `far_ms` is the price of each kilobyte
    /// from another data centre.
    #[must_use]
    pub fn cost(&self, group: &Group, typical: &Baseline, far_ms: f64, now: Instant) -> Cost {
        let candidate = self.candidate(group, now);
        let own = self.underway();
        let expected = self.pace().expected_ms(now, own, candidate.slots, typical);
        let way_ms = self.way(typical, far_ms).as_secs_f64() * 1_000.0;
        Cost {
            ms: expected / candidate.share + way_ms,
            ejected: candidate.ejected,
        }
    }

    /// Price of the way there and back, as a time that a request of a route could wait instead.
    #[must_use]
    pub fn way(&self, typical: &Baseline, far_ms: f64) -> Duration {
        if self.local {
            return Duration::ZERO;
        }
        let ms = far_ms * (HEADS_KB + typical.response_bytes / KB);
        Duration::try_from_secs_f64(ms / 1_000.0).unwrap_or_default()
    }

    /// What was learnt of its pace, to read or to add to.
    pub fn pace(&self) -> MutexGuard<'_, Profile> {
        self.pace.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Whether own evidence keeps it out at `now`.
    #[must_use]
    pub fn ejected(&self, now: Instant) -> bool {
        self.evidence().ejected(now)
    }

    /// A copy of the evidence, for the state dump.
    #[must_use]
    pub fn evidence(&self) -> Detector {
        *self.evidence.lock().unwrap_or_else(PoisonError::into_inner)
    }

    /// Notes what its gate reported as in flight.
    pub fn report(&self, now: Instant, load: u32) {
        self.reported.store(load, Ordering::Relaxed);
        let own = self.own.load(Ordering::Relaxed);
        self.pace().record_load(now, load, own);
    }

    /// Load as known here: own requests and the gate's report.
    #[must_use]
    pub fn load(&self) -> (u32, u32) {
        (
            self.own.load(Ordering::Relaxed),
            self.reported.load(Ordering::Relaxed),
        )
    }

    /// Notes a success.
    pub fn succeeded(&self) {
        self.evidence
            .lock()
            .unwrap_or_else(PoisonError::into_inner)
            .record_success();
    }

    /// Notes that it could not be reached.
    pub fn absent(&self, now: Instant) {
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        evidence.record_unavailable(now);
    }

    /// Notes a failure; `out` of `total` upstreams of its group are ejected.
    pub fn failed(&self, now: Instant, rule: &Ejection, out: usize, total: usize) {
        let mut evidence = self.evidence.lock().unwrap_or_else(PoisonError::into_inner);
        evidence.record_failure(now, rule, out, total);
    }

    /// Counts an own request until the returned value is dropped.
    #[must_use]
    pub fn begin(self: &Arc<Self>) -> Own {
        let sent_ms = Millis::from(self.came.elapsed()).0;
        self.own.fetch_add(1, Ordering::Relaxed);
        self.sent_ms.fetch_add(sent_ms, Ordering::Relaxed);
        Own {
            upstream: Arc::clone(self),
            sent_ms,
        }
    }

    /// Own requests under way there.
    #[must_use]
    pub fn underway(&self) -> Outstanding {
        let count = self.own.load(Ordering::Relaxed);
        let sum_ms = self.sent_ms.load(Ordering::Relaxed);
        let mean_ms = sum_ms.checked_div(u64::from(count));
        // The two are not read together: a sum that is ahead of its count reads as no age.
        let age = mean_ms.map_or(0, |mean_ms| {
            Millis::from(self.came.elapsed()).0.saturating_sub(mean_ms)
        });
        Outstanding {
            count,
            mean_age: Millis(age.min(OLDEST_MS)).duration(),
        }
    }

    /// Time since it came.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.came)
    }
}

/// Counts one own request while it exists.
#[derive(Debug)]
pub struct Own {
    upstream: Arc<Upstream>,
    sent_ms: u64,
}

impl Drop for Own {
    fn drop(&mut self) {
        self.upstream.own.fetch_sub(1, Ordering::Relaxed);
        self.upstream
            .sent_ms
            .fetch_sub(self.sent_ms, Ordering::Relaxed);
    }
}
