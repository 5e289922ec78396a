//! Telling the other daemons which targets ended under which requests, and how roll-outs stand.
//!
//! What is new goes on at once to a few members drawn at random, who do the same: a fleet of 4,000 has heard
//! of it after six steps. Each probe carries a hash of everything that its sender knows, so that who missed
//! it, was cut off or frozen is told by whomever it speaks to next.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::membership::datagram::Probe;
use crate::membership::probe::{Membership, State};
use crate::membership::view::Send;
use crate::quarantine::crash::Crash;
use crate::rollout::counters::Report;
use crate::rollout::progress::Progress;
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
        let pages = pages(crashes);
        self.spread(pages.into_iter().map(Probe::Crashes).collect())
            .await;
    }

    /// Passes roll-outs on to a few members.
    pub async fn pass_on_rollouts(&self, news: Vec<Progress>) {
        let pages = pages(news);
        self.spread(pages.into_iter().map(Probe::Rollouts).collect())
            .await;
    }

    /// Tells one that decides on a roll-out how the co-located target answers.
    pub async fn report(&self, peer: SocketAddr, report: Report) {
        let send = {
            let mut guard = self.state();
            self.refresh(&mut guard);
            guard.view.bare(peer, Probe::Report(report))
        };
        self.send(vec![send]).await;
    }

    /// Sends something to a few members drawn at random.
    async fn spread(&self, probes: Vec<Probe>) {
        let sends = {
            let mut guard = self.state();
            self.refresh(&mut guard);
            let State { view, rng, .. } = &mut *guard;
            let receivers = view.draw_live(FANOUT, rng);
            let sends = receivers.into_iter().flat_map(|peer| {
                let probes = probes.iter().cloned();
                probes.map(move |probe| (peer, probe))
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
        let crashes = self.board().quarantine.snapshot();
        let rollouts = self.board().rollouts.snapshot();
        let mut guard = self.state();
        let told = guard.reconciled;
        let soon = told.is_some_and(|told| now.saturating_duration_since(told) < PAUSE);
        if soon || crashes.is_empty() && rollouts.is_empty() {
            return Vec::new();
        }
        guard.reconciled = Some(now);
        let crashes = pages(crashes).into_iter().map(Probe::Crashes);
        let rollouts = pages(rollouts).into_iter().map(Probe::Rollouts);
        crashes
            .chain(rollouts)
            .map(|probe| guard.view.datagram(peer, probe))
            .collect()
    }
}

/// What is told in parts that fit into a datagram each.
fn pages<T: Serialize>(all: Vec<T>) -> Vec<Vec<T>> {
    let mut pages: Vec<Vec<T>> = Vec::new();
    let mut room = 0;
    for one in all {
        let size = wire::encode(&one).len();
        match pages.last_mut() {
            Some(page) if size <= room => page.push(one),
            _ => {
                pages.push(vec![one]);
                room = PAGE;
            }
        }
        room = room.saturating_sub(size);
    }
    pages
}
