//! Limit on callers' open connections.
//!
//! A host has a limited number of file descriptors, and callers keep connections open between
//! requests. [`Connections`] limits how many are open: a new connection evicts the one that has
//! been idle longest. It is a state machine without I/O; the server closes the evicted connections.
//!
//! A connection that [lingers](crate::linger) keeps its place. Evicting it may lose a response, while
//! an idle connection costs its caller a new one, so a part of the places is left to lingering
//! connections. Beyond that part they are evicted first, so that callers who do not close their
//! connections after a refusal take no places of others.
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

/// Divisor of the capacity: idle connections are evicted first while at most that part lingers.
const LINGERING_DIVISOR: usize = 8;

/// Number of a connection, unique on its listener.
pub type Id = u64;

/// Decision on a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// The connection is accepted.
    Accept {
        /// Its identifier.
        id: Id,
        /// The idle or lingering connection that was evicted for it and is to be closed.
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
    /// When the last request ended or the connection began to linger.
    idle_since: Instant,
    is_lingering: bool,
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

    /// Number of open connections, lingering ones included.
    #[must_use]
    pub const fn count(&self) -> usize {
        self.open.len()
    }

    /// Registers a new connection, evicting an idle or lingering one if the set is full.
    ///
    /// Guards against idle connections that use up all file descriptors: an idle daemon could not
    /// accept new callers, and these would time out.
    pub fn open(&mut self, now: Instant) -> Decision {
        let mut evicted = None;
        if self.open.len() >= self.capacity {
            let lingering = self.longest(true);
            let victim = if self.has_reserve() {
                self.longest(false).or(lingering)
            } else {
                lingering
            };
            let Some(index) = victim else {
                return Decision::Full;
            };
            evicted = Some(self.open.remove(index).id);
        }
        self.last_id += 1;
        self.open.push(Connection {
            id: self.last_id,
            requests: 0,
            idle_since: now,
            is_lingering: false,
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

    /// Records that a connection lingers; returns another one that is evicted for it.
    ///
    /// A connection that has been evicted while idle, so that its place is taken, exceeds the
    /// capacity within the part for lingering connections.
    pub fn linger(&mut self, id: Id, now: Instant) -> Option<Id> {
        let mut evicted = None;
        if self.find(id).is_none() {
            if self.open.len() >= self.capacity && !self.has_reserve() {
                evicted = self.longest(true).map(|index| self.open.remove(index).id);
            }
            let index = self.index_of(id).unwrap_or_else(|index| index);
            let connection = Connection {
                id,
                requests: 0,
                idle_since: now,
                is_lingering: true,
            };
            self.open.insert(index, connection);
        } else if let Some(connection) = self.find(id) {
            connection.idle_since = now;
            connection.is_lingering = true;
        }
        evicted
    }

    /// Removes a closed connection.
    pub fn close(&mut self, id: Id) {
        if let Ok(index) = self.index_of(id) {
            self.open.remove(index);
        }
    }

    /// Whether one more connection may linger before lingering ones are evicted first.
    fn has_reserve(&self) -> bool {
        let lingering = self
            .open
            .iter()
            .filter(|connection| connection.is_lingering);
        lingering.count() < (self.capacity / LINGERING_DIVISOR).max(1)
    }

    /// The connection without requests that has been idle, or has been lingering, for longest.
    fn longest(&self, is_lingering: bool) -> Option<usize> {
        let connections = self.open.iter().enumerate();
        connections
            .filter(|(_, connection)| connection.is_lingering == is_lingering)
            .filter(|(_, connection)| connection.requests == 0)
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
