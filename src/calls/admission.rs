//! Admission queue in front of a target.
//!
//! [`Limit`] decides which requests run, wait or are shed, and a [`Bucket`] when they may start if
//! the target names a rate; this module suspends and wakes their tasks. A slot and a place in the
//! queue are guards that release on drop, so a request that is cancelled at any point leaks neither.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use tokio::sync::{Notify, oneshot};

use crate::calls::limit::{self, Decision, Limit, Rank, Ticket};
use crate::calls::outcome::Reason;
use crate::calls::pacer::{Bucket, Fairness};
use crate::teams::fair::Share;
use crate::units::{Priority, Rate};

/// Terms on which a request queues for a slot.
#[derive(Debug, Clone, Copy)]
pub struct Options {
    /// Priority of the request.
    pub priority: Priority,
    /// Whether only targets call its route, so that a started run waits for it.
    pub nested: bool,
    /// Team of the request, with which the others of its priority share the target.
    pub share: Share,
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
    /// Notified when requests that waited for slots alone have to wait for tokens.
    wait_changed: Notify,
}

#[derive(Debug)]
struct State {
    limit: Limit,
    capacity: (u32, u32),
    last_ticket: Ticket,
    /// Sorted by ticket.
    waiters: Vec<(Ticket, oneshot::Sender<Signal>)>,
    /// `None` if the rate is not limited.
    pacer: Option<Pacer>,
}

#[derive(Debug)]
struct Pacer {
    bucket: Bucket,
    fairness: Fairness,
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
            pacer: None,
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

    fn resize(&mut self, capacity: (u32, u32), now: Instant) {
        if self.capacity != capacity {
            self.capacity = capacity;
            self.refresh_allowance(now);
            for ticket in self.limit.resize(capacity.0, capacity.1) {
                self.record_start(now);
                self.wake(ticket, Signal::Run);
            }
        }
    }

    /// Allows as many starts as there are tokens.
    fn refresh_allowance(&mut self, now: Instant) {
        let pacer = self.pacer.as_ref();
        let tokens = pacer.map(|pacer| pacer.bucket.tokens(now));
        self.limit.set_allowance(tokens);
    }

    fn record_start(&mut self, now: Instant) {
        if let Some(pacer) = &mut self.pacer {
            pacer.bucket.take(now);
        }
    }

    /// Starts waiting requests while there are slots and tokens.
    fn start_waiting(&mut self, now: Instant) {
        self.refresh_allowance(now);
        while let Some(ticket) = self.limit.promote() {
            self.record_start(now);
            self.wake(ticket, Signal::Run);
        }
    }

    /// Expected wait of a new request for a slot and a token.
    fn expected_wait(&self, request: limit::Request, now: Instant) -> Duration {
        let ahead = self.limit.ahead(request);
        let pacer = self.pacer.as_ref();
        let token_wait = pacer.map(|pacer| pacer.bucket.delay(now, ahead));
        let slot_wait = self.limit.expected_wait(request);
        slot_wait.max(token_wait.unwrap_or_default())
    }

    /// Priority with which a request queues.
    fn effective_priority(&self, priority: Priority) -> Priority {
        let pacer = self.pacer.as_ref();
        pacer.map_or(priority, |pacer| {
            pacer.fairness.effective_priority(priority)
        })
    }

    fn record_refusal(&mut self, priority: Priority) {
        if let Some(pacer) = &mut self.pacer {
            pacer.fairness.record_refusal(priority);
        }
    }

    fn record_admission(&mut self, priority: Priority) {
        if let Some(pacer) = &mut self.pacer {
            pacer.fairness.record_admission(priority);
        }
    }
}

