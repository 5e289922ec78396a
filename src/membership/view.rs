//! Membership view: a SWIM-like protocol as a pure state machine.
//!
//! In each period a daemon probes one other daemon, first directly, then through a few others, and then
//! suspects it. A suspect that does not refute in time is gone. Updates are piggybacked on probes. [`View`]
//! takes time, randomness and datagrams as arguments and returns the datagrams to send.
//!
//! A view is a hint about liveness and never grants exclusivity: a member that was paused may consider itself
//! live while the others consider it gone.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::{IndexedRandom, SliceRandom};

use crate::configuration::exchange::Digest;
use crate::configuration::freshness::Report;
use crate::membership::anti_entropy::{Allowance, Due, Filter, Page, Schedule};
use crate::membership::datagram::{Datagram, Message};
use crate::membership::entries::{Entries, Entry, Origin};
use crate::membership::member::{Health, Member, Offer, Stage};
use crate::membership::rounds::Rounds;
use crate::membership::target::Departure;
use crate::membership::timing::Timing;
use crate::units::{DataCentre, Generation, Incarnation, Slots, Version};
use crate::wire;

/// Daemons that are asked for an indirect probe; also receivers of a change of the own entry.
const INDIRECT_PROBERS: usize = 3;
/// Members that a daemon notifies when it leaves.
const LEAVE_FANOUT: usize = 64;
/// Time for which a departed member is a candidate for an extra probe in every period: it covers a restart.
const RECENT_DEPARTURE: Duration = Duration::from_secs(30);
/// Members of each other data centre that a reader notifies of a version: one of them may be gone without
/// being detected yet.
const REMOTE_FANOUT: usize = 2;
/// Members that a daemon queries at a time when it does not know the newest version.
const QUERY_FANOUT: usize = 3;
/// Bounds of the share of requests for missing entries that go to another data centre, as one in so many.
/// Traffic between data centres is expensive, and of many local members some have asked there.
const REMOTE_REQUEST_INTERVALS: (usize, usize) = (2, 16);
/// Local members for each such request.
const MEMBERS_PER_REMOTE_REQUEST: usize = 4;
/// Probes that a departed member gets in a period from all daemons together. If each daemon sent one, those
/// that restart in a large fleet would have to answer thousands.
const REVISITS_PER_PERIOD: u32 = 8;
/// Periods between two probes of gone members, on average.
const REVISIT_PERIODS: u64 = 5;

/// An outgoing datagram.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// Receiver.
    pub to: SocketAddr,
    /// Content.
    pub datagram: Datagram,
}

/// Actions for the caller of a view.
#[derive(Debug, Default)]
pub struct Effects {
    /// Datagrams to send.
    pub sends: Vec<Send>,
    /// Peer with a newer configuration than the own one.
    pub newer_config_at: Option<SocketAddr>,
    /// Peer whose known crashes and rollouts differ from the own ones.
    pub gossip_differs_at: Option<SocketAddr>,
    /// Whether any member joined, left or changed.
    pub changed: bool,
}

/// A probe that has not been answered.
#[derive(Debug)]
struct Pending {
    seq: u64,
    subject: SocketAddr,
    /// Daemon that asked for this indirect probe, with its sequence number.
    requester: Option<(SocketAddr, u64)>,
    sent_at: Instant,
    relayed: bool,
}

/// Membership as seen by one daemon.
#[derive(Debug)]
pub struct View {
    me: Member,
    digest: Digest,
    watermark: Option<Report>,
    generation: Generation,
    gossip_hash: u64,
    entries: Entries,
    pending: Vec<Pending>,
    rounds: Rounds,
    requests: Schedule,
    responses: Allowance,
    /// Whether the own entry was refuted since the last tick.
    refuted: bool,
    seq: u64,
    next_probe: Option<Instant>,
    last_tick: Option<Instant>,
    timing: Timing,
}

impl View {
    /// Creates a view that contains only the own daemon.
    #[must_use]
    pub fn new(me: Member, timing: Timing) -> Self {
        Self {
            me,
            digest: Digest::default(),
            watermark: None,
            generation: Generation(0),
            gossip_hash: 0,
            entries: Entries::default(),
            pending: Vec::new(),
            rounds: Rounds::default(),
            requests: Schedule::default(),
            responses: Allowance::default(),
            refuted: false,
            seq: 0,
            next_probe: None,
            last_tick: None,
            timing,
        }
    }

