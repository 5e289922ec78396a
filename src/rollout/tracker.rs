//! What a daemon knows of a roll-out on which it decides, or may have to.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::idempotency::keys;
use crate::membership::member::{Health, Member};
use crate::membership::roster::Roster;
use crate::rollout::analysis::Analysis;
use crate::rollout::counters::Report;
use crate::rollout::observed::Observed;
use crate::rollout::order::Order;
use crate::rollout::plan::Step;
use crate::rollout::progress::LocalProgress;
use crate::rollout::significance::Test;
use crate::units::{CallKey, Era, Revision, Service};

/// Time between two looks at a roll-out that is under way.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Time between two of them while requests move: each look less is requests that a bad revision gets.
pub const PROMOTION_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Gates of old targets that report, so that their number does not grow with the fleet.
pub const MAX_OLD_REPORTERS: usize = 16;
/// Weight of the last tick in the rate of a service's requests.
const RATE_SMOOTHING: f64 = 0.3;
/// Ticks with requests after which that rate is known.
const MIN_RATE_TICKS: u32 = 4;

/// What this daemon knows of a roll-out on which it decides, or may have to.
#[derive(Debug)]
pub struct Tracker {
    /// What is ordered.
    pub order: Order,
    /// What gates have reported.
    pub analysis: Analysis,
    /// What is going on with the platform about it.
    pub sync: Arc<PlatformSync>,
    /// When the platform was asked last, and in which era.
    pub last_checked: Option<(Instant, Era)>,
    step: Step,
    step_since: Instant,
    /// When requests were counted last: those of new targets and of old ones that had been reported.
    last_counts: (Instant, (u64, u64)),
    /// Requests a second, and the ticks that it is made from.
    rate: (f64, u32),
}

/// What is going on with the platform about one order.
#[derive(Debug, Default)]
pub struct PlatformSync {
    /// Whether it is being asked.
    pub in_progress: AtomicBool,
    /// Whether the platform has said that there is no verdict.
    pub confirmed: AtomicBool,
}

/// Gates of one service, as the view has them.
#[derive(Debug)]
pub struct Sidecars {
    /// Of the revision that is rolled out, by rank.
    pub new: Vec<SocketAddr>,
    /// Of others, by rank.
    pub old: Vec<SocketAddr>,
    /// Of others, by rank, that are out of sight and have not left as planned.
    pub unreachable: Vec<SocketAddr>,
}

impl Sidecars {
    /// The gates of a service whose targets are of `revision`, and those of others.
    #[must_use]
    pub fn of(roster: &Roster, service: &Service, revision: &Revision) -> Self {
        let is_new = |member: &&Member| {
            let offer = member.offer.as_ref().filter(|offer| offer.open);
            let offer = offer.filter(|offer| offer.service == *service);
            let announced = offer.and_then(|offer| offer.revision.as_ref());
            announced.map(|announced| announced == revision)
        };
        let seen = roster.members.iter();
        let lost = roster.gone.iter().map(|departed| &departed.member);
        let lost = lost.filter(|member| member.health == Health::Gone);
        Self {
            new: rendezvous_order(service, seen.clone().filter(|m| is_new(m) == Some(true))),
            old: rendezvous_order(service, seen.filter(|m| is_new(m) == Some(false))),
            unreachable: rendezvous_order(service, lost.filter(|m| is_new(m) == Some(false))),
        }
    }
}

impl Tracker {
    /// The duty to decide on an order of which so much is known.
    #[must_use]
    pub fn new(order: Order, known: &LocalProgress) -> Self {
        let now = Instant::now();
        Self {
            analysis: Analysis::new(order.revision.clone()),
            order,
            step: known.progress().plan.step,
            step_since: now,
            last_counts: (now, (0, 0)),
            rate: (0.0, 0),
            sync: Arc::default(),
            last_checked: None,
        }
    }

    /// Takes note of the step in force.
    pub fn set_step(&mut self, now: Instant, step: Step) {
        if self.step != step {
            self.step = step;
            self.step_since = now;
        }
    }

