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
    pub tolerance: Duration,
    /// Time after which it is refused where the wait was longer than expected.
    pub patience: Duration,
}

/// Who runs and who waits at a gate.
#[derive(Debug, Default)]
pub struct Queue {
    state: Mutex<State>,
}

#[derive(Debug)]
struct State {
    limit: Limit,
    sizes: (u32, u32),
    next: Ticket,
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
            sizes: (0, 0),
            next: 0,
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

    fn resize(&mut self, sizes: (u32, u32)) {
        if self.sizes != sizes {
            self.sizes = sizes;
            for ticket in self.limit.resize(sizes.0, sizes.1) {
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
        bid: Options,
    ) -> Result<Permit, Reason> {
        let (waiting, signal) = {
            let mut state = self.state();
            state.resize((slots, queue));
            if state.limit.expected_wait(bid.priority) > bid.tolerance {
                return Err(Reason::Overloaded);
            }
            state.next += 1;
            let ticket = state.next;
            match state.limit.acquire(ticket, bid.priority) {
                Decision::Run => {
                    return Ok(Permit::new(self));
                }
                Decision::Shed => return Err(Reason::Overloaded),
                Decision::Wait { shed } => {
                    if let Some(loser) = shed {
                        state.wake(loser, Signal::Shed);
                    }
                    let (sender, receiver) = oneshot::channel();
                    state.waiters.push((ticket, sender));
                    (
                        Waiting {
                            line: Arc::clone(self),
                            ticket,
                            settled: false,
                        },
                        receiver,
                    )
                }
            }
        };
        waiting.wait(signal, bid.patience).await
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
    line: Arc<Queue>,
    ticket: Ticket,
    settled: bool,
}

impl Waiting {
    async fn wait(
        mut self,
        signal: oneshot::Receiver<Signal>,
        patience: Duration,
    ) -> Result<Permit, Reason> {
        match tokio::time::timeout(patience, signal).await {
            Ok(Ok(Signal::Run)) => {
                self.settled = true;
                Ok(Permit::new(&self.line))
            }
            Ok(_) => {
                self.settled = true;
                Err(Reason::Overloaded)
            }
            Err(_) => Err(Reason::Overloaded),
        }
    }
}

impl Drop for Waiting {
    fn drop(&mut self) {
        if self.settled {
            return;
        }
        let mut state = self.line.state();
        let waited = state.limit.cancel(self.ticket);
        if let Ok(index) = state.waiters.binary_search_by_key(&self.ticket, |w| w.0) {
            state.waiters.remove(index);
        } else if !waited {
            // The slot was granted while the request gave up: pass it on, or it is lost for good.
            drop(state);
            self.line.release();
        }
    }
}

/// A slot of the target, given back when dropped.
#[derive(Debug)]
pub struct Permit {
    line: Arc<Queue>,
    since: Instant,
}

impl Permit {
    fn new(line: &Arc<Queue>) -> Self {
        Self {
            line: Arc::clone(line),
            since: Instant::now(),
        }
    }
}

impl Drop for Permit {
    fn drop(&mut self) {
        self.line.state().limit.record_hold(self.since.elapsed());
        self.line.release();
    }
}
