//! Concurrency limit of a sidecar: a number of slots and a short queue ordered by priority.
//!
//! A [`Limit`] decides which request runs, waits or is shed. It is a state machine without I/O:
//! requests are ticket numbers, and the admission queue wakes those that it returns.
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

use crate::units::Priority;

/// Weight of one request in the moving average of the hold time: averages about thirty requests.
const HOLD_WEIGHT: f64 = 0.03;

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

/// Decision on a request that asks for a slot.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The request has a slot.
    Run,
    /// The request waits.
    Wait {
        /// Request of lower rank that lost its place in the full queue and is shed.
        shed: Option<Ticket>,
    },
    /// The request is shed.
    Shed,
}

/// Concurrency limit with a priority queue.
#[derive(Debug)]
pub struct Limit {
    slots: u32,
    queue: u32,
    running: u32,
    /// Requests that may start now; `None` if their rate is not limited.
    allowance: Option<u32>,
    /// Sorted by rank, then by ticket: the first is the next to run.
    waiting: Vec<(Rank, Ticket)>,
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
    pub fn acquire(&mut self, ticket: Ticket, rank: impl Into<Rank>) -> Decision {
        let rank = rank.into();
        if self.may_start() && self.waiting.is_empty() {
            self.start();
            return Decision::Run;
        }
        if self.waiting.len() < self.queue as usize {
            self.insert(rank, ticket);
            return Decision::Wait { shed: None };
        }
        match self.waiting.last() {
            Some(&(lowest, lowest_ticket)) if rank < lowest => {
                self.waiting.pop();
                self.insert(rank, ticket);
                Decision::Wait {
                    shed: Some(lowest_ticket),
                }
            }
            _ => Decision::Shed,
        }
    }

    /// Number of slot releases after which a new request of `rank` would run; 0 while a slot
    /// is free.
    #[must_use]
    pub fn position(&self, rank: impl Into<Rank>) -> usize {
        if self.has_free_slot() {
            return 0;
        }
        1 + self.ahead(rank)
    }

    /// Number of waiting requests that start before this one; `None` if it does not wait.
    #[must_use]
    pub fn ahead_of(&self, ticket: Ticket) -> Option<usize> {
        let mut waiting = self.waiting.iter();
        waiting.position(|&(_, other)| other == ticket)
    }

    /// Whether a slot is free.
    #[must_use]
    pub const fn has_free_slot(&self) -> bool {
        self.running < self.slots
    }

    /// Number of waiting requests that start before a new one of `rank`.
    #[must_use]
    pub fn ahead(&self, rank: impl Into<Rank>) -> usize {
        let rank = rank.into();
        self.waiting.partition_point(|&(other, _)| other <= rank)
    }

    /// Expected wait of a new request of `rank`.
    #[must_use]
    pub fn expected_wait(&self, rank: impl Into<Rank>) -> Duration {
        let position = u32::try_from(self.position(rank)).unwrap_or(u32::MAX);
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
        let index = self
            .waiting
            .iter()
            .position(|&(_, waiting)| waiting == ticket);
        index.map(|index| self.waiting.remove(index)).is_some()
    }

    /// Releases a slot and returns the ticket that runs next, if any.
    pub fn release(&mut self) -> Option<Ticket> {
        self.running = self.running.saturating_sub(1);
        self.promote()
    }

    /// Starts the first waiting request if it may start, and returns its ticket.
    pub fn promote(&mut self) -> Option<Ticket> {
        if !self.may_start() || self.waiting.is_empty() {
            return None;
        }
        self.start();
        Some(self.waiting.remove(0).1)
    }

    fn may_start(&self) -> bool {
        self.has_free_slot() && self.allowance != Some(0)
    }

    fn start(&mut self) {
        self.running += 1;
        self.allowance = self.allowance.map(|allowance| allowance.saturating_sub(1));
    }

    fn insert(&mut self, rank: Rank, ticket: Ticket) {
        let index = self
            .waiting
            .partition_point(|&waiting| waiting < (rank, ticket));
        self.waiting.insert(index, (rank, ticket));
    }
}
