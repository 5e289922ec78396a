//! A coordinator's working state of a rollout.

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
use crate::units::{Generation, IdempotencyKey, Revision, Service};

/// Interval between ticks during a rollout.
pub const TICK_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between ticks during the promotion: a later decision exposes more requests to a bad revision.
pub const PROMOTION_TICK_INTERVAL: Duration = Duration::from_millis(100);
/// Most sidecars of the old revision that report, so that the number of reports does not grow with the fleet.
pub const MAX_OLD_REPORTERS: usize = 16;
/// Weight of the last tick in the moving average of the request rate.
const RATE_SMOOTHING: f64 = 0.3;
/// Ticks with requests after which the request rate is known.
const MIN_RATE_TICKS: u32 = 4;

/// Working state of a rollout on a coordinator or its successor.
#[derive(Debug)]
pub struct Tracker {
    /// The order.
    pub order: Order,
    /// Reports of the sidecars.
    pub analysis: Analysis,
    /// Synchronization of the status with the platform.
    pub sync: Arc<PlatformSync>,
    /// Time and store generation of the last call to the platform.
    pub last_checked: Option<(Instant, Generation)>,
    step: Step,
    step_since: Instant,
    /// When requests were counted last, and the counts of the new and the old revision then.
    last_counts: (Instant, (u64, u64)),
    /// Requests per second, and the number of ticks in this average.
    rate: (f64, u32),
}

/// Synchronization of an order's status with the platform.
#[derive(Debug, Default)]
pub struct PlatformSync {
    /// Whether a call to the platform is in progress.
    pub in_progress: AtomicBool,
    /// Whether a call has succeeded, after which a stored verdict is known.
    pub confirmed: AtomicBool,
}

/// Sidecars of one service in the membership view.
#[derive(Debug)]
pub struct Sidecars {
    /// Sidecars of the new revision, by rank.
    pub new: Vec<SocketAddr>,
    /// Sidecars of other revisions, by rank.
    pub old: Vec<SocketAddr>,
    /// Sidecars of other revisions that are unreachable and have not left as planned, by rank.
    pub unreachable: Vec<SocketAddr>,
}

impl Sidecars {
    /// The sidecars of a service, by whether their targets have `revision`.
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
    /// The state at the start of coordination.
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

    /// Records the current step.
    pub fn set_step(&mut self, now: Instant, step: Step) {
        if self.step != step {
            self.step = step;
            self.step_since = now;
        }
    }

    /// Targets of the new revision whose warm-up is over, by rank.
    #[must_use]
    pub fn warm(&self, now: Instant, sidecars: &Sidecars) -> Vec<SocketAddr> {
        let warm = |peer: &&SocketAddr| {
            let mut recent = self.analysis.recent_reports(now);
            recent.any(|(known, report)| known == **peer && report.warm)
        };
        sidecars.new.iter().filter(warm).copied().collect()
    }

    /// Input of the next decision.
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
            // An unreachable sidecar may be on the other side of a network partition, with callers of its
            // own.
            drained: sidecars.unreachable.is_empty() && sidecars.old.iter().all(is_drained),
        }
    }

    /// Updates the request rate of the service.
    ///
    /// The rate is kept while most sidecars do not report. Lost reports would make it seem to fall, and the
    /// fixed number of requests that a bad revision may receive would then become a large share.
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
    let key = IdempotencyKey(service.to_string());
    let mut peers: Vec<SocketAddr> = members.map(|member| member.peer).collect();
    peers.sort_by_cached_key(|peer| Reverse(keys::rank(&key, *peer)));
    peers
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn to_f64(count: u64) -> f64 {
    count as f64
}
