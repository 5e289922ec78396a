//! Who gets the next attempt of a call.
//!
//! What is known of the upstreams meets the decisions of [`pick`] here: by key where there is one,
//! else by the time to expect.

use std::sync::Arc;
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;

use crate::board::Board;
use crate::call::Call;
use crate::experience::Experience;
use crate::keys;
use crate::pace::Typical;
use crate::pick::{self, Candidate, Cost};
use crate::roster::Upstream;
use crate::units::CallKey;

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
        let upstreams = roster.upstreams(&call.handover.service).iter();
        let fresh = upstreams.filter(|upstream| !call.tried.contains(&upstream.peer));
        let fresh: Vec<&Arc<Upstream>> = fresh.collect();
        let by_key = |key: &CallKey| {
            let indices = 0..fresh.len();
            indices.max_by_key(|index| keys::rank(key, fresh[*index].peer))
        };
        let index = if let Some(key) = &call.handover.key {
            by_key(key)
        } else if self.is_suspect(call) {
            // Guards against a request that ends several targets at the same moment, as its repeats come
            // in at several daemons: all of them go to one gate, which runs one at a time.
            by_key(&CallKey(call.handover.fingerprint.to_string()))
        } else {
            let typical = self.experience.typical(&call.plan.route.name);
            self.best(&fresh, call, &typical, Instant::now())
        };
        index.map(|index| Arc::clone(fresh[index]))
    }

    /// Whether a call has to run apart, since targets have ended under the same request.
    pub fn is_suspect(&self, call: &Call) -> bool {
        let fingerprint = call.handover.fingerprint;
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
            let far_ms = settings.far_ms_per_kb;
            let costs = all.map(|upstream| upstream.cost(&call.group, typical, far_ms, now));
            return pick::cheapest(&costs.collect::<Vec<Cost>>(), &mut rng);
        }
        let candidates = all.map(|upstream| upstream.candidate(&call.group, now));
        let candidates: Vec<Candidate> = candidates.collect();
        pick::choose(settings.pick, &candidates, &mut rng)
    }
}
