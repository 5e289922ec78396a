//! Admission queue in front of a target.
//!
//! [`Limit`] decides which requests run, wait or are shed; this module suspends and wakes their
//! tasks. A slot and a place in the queue are guards that release on drop, so a request that is
//! cancelled at any point leaks neither.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::calls::limit::{Decision, Limit, Ticket};
use crate::calls::outcome::Reason;
use crate::units::Priority;

/// Terms on which a request queues for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Priority of the request.
    pub priority: Priority,
    /// Longest expected wait. If a longer one is expected, the request is refused at once, while
    /// there is still time to try another target.
    pub max_wait: Duration,
    /// Time after which a request that still waits is refused.
    pub timeout: Duration,
}

/// Admission queue of a sidecar.
#[derive(Debug, Default)]
pub struct Queue {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limit: Limit,
    capacity: (u32, u32),
    last_ticket: Ticket,
    /// Sorted by ticket.
    waiters: Vec<(Ticket, oneshot::Sender<Signal>)>,
}

/// Wake-up of a waiting request.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Signal {
    Run,
    Shed,
}

impl Default for State {
    fn default() -> Self {
        Self {
            limit: Limit::new(0, 0),
            capacity: (0, 0),
            last_ticket: 0,
            waiters: Vec::new(),
        }
    }
}

impl State {
    fn wake(&mut self, ticket: Ticket, signal: Signal) {
        if let Ok(index) = self
            .waiters
            .binary_search_by_key(&ticket, |waiter| waiter.0)
        {
            let _ = self.waiters.remove(index).1.send(signal);
        }
    }

    fn resize(&mut self, capacity: (u32, u32)) {
        if self.capacity != capacity {
            self.capacity = capacity;
            for ticket in self.limit.resize(capacity.0, capacity.1) {
                self.wake(ticket, Signal::Run);
            }
        }
    }
}

impl Queue {
    /// Acquires one of `slots` slots, waiting in one of `queue` places.
    ///
    /// # Errors
    ///
    /// [`Reason::Overloaded`] if the queue is full, the expected wait is too long, no slot became
    /// free in time, or a request of higher priority took the place.
    pub async fn acquire(
        self: &Arc<Self>,
        slots: u32,
        queue: u32,
        options: Options,
    ) -> Result<Permit, Reason> {
        let (waiting, signal) = {
            let mut state = self.state();
            state.resize((slots, queue));
            if state.limit.expected_wait(options.priority) > options.max_wait {
                return Err(Reason::Overloaded);
            }
            state.last_ticket += 1;
            let ticket = state.last_ticket;
            match state.limit.acquire(ticket, options.priority) {
                Decision::Run => {
                    return Ok(Permit::new(self));
                }
                Decision::Shed => return Err(Reason::Overloaded),
                Decision::Wait { shed } => {
                    if let Some(shed) = shed {
                        state.wake(shed, Signal::Shed);
                    }
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.push((ticket, sender));
                    (
                        Waiting {
                            queue: Arc::clone(self),
                            ticket,
                            resolved: false,
                        },
                        receiver,
                    )
                }
            }
        };
        waiting.wait(signal, options.timeout).await
    }

    /// Numbers of running and of waiting requests.
    #[must_use]
    pub fn load(&self) -> (u32, usize) {
        let state = self.state();
        (state.limit.running(), state.limit.waiting())
    }

    /// Releases a slot and wakes the request that gets it.
    fn release(&self) {
        let mut state = self.state();
        if let Some(ticket) = state.limit.release() {
            state.wake(ticket, Signal::Run);
        }
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A place in the queue, released on drop.
#[derive(Debug)]
struct Waiting {
    queue: Arc<Queue>,
    ticket: Ticket,
    resolved: bool,
}

impl Waiting {
    async fn wait(
        mut self,
        signal: oneshot::Receiver<Signal>,
        timeout: Duration,
    ) -> Result<Permit, Reason> {
        match tokio::time::timeout(timeout, signal).await {
            Ok(Ok(Signal::Run)) => {
                self.resolved = true;
                Ok(Permit::new(&self.queue))
            }
            Ok(_) => {
                self.resolved = true;
                Err(Reason::Overloaded)
            }
            Err(_) => Err(Reason::Overloaded),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.resolved {
            return;
        }
        let mut state = self.queue.state();
        let was_waiting = state.limit.cancel(self.ticket);
        if let Ok(index) = state.waiters.binary_search_by_key(&self.ticket, |w| w.0) {
            state.waiters.remove(index);
        } else if !was_waiting {
            // The slot was granted while the request was being cancelled. It must be released, or
            // it is lost for good.
            drop(state);
            self.queue.release();
        }
    }
}

/// A slot of the target, released on drop.
#[derive(Debug)]
pub struct Permit {
    queue: Arc<Queue>,
    acquired_at: Instant,
}

impl Permit {
    fn new(queue: &Arc<Queue>) -> Self {
        Self {
            queue: Arc::clone(queue),
            acquired_at: Instant::now(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.queue
            .state()
            .limit
            .record_hold(self.acquired_at.elapsed());
        self.queue.release();
    }
}
