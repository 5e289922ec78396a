//! Admission control for routes whose runs depend on nested calls that fail or are slow.
//!
//! A run whose nested call is refused occupies a slot and is wasted. The daemon beside a target is
//! the ingress of the calls that the target makes, so it sees both: how these calls end and how the
//! runs end during which they were made. Nothing tells which run made a call. A route counts as
//! dependent if its runs fail or are slow more often while nested calls are in trouble than
//! otherwise.
//!
//! A dependent route has a limit on its requests in flight, which wait for a slot or run. It is
//! decreased multiplicatively when a run was wasted, or its nested calls waited for long, and
//! increased step by step otherwise. While nested calls are slow, a dependent route gets only a part of the slots. A request is
//! not refused for these reasons if its route would then be refused more often than a less urgent
//! one.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::dependency::{Arrival, CallEnd, Controller, RunEnd};
//! use jackdawpulley::units::Priority;
//!
//! let now = Instant::now();
//! let mut controller = Controller::default();
//! let arrival = Arrival { route: "history", priority: Priority(1), slots: 9 };
//! assert!((0..9).all(|_| controller.admit(now, arrival)));
//! let call = controller.begin_call(now);
//! let later = now + Duration::from_millis(20);
//! controller.end_call(later, call, CallEnd::Refused);
//! assert!(controller.end_run(later, arrival.route, now, RunEnd::Failed));
//! controller.release(arrival.route);
//! assert!(!controller.admit(later, arrival));
//! ```

use std::time::{Duration, Instant};

use serde::Serialize;

use crate::units::Priority;

/// Factor of a decrease after a wasted run.
const DECREASE: f64 = 0.5;
/// Factor of a decrease, in a route that is limited, after a run whose nested call waited for longer
/// than it ran: the service beneath has no room left, and the run occupies its slot for longer.
const GENTLE_DECREASE: f64 = 0.95;
/// Increase of a limit in as many runs as the limit. Recovery from a limit of 1 to 20 takes as long
/// as about ten runs in a row.
const INCREASE: f64 = 2.0;
/// Lowest limit: one request always passes, which shows when the service beneath has recovered.
const MIN_LIMIT: f64 = 1.0;
/// Limit in multiples of the slots from which on it is dropped.
const MAX_LIMIT: u32 = 2;
/// Wasted runs, beyond those expected, after which a limit is decreased. For each usual failure in
/// a hundred runs the number grows by a tenth, since failures come in clusters.
const EVIDENCE: (f64, f64) = (1.0, 10.0);
/// Time in which the counts of arrivals and refusals decay to 1/e.
const SHARE_DECAY_S: f64 = 10.0;
/// Arrivals below which the refused share of a route is not conclusive.
const MIN_ARRIVALS: f64 = 5.0;
/// Weight of a sample in averages of the usual state.
const USUAL_WEIGHT: f64 = 0.02;
/// Weight of a sample in averages of the current state.
const RECENT_WEIGHT: f64 = 0.1;
/// Weight of a slow call in the usual time: a lasting change becomes usual after a few thousand.
const DRIFT_WEIGHT: f64 = 0.000_5;
/// Times of nested calls above this multiple of the usual time are slow.
const SLOW_FACTOR: f64 = 3.0;
/// Number of nested calls before which none counts as slow.
const MIN_CALLS: u32 = 20;
/// Time of a run above this multiple of the usual time is slow.
const SLOW_RUN_FACTOR: f64 = 2.0;
/// Excess share of slow or failed runs in times of trouble above which a route is dependent.
const DEPENDENT_SHARE: f64 = 0.1;
/// Share of the slots that a dependent route may occupy while nested calls are slow, as a fraction.
const SLOT_SHARE: (u32, u32) = (3, 4);
/// Maximum number of routes: far more than a document has busy ones.
const MAX_ROUTES: usize = 1_024;

/// A request that asks for admission.
#[derive(Debug, Clone, Copy)]
pub struct Arrival<'a> {
    /// Name of its route.
    pub route: &'a str,
    /// Its priority.
    pub priority: Priority,
    /// Slots of the target.
    pub slots: u32,
}

/// How a nested call ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum CallEnd {
    /// It was answered, and had waited this long for a slot.
    Answered {
        /// Wait for a slot.
        waited: Duration,
    },
    /// It was refused or timed out because of overload.
    Refused,
    /// The target gave it up.
    Abandoned,
}

