//! How the target of one gate answers, counted route by route.
//!
//! The counts only grow in a life of the gate, so that a report which is lost is made good by the next one.
//! Times are from the moment at which the target got the request, with a slot in hand: what a request waits
//! in a line is not held against a revision.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::rollout::plan::Step;
use crate::units::{Revision, Service};

/// Buckets of a histogram of times, each wider than the one before by a factor of the square root of two:
/// from 1 ms to 4 s and above.
pub const BUCKETS: usize = 24;
/// Buckets in which times double.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Routes that are told apart. Further ones are counted together, so that a report fits into a datagram.
const MAX_ROUTES: usize = 10;

/// Names a route in few bytes; 0 for those that are counted together.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouteId(pub u32);

impl RouteId {
    /// The short name of a route.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "any 32 bits of a hash do")]
    pub fn of(route: &str) -> Self {
        Self(xxh3_64(route.as_bytes()) as u32 | 1)
    }
}

/// How a run at the target is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The target answered it after this time.
    Answered(Duration),
    /// The target failed it, broke off or was silent until its deadline.
    Failed,
}

/// Answers on one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounters {
    /// Requests that the target failed.
    pub failed: u32,
    /// Requests that it answered, by the time that they took.
    pub times: [u32; BUCKETS],
}

impl Default for RouteCounters {
    fn default() -> Self {
        Self {
            failed: 0,
            times: [0; BUCKETS],
        }
    }
}

impl RouteCounters {
    /// Counts one outcome.
    pub fn add(&mut self, outcome: Outcome) {
        match outcome {
            Outcome::Answered(took) => self.times[bucket(took)] += 1,
            Outcome::Failed => self.failed += 1,
        }
    }

    /// Adds what others counted.
    pub fn merge(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        for (own, others) in self.times.iter_mut().zip(other.times) {
            *own = own.saturating_add(others);
        }
    }

    /// What has come since `earlier` counts of the same life.
    #[must_use]
    pub fn since(&self, earlier: &Self) -> Self {
        let mut times = self.times;
        for (own, others) in times.iter_mut().zip(earlier.times) {
            *own = own.saturating_sub(others);
        }
        Self {
            failed: self.failed.saturating_sub(earlier.failed),
            times,
        }
    }

    /// Requests that were answered or failed.
    #[must_use]
    pub fn total(&self) -> u32 {
        self.answered().saturating_add(self.failed)
    }

    /// Bucket of the median time, if any request was answered.
    #[must_use]
    pub fn median(&self) -> Option<usize> {
        let answered = self.answered();
        let half = answered.div_ceil(2);
        let mut seen = 0;
        let middle = self.times.iter().position(|count| {
            seen += count;
            seen >= half
        });
        middle.filter(|_| answered > 0)
    }

    /// Requests that failed, or took a time of this bucket or a later one.
    #[must_use]
    pub fn bad(&self, slow: usize) -> u32 {
        let slow = self.times.iter().skip(slow).sum::<u32>();
        self.failed.saturating_add(slow)
    }

    fn answered(&self) -> u32 {
        self.times.iter().sum()
    }
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "clamped to the buckets"
)]
fn bucket(took: Duration) -> usize {
    let ms = took.as_secs_f64() * 1_000.0;
    let index = (ms.max(1.0).log2() * BUCKETS_PER_DOUBLING) as usize;
    index.min(BUCKETS - 1)
}

/// What one gate has counted since the order that it counts for.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Names this life of the counts.
    pub series_id: u64,
    /// Requests that were sent to the target.
    pub requests: u64,
    /// Counts by route, sorted.
    pub routes: Vec<(RouteId, RouteCounters)>,
}

impl Counters {
    /// No counts yet.
    #[must_use]
    pub const fn new(life: u64) -> Self {
        Self {
            series_id: life,
            requests: 0,
            routes: Vec::new(),
        }
    }

    /// Counts the end of a request on a route.
    pub fn add(&mut self, route: RouteId, outcome: Outcome) {
        let full = self.routes.len() >= MAX_ROUTES;
        let known = self.find(route).is_ok();
        let route = if full && !known {
            RouteId::default()
        } else {
            route
        };
        let index = self.find(route).unwrap_or_else(|index| {
            self.routes.insert(index, (route, RouteCounters::default()));
            index
        });
        self.routes[index].1.add(outcome);
    }

    /// Counts on one route.
    #[must_use]
    pub fn of(&self, route: RouteId) -> RouteCounters {
        let found = self.find(route);
        found.map_or_else(|_| RouteCounters::default(), |index| self.routes[index].1)
    }

    fn find(&self, route: RouteId) -> Result<usize, usize> {
        self.routes
            .binary_search_by_key(&route, |(known, _)| *known)
    }
}

/// What a gate tells those who decide on a roll-out.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Service of its target.
    pub service: Service,
    /// Revision of its target.
    pub revision: Revision,
    /// The step that it acts by.
    pub step: Step,
    /// Requests at its target or in line for it.
    pub in_flight: u32,
    /// Whether the target is past the slow time after its start.
    pub warm: bool,
    /// Requests that the target works on, by the time since it got them.
    pub in_flight_ages: Vec<(RouteId, RouteCounters)>,
    /// What it has counted.
    pub counters: Counters,
}
