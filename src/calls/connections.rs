//! Which of its callers' connections a daemon keeps.
//!
//! A host has a bounded number of descriptors, and callers keep connections open between their
//! requests. [`Connections`] bounds how many are open: for a new one the one that has been idle
//! longest is closed. It is a plain state machine over id numbers; the server closes the
//! connections that it names.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::connections::{Connections, Decision};
//!
//! let now = Instant::now();
//! let later = now + Duration::from_secs(1);
//! let mut connections = Connections::new(2);
//! assert_eq!(connections.open(now), Decision::Accept { id: 1, evicted: None });
//! assert_eq!(connections.open(now), Decision::Accept { id: 2, evicted: None });
//! connections.begin(1);
//! assert_eq!(connections.open(later), Decision::Accept { id: 3, evicted: Some(2) });
//! ```

use std::time::Instant;

/// Number of a connection at its daemon.
pub type Id = u64;

/// What becomes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is taken.
    Accept {
        /// Its id.
        id: Id,
        /// The idle connection that makes room for it and is to be closed.
        evicted: Option<Id>,
    },
    /// Every connection carries a request: it waits until one is idle or has ended.
    Full,
}

/// An open connection.
#[derive(Debug, Clone, Copy)]
struct Connection {
    id: Id,
    /// Requests under way on it.
    requests: u32,
    idle_since: Instant,
}

/// Callers' open connections.
#[derive(Debug)]
pub struct Connections {
    capacity: usize,
    last_id: Id,
    /// Sorted by id.
    open: Vec<Connection>,
}

impl Connections {
    /// No connections yet, and at capacity `capacity` later.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_id: 0,
            open: Vec::new(),
        }
    }

    /// How many are open.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.open.len()
    }

    /// Asks for a place for a new connection.
    ///
    /// Guards against callers that hold idle connections until no descriptor is left: the daemon
    /// could accept nobody, and new callers would wait for a time-out beside an idle process.
    pub fn open(&mut self, now: Instant) -> Decision {
        let mut evicted = None;
        if self.open.len() >= self.capacity {
            let Some(index) = self.longest_idle() else {
                return Decision::Full;
            };
            evicted = Some(self.open.remove(index).id);
        }
        self.last_id += 1;
        self.open.push(Connection {
            id: self.last_id,
            requests: 0,
            idle_since: now,
        });
        Decision::Accept {
            id: self.last_id,
            evicted,
        }
    }

    /// Notes that a request begins on a connection; `false` when its place was given away.
    pub fn begin(&mut self, id: Id) -> bool {
        let connection = self.find(id);
        connection
            .map(|connection| connection.requests += 1)
            .is_some()
    }

    /// Notes that the answer to a request has been sent, or was given up.
    pub fn end(&mut self, id: Id, now: Instant) {
        if let Some(connection) = self.find(id) {
            connection.requests = connection.requests.saturating_sub(1);
            connection.idle_since = now;
        }
    }

    /// Notes that a connection is gone.
    pub fn close(&mut self, id: Id) {
        if let Ok(index) = self.index_of(id) {
            self.open.remove(index);
        }
    }

    fn longest_idle(&self) -> Option<usize> {
        let idle = self.open.iter().enumerate();
        idle.filter(|(_, connection)| connection.requests == 0)
            .min_by_key(|(_, connection)| connection.idle_since)
            .map(|(index, _)| index)
    }

    fn index_of(&self, id: Id) -> Result<usize, usize> {
        self.open
            .binary_search_by_key(&id, |connection| connection.id)
    }

    fn find(&mut self, id: Id) -> Option<&mut Connection> {
        let index = self.index_of(id).ok()?;
        self.open.get_mut(index)
    }
}
