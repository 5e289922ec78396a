//! Counts of a target's responses by route, as its sidecar reports them.
//!
//! Counts only grow while they have the same series id, so the next report makes up for a lost one. Times are
//! measured from the moment at which the target received the request, which excludes the time in the
//! sidecar's queue.

use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::rollout::plan::Step;
use crate::units::{Revision, Service};

/// Buckets of a time histogram from 1 ms to 4 s and above, each wider than the previous one by the square
/// root of two.
pub const BUCKETS: usize = 24;
/// Buckets for each doubling of the time.
const BUCKETS_PER_DOUBLING: f64 = 2.0;
/// Routes that are counted separately. Further ones are counted together, so that a report fits into a
/// datagram.
const MAX_ROUTES: usize = 10;

/// Short identifier of a route; 0 for routes that are counted together.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct RouteId(pub u32);

impl RouteId {
    /// Identifier of the route with this name.
    #[must_use]
    #[expect(clippy::cast_possible_truncation, reason = "any 32 bits of a hash do")]
    pub fn of(route: &str) -> Self {
        Self(xxh3_64(route.as_bytes()) as u32 | 1)
    }
}

/// How a request at the target finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Answered by the target after this time.
    Answered(Duration),
    /// Failed by the target, cut off, or not answered by the deadline.
    Failed,
}

/// Counts for one route.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
pub struct RouteCounters {
    /// Requests that failed.
    pub failed: u32,
    /// Answered requests by time bucket.
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

    /// Adds the counts of another sidecar.
    pub fn merge(&mut self, other: &Self) {
        self.failed = self.failed.saturating_add(other.failed);
        for (own, others) in self.times.iter_mut().zip(other.times) {
            *own = own.saturating_add(others);
        }
    }

    /// Difference to earlier counts of the same series.
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

    /// Requests that failed, or whose time is in bucket `slow` or above.
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

/// Counts of one sidecar since counting began.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Counters {
    /// Random identifier, drawn when counting begins.
    pub series_id: u64,
    /// Requests that were sent to the target.
    pub requests: u64,
    /// Counts by route, sorted.
    pub routes: Vec<(RouteId, RouteCounters)>,
}

impl Counters {
    /// Empty counters.
    #[must_use]
    pub const fn new(series_id: u64) -> Self {
        Self {
            series_id,
            requests: 0,
            routes: Vec::new(),
        }
    }

    /// Counts the outcome of a request on a route.
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

    /// Counts for one route.
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

/// A sidecar's report to the coordinators.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Report {
    /// Service of its target.
    pub service: Service,
    /// Revision of its target.
    pub revision: Revision,
    /// Step of the plan that the sidecar follows.
    pub step: Step,
    /// Requests in flight at the target.
    pub in_flight: u32,
    /// Whether the target's warm-up after its start is over.
    pub warm: bool,
    /// Requests in flight at the target, by the time since they were sent.
    pub in_flight_ages: Vec<(RouteId, RouteCounters)>,
    /// The sidecar's counters.
    pub counters: Counters,
}
