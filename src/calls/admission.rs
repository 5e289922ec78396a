//! The line of requests before a target: who runs, who waits, and waking who may run.
//!
//! The decisions are those of [`Limit`]; a slot and a place in the queue are values that give
//! themselves back when dropped, so that a request that is given up anywhere leaks neither.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::oneshot;

use crate::calls::limit::{Decision, Limit, Ticket};
use crate::calls::outcome::Reason;
use crate::units::Priority;

/// What a request asks of the line.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Its rank.
    pub priority: Priority,
    /// Longest wait with which it is still of use; when a longer one is to be expected it is
    /// refused at once, so that its caller can go elsewhere while there is time.
    pub max_wait: Duration,
    /// Time after which it is refused where the wait was longer than expected.
    pub timeout: Duration,
}

/// Who runs and who waits at a gate.
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

/// What a waiting request is told.
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
    /// Waits for one of `slots`, in one of `queue` places.
    ///
    /// # Errors
    ///
    /// [`Reason::Overloaded`] when there is no place, the wait to expect is too long, or no slot
    /// came in time.
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
                    if let Some(displaced) = shed {
                        state.wake(displaced, Signal::Shed);
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

    /// Requests that run and that wait.
    #[must_use]
    pub fn load(&self) -> (u32, usize) {
        let state = self.state();
        (state.limit.running(), state.limit.waiting())
    }

    /// Gives a slot back and wakes the request that gets it.
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

/// A place in the queue, given up when dropped.
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
            // The slot was granted while the request gave up: pass it on, or it is lost for good.
            drop(state);
            self.queue.release();
        }
    }
}

/// A slot of the target, given back when dropped.
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
