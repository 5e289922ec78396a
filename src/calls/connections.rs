//! Which of its callers' connections a daemon keeps.
//!
//! A host has a bounded number of descriptors, and callers keep connections open between their
//! requests. [`Connections`] bounds how many are open: for a new one the one that has been idle
//! longest is closed. It is a plain state machine over ticket numbers; the server closes the
//! connections that it names.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::connections::{Connections, Decision};
//!
//! let now = Instant::now();
//! let later = now + Duration::from_secs(1);
//! let mut connections = Connections::new(2);
//! assert_eq!(connections.open(now), Decision::Accept { ticket: 1, closed: None });
//! assert_eq!(connections.open(now), Decision::Accept { ticket: 2, closed: None });
//! connections.begin(1);
//! assert_eq!(connections.open(later), Decision::Accept { ticket: 3, closed: Some(2) });
//! ```

use std::time::Instant;

/// Number of a connection at its daemon.
pub type Ticket = u64;

/// What becomes of a new connection.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Decision {
    /// It is taken.
    Accept {
        /// Its ticket.
        ticket: Ticket,
        /// The idle connection that makes room for it and is to be closed.
        closed: Option<Ticket>,
    },
    /// Every connection carries a request: it waits until one is idle or has ended.
    Full,
}

/// An open connection.
#[derive(Debug, Clone, Copy)]
struct Open {
    ticket: Ticket,
    /// Requests under way on it.
    requests: u32,
    idle_since: Instant,
}

/// Callers' open connections.
#[derive(Debug)]
pub struct Connections {
    most: usize,
    last: Ticket,
    /// Sorted by ticket.
    open: Vec<Open>,
}

impl Connections {
    /// No connections yet, and at most `most` later.
    #[must_use]
    pub const fn new(most: usize) -> Self {
        Self {
            most,
            last: 0,
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
        let mut closed = None;
        if self.open.len() >= self.most {
            let Some(index) = self.longest_idle() else {
                return Decision::Full;
            };
            closed = Some(self.open.remove(index).ticket);
        }
        self.last += 1;
        self.open.push(Open {
            ticket: self.last,
            requests: 0,
            idle_since: now,
        });
        Decision::Accept {
            ticket: self.last,
            closed,
        }
    }

    /// Notes that a request begins on a connection; `false` when its place was given away.
    pub fn begin(&mut self, ticket: Ticket) -> bool {
        let open = self.find(ticket);
        open.map(|open| open.requests += 1).is_some()
    }

    /// Notes that the answer to a request has been sent, or was given up.
    pub fn end(&mut self, ticket: Ticket, now: Instant) {
        if let Some(open) = self.find(ticket) {
            open.requests = open.requests.saturating_sub(1);
            open.idle_since = now;
        }
    }

    /// Notes that a connection is gone.
    pub fn close(&mut self, ticket: Ticket) {
        if let Ok(index) = self.place(ticket) {
            self.open.remove(index);
        }
    }

    fn longest_idle(&self) -> Option<usize> {
        let idle = self.open.iter().enumerate();
        idle.filter(|(_, open)| open.requests == 0)
            .min_by_key(|(_, open)| open.idle_since)
            .map(|(index, _)| index)
    }

    fn place(&self, ticket: Ticket) -> Result<usize, usize> {
        self.open.binary_search_by_key(&ticket, |open| open.ticket)
    }

    fn find(&mut self, ticket: Ticket) -> Option<&mut Open> {
        let index = self.place(ticket).ok()?;
        self.open.get_mut(index)
    }
}
