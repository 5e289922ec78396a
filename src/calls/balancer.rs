//! Load balancer: selects the upstream for the next attempt of a call.
//!
//! A call with an idempotency key goes to the upstream that ranks first for the key. For any other
//! call, the current state of the upstreams is passed to the policies of [`pick`].

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3::xxh3_64;

use crate::calls::call::Call;
use crate::calls::latency::Baseline;
use crate::calls::pick::{self, Candidate, Cost, Standing};
use crate::calls::statistics::Statistics;
use crate::idempotency::keys;
use crate::membership::roster::{Roster, Upstream};
use crate::rollout::rules::Side;
use crate::shared_state::SharedState;
use crate::units::{IdempotencyKey, Revision};

/// Load balancer over the upstreams of the current roster.
#[derive(Debug)]
pub struct Balancer {
    shared: Arc<SharedState>,
    /// Statistics learnt from responses.
    pub statistics: Statistics,
}

impl Balancer {
    /// Creates a balancer without statistics.
    #[must_use]
    pub fn new(shared: Arc<SharedState>) -> Self {
        Self {
            shared,
            statistics: Statistics::default(),
        }
    }

    /// Expected processing time at a target of average speed, plus the weighted transfer cost.
    ///
    /// Guards against useless transfers under global overload: a request that waits for a slot in
    /// another data centre would displace a local one there. It may use a free remote slot, but
    /// waits only for the time that its transfer cost leaves.
    pub fn expected_time(&self, upstream: &Upstream, baseline: &Baseline) -> Duration {
        let settings = &self.shared.settings;
        let remote_ms_per_kb = settings.far_ms_per_kb * f64::from(settings.far_wait.0) / 100.0;
        baseline.processing() + upstream.transfer_cost(baseline, remote_ms_per_kb)
    }

    /// Chooses the upstream for the next attempt, if any is left: by idempotency key if the call
    /// has one, by fingerprint if it must be isolated, else by the configured policy.
    pub fn choose(&self, call: &Call) -> Option<Arc<Upstream>> {
        let roster = self.shared.roster();
        let untried = self.eligible(&roster, call);
        let by_key = |key: &IdempotencyKey| {
            let indices = 0..untried.len();
            indices.max_by_key(|index| keys::rank(key, untried[*index].peer))
        };
        let index = if let Some(key) = &call.metadata.key {
            by_key(key)
        } else if self.is_suspect(call) {
            // Guards against a request that crashes several targets at the same moment, when its
            // retries arrive at several daemons: all go to one sidecar, which runs one at a time.
            by_key(&IdempotencyKey(call.metadata.fingerprint.to_string()))
        } else {
            let baseline = self.statistics.baseline(&call.resolved_route.route.name);
            self.select(&untried, call, &baseline, Instant::now())
        };
        index.map(|index| Arc::clone(untried[index]))
    }

    /// Upstreams that have not been tried and may get the call according to known rollouts.
    fn eligible<'a>(&self, roster: &'a Roster, call: &Call) -> Vec<&'a Arc<Upstream>> {
        let service = &call.metadata.service;
        let upstreams = roster.upstreams(service).iter();
        let revisions = upstreams.zip(roster.revisions(service));
        let untried = revisions.filter(|(upstream, _)| !call.tried.contains(&upstream.peer));
        let rules = self.shared.rollouts.rules();
        let Some(rule) = rules.get(service) else {
            let stable = roster.stable_revisions.get(service, Instant::now());
            let staged = self.shared.settings.exposure_share.is_some();
            let may_receive = |revision: &Option<Revision>| {
                !staged || stable.is_none() || revision.is_none() || revision.as_ref() == stable
            };
            let eligible = untried.filter(|(_, revision)| may_receive(revision));
            return eligible.map(|(upstream, _)| upstream).collect();
        };
        let now = Instant::now();
        let sides = untried.filter_map(|(upstream, revision)| {
            let side = rule.side(revision.as_ref(), upstream.peer, now)?;
            Some((upstream, side))
        });
        let sides: Vec<(&Arc<Upstream>, Side)> = sides.collect();
        let draw = rule.choose_side(fraction(call), call.tried.len(), now);
        let drawn = sides.iter().filter(|(_, side)| *side == draw);
        let drawn: Vec<&Arc<Upstream>> = drawn.map(|(upstream, _)| *upstream).collect();
        if !drawn.is_empty() || draw == Side::Old {
            return drawn;
        }
        // No target of the new revision is left, so any other eligible one may get the call.
        sides.into_iter().map(|(upstream, _)| upstream).collect()
    }

    /// Whether a call must be isolated because targets have crashed while running the same request.
    pub fn is_suspect(&self, call: &Call) -> bool {
        let fingerprint = call.metadata.fingerprint;
        self.shared
            .quarantine
            .assessment(fingerprint)
            .must_isolate()
    }

    /// Selects one of `upstreams` by the configured policy and returns its index.
    fn select(
        &self,
        upstreams: &[&Arc<Upstream>],
        call: &Call,
        baseline: &Baseline,
        now: Instant,
    ) -> Option<usize> {
        let settings = &self.shared.settings;
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let all = upstreams.iter();
        if settings.pick == pick::Policy::Expected {
            // Once a sidecar has refused the call for lack of capacity, transfers cost nothing.
            // Guards against a data centre that refuses its callers while others have free slots:
            // sidecars refuse a request before the wait there costs as much as the transfer.
            let remote_ms_per_kb = if call.overloaded {
                0.0
            } else {
                settings.far_ms_per_kb
            };
            let standings = all.map(|upstream| upstream.standing(now));
            let sample = pick::sample(&standings.collect::<Vec<Standing>>(), &mut rng);
            let cost = |index: &usize| {
                upstreams[*index].cost(&call.group, baseline, remote_ms_per_kb, now)
            };
            let costs: Vec<Cost> = sample.iter().map(cost).collect();
            return pick::cheapest(&costs, &mut rng).map(|position| sample[position]);
        }
        let candidates = all.map(|upstream| upstream.candidate(&call.group, now));
        let candidates: Vec<Candidate> = candidates.collect();
        pick::choose(settings.pick, &candidates, &mut rng)
    }
}

/// A number from 0 to 1, random without a key; the same for all requests with the same key, since
/// a key belongs to one sidecar.
#[expect(clippy::cast_precision_loss, reason = "a fraction needs few digits")]
fn fraction(call: &Call) -> f64 {
    match &call.metadata.key {
        Some(key) => xxh3_64(key.as_str().as_bytes()) as f64 / u64::MAX as f64,
        None => rand::rng().random_range(0.0..1.0),
    }
}
