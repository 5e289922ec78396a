//! Telling the other daemons which targets ended under which requests.
//!
//! What is new goes on at once to a few members drawn at random, who do the same: a fleet of 4,000 has heard
//! of it after six steps. Each probe carries a hash of everything that its sender knows, so that who missed
//! it, was cut off or frozen is told by whomever it speaks to next.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::crash::Crash;
use crate::datagram::Probe;
use crate::probe::{Membership, State};
use crate::view::Send;
use crate::wire;

/// Members that hear of an end from each daemon. By reckoning all but two in a hundred hear of it this way, at
/// four small datagrams a daemon, and those two by a probe.
const FANOUT: usize = 4;
/// Bytes of ends in one datagram; the rest is for its sender's own entry.
const PAGE: usize = 1_100;
/// Time between two times that a daemon tells everything it knows: at most 256 ends, and mostly a few.
const PAUSE: Duration = Duration::from_secs(1);

impl Membership {
    /// Passes ends of targets on to a few members.
    pub async fn pass_on(&self, crashes: Vec<Crash>) {
        let sends = {
            let mut guard = self.state();
            self.refresh(&mut guard);
            let State { view, rng, .. } = &mut *guard;
            let receivers = view.draw_live(FANOUT, rng);
            let pages = pages(crashes);
            let sends = receivers.into_iter().flat_map(|peer| {
                let pages = pages.iter().cloned();
                pages.map(move |page| (peer, Probe::Crashes(page)))
            });
            let sends: Vec<(SocketAddr, Probe)> = sends.collect();
            let sends = sends.into_iter();
            sends.map(|(to, probe)| view.datagram(to, probe)).collect()
        };
        self.send(sends).await;
    }

    /// Tells a peer that knows something else everything that this daemon knows, unless it has told
    /// somebody a moment ago. The peer does the same, so both know the same then.
    pub(super) fn reconcile(&self, peer: SocketAddr) -> Vec<Send> {
        let now = Instant::now();
        let crashes = self.board().quarantine.told();
        let mut guard = self.state();
        let told = guard.reconciled;
        let soon = told.is_some_and(|told| now.saturating_duration_since(told) < PAUSE);
        if soon || crashes.is_empty() {
            return Vec::new();
        }
        guard.reconciled = Some(now);
        let pages = pages(crashes).into_iter();
        pages
            .map(|page| guard.view.datagram(peer, Probe::Crashes(page)))
            .collect()
    }
}

/// Ends in parts that fit into a datagram each.
fn pages(crashes: Vec<Crash>) -> Vec<Vec<Crash>> {
    let mut pages: Vec<Vec<Crash>> = Vec::new();
    let mut room = 0;
    for crash in crashes {
        let size = wire::encode(&crash).len();
        match pages.last_mut() {
            Some(page) if size <= room => page.push(crash),
            _ => {
                pages.push(vec![crash]);
                room = PAGE;
            }
        }
        room = room.saturating_sub(size);
    }
    pages
}
