//! Concurrency limit of a sidecar: a number of slots and a short queue ordered by priority.
//!
//! A [`Limit`] decides which request runs, waits or is shed. It is a state machine without I/O:
//! requests are ticket numbers, and the admission queue wakes those that it returns. Teams whose
//! requests have the same rank share the target by start-time fair queueing ([`Fair`]); requests
//! without teams are served in order of arrival.
//!
//! ```
//! use jackdawpulley::configuration::document::Class;
//! use jackdawpulley::calls::limit::{Decision, Limit};
//!
//! let mut limit = Limit::new(1, 1);
//! assert_eq!(limit.acquire(1, Class::Interactive), Decision::Run);
//! assert_eq!(limit.acquire(2, Class::Background), Decision::Wait { shed: None });
//! assert_eq!(limit.acquire(3, Class::Interactive), Decision::Wait { shed: Some(2) });
//! assert_eq!(limit.release(), Some(3));
//! ```

use std::time::Duration;

use crate::teams::fair::{Fair, Share, Tag};
use crate::units::Priority;

/// Weight of one request in the moving average of the hold time: averages about thirty requests.
const HOLD_WEIGHT: f64 = 0.03;
/// Number of ranks from which on the shares of ranks in which nothing waits are dropped. Bounds the
/// memory; two priorities of teams, three of routes, and calls of started runs or new work are twelve.
const MAX_IDLE_RANKS: usize = 16;

/// Number of a request at its sidecar, in order of arrival.
pub type Ticket = u64;

/// Place of a request in the order of the queue, the lowest first.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
pub struct Rank {
    /// Priority of the request.
    pub priority: Priority,
    /// Whether the request is new work. A call made by a run that has started goes before new work
    /// of the same priority, since its refusal would waste that run.
    pub is_new: bool,
}

impl<P: Into<Priority>> From<P> for Rank {
    fn from(priority: P) -> Self {
        Self {
            priority: priority.into(),
            is_new: true,
        }
    }
}

/// What decides the place of a request in the queue.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Request {
    /// Goes before the share of the team.
    pub rank: Rank,
    /// Team of the request.
    pub share: Share,
}

impl<R: Into<Rank>> From<R> for Request {
    fn from(rank: R) -> Self {
        Self {
            rank: rank.into(),
            share: Share::default(),
        }
    }
}

/// Decision on a request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request has a slot.
    Run,
    /// The request waits.
    Wait {
        /// Last request of the order, which lost its place in the full queue and is shed: of lower
        /// rank, or the newest of a team that is further ahead of its share.
        shed: Option<Ticket>,
    },
    /// The request is shed.
    Shed,
}

/// A request in the queue.
#[derive(Debug, Clone, Copy)]
struct Waiter {
    rank: Rank,
    /// Start tag within the rank.
    tag: Tag,
    ticket: Ticket,
    /// `None` if the request has no tag of its own, since no team had a request in its rank.
    share: Option<Share>,
}

impl Waiter {
    const fn order(&self) -> (Rank, Tag, Ticket) {
        (self.rank, self.tag, self.ticket)
    }
}

/// Concurrency limit with a priority queue.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    queue: u32,
    running: u32,
    /// Requests that may start now; `None` if their rate is not limited.
    allowance: Option<u32>,
    /// Sorted by rank, then by start tag, then by ticket: the first is the next to run.
    waiting: Vec<Waiter>,
    /// Sorted by rank; only ranks in which a request of a team has waited since a slot was last free.
    shares: Vec<(Rank, Fair)>,
    /// Moving average of the time for which a slot is held; 0 before the first sample.
    mean_hold_s: f64,
}

impl Limit {
    /// Creates a limit with `slots` slots and `queue` places to wait.
    #[must_use]
    pub const fn new(slots: u32, queue: u32) -> Self {
        Self {
            slots,
            queue,
            running: 0,
            allowance: None,
            waiting: Vec::new(),
            shares: Vec::new(),
            mean_hold_s: 0.0,
        }
    }

    /// Number of running requests.
    #[must_use]
    pub const fn running(&self) -> u32 {
        self.running
    }

    /// Number of waiting requests.
    #[must_use]
    pub const fn waiting(&self) -> usize {
        self.waiting.len()
    }

    /// Sets how many requests may start until the next call; `None` for any number.
    pub const fn set_allowance(&mut self, allowance: Option<u32>) {
        self.allowance = allowance;
    }

    /// Changes the sizes and returns the tickets that may run now.
    pub fn resize(&mut self, slots: u32, queue: u32) -> Vec<Ticket> {
        self.slots = slots;
        self.queue = queue;
        std::iter::from_fn(|| self.promote()).collect()
    }

    /// Requests a slot.
    pub fn acquire(&mut self, ticket: Ticket, request: impl Into<Request>) -> Decision {
        let request = request.into();
        if self.may_start() && self.waiting.is_empty() {
            self.start();
            return Decision::Run;
        }
        if self.waiting.len() < self.queue as usize {
            self.insert(request, ticket);
            return Decision::Wait { shed: None };
        }
        let place = (request.rank, self.tag(request));
        match self.waiting.last().copied() {
            Some(last) if place < (last.rank, last.tag) => {
                self.remove(self.waiting.len() - 1);
                self.insert(request, ticket);
                Decision::Wait {
                    shed: Some(last.ticket),
                }
            }
            _ => Decision::Shed,
        }
    }