/// How a run ended.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum RunEnd {
    /// The target answered without a server error.
    Succeeded,
    /// The target answered with a server error, or not in time.
    Failed,
}

/// Identifies a nested call in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct CallId(u64);

/// A change of a route's limit.
#[derive(Debug, Clone, PartialEq)]
pub struct Change {
    /// Name of the route.
    pub route: String,
    /// Requests that may be in flight; `None` if the limit has been dropped.
    pub limit: Option<f64>,
}

/// A route that is limited.
#[derive(Debug, Clone, PartialEq, Serialize)]
pub struct Limited {
    /// Name of the route.
    pub route: String,
    /// Requests that may be in flight.
    pub limit: f64,
}

/// Admission control of one sidecar.
#[derive(Debug, Default)]
pub struct Controller {
    calls: Calls,
    /// Sorted by name.
    routes: Vec<Route>,
    /// Sorted by priority, then by route.
    shares: Vec<Share>,
    changes: Vec<Change>,
}

/// Nested calls that the target makes.
#[derive(Debug, Default)]
struct Calls {
    last_id: u64,
    /// In order of their starts.
    in_flight: Vec<(u64, Instant)>,
    answered: u32,
    usual_s: f64,
    recent_s: f64,
    /// When the last one was refused.
    refused_at: Option<Instant>,
    /// When the last one ended that had waited for longer than it ran.
    delayed_at: Option<Instant>,
    /// When the last slow or refused one ended.
    trouble_at: Option<Instant>,
}

/// State of one route.
#[derive(Debug)]
struct Route {
    name: String,
    /// Requests that wait or run.
    in_flight: u32,
    /// Slots of the target.
    slots: u32,
    /// Usual time of a run; 0 before the first.
    usual_s: f64,
    /// Share of failed runs among those without trouble.
    calm_failed: f64,
    /// Share of failed or slow runs among those without trouble, and among the others.
    calm_bad: f64,
    trouble_bad: f64,
    /// Wasted runs, less those expected, since the last decrease.
    evidence: f64,
    /// When the limit was last decreased.
    changed_at: Option<Instant>,
    limit: Option<f64>,
}

/// Arrivals and refusals of a route at one priority, decayed over time.
#[derive(Debug)]
struct Share {
    priority: Priority,
    route: String,
    arrived: f64,
    refused: f64,
    updated: Instant,
}

impl Controller {
    /// Decides whether a request is admitted. One that is admitted has to be released.
    pub fn admit(&mut self, now: Instant, arrival: Arrival<'_>) -> bool {
        self.share_mut(now, arrival).arrived += 1.0;
        let is_slow = self.calls.is_slow(now);
        let route = route_mut(&mut self.routes, arrival.route);
        route.slots = arrival.slots;
        let admitted = route.has_room() && (!is_slow || route.may_occupy(arrival.slots));
        if !admitted && self.may_refuse(now, arrival) {
            self.share_mut(now, arrival).refused += 1.0;
            return false;
        }
        route_mut(&mut self.routes, arrival.route).in_flight += 1;
        true
    }

    /// Records that an admitted request has ended, or was refused for lack of slots.
    pub fn release(&mut self, route: &str) {
        let route = route_mut(&mut self.routes, route);
        route.in_flight = route.in_flight.saturating_sub(1);
    }

    /// Records that an admitted request was refused for lack of slots.
    pub fn record_refusal(&mut self, now: Instant, arrival: Arrival<'_>) {
        self.share_mut(now, arrival).refused += 1.0;
    }

    /// Records that the target has started a nested call.
    pub fn begin_call(&mut self, now: Instant) -> CallId {
        self.calls.last_id += 1;
        self.calls.in_flight.push((self.calls.last_id, now));
        CallId(self.calls.last_id)
    }

    /// Records the end of a nested call.
    pub fn end_call(&mut self, now: Instant, id: CallId, end: CallEnd) {
        self.calls.end(now, id, end);
    }

    /// Records the end of a run that began at `began`; returns whether it was wasted.
    pub fn end_run(&mut self, now: Instant, route: &str, began: Instant, end: RunEnd) -> bool {
        let in_trouble = self.calls.in_trouble(now, began);
        let was_refused = self.calls.refused_since(Some(began));
        let was_delayed = self.calls.delayed_at >= Some(began);
        let route = route_mut(&mut self.routes, route);
        route.record_run(now, began, end, in_trouble);
        let wasted = was_refused && end == RunEnd::Failed;
        if route.adapt(now, began, wasted, was_delayed) {
            self.changes.push(route.change());
        }
        wasted
    }

