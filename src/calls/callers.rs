//! Callers' connections on one address, and eviction an idle one for a new one.
//!
//! The decisions are those of [`Connections`]; a [`Connection`] and a request under way are values that
//! give themselves back when dropped, so that no way out of a connection leaks its place among them.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{Notify, oneshot};

use crate::calls::connections::{Connections, Decision, Id};

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
    /// Sorted by id.
    evictions: Vec<(Id, oneshot::Sender<()>)>,
}

impl Callers {
    /// Nobody yet, and at capacity `capacity` connections later.
    #[must_use]
    pub fn new(capacity: usize) -> Arc<Self> {
        Arc::new(Self {
            state: Mutex::new(State {
                connections: Connections::new(capacity),
                evictions: Vec::new(),
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
        let Decision::Accept { id, evicted } = state.connections.open(Instant::now()) else {
            return None;
        };
        if let Some(evicted) = evicted {
            metrics::counter!("jackdaw_idle_connections_closed_total").increment(1);
            if let Ok(index) = state.evictions.binary_search_by_key(&evicted, |c| c.0) {
                let _ = state.evictions.remove(index).1.send(());
            }
        }
        let (sender, eviction) = oneshot::channel();
        state.evictions.push((id, sender));
        Some(Connection {
            registration: Registration {
                callers: Arc::clone(self),
                id,
            },
            eviction,
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
    eviction: oneshot::Receiver<()>,
}

impl Connection {
    /// Notes requests of this connection.
    #[must_use]
    pub fn requests(&self) -> RequestCounter {
        RequestCounter {
            callers: Arc::clone(&self.registration.callers),
            id: self.registration.id,
        }
    }

    /// Waits until its place is given to another connection.
    pub async fn evicted(&mut self) {
        if (&mut self.eviction).await.is_err() {
            std::future::pending::<()>().await;
        }
    }
}

#[derive(Debug)]
struct Registration {
    callers: Arc<Callers>,
    id: Id,
}

impl Drop for Registration {
    fn drop(&mut self) {
        let mut state = self.callers.state();
        state.connections.close(self.id);
        if let Ok(index) = state.evictions.binary_search_by_key(&self.id, |c| c.0) {
            state.evictions.remove(index);
        }
        drop(state);
        self.callers.freed.notify_one();
    }
}

/// Notes the requests of one connection.
#[derive(Debug, Clone)]
pub struct RequestCounter {
    callers: Arc<Callers>,
    id: Id,
}

impl RequestCounter {
    /// Counts a request until the returned value is dropped.
    #[must_use]
    pub fn begin(&self) -> ActiveRequest {
        // A request that crosses the close of its connection is answered like any other.
        self.callers.state().connections.begin(self.id);
        ActiveRequest {
            counter: self.clone(),
        }
    }
}

/// Counts one request while it exists.
#[derive(Debug)]
pub struct ActiveRequest {
    counter: RequestCounter,
}

impl Drop for ActiveRequest {
    fn drop(&mut self) {
        let RequestCounter { callers, id } = &self.counter;
        callers.state().connections.end(*id, Instant::now());
        callers.freed.notify_one();
    }
}