    /// Number of slot releases after which a new request would run; 0 while a slot is free.
    #[must_use]
    pub fn position(&self, request: impl Into<Request>) -> usize {
        if self.has_free_slot() {
            return 0;
        }
        1 + self.ahead(request)
    }

    /// Number of waiting requests that start before this one; `None` if it does not wait.
    #[must_use]
    pub fn ahead_of(&self, ticket: Ticket) -> Option<usize> {
        let mut waiting = self.waiting.iter();
        waiting.position(|waiter| waiter.ticket == ticket)
    }

    /// Whether a slot is free.
    #[must_use]
    pub const fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Number of waiting requests that start before a new one.
    #[must_use]
    pub fn ahead(&self, request: impl Into<Request>) -> usize {
        let request = request.into();
        let place = (request.rank, self.tag(request));
        self.waiting
            .partition_point(|waiter| (waiter.rank, waiter.tag) <= place)
    }

    /// Number of finish tags that are kept for teams.
    #[must_use]
    pub fn tags(&self) -> usize {
        self.shares.iter().map(|(_, fair)| fair.teams()).sum()
    }

    /// Expected wait of a new request.
    #[must_use]
    pub fn expected_wait(&self, request: impl Into<Request>) -> Duration {
        let position = u32::try_from(self.position(request)).unwrap_or(u32::MAX);
        let slots = f64::from(self.slots.max(1));
        let seconds = f64::from(position) * self.mean_hold_s / slots;
        Duration::try_from_secs_f64(seconds).unwrap_or(Duration::MAX)
    }

    /// Records for how long a slot was held.
    pub fn record_hold(&mut self, time: Duration) {
        let time = time.as_secs_f64();
        if self.mean_hold_s == 0.0 {
            self.mean_hold_s = time;
        }
        self.mean_hold_s += HOLD_WEIGHT * (time - self.mean_hold_s);
    }

    /// Removes a waiting request; `false` if it no longer waits.
    pub fn cancel(&mut self, ticket: Ticket) -> bool {
        let index = self.ahead_of(ticket);
        index.map(|index| self.remove(index)).is_some()
    }

    /// Releases a slot and returns the ticket that runs next, if any.
    pub fn release(&mut self) -> Option<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.promote()
    }

    /// Starts the first waiting request if it may start, and returns its ticket.
    pub fn promote(&mut self) -> Option<Ticket> {
        if self.waiting.is_empty() && self.has_free_slot() {
            // Everyone has been served, so no team is ahead of another any more.
            self.shares.clear();
        }
        if !self.may_start() || self.waiting.is_empty() {
            return None;
        }
        self.start();
        let first = self.waiting.remove(0);
        if let Ok(index) = self.find_shares(first.rank) {
            self.shares[index].1.start(first.tag);
        }
        Some(first.ticket)
    }

    fn may_start(&self) -> bool {
        self.has_free_slot() && self.allowance != Some(0)
    }

    fn start(&mut self) {
        self.running += 1;
        self.allowance = self.allowance.map(|allowance| allowance.saturating_sub(1));
    }

    fn find_shares(&self, rank: Rank) -> Result<usize, usize> {
        self.shares.binary_search_by_key(&rank, |entry| entry.0)
    }

    /// Start tag of a new request within its rank.
    fn tag(&self, request: Request) -> Tag {
        let index = self.find_shares(request.rank);
        index.map_or_else(
            |_| Tag::default(),
            |index| self.shares[index].1.next(request.share.flow),
        )
    }

    /// The shares of a rank; `None` if no team has a request there, nor has this one a team.
    fn shares_mut(&mut self, Request { rank, share }: Request) -> Option<&mut Fair> {
        let index = match self.find_shares(rank) {
            Ok(index) => index,
            Err(_) if !share.has_team() => return None,
            Err(_) => {
                if self.shares.len() >= MAX_IDLE_RANKS {
                    let waiting = &self.waiting;
                    let is_waiting = |rank| waiting.binary_search_by_key(&rank, |w| w.rank).is_ok();
                    self.shares.retain(|entry| is_waiting(entry.0));
                }
                let index = self.shares.partition_point(|entry| entry.0 < rank);
                self.shares.insert(index, (rank, Fair::default()));
                index
            }
        };
        Some(&mut self.shares[index].1)
    }

    fn insert(&mut self, request: Request, ticket: Ticket) {
        let tag = self.shares_mut(request).map(|fair| fair.add(request.share));
        let waiter = Waiter {
            rank: request.rank,
            tag: tag.unwrap_or_default(),
            ticket,
            share: tag.map(|_| request.share),
        };
        let index = self
            .waiting
            .partition_point(|other| other.order() < waiter.order());
        self.waiting.insert(index, waiter);
    }

    /// Removes a request that has not started, and moves later ones of its team into its place.
    fn remove(&mut self, index: usize) {
        let removed = self.waiting.remove(index);
        let (Some(share), Ok(shares)) = (removed.share, self.find_shares(removed.rank)) else {
            return;
        };
        self.shares[shares].1.remove(share);
        let later = self.waiting[index..].iter_mut();
        let of_team = later.filter(|waiter| {
            waiter.rank == removed.rank
                && waiter.share.is_some_and(|other| other.flow == share.flow)
        });
        of_team.for_each(|waiter| waiter.tag = waiter.tag.minus(share.cost));
        self.waiting.sort_unstable_by_key(Waiter::order);
    }
}