    /// Takes the changes since the last call.
    pub fn take_changes(&mut self) -> Vec<Change> {
        std::mem::take(&mut self.changes)
    }

    /// The routes that are limited.
    pub fn limited(&self) -> impl Iterator<Item = Limited> {
        self.routes.iter().filter_map(|route| {
            let limit = route.limit?;
            Some(Limited {
                route: route.name.clone(),
                limit,
            })
        })
    }

    /// Whether a refusal keeps the order of priorities.
    fn may_refuse(&mut self, now: Instant, arrival: Arrival<'_>) -> bool {
        let own = self.share_mut(now, arrival);
        let own = (own.refused + 1.0) / own.arrived;
        self.shares
            .iter()
            .filter(|share| share.priority > arrival.priority)
            .map(|share| share.at(now))
            .filter(|(arrived, _)| *arrived >= MIN_ARRIVALS)
            .all(|(arrived, refused)| own <= refused / arrived)
    }

    fn share_mut(&mut self, now: Instant, arrival: Arrival<'_>) -> &mut Share {
        if self.shares.len() == MAX_ROUTES {
            self.shares.clear();
        }
        let wanted = (arrival.priority, arrival.route);
        let found = self
            .shares
            .binary_search_by(|share| (share.priority, share.route.as_str()).cmp(&wanted));
        let index = found.unwrap_or_else(|index| {
            let share = Share {
                priority: arrival.priority,
                route: arrival.route.to_owned(),
                arrived: 0.0,
                refused: 0.0,
                updated: now,
            };
            self.shares.insert(index, share);
            index
        });
        let share = &mut self.shares[index];
        (share.arrived, share.refused) = share.at(now);
        share.updated = now;
        share
    }
}

impl Calls {
    fn end(&mut self, now: Instant, id: CallId, end: CallEnd) {
        let Ok(index) = self
            .in_flight
            .binary_search_by_key(&id.0, |(other, _)| *other)
        else {
            return;
        };
        let (_, began) = self.in_flight.remove(index);
        let time = now.saturating_duration_since(began).as_secs_f64();
        let is_slow = self.is_long(time);
        match end {
            CallEnd::Answered { waited } => {
                if 2.0 * waited.as_secs_f64() > time {
                    self.delayed_at = Some(now);
                }
                if self.answered == 0 {
                    (self.usual_s, self.recent_s) = (time, time);
                }
                self.answered = self.answered.saturating_add(1);
                let weight = if is_slow { DRIFT_WEIGHT } else { USUAL_WEIGHT };
                blend(&mut self.usual_s, time, weight);
                blend(&mut self.recent_s, time, RECENT_WEIGHT);
            }
            CallEnd::Refused => self.refused_at = Some(now),
            CallEnd::Abandoned => blend(&mut self.recent_s, time, RECENT_WEIGHT),
        }
        if is_slow || end == CallEnd::Refused {
            self.trouble_at = Some(now);
        }
    }

    fn is_long(&self, seconds: f64) -> bool {
        self.answered >= MIN_CALLS && seconds > SLOW_FACTOR * self.usual_s
    }

    /// Whether nested calls are slow at present: the last ones on average, or most of those in
    /// flight. A few slow ones are not unusual.
    fn is_slow(&self, now: Instant) -> bool {
        let median = self.in_flight.get(self.in_flight.len() / 2);
        let age = median.map(|(_, began)| now.saturating_duration_since(*began).as_secs_f64());
        let waits = self.in_flight.len() > 2 && age.is_some_and(|age| self.is_long(age));
        waits || !self.in_flight.is_empty() && self.is_long(self.recent_s)
    }

    fn refused_since(&self, since: Option<Instant>) -> bool {
        self.refused_at.is_some() && self.refused_at >= since
    }

    /// Whether a nested call was refused or slow since `began`.
    fn in_trouble(&self, now: Instant, began: Instant) -> bool {
        self.trouble_at.is_some_and(|at| at >= began) || self.is_slow(now)
    }
}

impl Route {
    fn new(name: &str) -> Self {
        Self {
            name: name.to_owned(),
            in_flight: 0,
            slots: 0,
            usual_s: 0.0,
            calm_failed: 0.0,
            calm_bad: 0.0,
            trouble_bad: 0.0,
            evidence: 0.0,
            changed_at: None,
            limit: None,
        }
    }

