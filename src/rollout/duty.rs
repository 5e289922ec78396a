//! What a daemon knows of a roll-out on which it decides, or may have to.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::{AtomicBool, Ordering};
use std::time::{Duration, Instant};

use crate::idempotency::keys;
use crate::membership::member::{Health, Member};
use crate::membership::roster::Roster;
use crate::rollout::evidence::Evidence;
use crate::rollout::observed::Observed;
use crate::rollout::order::Order;
use crate::rollout::plan::Step;
use crate::rollout::progress::Known;
use crate::rollout::tally::Report;
use crate::rollout::test::Test;
use crate::units::{Generation, IdempotencyKey, Revision, Service};

/// Time between two looks at a roll-out that is under way.
pub const TICK: Duration = Duration::from_millis(250);
/// Time between two of them while requests move: each look less is requests that a bad revision gets.
pub const MOVE_TICK: Duration = Duration::from_millis(100);
/// Gates of old targets that report, so that their number does not grow with the fleet.
pub const SAMPLED: usize = 16;
/// Weight of the last tick in the rate of a service's requests.
const LATEST: f64 = 0.3;
/// Ticks with requests after which that rate is known.
const MEASURED: u32 = 4;

/// What this daemon knows of a roll-out on which it decides, or may have to.
#[derive(Debug)]
pub struct Duty {
    /// What is ordered.
    pub order: Order,
    /// What gates have reported.
    pub evidence: Evidence,
    /// What is going on with the platform about it.
    pub asked: Arc<Asked>,
    /// When the platform was asked last, and in which era.
    pub checked: Option<(Instant, Generation)>,
    step: Step,
    since: Instant,
    /// When requests were counted last: those of new targets and of old ones that had been reported.
    seen: (Instant, (u64, u64)),
    /// Requests a second, and the ticks that it is made from.
    rate: (f64, u32),
}

/// What is going on with the platform about one order.
#[derive(Debug, Default)]
pub struct Asked {
    /// Whether it is being asked.
    pub under_way: AtomicBool,
    /// Whether the platform has said that there is no verdict.
    pub confirmed: AtomicBool,
}

/// Gates of one service, as the view has them.
#[derive(Debug)]
pub struct Gates {
    /// Of the revision that is rolled out, by rank.
    pub new: Vec<SocketAddr>,
    /// Of others, by rank.
    pub old: Vec<SocketAddr>,
    /// Of others, by rank, that are out of sight and have not left as planned.
    pub lost: Vec<SocketAddr>,
}

impl Gates {
    /// The gates of a service whose targets are of `revision`, and those of others.
    #[must_use]
    pub fn of(roster: &Roster, service: &Service, revision: &Revision) -> Self {
        let is_new = |member: &&Member| {
            let offer = member.offer.as_ref().filter(|offer| offer.open);
            let offer = offer.filter(|offer| offer.service == *service);
            let told = offer.and_then(|offer| offer.revision.as_ref());
            told.map(|told| told == revision)
        };
        let seen = roster.members.iter();
        let lost = roster.gone.iter().map(|departed| &departed.member);
        let lost = lost.filter(|member| member.health == Health::Gone);
        Self {
            new: ranked(service, seen.clone().filter(|m| is_new(m) == Some(true))),
            old: ranked(service, seen.filter(|m| is_new(m) == Some(false))),
            lost: ranked(service, lost.filter(|m| is_new(m) == Some(false))),
        }
    }
}

impl Duty {
    /// The duty to decide on an order of which so much is known.
    #[must_use]
    pub fn new(order: Order, known: &Known) -> Self {
        let now = Instant::now();
        Self {
            evidence: Evidence::new(order.revision.clone()),
            order,
            step: known.progress().plan.step,
            since: now,
            seen: (now, (0, 0)),
            rate: (0.0, 0),
            asked: Arc::default(),
            checked: None,
        }
    }

    /// Takes note of the step in force.
    pub fn follow(&mut self, now: Instant, step: Step) {
        if self.step != step {
            self.step = step;
            self.since = now;
        }
    }

    /// New targets that are past the slow time after their start, by rank.
    #[must_use]
    pub fn warm(&self, now: Instant, gates: &Gates) -> Vec<SocketAddr> {
        let warm = |peer: &&SocketAddr| {
            let mut heard = self.evidence.heard(now);
            heard.any(|(known, report)| known == **peer && report.warm)
        };
        gates.new.iter().filter(warm).copied().collect()
    }

    /// What is to be decided on.
    #[must_use]
    pub fn observe(&self, now: Instant, known: &Known, gates: &Gates, bad: bool) -> Observed {
        let heard: Vec<(SocketAddr, &Report)> = self.evidence.heard(now).collect();
        let old_heard = heard
            .iter()
            .filter(|(peer, _)| gates.old.contains(peer))
            .count();
        let expected = gates.old.len().min(SAMPLED);
        let is_drained = |peer: &SocketAddr| {
            let report = heard.iter().find(|(known, _)| known == peer);
            report.is_some_and(|(_, report)| report.step == Step::All && report.busy == 0)
        };
        let (rate, ticks) = self.rate;
        Observed {
            duration: self.order.duration.duration(),
            age: known.age(now),
            step: self.step,
            in_step: now.saturating_duration_since(self.since),
            confirmed: self.asked.confirmed.load(Ordering::Acquire),
            warm: self.warm(now, gates).len(),
            targets: gates.new.len(),
            in_touch: old_heard * 2 >= expected,
            per_second: (ticks >= MEASURED).then_some(rate),
            exposed: self.evidence.exposed(),
            answers: self.evidence.answers(),
            bad,
            doubtful: self.evidence.is_doubtful(Test::default(), gates.new.len()),
            // Whoever is out of sight may be beyond a cut, with callers of its own.
            drained: gates.lost.is_empty() && gates.old.iter().all(is_drained),
        }
    }

    /// Notes how many requests the service gets.
    ///
    /// Guards against a rate that seems to fall since reports are lost: what the revision may get beside its
    /// share would be a large part of it then. The rate stays while most of the gates are not heard.
    pub fn measure(&mut self, gates: &Gates) {
        let now = Instant::now();
        let heard = self.evidence.heard(now);
        let heard = heard.filter(|(peer, _)| gates.old.contains(peer)).count();
        let requests = (self.evidence.exposed(), self.evidence.others());
        let (then, (exposed, others)) = std::mem::replace(&mut self.seen, (now, requests));
        if heard == 0 || heard * 2 < gates.old.len().min(SAMPLED) {
            return;
        }
        let part = float(gates.old.len() as u64) / float(heard as u64);
        let came = float(requests.0 - exposed) + float(requests.1 - others) * part.max(1.0);
        let seconds = now.saturating_duration_since(then).as_secs_f64();
        let rate = came / seconds.max(TICK.as_secs_f64() / 2.0);
        let (known, ticks) = self.rate;
        let mean = if ticks < MEASURED {
            (known * f64::from(ticks) + rate) / f64::from(ticks + 1)
        } else {
            known + LATEST * (rate - known)
        };
        self.rate = (mean, ticks.saturating_add(1));
    }
}

/// Daemons in rendezvous order for a service.
#[must_use]
pub fn ranked<'a>(service: &Service, members: impl Iterator<Item = &'a Member>) -> Vec<SocketAddr> {
    let key = IdempotencyKey(service.to_string());
    let mut peers: Vec<SocketAddr> = members.map(|member| member.peer).collect();
    peers.sort_by_cached_key(|peer| Reverse(keys::rank(&key, *peer)));
    peers
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn float(count: u64) -> f64 {
    count as f64
}
