//! Entries of a membership view, and the updates to be sent about them.
//!
//! An [`Entry`] is the latest known state of a member. Each change of an entry is sent a limited number of
//! times, piggybacked on the next datagrams.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::membership::member::{Health, Member};
use crate::units::{Slots, Version};

/// Times that an update is sent, as a multiple of the logarithm of the view's size.
const TRANSMIT_FACTOR: u32 = 3;
/// Most updates in one datagram.
const MAX_UPDATES: usize = 12;

/// A member with local bookkeeping.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Entry as it is sent.
    pub member: Member,
    /// Time of the last change of its health or incarnation.
    pub since: Instant,
    /// Highest configuration version that it is known to have run.
    pub highest_version: Version,
    /// Slots that a target offered last through it, also before a restart.
    pub slots: Option<Slots>,
    /// Times that it will still be sent.
    transmits_left: u32,
}

/// The other members, sorted by address.
#[derive(Debug, Default)]
pub struct Entries {
    all: Vec<Entry>,
}

impl Entries {
    /// All entries, gone members included.
    #[must_use]
    pub fn all(&self) -> &[Entry] {
        &self.all
    }

    /// Entry of one member.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<&Entry> {
        self.find(peer).ok().map(|index| &self.all[index])
    }

    /// Members that are not gone.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let members = self.all.iter().map(|entry| &entry.member);
        members.filter(|member| member.health.is_live())
    }

    /// Returns up to `count` members at random that are not gone, without `except`.
    pub fn sample_live(
        &self,
        count: usize,
        except: Option<SocketAddr>,
        rng: &mut SmallRng,
    ) -> Vec<SocketAddr> {
        let live = self.live().map(|member| member.peer);
        let mut peers: Vec<SocketAddr> = live.filter(|peer| Some(*peer) != except).collect();
        peers.shuffle(rng);
        peers.truncate(count);
        peers
    }

    /// Merges an entry, and sends it on if `is_sent_on`; returns whether it replaced an older one or was new.
    pub fn merge(&mut self, now: Instant, member: &Member, is_sent_on: bool) -> bool {
        let transmits_left = if is_sent_on { self.transmit_limit() } else { 0 };
        match self.find(member.peer) {
            Ok(index) => {
                let entry = &mut self.all[index];
                let old = (entry.member.incarnation, entry.member.health);
                if (member.incarnation, member.health) <= old {
                    return false;
                }
                let slots = member.offer.as_ref().map(|offer| offer.slots);
                entry.slots = slots.or(entry.slots);
                entry.member = member.clone();
                entry.since = now;
                entry.transmits_left = transmits_left;
            }
            Err(index) => {
                let entry = Entry {
                    member: member.clone(),
                    since: now,
                    highest_version: Version(0),
                    slots: member.offer.as_ref().map(|offer| offer.slots),
                    transmits_left,
                };
                self.all.insert(index, entry);
            }
        }
        true
    }

    /// Records the configuration version that a member has active.
    pub fn note_version(&mut self, peer: SocketAddr, version: Version) {
        if let Ok(index) = self.find(peer) {
            let entry = &mut self.all[index];
            entry.highest_version = entry.highest_version.max(version);
        }
    }

    /// Declares suspects gone after `suspicion_timeout` and drops gone members after `gone_retention`;
    /// returns whether any suspect was declared gone.
    pub fn expire(
        &mut self,
        now: Instant,
        suspicion_timeout: Duration,
        gone_retention: Duration,
    ) -> bool {
        let transmits_left = self.transmit_limit();
        let mut changed = false;
        for entry in &mut self.all {
            let age = now.saturating_duration_since(entry.since);
            if entry.member.health == Health::Suspect && age >= suspicion_timeout {
                entry.member.health = Health::Gone;
                entry.since = now;
                entry.transmits_left = transmits_left;
                changed = true;
            }
        }
        self.all.retain(|entry| {
            entry.member.health.is_live()
                || now.saturating_duration_since(entry.since) < gone_retention
        });
        changed
    }

    /// Takes the updates for a datagram to one member; they count as sent.
    pub fn updates(&mut self, to: SocketAddr) -> Vec<Member> {
        let mut updates = Vec::new();
        // A receiver that does not count as alive gets its own entry first, so that it can refute.
        if let Some(entry) = self.get(to)
            && entry.member.health != Health::Alive
        {
            updates.push(entry.member.clone());
        }
        // Updates that have been sent least often go first: when a whole data centre has come back, hundreds
        // of entries wait to be sent, and the failure of a member must not queue behind them.
        let waiting = self.all.iter().enumerate();
        let mut waiting: Vec<(Reverse<u32>, usize)> = waiting
            .filter(|(_, entry)| entry.transmits_left > 0 && entry.member.peer != to)
            .map(|(index, entry)| (Reverse(entry.transmits_left), index))
            .collect();
        waiting.sort_unstable();
        for (_, index) in waiting.into_iter().take(MAX_UPDATES) {
            self.all[index].transmits_left -= 1;
            updates.push(self.all[index].member.clone());
        }
        updates
    }

    fn find(&self, peer: SocketAddr) -> Result<usize, usize> {
        self.all
            .binary_search_by_key(&peer, |entry| entry.member.peer)
    }

    fn transmit_limit(&self) -> u32 {
        let size = self.all.len() + 2;
        TRANSMIT_FACTOR * size.ilog2().max(1)
    }
}