    fn record_run(&mut self, now: Instant, began: Instant, end: RunEnd, in_trouble: bool) {
        let time = now.saturating_duration_since(began).as_secs_f64();
        let failed = end == RunEnd::Failed;
        let is_bad = failed || self.usual_s > 0.0 && time > SLOW_RUN_FACTOR * self.usual_s;
        let sample = f64::from(u8::from(is_bad));
        if in_trouble {
            blend(&mut self.trouble_bad, sample, RECENT_WEIGHT);
        } else {
            blend(&mut self.calm_bad, sample, RECENT_WEIGHT);
            blend(
                &mut self.calm_failed,
                f64::from(u8::from(failed)),
                RECENT_WEIGHT,
            );
        }
        if self.usual_s == 0.0 && !failed {
            self.usual_s = time;
        } else if !is_bad {
            blend(&mut self.usual_s, time, USUAL_WEIGHT);
        } else if !failed {
            blend(&mut self.usual_s, time, DRIFT_WEIGHT);
        }
    }

    /// Changes the limit by the end of a run; returns whether it has been set or dropped.
    fn adapt(&mut self, now: Instant, began: Instant, wasted: bool, delayed: bool) -> bool {
        // A run that began before the last decrease says nothing of the present limit.
        if self.changed_at.is_some_and(|changed| began < changed) {
            return false;
        }
        if !wasted {
            self.evidence = (self.evidence - 2.0 * self.calm_failed).max(0.0);
            let bound = f64::from(self.slots.saturating_mul(MAX_LIMIT));
            if delayed {
                self.decrease(now, GENTLE_DECREASE);
                return false;
            }
            let was_limited = self.limit.is_some();
            let increased = self.limit.map(|limit| limit + INCREASE / limit);
            self.limit = increased.filter(|limit| *limit < bound);
            return was_limited && self.limit.is_none();
        }
        self.evidence += 1.0 - 2.0 * self.calm_failed;
        if self.evidence < EVIDENCE.0 + EVIDENCE.1 * self.calm_failed {
            return false;
        }
        let is_new = self.limit.is_none();
        self.limit.get_or_insert(f64::INFINITY);
        self.decrease(now, DECREASE);
        self.evidence = 0.0;
        is_new
    }

    /// Decreases the limit, if there is one, in proportion to what is in flight.
    fn decrease(&mut self, now: Instant, factor: f64) {
        if let Some(limit) = self.limit {
            let limit = limit.min(f64::from(self.in_flight));
            self.limit = Some((limit * factor).max(MIN_LIMIT));
            self.changed_at = Some(now);
        }
    }

    fn has_room(&self) -> bool {
        self.limit
            .is_none_or(|limit| f64::from(self.in_flight) + 1.0 <= limit)
    }

    fn change(&self) -> Change {
        Change {
            route: self.name.clone(),
            limit: self.limit,
        }
    }

    /// Whether another request of the route may occupy a slot while nested calls are slow.
    fn may_occupy(&self, slots: u32) -> bool {
        let is_dependent = self.trouble_bad > self.calm_bad + DEPENDENT_SHARE;
        let bound = slots.saturating_mul(SLOT_SHARE.0) / SLOT_SHARE.1;
        !is_dependent || self.in_flight < bound.max(1)
    }
}

impl Share {
    /// Arrivals and refusals at `now`.
    fn at(&self, now: Instant) -> (f64, f64) {
        let age = now.saturating_duration_since(self.updated).as_secs_f64();
        let factor = (-age / SHARE_DECAY_S).exp();
        (self.arrived * factor, self.refused * factor)
    }
}

fn blend(average: &mut f64, sample: f64, weight: f64) {
    *average += weight * (sample - *average);
}

/// Returns the state of a route, creating it if needed.
fn route_mut<'a>(routes: &'a mut Vec<Route>, name: &str) -> &'a mut Route {
    if routes.len() == MAX_ROUTES {
        // Removed routes cannot be told from active ones; active ones are learnt again soon.
        routes.retain(|route| route.in_flight > 0 || route.limit.is_some());
    }
    let found = routes.binary_search_by(|route| route.name.as_str().cmp(name));
    let index = found.unwrap_or_else(|index| {
        routes.insert(index, Route::new(name));
        index
    });
    &mut routes[index]
}
