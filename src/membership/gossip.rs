//! Telling the other daemons which targets ended under which requests, and how roll-outs stand.
//!
//! What is new goes on at once to a few members drawn at random, who do the same: a fleet of 4,000 has heard
//! of it after six steps. Each probe carries a hash of everything that its sender knows, so that who missed
//! it, was cut off or frozen is told by whomever it speaks to next.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::membership::controller::{Membership, State};
use crate::membership::datagram::Message;
use crate::membership::view::Send;
use crate::quarantine::crash::Crash;
use crate::rollout::progress::Progress;
use crate::rollout::tally::Report;
use crate::wire;

/// Members that hear of an end from each daemon. By reckoning all but two in a hundred hear of it this way, at
/// four small datagrams a daemon, and those two by a probe.
const FANOUT: usize = 4;
/// Bytes of ends in one datagram; the rest is for its sender's own entry.
const MAX_PAGE_BYTES: usize = 1_100;
/// Time between two times that a daemon tells everything it knows: at most 256 ends, and mostly a few.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

impl Membership {
    /// Passes ends of targets on to a few members.
    pub async fn gossip_crashes(&self, crashes: Vec<Crash>) {
        let pages = pages(crashes);
        self.send_to_random(pages.into_iter().map(Message::Crashes).collect())
            .await;
    }

    /// Passes roll-outs on to a few members.
    pub async fn gossip_rollouts(&self, updates: Vec<Progress>) {
        let pages = pages(updates);
        self.send_to_random(pages.into_iter().map(Message::Rollouts).collect())
            .await;
    }

    /// Tells one that decides on a roll-out how the co-located target answers.
    pub async fn report(&self, peer: SocketAddr, report: Report) {
        let send = {
            let mut guard = self.state();
            self.refresh_view(&mut guard);
            guard.view.bare_datagram(peer, Message::Report(report))
        };
        self.send(vec![send]).await;
    }

    /// Sends something to a few members drawn at random.
    async fn send_to_random(&self, probes: Vec<Message>) {
        let sends = {
            let mut guard = self.state();
            self.refresh_view(&mut guard);
            let State { view, rng, .. } = &mut *guard;
            let receivers = view.sample_live(FANOUT, rng);
            let sends = receivers.into_iter().flat_map(|peer| {
                let probes = probes.iter().cloned();
                probes.map(move |probe| (peer, probe))
            });
            let sends: Vec<(SocketAddr, Message)> = sends.collect();
            let sends = sends.into_iter();
            sends.map(|(to, probe)| view.datagram(to, probe)).collect()
        };
        self.send(sends).await;
    }

    /// Tells a peer that knows something else everything that this daemon knows, unless it has told
    /// somebody a moment ago. The peer does the same, so both know the same then.
    pub(super) fn full_sync(&self, peer: SocketAddr) -> Vec<Send> {
        let now = Instant::now();
        let crashes = self.board().quarantine.told();
        let rollouts = self.board().rollouts.told();
        let mut guard = self.state();
        let last = guard.last_full_sync;
        let too_soon = last.is_some_and(|last| now.saturating_duration_since(last) < SYNC_INTERVAL);
        if too_soon || crashes.is_empty() && rollouts.is_empty() {
            return Vec::new();
        }
        guard.last_full_sync = Some(now);
        let crashes = pages(crashes).into_iter().map(Message::Crashes);
        let rollouts = pages(rollouts).into_iter().map(Message::Rollouts);
        crashes
            .chain(rollouts)
            .map(|probe| guard.view.datagram(peer, probe))
            .collect()
    }
}

/// What is told in parts that fit into a datagram each.
fn pages<T: Serialize>(items: Vec<T>) -> Vec<Vec<T>> {
    let mut pages: Vec<Vec<T>> = Vec::new();
    let mut space_left = 0;
    for item in items {
        let size = wire::encode(&item).len();
        match pages.last_mut() {
            Some(page) if size <= space_left => page.push(item),
            _ => {
                pages.push(vec![item]);
                space_left = MAX_PAGE_BYTES;
            }
        }
        space_left = space_left.saturating_sub(size);
    }
    pages
}
