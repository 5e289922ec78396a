//! Fetches of a version that are under way.
//!
//! Mostly one is enough. Another peer is asked as well when the last one that was asked has not answered
//! for a while, since it may be frozen or gone.

use std::net::SocketAddr;
use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

/// Time after which another peer is asked as well: many times what a fetch takes.
const HEDGE_DELAY: Duration = Duration::from_millis(250);
/// Fetches under way at the same time.
const MAX_IN_FLIGHT: usize = 8;

/// The fetches of one daemon.
#[derive(Debug, Default)]
pub struct Fetches(Mutex<Vec<Fetch>>);

#[derive(Debug, Clone, Copy)]
struct Fetch {
    peer: SocketAddr,
    started_at: Instant,
}

impl Fetches {
    /// Begins a fetch from `peer` at `now`, which ends when the returned value is dropped; `None` where those
    /// under way are enough.
    pub fn try_begin(&self, peer: SocketAddr, now: Instant) -> Option<InFlight<'_>> {
        let mut under_way = self.in_flight();
        let asked = under_way.iter().any(|fetch| fetch.peer == peer);
        let recent = |fetch: &Fetch| now.saturating_duration_since(fetch.started_at) < HEDGE_DELAY;
        if asked || under_way.len() >= MAX_IN_FLIGHT || under_way.iter().any(recent) {
            return None;
        }
        under_way.push(Fetch {
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

/// A fetch that is under way.
#[derive(Debug)]
pub struct InFlight<'a> {
    fetches: &'a Fetches,
    peer: SocketAddr,
}

impl Drop for InFlight<'_> {
    fn drop(&mut self) {
        let mut under_way = self.fetches.in_flight();
        under_way.retain(|fetch| fetch.peer != self.peer);
    }
}
