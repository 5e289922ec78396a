//! Propagation of target crashes and rollout states to the other daemons.
//!
//! An update is sent at once to a few members chosen at random, which do the same: it reaches a fleet of 4,000
//! in six steps. Each datagram carries a hash of everything that its sender knows. A daemon that missed an
//! update, was partitioned off or was paused gets it from the next daemon that it exchanges datagrams with.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use serde::Serialize;

use crate::membership::controller::{Membership, State};
use crate::membership::datagram::Message;
use crate::membership::view::Send;
use crate::quarantine::crash::Crash;
use crate::quota;
use crate::rollout::counters::Report;
use crate::rollout::progress::Progress;
use crate::wire;

/// Members that each daemon sends an update to. By calculation all but two in a hundred daemons receive it this
/// way, at four small datagrams per daemon, and those two by a probe.
const FANOUT: usize = 4;
/// Bytes of crashes or rollouts in one datagram; the rest is for the sender's own entry.
const MAX_PAGE_BYTES: usize = 1_100;
/// Shortest time between two full synchronizations by a daemon, of at most 256 crashes each and mostly a few.
const SYNC_INTERVAL: Duration = Duration::from_secs(1);

impl Membership {
    /// Sends crashes of targets to a few members.
    pub async fn gossip_crashes(&self, crashes: Vec<Crash>) {
        let pages = pages(crashes);
        self.send_to_random(pages.into_iter().map(Message::Crashes).collect())
            .await;
    }

    /// Sends rollout states to a few members.
    pub async fn gossip_rollouts(&self, updates: Vec<Progress>) {
        let pages = pages(updates);
        self.send_to_random(pages.into_iter().map(Message::Rollouts).collect())
            .await;
    }

    /// Sends a report on the co-located target's responses to the coordinator of a rollout.
    pub async fn report(&self, peer: SocketAddr, report: Report) {
        let send = {
            let mut guard = self.state();
            self.refresh_view(&mut guard);
            guard.view.bare_datagram(peer, Message::Report(report))
        };
        self.send(vec![send]).await;
    }

    /// Sends messages of the quotas to their receivers.
    pub async fn send_quota(&self, messages: Vec<(SocketAddr, quota::messages::Message)>) {
        if messages.is_empty() {
            return;
        }
        let sends = {
            let mut guard = self.state();
            self.refresh_view(&mut guard);
            let messages = messages.into_iter();
            let datagram = |(to, message)| guard.view.bare_datagram(to, Message::Quota(message));
            messages.map(datagram).collect()
        };
        self.send(sends).await;
    }

    /// Sends messages to a few members chosen at random.
    async fn send_to_random(&self, messages: Vec<Message>) {
        let sends = {
            let mut guard = self.state();
            self.refresh_view(&mut guard);
            let State { view, rng, .. } = &mut *guard;
            let receivers = view.sample_live(FANOUT, rng);
            let sends = receivers.into_iter().flat_map(|peer| {
                let messages = messages.iter().cloned();
                messages.map(move |message| (peer, message))
            });
            let sends: Vec<(SocketAddr, Message)> = sends.collect();
            let sends = sends.into_iter();
            sends
                .map(|(to, message)| view.datagram(to, message))
                .collect()
        };
        self.send(sends).await;
    }

    /// Builds datagrams with all crashes and rollouts that this daemon knows, for a peer that knows others;
    /// none within [`SYNC_INTERVAL`] of the last ones to any peer. The peer does the same, after which both know
    /// the same.
    pub(super) fn full_sync(&self, peer: SocketAddr) -> Vec<Send> {
        let now = Instant::now();
        let crashes = self.shared().quarantine.snapshot();
        let rollouts = self.shared().rollouts.snapshot();
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
            .map(|message| guard.view.datagram(peer, message))
            .collect()
    }
}

/// Splits items into pages that fit into one datagram each.
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
