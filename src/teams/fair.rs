//! Fair shares among the teams that wait in one queue, by start-time fair queueing.
//!
//! [`Fair`] assigns a [`Tag`] to each request: the virtual time at which it starts if every team is
//! served in proportion to its weight. Requests start in the order of their tags. A request of a
//! team gets the finish tag of the request before it, or the current virtual time if that is later,
//! so that an idle team gains no credit. It is a state machine without I/O.
//!
//! ```
//! use jackdawpulley::teams::fair::{Fair, Share};
//!
//! let (busy, calm) = (Share::new("busy", None), Share::new("calm", None));
//! let mut fair = Fair::default();
//! assert!(fair.add(busy) < fair.add(busy));
//! let third = fair.add(busy);
//! assert!(fair.add(calm) < third, "the busy team does not delay the calm one");
//! ```

use xxhash_rust::xxh3::xxh3_64;

use crate::units::Rate;

/// Virtual time that a request of a team with a weight of one request per second takes.
const UNIT: f64 = 1_048_576.0;
/// Lowest weight, in requests per second: bounds for how long one request sets its team back.
const MIN_WEIGHT: f64 = 1.0 / 64.0;
/// Highest weight, in requests per second, at which a request still takes virtual time.
const MAX_WEIGHT: f64 = UNIT;
/// Number of finish tags that are kept; bounds the memory whatever names arrive.
const MAX_TEAMS: usize = 1024;

/// Start tag or finish tag of a request, in virtual time.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Tag(u64);

/// Virtual time that a request takes: the inverse of its team's weight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Cost(u64);

/// Hash of a team's name, so that a tag needs no copy of it; 0 stands for requests without a team.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub struct Flow(u64);

/// Team of a request, and its weight.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Share {
    /// Requests of the same flow share one finish tag.
    pub flow: Flow,
    /// Virtual time that one of its requests takes.
    pub cost: Cost,
}

/// Virtual time of a queue and the finish tags of the teams that are ahead of it.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Fair {
    /// Start tag of the last request that started.
    now: Tag,
    /// Sorted by flow; only tags above `now`, which are those of teams that wait or have just been
    /// served.
    finish: Vec<(Flow, Tag)>,
}

impl Default for Cost {
    fn default() -> Self {
        Self::of(None)
    }
}

impl Cost {
    /// Cost of a request of a team with this weight; without one, all weigh the same.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "the clamped quotient is between 1 and 2^26"
    )]
    pub fn of(weight: Option<Rate>) -> Self {
        let weight = weight.map_or(1.0, Rate::per_second);
        Self((UNIT / weight.clamp(MIN_WEIGHT, MAX_WEIGHT)) as u64)
    }
}

impl Tag {
    /// Tag later by `cost`.
    #[must_use]
    pub const fn plus(self, cost: Cost) -> Self {
        Self(self.0.saturating_add(cost.0))
    }

    /// Tag earlier by `cost`.
    #[must_use]
    pub const fn minus(self, cost: Cost) -> Self {
        Self(self.0.saturating_sub(cost.0))
    }
}

impl Share {
    /// Share of the team with this name, or of requests without a team if the name is empty.
    #[must_use]
    pub fn new(team: &str, weight: Option<Rate>) -> Self {
        let flow = if team.is_empty() {
            Flow::default()
        } else {
            Flow(xxh3_64(team.as_bytes()))
        };
        Self {
            flow,
            cost: Cost::of(weight),
        }
    }

    /// Whether the request has a team.
    #[must_use]
    pub fn has_team(&self) -> bool {
        self.flow != Flow::default()
    }
}

impl Fair {
    /// Start tag that the next request of a team gets.
    #[must_use]
    pub fn next(&self, flow: Flow) -> Tag {
        let finish = self.find(flow).map(|index| self.finish[index].1);
        finish.map_or(self.now, |finish| finish.max(self.now))
    }

    /// Adds a request and returns its start tag.
    pub fn add(&mut self, share: Share) -> Tag {
        let start = self.next(share.flow);
        let finish = start.plus(share.cost);
        if let Ok(index) = self.find(share.flow) {
            self.finish[index].1 = finish;
        } else {
            self.make_room();
            let index = self.finish.partition_point(|entry| entry.0 < share.flow);
            self.finish.insert(index, (share.flow, finish));
        }
        start
    }

    /// Takes back a request that was added and has not started. The caller moves the tags of later
    /// waiting requests of the same team back by the same cost.
    pub fn remove(&mut self, share: Share) {
        if let Ok(index) = self.find(share.flow) {
            self.finish[index].1 = self.finish[index].1.minus(share.cost);
        }
    }

    /// Records that the request with the lowest start tag has started.
    pub fn start(&mut self, tag: Tag) {
        self.now = self.now.max(tag);
        self.finish.retain(|entry| entry.1 > self.now);
    }

    /// Number of finish tags that are kept.
    #[must_use]
    pub const fn teams(&self) -> usize {
        self.finish.len()
    }

    fn find(&self, flow: Flow) -> Result<usize, usize> {
        self.finish.binary_search_by_key(&flow, |entry| entry.0)
    }

    /// Drops the lowest finish tag if there are too many: it is the next to be dropped anyway.
    fn make_room(&mut self) {
        if self.finish.len() < MAX_TEAMS {
            return;
        }
        let tags = self.finish.iter().enumerate();
        if let Some((index, _)) = tags.min_by_key(|(_, entry)| entry.1) {
            self.finish.remove(index);
        }
    }
}
