//! Choosing the upstream for a request.
//!
//! Two candidates are drawn at random and the less loaded one is taken: nearly as good as knowing
//! the least loaded, and without the herd that a shared ranking makes. Candidates in the caller's
//! data centre go first while one of them has room. A new target gets a growing share, a failing
//! one is ejected for a while, but never more than the group's ceiling.
//!
//! ```
//! use jackdawpulley::calls::pick::{Candidate, Policy, choose};
//! use rand::SeedableRng;
//!
//! let idle = Candidate { local: true, load: 0, slots: 20, share: 1.0, ejected: false };
//! let busy = Candidate { load: 20, ..idle };
//! let mut rng = rand::rngs::SmallRng::seed_from_u64(1);
//! assert_eq!(choose(Policy::TwoChoices, &[busy, idle], &mut rng), Some(1));
//! ```

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::configuration::document::Ejection;

/// Smallest share of a target that has just come.
const MIN_SHARE: f64 = 0.1;
/// Largest part by which a cost is raised at random: about the error of what is known.
const COST_JITTER: f64 = 0.2;
/// Time for which an upstream that is not there is left alone; the membership knows by then.
const UNAVAILABLE_TIME: Duration = Duration::from_millis(500);
/// Doublings after which an ejection grows no longer.
const MAX_DOUBLINGS: u32 = 5;

/// How an upstream is chosen.
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
    /// Any candidate: the baseline.
    Random,
    /// The better of two, near ones first.
    #[default]
    TwoChoices,
    /// The one whose answer is expected first, far ones at a price.
    Expected,
}

/// What is known of an upstream at the moment of the choice.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Candidate {
    /// Whether it is in the chooser's data centre.
    pub local: bool,
    /// Requests in flight there, as far as known.
    pub load: u32,
    /// Requests that it takes at the same time.
    pub slots: u32,
    /// Part of its full share that it gets now, above 0 and up to 1.
    pub share: f64,
    /// Whether it is left alone for now.
    pub ejected: bool,
}

impl Candidate {
    /// Load in relation to what it may take now.
    fn relative_load(&self) -> f64 {
        f64::from(self.load + 1) / (f64::from(self.slots.max(1)) * self.share)
    }

    const fn has_room(&self) -> bool {
        self.load < self.slots
    }
}

/// Chooses one of `candidates` by index; ejected ones only when there is no other.
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
        matching(&|c| !c.ejected),
        matching(&|_| true),
    ];
    let tier = tiers.into_iter().find(|tier| !tier.is_empty())?;
    let first = tier[rng.random_range(0..tier.len())];
    let second = tier[rng.random_range(0..tier.len())];
    let better = candidates[second].relative_load() < candidates[first].relative_load();
    Some(if better { second } else { first })
}

/// Chooses the upstream with about the least cost by index, among those that are not ejected.
///
/// Each cost is raised by a random part, so that entries with the same knowledge do not all choose
/// the same upstream.
#[must_use]
pub fn cheapest(costs: &[Cost], rng: &mut SmallRng) -> Option<usize> {
    let any_available = costs.iter().any(|cost| !cost.ejected);
    let candidates = costs.iter().enumerate();
    candidates
        .filter(|(_, cost)| !(any_available && cost.ejected))
        .map(|(index, cost)| (index, cost.ms * rng.random_range(1.0..1.0 + COST_JITTER)))
        .min_by(|a, b| a.1.total_cmp(&b.1))
        .map(|(index, _)| index)
}

/// What an upstream would cost a request.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Cost {
    /// Time until its answer and the price of the way there, in milliseconds.
    pub ms: f64,
    /// Whether it is left alone for now.
    pub ejected: bool,
}

/// Share of a target that came `age` ago, with a slow start over `span`.
#[must_use]
pub fn slow_start_share(age: Duration, ramp: Duration) -> f64 {
    if age >= ramp {
        1.0
    } else {
        (age.as_secs_f64() / ramp.as_secs_f64()).max(MIN_SHARE)
    }
}

/// Own evidence about one upstream, and what follows from it.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Detector {
    /// Failures since the last success.
    pub failures: u32,
    /// Ejections since it last stayed in.
    pub ejections: u32,
    /// When it may come back.
    pub ejected_until: Option<Instant>,
}

impl Detector {
    /// Whether the upstream is ejected at `now`.
    #[must_use]
    pub fn ejected(&self, now: Instant) -> bool {
        self.ejected_until.is_some_and(|until| now < until)
    }

    /// Notes a success.
    pub const fn record_success(&mut self) {
        *self = Self {
            failures: 0,
            ejections: 0,
            ejected_until: None,
        };
    }

    /// Notes that it is not there, or takes no calls by its own word: it is left alone for a moment
    /// at once, since every other request would find out the same way.
    pub fn record_unavailable(&mut self, now: Instant) {
        if !self.ejected(now) {
            self.ejected_until = Some(now + UNAVAILABLE_TIME);
        }
    }

    /// Notes a failure; `out` of `total` upstreams of the group are ejected already.
    pub fn record_failure(&mut self, now: Instant, rule: &Ejection, ejected: usize, total: usize) {
        self.failures += 1;
        if self.failures < rule.failures || self.ejected(now) {
            return;
        }
        // Guards against ejecting a whole group when the fault is not the targets': the callers
        // would be refused by healthy targets. One upstream always stays in.
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
