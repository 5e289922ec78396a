//! Entries of a membership view, and the updates to be sent about them.
//!
//! An [`Entry`] is the latest known state of a member. Each change of an entry is sent a limited number of
//! times, piggybacked on the next datagrams.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::membership::anti_entropy::{self, Filter, MAX_RESPONSE_ENTRIES};
use crate::membership::member::{Health, Member};
use crate::membership::target::{Departure, MAX_SHARED_DEPARTURES, merge_departure};
use crate::units::{Slots, Version};

/// Times that an update is sent, as a multiple of the logarithm of the view's size.
const TRANSMIT_FACTOR: u32 = 3;
/// Most updates in one datagram.
const MAX_UPDATES: usize = 12;
/// Transmissions that a daemon saves for each time that it receives an update which it knows already: the
/// more daemons know it, the fewer have to be told.
const DUPLICATE_COST: u32 = 3;
/// Time for which a change counts as recent in a response.
const RECENT: Duration = Duration::from_secs(15);
/// Time for which it counts as recent in a filter: the requester may have learnt of it earlier.
const RECENT_IN_FILTER: Duration = Duration::from_secs(20);
/// Time for which a response contains a departure. It is much shorter than the time after which departed
/// members are forgotten, so that these are not learnt again from a daemon that forgets them later.
const DEPARTURE_OFFERED: Duration = Duration::from_mins(1);

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
    /// Latest departures of its targets, also before a restart.
    pub departures: Vec<Departure>,
    /// When its last change was learnt; none if it was adopted with the view of a peer.
    learnt_at: Option<Instant>,
    /// Identifies the state that is known.
    fingerprint: u64,
    /// Times that it will still be sent.
    transmits_left: u32,
}

/// How an entry was received.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Origin {
    /// From its member, or with the updates of a datagram; it is sent on.
    Update,
    /// In a response to a request; other daemons request it as well.
    Response,
    /// With the view of a peer, which has spread it already.
    View,
}

impl Entry {
    /// Time since the last change of its health or incarnation.
    fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.since)
    }
}

/// The other members, sorted by address.
#[derive(Debug, Default)]
pub struct Entries {
    all: Vec<Entry>,
    /// Number of entries that will still be sent.
    waiting: usize,
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

    /// Merges an entry; returns whether it replaced an older one or was new.
    pub fn merge(&mut self, now: Instant, member: &Member, origin: Origin) -> bool {
        let transmits_left = match origin {
            Origin::Update => self.transmit_limit(),
            Origin::Response | Origin::View => 0,
        };
        let found = self.find(member.peer);
        if let Ok(index) = found {
            let entry = &self.all[index];
            let old = (entry.member.incarnation, entry.member.health);
            let new = (member.incarnation, member.health);
            if new == old && origin == Origin::Update {
                let left = entry.transmits_left.saturating_sub(DUPLICATE_COST);
                self.set_transmits(index, left);
            }
            if new <= old {
                return false;
            }
        }
        let slots = member.offer.as_ref().map(|offer| offer.slots);
        let mut entry = Entry {
            member: member.clone(),
            since: now,
            highest_version: Version(0),
            slots,
            departures: member.departures.clone(),
            learnt_at: (origin != Origin::View).then_some(now),
            fingerprint: anti_entropy::fingerprint(member),
            transmits_left: 0,
        };
        let index = match found {
            Ok(index) => {
                let old = &mut self.all[index];
                entry.highest_version = old.highest_version;
                entry.slots = slots.or(old.slots);
                entry.departures = std::mem::take(&mut old.departures);
                for departure in &member.departures {
                    let departures = &mut entry.departures;
                    merge_departure(departures, departure.clone(), MAX_SHARED_DEPARTURES);
                }
                entry.transmits_left = old.transmits_left;
                *old = entry;
                index
            }
            Err(index) => {
                self.all.insert(index, entry);
                index
            }
        };
        self.set_transmits(index, transmits_left);
        true
    }

    /// Filters of the entries that are known, `me` included; of those that changed recently if `is_recent`.
    #[must_use]
    pub fn filters(&self, now: Instant, me: &Member, is_recent: bool, salt: u64) -> Vec<Filter> {
        let entries = self.all.iter();
        let entries = entries.filter(|entry| !is_recent || entry.age(now) <= RECENT_IN_FILTER);
        let fingerprints = entries.map(|entry| entry.fingerprint);
        let fingerprints = fingerprints.chain([anti_entropy::fingerprint(me)]);
        let fingerprints: Vec<u64> = fingerprints.collect();
        let max_age = is_recent.then_some(RECENT);
        Filter::divide(&fingerprints, salt, max_age)
    }

    /// Entries that the sender of a filter lacks, without its own: departures first, then by their age.
    #[must_use]
    pub fn missing(&self, now: Instant, filter: &Filter, sender: SocketAddr) -> Vec<Member> {
        let is_offered = |entry: &&Entry| {
            let age = entry.learnt_at.map(|at| now.saturating_duration_since(at));
            let is_within = |limit: Duration| age.is_some_and(|age| age <= limit);
            let is_live = entry.member.health.is_live();
            entry.member.peer != sender
                && filter.covers(entry.fingerprint)
                && (is_live || is_within(DEPARTURE_OFFERED))
                && filter.max_age().is_none_or(is_within)
                && !filter.contains(entry.fingerprint)
        };
        let mut missing: Vec<&Entry> = self.all.iter().filter(is_offered).collect();
        missing.sort_by_key(|entry| (entry.member.health.is_live(), Reverse(entry.learnt_at)));
        let members = missing.into_iter().take(MAX_RESPONSE_ENTRIES);
        members.map(|entry| entry.member.clone()).collect()
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
            let age = entry.age(now);
            if entry.member.health == Health::Suspect && age >= suspicion_timeout {
                entry.member.health = Health::Gone;
                entry.since = now;
                entry.learnt_at = Some(now);
                entry.fingerprint = anti_entropy::fingerprint(&entry.member);
                entry.transmits_left = transmits_left;
                changed = true;
            }
        }
        if changed {
            let waiting = self.all.iter().filter(|entry| entry.transmits_left > 0);
            self.waiting = waiting.count();
        }
        let waiting = &mut self.waiting;
        self.all.retain(|entry| {
            let is_kept = entry.member.health.is_live() || entry.age(now) < gone_retention;
            *waiting -= usize::from(!is_kept && entry.transmits_left > 0);
            is_kept
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
        if self.waiting == 0 {
            return updates;
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
            self.set_transmits(index, self.all[index].transmits_left - 1);
            updates.push(self.all[index].member.clone());
        }
        updates
    }

    fn find(&self, peer: SocketAddr) -> Result<usize, usize> {
        self.all
            .binary_search_by_key(&peer, |entry| entry.member.peer)
    }

    fn set_transmits(&mut self, index: usize, transmits_left: u32) {
        let entry = &mut self.all[index];
        self.waiting -= usize::from(entry.transmits_left > 0);
        self.waiting += usize::from(transmits_left > 0);
        entry.transmits_left = transmits_left;
    }

    fn transmit_limit(&self) -> u32 {
        let size = self.all.len() + 2;
        TRANSMIT_FACTOR * size.ilog2().max(1)
    }
}