    /// Entry of the own daemon.
    #[must_use]
    pub const fn me(&self) -> &Member {
        &self.me
    }

    /// All other members, gone ones included, sorted by address.
    #[must_use]
    pub fn entries(&self) -> &[Entry] {
        self.entries.all()
    }

    /// The other members that are not gone.
    pub fn live(&self) -> impl Iterator<Item = &Member> {
        self.entries.live()
    }

    /// All members, the own daemon first.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let others = self.entries.all().iter().map(|entry| entry.member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Sets the configuration that the own daemon has active.
    pub const fn set_digest(&mut self, digest: Digest) {
        self.digest = digest;
    }

    /// Sets the own daemon's watermark.
    pub const fn set_watermark(&mut self, watermark: Option<Report>) {
        self.watermark = watermark;
    }

    /// Sets the highest generation of the control plane's store that the own daemon knows.
    pub const fn set_generation(&mut self, generation: Generation) {
        self.generation = generation;
    }

    /// Sets the hash of the target crashes and rollouts that the own daemon knows.
    pub const fn set_gossip_hash(&mut self, gossip_hash: u64) {
        self.gossip_hash = gossip_hash;
    }

    /// Returns up to `count` members at random that are not gone.
    pub fn sample_live(&self, count: usize, rng: &mut SmallRng) -> Vec<SocketAddr> {
        self.entries.sample_live(count, None, rng)
    }

    /// Changes the own entry and returns datagrams that propagate the change at once.
    pub fn update(
        &mut self,
        stage: Stage,
        offer: Option<Offer>,
        departures: Vec<Departure>,
        rng: &mut SmallRng,
    ) -> Vec<Send> {
        let me = &mut self.me;
        if me.stage == stage && me.offer == offer && me.departures == departures {
            return Vec::new();
        }
        me.stage = stage;
        me.offer = offer;
        me.departures = departures;
        self.bump_incarnation(self.me.incarnation);
        self.spread_own_entry(rng)
    }

    /// Sends the own entry to a few members.
    fn spread_own_entry(&mut self, rng: &mut SmallRng) -> Vec<Send> {
        let receivers = self.entries.sample_live(INDIRECT_PROBERS, None, rng);
        receivers
            .into_iter()
            .map(|to| self.datagram(to, Message::Gossip))
            .collect()
    }

    /// Leaves as [`Health::Gone`] or [`Health::Left`] and returns datagrams that make the receivers drop this
    /// daemon at once.
    pub fn leave(&mut self, health: Health, rng: &mut SmallRng) -> Vec<Send> {
        self.bump_incarnation(self.me.incarnation);
        self.me.health = health;
        let receivers = self.entries.sample_live(LEAVE_FANOUT, None, rng);
        receivers
            .into_iter()
            .map(|to| self.datagram(to, Message::Gossip))
            .collect()
    }

    /// Merges an entry; returns whether it changed the view.
    pub fn merge(&mut self, now: Instant, member: &Member) -> bool {
        self.merge_from(now, member, Origin::Update)
    }

    /// Merges the view of a peer; returns whether it changed the own one.
    ///
    /// What a peer has spread already is not sent on. Otherwise a daemon that joins would repeat the entries
    /// of the whole fleet, for minutes, and delay what is new.
    pub fn adopt(&mut self, now: Instant, members: &[Member]) -> bool {
        let mut changed = false;
        for member in members {
            changed |= self.merge_from(now, member, Origin::View);
        }
        changed
    }

    fn merge_from(&mut self, now: Instant, member: &Member, origin: Origin) -> bool {
        if member.peer == self.me.peer {
            return self.refute(member);
        }
        let changed = self.entries.merge(now, member, origin);
        if changed && origin != Origin::View {
            self.requests.record_news();
        }
        changed
    }

    /// Notifies a few members of each other data centre of the own daemon's active configuration; those with
    /// an older one fetch it.
    ///
    /// The control plane may silently stop serving the reader of a data centre. That reader notices only after
    /// seconds, and the daemon that reads in its place may not be served either. Probes between data
    /// centres are too rare to propagate the version in time.
    pub fn announce_version(&mut self, rng: &mut SmallRng) -> Vec<Send> {
        let local = &self.me.data_centre;
        let remote = self.live().filter(|member| member.data_centre != *local);
        let mut remote: Vec<(DataCentre, SocketAddr)> =
            remote.map(|m| (m.data_centre.clone(), m.peer)).collect();
        remote.shuffle(rng);
        remote.sort_by(|a, b| a.0.cmp(&b.0));
        let by_data_centre = remote.chunk_by(|a, b| a.0 == b.0);
        let chosen = by_data_centre.flat_map(|members| members.iter().take(REMOTE_FANOUT));
        let receivers: Vec<SocketAddr> = chosen.map(|(_, peer)| *peer).collect();
        let send = |to| self.bare_datagram(to, Message::Gossip);
        receivers.into_iter().map(send).collect()
    }

