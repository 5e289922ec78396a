//! Load balancing policies and outlier detection.
//!
//! By default two random candidates are compared and the less loaded one is picked. This is nearly
//! as good as picking the least loaded, and avoids the herding of a ranking that all daemons share.
//! Candidates in the caller's data centre are preferred while one of them has a free slot. A new
//! target's share grows over its slow start. A failing one is ejected for a while, but only up to
//! the group's maximum share of ejected targets.
//!
//! ```
//! use jackdawpulley::calls::pick::{Candidate, Policy, choose};
//! use rand::SeedableRng;
//!
//! let idle = Candidate { local: true, load: 0, slots: 20, share: 1.0, held: false, ejected: false };
//! let busy = Candidate { load: 20, ..idle };
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! assert_eq!(choose(Policy::TwoChoices, &[busy, idle], &mut rng), Some(1));
//! ```

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::configuration::document::Ejection;

/// Initial share of a target in its slow start.
const MIN_SHARE: f64 = 0.1;
/// Largest relative random increase of a cost: about the error of the estimate.
const COST_JITTER: f64 = 0.2;
/// Ejection time of an unavailable upstream; by its end the membership view has been updated.
const UNAVAILABLE_TIME: Duration = Duration::from_millis(500);
/// Upstreams whose costs are compared, of those that have responded to this daemon lately.
const MAX_KNOWN_CANDIDATES: usize = 64;
/// Others of the own data centre whose costs are compared: of so many, some have free slots.
const MAX_LOCAL_CANDIDATES: usize = 32;
/// Others of other data centres whose costs are compared.
const MAX_REMOTE_CANDIDATES: usize = 32;
/// Number of doublings after which ejections do not get longer.
const MAX_DOUBLINGS: u32 = 5;

/// Load balancing policy.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Policy {
    /// A random candidate, as a baseline for comparisons.
    Random,
    /// The less loaded of two random candidates, preferring the own data centre.
    #[default]
    TwoChoices,
    /// The candidate with the lowest expected latency, plus a cost for other data centres.
    Expected,
}

/// State of an upstream at the time of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it is in this daemon's data centre.
    pub local: bool,
    /// Known number of requests in flight there.
    pub load: u32,
    /// Number of requests that it serves concurrently.
    pub slots: u32,
    /// Current fraction of its full share, above 0 and up to 1.
    pub share: f64,
    /// Whether the limit of its target leaves no room for now.
    pub held: bool,
    /// Whether to avoid it for now: it is ejected, suspected of having failed, or silent.
    pub ejected: bool,
}

impl Candidate {
    /// Load relative to current capacity, counting the new request.
    fn relative_load(&self) -> f64 {
        f64::from(self.load + 1) / (f64::from(self.slots.max(1)) * self.share)
    }

    const fn has_room(&self) -> bool {
        self.load < self.slots && !self.held
    }
}

/// Chooses one of `candidates` and returns its index.
///
/// Except under [`Policy::Random`], ejected candidates are chosen only if there is no other.
#[must_use]
pub fn choose(policy: Policy, candidates: &[Candidate], rng: &mut SmallRng) -> Option<usize> {
    if policy == Policy::Random {
        return (!candidates.is_empty()).then(|| rng.random_range(0..candidates.len()));
    }
    let matching = |filter: &dyn Fn(&Candidate) -> bool| -> Vec<usize> {
        (0..candidates.len())
            .filter(|&index| filter(&candidates[index]))
            .collect()
    };
    let tiers = [
        matching(&|c| !c.ejected && c.local && c.has_room()),
        matching(&|c| !c.ejected && c.has_room()),
        matching(&|c| !c.ejected && !c.held),
        matching(&|c| !c.ejected),
        matching(&|_| true),
    ];
    let tier = tiers.into_iter().find(|tier| !tier.is_empty())?;
    let first = tier[rng.random_range(0..tier.len())];
    let second = tier[rng.random_range(0..tier.len())];
    let better = candidates[second].relative_load() < candidates[first].relative_load();
    Some(if better { second } else { first })
}

