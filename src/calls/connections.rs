//! Limit on callers' open connections.
//!
//! A host has a limited number of file descriptors, and callers keep connections open between
//! requests. [`Connections`] limits how many are open: a new connection evicts the one that has
//! been idle longest. It is a state machine without I/O; the server closes the evicted connections.
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

/// Number of a connection, unique on its listener.
pub type Id = u64;

/// Decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The connection is accepted.
    Accept {
        /// Its identifier.
        id: Id,
        /// The idle connection that was evicted for it and is to be closed.
        evicted: Option<Id>,
    },
    /// Every open connection carries a request; the new one waits until one is idle or closed.
    Full,
}

/// An open connection.
#[derive(Debug, Clone, Copy)]
struct Connection {
    id: Id,
    /// Requests in progress.
    requests: u32,
    idle_since: Instant,
}

/// Open connections of callers.
#[derive(Debug)]
pub struct Connections {
    capacity: usize,
    last_id: Id,
    /// Sorted by id.
    open: Vec<Connection>,
}

impl Connections {
    /// Creates an empty set with room for `capacity` connections.
    #[must_use]
    pub const fn new(capacity: usize) -> Self {
        Self {
            capacity,
            last_id: 0,
            open: Vec::new(),
        }
    }

    /// Number of open connections.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.open.len()
    }

    /// Registers a new connection, evicting an idle one if the set is full.
    ///
    /// Guards against idle connections that use up all file descriptors: an idle daemon could not
    /// accept new callers, and these would time out.
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

    /// Records the start of a request; `false` if the connection has been evicted.
    pub fn begin(&mut self, id: Id) -> bool {
        let connection = self.find(id);
        connection
            .map(|connection| connection.requests += 1)
            .is_some()
    }

    /// Records that the response to a request has been sent or abandoned.
    pub fn end(&mut self, id: Id, now: Instant) {
        if let Some(connection) = self.find(id) {
            connection.requests = connection.requests.saturating_sub(1);
            connection.idle_since = now;
        }
    }

    /// Removes a closed connection.
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
