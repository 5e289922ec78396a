//! Who gets the next attempt of a call.
//!
//! What is known of the upstreams meets the decisions of [`pick`] here: by key where there is one,
//! else by the time to expect.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use xxhash_rust::xxh3::xxh3_64;

use crate::board::Board;
use crate::calls::call::Call;
use crate::calls::experience::Experience;
use crate::calls::pace::Typical;
use crate::calls::pick::{self, Candidate, Cost};
use crate::idempotency::keys;
use crate::membership::roster::{Roster, Upstream};
use crate::rollout::rules::Side;
use crate::units::{CallKey, Revision};

/// Chooses among the upstreams of a board.
#[derive(Debug)]
pub struct Chooser {
    board: Arc<Board>,
    /// What was learnt from answers.
    pub experience: Experience,
}

impl Chooser {
    /// A chooser that has learnt nothing yet.
    #[must_use]
    pub fn new(board: Arc<Board>) -> Self {
        Self {
            board,
            experience: Experience::default(),
        }
    }

    /// What a request of a route takes at an upstream of ordinary pace, with the price of the way.
    ///
    /// Guards against paying for the way under a load that is too much everywhere: a request that
    /// waits for a slot far away would displace one that is near, and nobody would be better off.
    /// It takes what is free there, and waits only as long as the price of its way leaves time.
    pub fn needs(&self, upstream: &Upstream, typical: &Typical) -> Duration {
        let settings = &self.board.settings;
        let far_ms = settings.far_ms_per_kb * f64::from(settings.far_wait.0) / 100.0;
        typical.work() + upstream.way(typical, far_ms)
    }

    /// Chooses the upstream for the next attempt, if any is left: by key where there is one, by
    /// fingerprint where it has to run apart, else by load.
    pub fn choose(&self, call: &Call) -> Option<Arc<Upstream>> {
        let roster = self.board.roster();
        let fresh = self.eligible(&roster, call);
        let by_key = |key: &CallKey| {
            let indices = 0..fresh.len();
            indices.max_by_key(|index| keys::rank(key, fresh[*index].peer))
        };
        let index = if let Some(key) = &call.metadata.key {
            by_key(key)
        } else if self.is_suspect(call) {
            // Guards against a request that ends several targets at the same moment, as its repeats come
            // in at several daemons: all of them go to one gate, which runs one at a time.
            by_key(&CallKey(call.metadata.fingerprint.to_string()))
        } else {
            let typical = self.experience.typical(&call.plan.route.name);
            self.best(&fresh, call, &typical, Instant::now())
        };
        index.map(|index| Arc::clone(fresh[index]))
    }

    /// Upstreams that have not been tried and may take the call, by the roll-outs that are known.
    fn eligible<'a>(&self, roster: &'a Roster, call: &Call) -> Vec<&'a Arc<Upstream>> {
        let service = &call.metadata.service;
        let upstreams = roster.upstreams(service).iter();
        let told = upstreams.zip(roster.revisions(service));
        let fresh = told.filter(|(upstream, _)| !call.tried.contains(&upstream.peer));
        let rules = self.board.rollouts.rules();
        let Some(rule) = rules.get(service) else {
            let usual = roster.usual.get(service, Instant::now());
            let staged = self.board.settings.exposure_share.is_some();
            let may = |revision: &Option<Revision>| {
                !staged || usual.is_none() || revision.is_none() || revision.as_ref() == usual
            };
            let may = fresh.filter(|(_, revision)| may(revision));
            return may.map(|(upstream, _)| upstream).collect();
        };
        let now = Instant::now();
        let sides = fresh.filter_map(|(upstream, revision)| {
            let side = rule.side(revision.as_ref(), upstream.peer, now)?;
            Some((upstream, side))
        });
        let sides: Vec<(&Arc<Upstream>, Side)> = sides.collect();
        let draw = rule.draw(draw(call), call.tried.len(), now);
        let drawn = sides.iter().filter(|(_, side)| *side == draw);
        let drawn: Vec<&Arc<Upstream>> = drawn.map(|(upstream, _)| *upstream).collect();
        if !drawn.is_empty() || draw == Side::Old {
            return drawn;
        }
        // No new target is left to take it.
        sides.into_iter().map(|(upstream, _)| upstream).collect()
    }

    /// Whether a call has to run apart, since targets have ended under the same request.
    pub fn is_suspect(&self, call: &Call) -> bool {
        let fingerprint = call.metadata.fingerprint;
        self.board.quarantine.standing(fingerprint).apart()
    }

    /// The best of several by the policy of the settings.
    fn best(
        &self,
        upstreams: &[&Arc<Upstream>],
        call: &Call,
        typical: &Typical,
        now: Instant,
    ) -> Option<usize> {
        let settings = &self.board.settings;
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let all = upstreams.iter();
        if settings.pick == pick::Policy::Expected {
            // Guards against a data centre that refuses its callers while others have room: gates refuse a request
            // before its wait there is as dear as the way.
            let far_ms = if call.overloaded {
                0.0
            } else {
                settings.far_ms_per_kb
            };
            let costs = all.map(|upstream| upstream.cost(&call.group, typical, far_ms, now));
            return pick::cheapest(&costs.collect::<Vec<Cost>>(), &mut rng);
        }
        let candidates = all.map(|upstream| upstream.candidate(&call.group, now));
        let candidates: Vec<Candidate> = candidates.collect();
        pick::choose(settings.pick, &candidates, &mut rng)
    }
}

/// A number from 0 to 1: the same for all requests of a key, which belongs to one gate.
#[expect(clippy::cast_precision_loss, reason = "a share needs few digits")]
fn draw(call: &Call) -> f64 {
    match &call.metadata.key {
        Some(key) => xxh3_64(key.as_str().as_bytes()) as f64 / u64::MAX as f64,
        None => rand::rng().random_range(0.0..1.0),
    }
}
