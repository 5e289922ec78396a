//! Who gets the next attempt of a call.
//!
//! What is known of the upstreams meets the decisions of [`pick`] here: by key where there is one,
//! else by the time to expect, among those that have not said a moment ago that they have no room.

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

/// Who gets the next attempt.
#[derive(Debug)]
pub enum Choice {
    /// This one.
    Upstream(Arc<Upstream>),
    /// Those that are left have said a moment ago that they have no room.
    Full,
    /// None is left.
    Nobody,
}

impl Choice {
    fn at(upstreams: &[&Arc<Upstream>], index: Option<usize>) -> Self {
        index.map_or(Self::Nobody, |index| {
            Self::Upstream(Arc::clone(upstreams[index]))
        })
    }
}

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

    /// Chooses the upstream for the next attempt: by key where there is one, else by load.
    pub fn choose(&self, call: &Call) -> Choice {
        let roster = self.board.roster();
        let upstreams = roster.upstreams(&call.handover.service);
        let fresh: Vec<&Arc<Upstream>> = upstreams
            .iter()
            .filter(|upstream| !call.tried.contains(&upstream.peer))
            .collect();
        if let Some(key) = &call.handover.key {
            let owner = fresh
                .into_iter()
                .max_by_key(|upstream| keys::rank(key, upstream.peer));
            return owner.cloned().map_or(Choice::Nobody, Choice::Upstream);
        }
        let now = Instant::now();
        let typical = self.experience.typical(&call.plan.route.name);
        if fresh.is_empty() {
            return Choice::Nobody;
        }
        let priority = call.handover.priority;
        let mut open = fresh;
        open.retain(|upstream| {
            let tolerance = call.tolerance(self.needs(upstream, &typical));
            !upstream.refuses(now, priority, tolerance)
        });
        let fresh = open;
        if fresh.is_empty() {
            return Choice::Full;
        }
        let group = &call.group;
        let mut rng = SmallRng::from_rng(&mut rand::rng());
        let settings = &self.board.settings;
        if settings.pick == pick::Policy::Expected {
            let far_ms = settings.far_ms_per_kb;
            let costs = fresh.iter().map(|u| u.cost(group, &typical, far_ms, now));
            let costs: Vec<Cost> = costs.collect();
            let index = pick::cheapest(&costs, &mut rng);
            return Choice::at(&fresh, index);
        }
        let candidates: Vec<Candidate> = fresh
            .iter()
            .map(|upstream| upstream.candidate(group, now))
            .collect();
        let index = pick::choose(settings.pick, &candidates, &mut rng);
        Choice::at(&fresh, index)
    }
}