    /// Sends the own daemon's active configuration and watermark to all other members of its data centre.
    #[must_use]
    pub fn send_watermark(&self) -> Vec<Send> {
        let local = &self.me.data_centre;
        let members = self.live().filter(|member| member.data_centre == *local);
        members
            .map(|member| self.bare_datagram(member.peer, Message::Gossip))
            .collect()
    }

    /// Probes a few members, whose responses carry their active configuration and watermark.
    pub fn query(&mut self, now: Instant, rng: &mut SmallRng) -> Vec<Send> {
        let receivers = self.entries.sample_live(QUERY_FANOUT, None, rng);
        receivers
            .into_iter()
            .map(|peer| self.ping(now, peer, None))
            .collect()
    }

    /// Highest configuration version that `peer` is known to have run.
    #[must_use]
    pub fn highest_version(&self, peer: SocketAddr) -> Version {
        self.entries
            .get(peer)
            .map_or(Version(0), |entry| entry.highest_version)
    }

    /// Slots that a target offered last through `peer`.
    #[must_use]
    pub fn slots(&self, peer: SocketAddr) -> Option<Slots> {
        self.entries.get(peer).and_then(|entry| entry.slots)
    }

    /// Latest departures of targets that `peer` is known to have acknowledged.
    #[must_use]
    pub fn departures(&self, peer: SocketAddr) -> Vec<Departure> {
        let entry = self.entries.get(peer);
        entry.map_or_else(Vec::new, |entry| entry.departures.clone())
    }

    /// Records the configuration version that a peer has active.
    pub fn note_version(&mut self, peer: SocketAddr, version: Version) {
        self.entries.note_version(peer, version);
    }

