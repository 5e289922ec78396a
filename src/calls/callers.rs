//! Callers' connections on one address, and closing an idle one for a new one.
//!
//! The decisions are those of [`Connections`]; a [`Connection`] and a request under way are values that
//! give themselves back when dropped, so that no way out of a connection leaks its place among them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{Notify, oneshot};

use crate::calls::connections::{Connections, Decision, Ticket};

/// Who is connected on one address.
#[derive(Debug)]
pub struct Callers {
    state: Mutex<State>,
    /// Told when a connection has ended or is idle again.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    /// Sorted by ticket.
    closers: Vec<(Ticket, oneshot::Sender<()>)>,
}

impl Callers {
    /// Nobody yet, and at most `most` connections later.
    #[must_use]
    pub fn new(most: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                connections: Connections::new(most),
                closers: Vec::new(),
            }),
            freed: Notify::new(),
        })
    }

    /// Admits a connection that has been accepted; waits while every other one carries a request.
    pub async fn admit(self: &Arc<Self>) -> Connection {
        loop {
            let freed = self.freed.notified();
            if let Some(connection) = self.try_admit() {
                return connection;
            }
            freed.await;
        }
    }

    fn try_admit(self: &Arc<Self>) -> Option<Connection> {
        let mut state = self.state();
        let Decision::Accept { ticket, closed } = state.connections.open(Instant::now()) else {
            return None;
        };
        if let Some(closed) = closed {
            metrics::counter!("jackdaw_idle_connections_closed_total").increment(1);
            if let Ok(index) = state.closers.binary_search_by_key(&closed, |c| c.0) {
                let _ = state.closers.remove(index).1.send(());
            }
        }
        let (closer, closing) = oneshot::channel();
        state.closers.push((ticket, closer));
        Some(Connection {
            registration: Registration {
                callers: Arc::clone(self),
                ticket,
            },
            closing,
        })
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A connection that was admitted; its place is free again when it is dropped.
#[derive(Debug)]
pub struct Connection {
    registration: Registration,
    closing: oneshot::Receiver<()>,
}

impl Connection {
    /// Notes requests of this connection.
    #[must_use]
    pub fn requests(&self) -> Requests {
        Requests {
            callers: Arc::clone(&self.registration.callers),
            ticket: self.registration.ticket,
        }
    }

    /// Waits until its place is given to another connection.
    pub async fn displaced(&mut self) {
        if (&mut self.closing).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

#[derive(Debug)]
struct Registration {
    callers: Arc<Callers>,
    ticket: Ticket,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.callers.state();
        state.connections.close(self.ticket);
        if let Ok(index) = state.closers.binary_search_by_key(&self.ticket, |c| c.0) {
            state.closers.remove(index);
        }
        drop(state);
        self.callers.freed.notify_one();
    }
}

/// Notes the requests of one connection.
#[derive(Debug, Clone)]
pub struct Requests {
    callers: Arc<Callers>,
    ticket: Ticket,
}

impl Requests {
    /// Counts a request until the returned value is dropped.
    #[must_use]
    pub fn begin(&self) -> UnderWay {
        // A request that crosses the close of its connection is answered like any other.
        self.callers.state().connections.begin(self.ticket);
        UnderWay {
            requests: self.clone(),
        }
    }
}

/// Counts one request while it exists.
#[derive(Debug)]
pub struct UnderWay {
    requests: Requests,
}

impl Drop for UnderWay {
    fn drop(&mut self) {
        let Requests { callers, ticket } = &self.requests;
        callers.state().connections.end(*ticket, Instant::now());
        callers.freed.notify_one();
    }
}
