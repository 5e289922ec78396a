//! The entries of a membership view, and the news among them.
//!
//! An [`Entry`] is the latest word about a member. Each change of one is passed on a few times,
//! with whatever datagram is sent next.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::membership::member::{Health, Member};
use crate::units::{Slots, Version};

/// Times that news is passed on, as a multiple of the logarithm of the view's size.
const TRANSMIT_FACTOR: u32 = 3;
/// Most news in one datagram.
const MAX_UPDATES: usize = 12;

/// A member with what the view knows beside its entry.
#[derive(Debug, Clone)]
pub struct Entry {
    /// Entry as it travels.
    pub member: Member,
    /// When its health or incarnation changed last.
    pub since: Instant,
    /// Highest version it is known to have run.
    pub highest_version: Version,
    /// Slots that a target offered last through it, in any of its lives.
    pub slots: Option<Slots>,
    /// Times that it will still be passed on.
    transmits_left: u32,
}

/// The other members, sorted by address.
#[derive(Debug, Default)]
pub struct Entries {
    all: Vec<Entry>,
}

impl Entries {
    /// All of them, gone ones included.
    #[must_use]
    pub fn all(&self) -> &[Entry] {
        &self.all
    }

    /// The entry of one member.
    #[must_use]
    pub fn get(&self, peer: SocketAddr) -> Option<&Entry> {
        self.find(peer).ok().map(|index| &self.all[index])
    }

    /// The members that are not gone.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        let members = self.all.iter().map(|entry| &entry.member);
        members.filter(|member| member.health.is_live())
    }

    /// Draws up to `count` members that are not gone.
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

    /// Takes a member's word in; `true` when it was news.
    pub fn merge(&mut self, now: Instant, member: &Member) -> bool {
        let sends = self.transmit_limit();
        match self.find(member.peer) {
            Ok(index) => {
                let entry = &mut self.all[index];
                let old = (entry.member.incarnation, entry.member.health);
                if (member.incarnation, member.health) <= old {
                    return false;
                }
                let offered = member.offer.as_ref().map(|offer| offer.slots);
                entry.slots = offered.or(entry.slots);
                entry.member = member.clone();
                entry.since = now;
                entry.transmits_left = sends;
            }
            Err(index) => {
                let entry = Entry {
                    member: member.clone(),
                    since: now,
                    highest_version: Version(0),
                    slots: member.offer.as_ref().map(|offer| offer.slots),
                    transmits_left: sends,
                };
                self.all.insert(index, entry);
            }
        }
        true
    }

    /// Notes what version a member has in force.
    pub fn note_version(&mut self, peer: SocketAddr, version: Version) {
        if let Ok(index) = self.find(peer) {
            let entry = &mut self.all[index];
            entry.highest_version = entry.highest_version.max(version);
        }
    }

    /// Lets suspects go after `suspicion`, and forgets who is gone after `memory`; whether any went.
    pub fn expire(&mut self, now: Instant, suspicion: Duration, memory: Duration) -> bool {
        let sends = self.transmit_limit();
        let mut changed = false;
        for entry in &mut self.all {
            let age = now.saturating_duration_since(entry.since);
            if entry.member.health == Health::Suspect && age >= suspicion {
                entry.member.health = Health::Gone;
                entry.since = now;
                entry.transmits_left = sends;
                changed = true;
            }
        }
        self.all.retain(|entry| {
            entry.member.health.is_live() || now.saturating_duration_since(entry.since) < memory
        });
        changed
    }

    /// News for one member, which counts as passed on.
    pub fn updates(&mut self, to: SocketAddr) -> Vec<Member> {
        let mut news = Vec::new();
        // The receiver hears first what is said against it, so that it can refute.
        if let Some(entry) = self.get(to)
            && entry.member.health != Health::Alive
        {
            news.push(entry.member.clone());
        }
        // Guards against a queue: after a whole data centre has come back hundreds of entries wait
        // to be passed on, and a death in their midst must not wait for all of them. What has
        // been passed on least goes first.
        let waiting = self.all.iter().enumerate();
        let mut waiting: Vec<(Reverse<u32>, usize)> = waiting
            .filter(|(_, entry)| entry.transmits_left > 0 && entry.member.peer != to)
            .map(|(index, entry)| (Reverse(entry.transmits_left), index))
            .collect();
        waiting.sort_unstable();
        for (_, index) in waiting.into_iter().take(MAX_UPDATES) {
            self.all[index].transmits_left -= 1;
            news.push(self.all[index].member.clone());
        }
        news
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
