//! Admission of callers' connections on one address.
//!
//! [`Connections`] decides which connections are accepted or evicted. A [`Connection`] and an
//! [`ActiveRequest`] are guards that release on drop, so that every way in which a connection ends
//! frees its place.

use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use tokio::sync::{Notify, oneshot};

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
    evictions: Vec<(Id, oneshot::Sender<()>)>,
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
            metrics::counter!("jackdaw_idle_connections_closed_total").increment(1);
            if let Ok(index) = state.evictions.binary_search_by_key(&evicted, |c| c.0) {
                let _ = state.evictions.remove(index).1.send(());
            }
        }
        let (sender, eviction) = oneshot::channel();
        state.evictions.push((id, sender));
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

/// An admitted connection; its place is freed on drop.
#[derive(Debug)]
pub struct Connection {
    guard: ConnectionGuard,
    eviction: oneshot::Receiver<()>,
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

    /// Waits until the connection is evicted.
    pub async fn evicted(&mut self) {
        if (&mut self.eviction).await.is_err() {
            std::future::pending::<()>().await;
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
