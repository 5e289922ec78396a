//! Requests in flight that fetch a version from a peer.
//!
//! One request is usually enough. If it has not been answered after a delay, another peer is asked as
//! well (a hedged request), since the first one may hang or be gone.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after which another peer is asked as well: many times the usual duration of a fetch.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Most fetches in flight at the same time.
const MAX_IN_FLIGHT: usize = 8;

/// Fetches in flight of one daemon.
#[derive(Debug, Default)]
pub struct Fetches(Mutex<Vec<Fetch>>);

#[derive(Debug, Clone, Copy)]
struct Fetch {
    peer: SocketAddr,
    started_at: Instant,
}

impl Fetches {
    /// Starts a fetch from `peer` at `now`, which ends when the returned value is dropped.
    ///
    /// Returns `None` if the peer is being asked already, if a fetch started recently, or if too many are in
    /// flight.
    pub fn try_begin(&self, peer: SocketAddr, now: Instant) -> Option<InFlight<'_>> {
        let mut in_flight = self.in_flight();
        let asked = in_flight.iter().any(|fetch| fetch.peer == peer);
        let recent = |fetch: &Fetch| now.saturating_duration_since(fetch.started_at) < HEDGE_DELAY;
        if asked || in_flight.len() >= MAX_IN_FLIGHT || in_flight.iter().any(recent) {
            return None;
        }
        in_flight.push(Fetch {
            peer,
            started_at: now,
        });
        Some(InFlight {
            fetches: self,
            peer,
        })
    }

    fn in_flight(&self) -> MutexGuard<'_, Vec<Fetch>> {
        self.0.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// A fetch in flight; removed from its [`Fetches`] when dropped.
#[derive(Debug)]
pub struct InFlight<'a> {
    fetches: &'a Fetches,
    peer: SocketAddr,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut in_flight = self.fetches.in_flight();
        in_flight.retain(|fetch| fetch.peer != self.peer);
    }
}