/// Returns the index of the upstream with about the lowest cost, held ones only if all others are
/// ejected, and ejected ones only if there is no other.
///
/// Each cost is increased by a random amount, so that ingresses with the same information do not all
/// choose the same upstream.
#[must_use]
pub fn cheapest(costs: &[Cost], rng: &mut SmallRng) -> Option<usize> {
    let best_tier = costs.iter().map(Cost::tier).min()?;
    let candidates = costs.iter().enumerate();
    candidates
        .filter(|(_, cost)| cost.tier() == best_tier)
        .map(|(index, cost)| (index, cost.ms * rng.random_range(1.0..1.0 + COST_JITTER)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}

/// What an ingress knows of an upstream before it computes its cost.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Standing {
    /// It has responded to this daemon lately.
    Known,
    /// It is in the own data centre.
    Local,
    /// It is in another data centre.
    Remote,
}

/// Returns the indexes of the upstreams whose costs are compared: all of a few, else a random sample of each
/// standing.
///
/// The time that a choice takes must not grow with the fleet, and no upstream is left out for longer than by
/// chance. Those that are known to be fast must be among them: in a large fleet they are few.
#[must_use]
pub fn sample(standings: &[Standing], rng: &mut SmallRng) -> Vec<usize> {
    let limits = [
        (Standing::Known, MAX_KNOWN_CANDIDATES),
        (Standing::Local, MAX_LOCAL_CANDIDATES),
        (Standing::Remote, MAX_REMOTE_CANDIDATES),
    ];
    let mut sample = Vec::new();
    for (standing, limit) in limits {
        let indexes = (0..standings.len()).filter(|index| standings[*index] == standing);
        sample.extend(draw(indexes.collect(), limit, rng));
    }
    sample
}

/// Draws up to `count` of `indexes`.
fn draw(mut indexes: Vec<usize>, count: usize, rng: &mut SmallRng) -> Vec<usize> {
    if indexes.len() > count {
        let (drawn, _) = indexes.partial_shuffle(rng, count);
        return drawn.to_vec();
    }
    indexes
}

/// Cost of sending a request to an upstream.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Expected latency plus the cost of another data centre, in milliseconds.
    pub ms: f64,
    /// Whether the limit of its target leaves no room for now.
    pub held: bool,
    /// Whether to avoid it for now: it is ejected, suspected of having failed, or silent.
    pub ejected: bool,
}

impl Cost {
    /// Upstreams of a lower tier are preferred at any cost.
    const fn tier(&self) -> (bool, bool) {
        (self.ejected, self.held)
    }
}

/// Fraction of its full share that a target of this `age` gets in a slow start of length `ramp`.
#[must_use]
pub fn slow_start_share(age: Duration, ramp: Duration) -> f64 {
    if age >= ramp {
        1.0
    } else {
        (age.as_secs_f64() / ramp.as_secs_f64()).max(MIN_SHARE)
    }
}

/// Outlier detector for one upstream, fed by this daemon's own requests.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Detector {
    /// Failures since the last success or ejection.
    pub failures: u32,
    /// Ejections since the last success.
    pub ejections: u32,
    /// End of the last ejection.
    pub ejected_until: Option<Instant>,
}

impl Detector {
    /// Whether the upstream is ejected at `now`.
    #[must_use]
    pub fn ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Records a success.
    pub const fn record_success(&mut self) {
        *self = Self {
            failures: 0,
            ejections: 0,
            ejected_until: None,
        };
    }

    /// Records that the upstream could not be reached or said that it takes no calls.
    ///
    /// It is ejected at once for a short time; otherwise every other request would find out the
    /// same way.
    pub fn record_unavailable(&mut self, now: Instant) {
        if !self.ejected(now) {
            self.ejected_until = Some(now + UNAVAILABLE_TIME);
        }
    }

    /// Records a failure; `ejected` of the group's `total` upstreams are ejected already.
    pub fn record_failure(&mut self, now: Instant, rule: &Ejection, ejected: usize, total: usize) {
        self.failures += 1;
        if self.failures < rule.failures || self.ejected(now) {
            return;
        }
        // Guards against ejecting a whole group for a fault that is not the targets' own: callers
        // would be refused although the targets are healthy. One upstream always stays.
        let max_ejected = total * usize::from(rule.max_share.0) / 100;
        if ejected + 1 > max_ejected || ejected + 1 >= total {
            return;
        }
        let time = rule.base_ms.duration() * 2_u32.pow(self.ejections.min(MAX_DOUBLINGS));
        self.ejections += 1;
        self.failures = 0;
        self.ejected_until = Some(now + time);
    }
}