    /// Advances the time to `now`: handles time-outs and sends due probes.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng) -> Effects {
        let mut effects = Effects::default();
        // After a pause of this process, such as SIGSTOP and SIGCONT, every pending probe looks overdue, and
        // all healthy members would be suspected at once. They are probed again instead.
        let paused = self
            .last_tick
            .is_some_and(|last| now - last > 2 * self.timing.probe_period);
        self.last_tick = Some(now);
        if paused {
            self.pending.clear();
        }
        self.check_overdue(now, rng, &mut effects);
        let Timing {
            suspicion_timeout,
            gone_retention,
            ..
        } = self.timing;
        effects.changed |= self.entries.expire(now, suspicion_timeout, gone_retention);
        if self.next_probe.is_none_or(|due| due <= now) {
            // Counted from now, so that a pause of the process is not followed by a burst of missed probes.
            self.next_probe = Some(now + self.timing.probe_period);
            self.probe_next(now, rng, &mut effects);
        }
        if std::mem::take(&mut self.refuted) {
            // A suspicion spreads at the same time, and ends after a few seconds.
            effects.sends.extend(self.spread_own_entry(rng));
        }
        if let Some(due) = self.requests.take_due(now) {
            effects.sends.extend(self.request_entries(now, due, rng));
        }
        effects
    }

    /// Requests the entries that the own daemon lacks from a random member.
    fn request_entries(&self, now: Instant, due: Due, rng: &mut SmallRng) -> Vec<Send> {
        let local = &self.me.data_centre;
        let is_local = |member: &&Member| member.data_centre == *local;
        let (local, remote): (Vec<&Member>, Vec<&Member>) = self.live().partition(is_local);
        let (least, most) = REMOTE_REQUEST_INTERVALS;
        let interval = (local.len() / MEMBERS_PER_REMOTE_REQUEST).clamp(least, most);
        let asks_remote = local.is_empty() || rng.random_range(0..interval) == 0;
        let members = if asks_remote && !remote.is_empty() {
            remote
        } else {
            local
        };
        let Some(peer) = members.choose(rng).map(|member| member.peer) else {
            return Vec::new();
        };
        let salt = rng.random();
        let mut filters = self.entries.filters(now, &self.me, due != Due::All, salt);
        if due == Due::Part {
            let part = rng.random_range(0..filters.len());
            filters = vec![filters.swap_remove(part)];
        }
        metrics::counter!("jackdaw_entry_requests_total").increment(1);
        let filters = filters.into_iter();
        filters
            .map(|filter| self.bare_datagram(peer, Message::Missing(filter)))
            .collect()
    }

    /// Responds with the entries that the sender of a filter lacks, as far as the allowance goes.
    fn respond_entries(&mut self, now: Instant, to: SocketAddr, filter: &Filter) -> Vec<Send> {
        if !filter.is_valid() {
            metrics::counter!("jackdaw_bad_datagrams_total").increment(1);
            return Vec::new();
        }
        let missing = self.entries.missing(now, filter, to);
        let pages = Page::divide(&missing);
        let due = pages.len();
        let pages = self.responses.take(now, pages);
        let held_back = u64::try_from(due - pages.len()).unwrap_or(u64::MAX);
        metrics::counter!("jackdaw_entry_pages_held_back_total").increment(held_back);
        let pages = pages.into_iter();
        pages
            .map(|page| self.bare_datagram(to, Message::Entries(page)))
            .collect()
    }

    /// Merges the entries of a response; returns whether any changed the view.
    fn merge_page(&mut self, now: Instant, page: &Page) -> bool {
        let Ok(members) = page.members() else {
            metrics::counter!("jackdaw_bad_datagrams_total").increment(1);
            return false;
        };
        let mut learnt = 0;
        for member in &members {
            learnt += u64::from(self.merge_from(now, member, Origin::Response));
        }
        metrics::counter!("jackdaw_entries_learnt_total").increment(learnt);
        learnt > 0
    }

    /// Handles a datagram.
    pub fn receive(&mut self, now: Instant, datagram: &Datagram) -> Effects {
        let mut effects = Effects {
            changed: self.merge(now, &datagram.from),
            ..Effects::default()
        };
        for member in &datagram.updates {
            effects.changed |= self.merge(now, member);
        }
        let sender = datagram.from.peer;
        self.note_version(sender, datagram.digest.version);
        if datagram.digest.version > self.digest.version {
            effects.newer_config_at = Some(sender);
        }
        if datagram.gossip_hash != self.gossip_hash {
            effects.gossip_differs_at = Some(sender);
        }
        self.respond(now, sender, &datagram.message, &mut effects);
        effects
    }

    fn respond(
        &mut self,
        now: Instant,
        sender: SocketAddr,
        message: &Message,
        effects: &mut Effects,
    ) {
        match *message {
            Message::Missing(ref filter) => {
                let responses = self.respond_entries(now, sender, filter);
                effects.sends.extend(responses);
            }
            Message::Entries(ref page) => effects.changed |= self.merge_page(now, page),
            Message::Ping { seq } => {
                let pong = self.datagram(sender, Message::Pong { seq });
                effects.sends.push(pong);
            }
            Message::Pong { seq } => self.acknowledge(seq, sender, effects),
            Message::Relay { seq, subject } => {
                let ping = self.ping(now, subject, Some((sender, seq)));
                effects.sends.push(ping);
            }
            Message::Gossip
            | Message::Crashes(_)
            | Message::Rollouts(_)
            | Message::Report(_)
            | Message::Quota(_) => {}
        }
    }

    fn acknowledge(&mut self, seq: u64, sender: SocketAddr, effects: &mut Effects) {
        let Some(index) = self.pending.iter().position(|p| p.seq == seq) else {
            return;
        };
        let pending = self.pending.swap_remove(index);
        // A relayed response comes from the prober; only the subject's own response is forwarded.
        if let (Some((requester, seq)), true) = (pending.requester, pending.subject == sender) {
            let pong = self.datagram(requester, Message::Pong { seq });
            effects.sends.push(pong);
        }
    }

    fn check_overdue(&mut self, now: Instant, rng: &mut SmallRng, effects: &mut Effects) {
        let pending = std::mem::take(&mut self.pending);
        for mut probe in pending {
            let age = now.saturating_duration_since(probe.sent_at);
            if age >= self.timing.probe_period {
                if probe.requester.is_none() {
                    effects.changed |= self.suspect(now, probe.subject);
                }
                continue;
            }
            if age >= self.timing.probe_timeout && !probe.relayed && probe.requester.is_none() {
                probe.relayed = true;
                let relay = Message::Relay {
                    seq: probe.seq,
                    subject: probe.subject,
                };
                for prober in self
                    .entries
                    .sample_live(INDIRECT_PROBERS, Some(probe.subject), rng)
                {
                    // Without updates: when many members fail together, each daemon sends several of these.
                    let request = self.bare_datagram(prober, relay.clone());
                    effects.sends.push(request);
                }
            }
            self.pending.push(probe);
        }
    }

    fn suspect(&mut self, now: Instant, peer: SocketAddr) -> bool {
        let Some(entry) = self.entries.get(peer) else {
            return false;
        };
        let mut member = entry.member.clone();
        member.health = Health::Suspect;
        self.merge(now, &member)
    }

    fn probe_next(&mut self, now: Instant, rng: &mut SmallRng, effects: &mut Effects) {
        self.seq += 1;
        // Gone members are probed now and then until they are forgotten: after a network partition both sides
        // consider each other gone and would otherwise never communicate again.
        let revisit = self.seq.is_multiple_of(REVISIT_PERIODS);
        // Members that departed recently are candidates in every period: one that restarts while the list of
        // daemons is unavailable knows nobody, and refuses its callers until it is found.
        let departed = self.entries.all().iter().filter(|entry| {
            let recent = now.saturating_duration_since(entry.since) < RECENT_DEPARTURE;
            !entry.member.health.is_live() && (revisit || recent)
        });
        let departed: Vec<SocketAddr> = departed.map(|e| e.member.peer).collect();
        let senders = u32::try_from(self.entries.live().count() + 1).unwrap_or(u32::MAX);
        let probes = u32::try_from(departed.len()).unwrap_or(u32::MAX);
        let probes = probes.saturating_mul(REVISITS_PER_PERIOD).min(senders);
        if let Some(&peer) = departed.choose(rng)
            && rng.random_ratio(probes, senders)
        {
            let revisit = self.datagram(peer, Message::Ping { seq: 0 });
            effects.sends.push(revisit);
        }
        let subject = self
            .rounds
            .next_peer(&self.entries, &self.me.data_centre, rng);
        if let Some(subject) = subject {
            let ping = self.ping(now, subject, None);
            effects.sends.push(ping);
        }
    }

    fn ping(&mut self, now: Instant, to: SocketAddr, requester: Option<(SocketAddr, u64)>) -> Send {
        self.seq += 1;
        let seq = self.seq;
        self.pending.push(Pending {
            seq,
            subject: to,
            requester,
            sent_at: now,
            relayed: false,
        });
        self.datagram(to, Message::Ping { seq })
    }

    /// Builds a datagram without updates.
    pub(crate) fn bare_datagram(&self, to: SocketAddr, message: Message) -> Send {
        let datagram = Datagram {
            release: wire::RELEASE,
            from: self.me.clone(),
            digest: self.digest,
            watermark: self.watermark,
            generation: self.generation,
            gossip_hash: self.gossip_hash,
            message,
            updates: Vec::new(),
        };
        Send { to, datagram }
    }

    /// Builds a datagram with as many updates as fit.
    pub(crate) fn datagram(&mut self, to: SocketAddr, message: Message) -> Send {
        let mut datagram = Datagram {
            release: wire::RELEASE,
            from: self.me.clone(),
            digest: self.digest,
            watermark: self.watermark,
            generation: self.generation,
            gossip_hash: self.gossip_hash,
            message,
            updates: self.entries.updates(to),
        };
        while wire::encode(&datagram).len() > wire::MAX_DATAGRAM && datagram.updates.pop().is_some()
        {
        }
        Send { to, datagram }
    }

    /// Handles an entry about the own daemon; returns whether it had to be refuted.
    fn refute(&mut self, member: &Member) -> bool {
        let leaving = !self.me.health.is_live();
        let overrides = (member.incarnation, member.health) > (self.me.incarnation, self.me.health);
        let stale = member.incarnation == self.me.incarnation && *member != self.me;
        if leaving || !(overrides || stale) {
            return false;
        }
        self.bump_incarnation(member.incarnation.max(self.me.incarnation));
        self.refuted = true;
        true
    }

    const fn bump_incarnation(&mut self, above: Incarnation) {
        self.me.incarnation = Incarnation(above.0 + 1);
    }
}
