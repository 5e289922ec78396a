//! Admission of callers' connections on one address.
//!
//! [`Connections`] decides which connections are accepted or evicted. A [`Connection`] and an
//! [`ActiveRequest`] are guards that release on drop, so that every way in which a connection ends
//! frees its place.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::Notify;

use crate::calls::connections::{Connections, Decision, Id};

/// Callers connected on one address.
#[derive(Debug)]
pub struct Callers {
    state: Mutex<State>,
    /// Notified when a connection has closed or a request has ended.
    freed: Notify,
}

#[derive(Debug)]
struct State {
    connections: Connections,
    /// Sorted by id.
    evictions: Vec<(Id, Arc<Notify>)>,
}

impl Callers {
    /// Allows up to `capacity` connections.
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

    /// Admits an accepted connection; waits while all places are taken by busy connections.
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
            state.evict(evicted);
        }
        let eviction = Arc::new(Notify::new());
        state.evictions.push((id, Arc::clone(&eviction)));
        Some(Connection {
            guard: ConnectionGuard {
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

impl State {
    fn evict(&self, id: Id) {
        if let Ok(index) = self.evictions.binary_search_by_key(&id, |c| c.0) {
            metrics::counter!("jackdaw_idle_connections_closed_total").increment(1);
            self.evictions[index].1.notify_one();
        }
    }
}

/// An admitted connection; its place is freed on drop.
#[derive(Debug)]
pub struct Connection {
    guard: ConnectionGuard,
    eviction: Arc<Notify>,
}

impl Connection {
    /// Returns the counter for this connection's requests.
    #[must_use]
    pub fn requests(&self) -> RequestCounter {
        RequestCounter {
            callers: Arc::clone(&self.guard.callers),
            id: self.guard.id,
        }
    }

    /// Waits until the connection is evicted. Once it lingers, it may be evicted again.
    pub async fn evicted(&self) {
        self.eviction.notified().await;
    }

    /// Records that the connection lingers, which may evict another one.
    pub fn linger(&self) {
        let mut state = self.guard.callers.state();
        let evicted = state.connections.linger(self.guard.id, Instant::now());
        if let Some(evicted) = evicted {
            state.evict(evicted);
        }
    }
}

#[derive(Debug)]
struct ConnectionGuard {
    callers: Arc<Callers>,
    id: Id,
}

impl Drop for ConnectionGuard {
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

/// Counts the requests of one connection.
#[derive(Debug, Clone)]
pub struct RequestCounter {
    callers: Arc<Callers>,
    id: Id,
}

impl RequestCounter {
    /// Counts a request until the returned guard is dropped.
    #[must_use]
    pub fn begin(&self) -> ActiveRequest {
        // A request that arrives while its connection is being evicted is answered like any other.
        self.callers.state().connections.begin(self.id);
        ActiveRequest {
            counter: self.clone(),
        }
    }
}

/// Guard that counts one request.
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