    /// New targets that are past the slow time after their start, by rank.
    #[must_use]
    pub fn warm(&self, now: Instant, sidecars: &Sidecars) -> Vec<SocketAddr> {
        let warm = |peer: &&SocketAddr| {
            let mut recent = self.analysis.recent_reports(now);
            recent.any(|(known, report)| known == **peer && report.warm)
        };
        sidecars.new.iter().filter(warm).copied().collect()
    }

    /// What is to be decided on.
    #[must_use]
    pub fn observe(
        &self,
        now: Instant,
        known: &LocalProgress,
        sidecars: &Sidecars,
        bad: bool,
    ) -> Observed {
        let recent: Vec<(SocketAddr, &Report)> = self.analysis.recent_reports(now).collect();
        let old_recent = recent
            .iter()
            .filter(|(peer, _)| sidecars.old.contains(peer))
            .count();
        let expected = sidecars.old.len().min(MAX_OLD_REPORTERS);
        let is_drained = |peer: &SocketAddr| {
            let report = recent.iter().find(|(known, _)| known == peer);
            report.is_some_and(|(_, report)| report.step == Step::All && report.in_flight == 0)
        };
        let (rate, ticks) = self.rate;
        Observed {
            duration: self.order.duration.duration(),
            age: known.age(now),
            step: self.step,
            in_step: now.saturating_duration_since(self.step_since),
            confirmed: self.sync.confirmed.load(Ordering::Acquire),
            warm: self.warm(now, sidecars).len(),
            targets: sidecars.new.len(),
            in_touch: old_recent * 2 >= expected,
            per_second: (ticks >= MIN_RATE_TICKS).then_some(rate),
            exposed: self.analysis.exposed(),
            answers: self.analysis.answers(),
            bad,
            doubtful: self
                .analysis
                .is_doubtful(Test::default(), sidecars.new.len()),
            // Whoever is out of sight may be beyond a cut, with callers of its own.
            drained: sidecars.unreachable.is_empty() && sidecars.old.iter().all(is_drained),
        }
    }

    /// Notes how many requests the service gets.
    ///
    /// Guards against a rate that seems to fall since reports are lost: what the revision may get beside its
    /// share would be a large part of it then. The rate stays while most of the gates are not heard.
    pub fn update_request_rate(&mut self, sidecars: &Sidecars) {
        let now = Instant::now();
        let recent = self.analysis.recent_reports(now);
        let recent = recent
            .filter(|(peer, _)| sidecars.old.contains(peer))
            .count();
        let requests = (self.analysis.exposed(), self.analysis.old_requests());
        let (then, (exposed, others)) = std::mem::replace(&mut self.last_counts, (now, requests));
        if recent == 0 || recent * 2 < sidecars.old.len().min(MAX_OLD_REPORTERS) {
            return;
        }
        let scale = to_f64(sidecars.old.len() as u64) / to_f64(recent as u64);
        let received = to_f64(requests.0 - exposed) + to_f64(requests.1 - others) * scale.max(1.0);
        let seconds = now.saturating_duration_since(then).as_secs_f64();
        let rate = received / seconds.max(TICK_INTERVAL.as_secs_f64() / 2.0);
        let (known, ticks) = self.rate;
        let mean = if ticks < MIN_RATE_TICKS {
            (known * f64::from(ticks) + rate) / f64::from(ticks + 1)
        } else {
            known + RATE_SMOOTHING * (rate - known)
        };
        self.rate = (mean, ticks.saturating_add(1));
    }
}

/// Daemons in rendezvous order for a service.
#[must_use]
pub fn rendezvous_order<'a>(
    service: &Service,
    members: impl Iterator<Item = &'a Member>,
) -> Vec<SocketAddr> {
    let key = CallKey(service.to_string());
    let mut peers: Vec<SocketAddr> = members.map(|member| member.peer).collect();
    peers.sort_by_cached_key(|peer| Reverse(keys::rank(&key, *peer)));
    peers
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn to_f64(count: u64) -> f64 {
    count as f64
}