impl Queue {
    /// Acquires one of `slots` slots, waiting in one of `queue` places.
    ///
    /// # Errors
    ///
    /// [`Reason::Overloaded`] if the queue is full, the expected wait is too long, no slot or token
    /// became free in time, or a request that goes before it took the place.
    pub async fn acquire(
        self: &Arc<Self>,
        slots: u32,
        queue: u32,
        options: Options,
    ) -> Result<Permit, Reason> {
        let (waiting, signal) = {
            let now = Instant::now();
            let mut state = self.state();
            state.resize((slots, queue), now);
            state.refresh_allowance(now);
            let rank = Rank {
                priority: state.effective_priority(options.priority),
                is_new: !options.nested,
            };
            let share = options.share;
            let request = limit::Request { rank, share };
            if state.expected_wait(request, now) > options.max_wait {
                state.record_refusal(options.priority);
                return Err(Reason::Overloaded);
            }
            state.last_ticket += 1;
            let ticket = state.last_ticket;
            match state.limit.acquire(ticket, request) {
                Decision::Run => {
                    state.record_start(now);
                    state.record_admission(options.priority);
                    return Ok(Permit::new(self));
                }
                Decision::Shed => {
                    state.record_refusal(options.priority);
                    return Err(Reason::Overloaded);
                }
                Decision::Wait { shed } => {
                    state.record_admission(options.priority);
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

    /// Limits the rate at which requests start, or ends that limit.
    pub fn set_rate(&self, rate: Option<Rate>) {
        let now = Instant::now();
        let mut state = self.state();
        let is_new = state.pacer.is_none() && rate.is_some();
        match (&mut state.pacer, rate) {
            (Some(pacer), Some(rate)) => pacer.bucket.set_rate(rate, now),
            (pacer, rate) => {
                *pacer = rate.map(|rate| Pacer {
                    bucket: Bucket::new(rate, now),
                    fairness: Fairness::default(),
                });
            }
        }
        state.start_waiting(now);
        drop(state);
        if is_new {
            self.wait_changed.notify_waiters();
        }
    }

    /// Time until a request that arrives now would get a token; zero if the rate is not limited.
    #[must_use]
    pub fn token_delay(&self) -> Duration {
        let state = self.state();
        let ahead = state.limit.waiting();
        let pacer = state.pacer.as_ref();
        pacer.map_or(Duration::ZERO, |pacer| {
            pacer.bucket.delay(Instant::now(), ahead)
        })
    }

    /// When a waiting request gets its token; `None` if the rate is not limited or all slots are
    /// taken.
    fn token_due(&self, ticket: Ticket) -> Option<Instant> {
        let now = Instant::now();
        let state = self.state();
        let pacer = state.pacer.as_ref()?;
        let ahead = state.limit.ahead_of(ticket)?;
        let due = now.checked_add(pacer.bucket.delay(now, ahead))?;
        state.limit.has_free_slot().then_some(due)
    }

    /// Releases a slot and wakes the request that gets it.
    fn release(&self) {
        let now = Instant::now();
        let mut state = self.state();
        state.refresh_allowance(now);
        match state.limit.release() {
            Some(ticket) => {
                state.record_start(now);
                state.wake(ticket, Signal::Run);
            }
            None if state.limit.waiting() > 0 => self.wait_changed.notify_waiters(),
            None => {}
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
        let started = tokio::time::timeout(timeout, self.started(signal)).await;
        match started {
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

    /// Waits for the signal. When its token is due, it starts whoever is first in the queue: unlike
    /// a slot, a token is not released by another request.
    async fn started(
        &self,
        mut signal: oneshot::Receiver<Signal>,
    ) -> Result<Signal, oneshot::error::RecvError> {
        loop {
            let wait_changed = self.queue.wait_changed.notified();
            let due = self.queue.token_due(self.ticket);
            let token = tokio::time::sleep_until(due.unwrap_or_else(Instant::now).into());
            tokio::select! {
                signal = &mut signal => return signal,
                () = token, if due.is_some() => {
                    self.queue.state().start_waiting(Instant::now());
                }
                () = wait_changed => {}
            }
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
