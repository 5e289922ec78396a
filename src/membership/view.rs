//! The membership view: who is there, learnt without a list.
//!
//! A SWIM-like protocol as a pure state machine. Each period a daemon probes one other directly,
//! then through a few others, then suspects it; a suspect that does not refute in time is gone.
//! News travels piggybacked on probes. [`View`] gets time, randomness and datagrams as arguments
//! and returns the datagrams to send.
//!
//! A view is a hint for liveness and never for exclusivity: a member that was paused may still
//! believe that it is there, and the others may believe that it is gone.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;
use rand::seq::SliceRandom;

use crate::configuration::exchange::Digest;
use crate::configuration::freshness::Report;
use crate::membership::datagram::{Datagram, Probe};
use crate::membership::entries::{Entries, Entry};
use crate::membership::member::{Health, Member, Offer, Stage};
use crate::membership::rounds::Rounds;
use crate::membership::timing::Timing;
use crate::units::{DataCentre, Generation, Incarnation, Slots, Version};
use crate::wire;

/// Daemons that probe a silent one on another's behalf.
const HELPERS: usize = 3;
/// Daemons that a leaver says good-bye to.
const FAREWELLS: usize = 64;
/// Time for which a member that went is looked for at every probe: it covers a restart.
const RECENT: Duration = Duration::from_secs(30);
/// Members of each other data centre that hear of a version from a reader: one may be gone without
/// anybody knowing it yet.
const HEARERS: usize = 2;
/// Members that a daemon asks at a time when it does not know the newest version.
const ASKED: usize = 3;
/// Periods between two probes of a member that is thought to be gone.
const REVISIT: u64 = 5;

/// A datagram on its way out.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Send {
    /// Receiver.
    pub to: SocketAddr,
    /// Content.
    pub datagram: Datagram,
}

/// What a view wants done.
#[derive(Debug, Default)]
pub struct Effects {
    /// Datagrams to send.
    pub sends: Vec<Send>,
    /// A peer that holds a newer or another configuration than ours.
    pub ahead: Option<SocketAddr>,
    /// A peer that knows other ends of targets than ours.
    pub differs: Option<SocketAddr>,
    /// Whether a member came, went or changed.
    pub changed: bool,
}

/// A probe that has not been answered.
#[derive(Debug)]
struct Pending {
    seq: u64,
    subject: SocketAddr,
    /// For whom the probe is made, with their number.
    asker: Option<(SocketAddr, u64)>,
    sent: Instant,
    relayed: bool,
}

/// Everything a daemon knows about the others.
#[derive(Debug)]
pub struct View {
    me: Member,
    digest: Digest,
    watermark: Option<Report>,
    era: Generation,
    evidence: u64,
    entries: Entries,
    pending: Vec<Pending>,
    rounds: Rounds,
    seq: u64,
    next_probe: Option<Instant>,
    last_tick: Option<Instant>,
    timing: Timing,
}

impl View {
    /// A view that knows only its own daemon.
    #[must_use]
    pub fn new(me: Member, timing: Timing) -> Self {
        Self {
            me,
            digest: Digest::default(),
            watermark: None,
            era: Generation(0),
            evidence: 0,
            entries: Entries::default(),
            pending: Vec::new(),
            rounds: Rounds::default(),
            seq: 0,
            next_probe: None,
            last_tick: None,
            timing,
        }
    }

    /// Its own daemon's entry.
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

    /// Everyone, its own daemon first.
    #[must_use]
    pub fn members(&self) -> Vec<Member> {
        let others = self.entries.all().iter().map(|entry| entry.member.clone());
        std::iter::once(self.me.clone()).chain(others).collect()
    }

    /// Sets what its own daemon has in force.
    pub const fn set_digest(&mut self, digest: Digest) {
        self.digest = digest;
    }

    /// Sets up to where its own daemon knows the platform.
    pub const fn set_watermark(&mut self, watermark: Option<Report>) {
        self.watermark = watermark;
    }

    /// Sets the highest era of the platform that its own daemon knows.
    pub const fn set_era(&mut self, era: Generation) {
        self.era = era;
    }

    /// Sets the hash of what its own daemon knows of requests that end targets.
    pub const fn set_evidence(&mut self, evidence: u64) {
        self.evidence = evidence;
    }

    /// Draws up to `count` members that are not gone.
    pub fn draw_live(&self, count: usize, rng: &mut SmallRng) -> Vec<SocketAddr> {
        self.entries.draw_live(count, None, rng)
    }

    /// Changes its own entry; the datagrams spread the change at once.
    pub fn update(&mut self, stage: Stage, offer: Option<Offer>, rng: &mut SmallRng) -> Vec<Send> {
        if self.me.stage == stage && self.me.offer == offer {
            return Vec::new();
        }
        self.me.stage = stage;
        self.me.offer = offer;
        self.renew(self.me.incarnation);
        let receivers = self.entries.draw_live(HELPERS, None, rng);
        receivers
            .into_iter()
            .map(|to| self.datagram(to, Probe::News))
            .collect()
    }

    /// Says good-bye as [`Health::Gone`] or [`Health::Left`]: the datagrams that make the others
    /// drop this daemon at once.
    pub fn leave(&mut self, health: Health, rng: &mut SmallRng) -> Vec<Send> {
        self.renew(self.me.incarnation);
        self.me.health = health;
        let receivers = self.entries.draw_live(FAREWELLS, None, rng);
        receivers
            .into_iter()
            .map(|to| self.datagram(to, Probe::News))
            .collect()
    }

    /// Merges an entry that came from anywhere; `true` when it was news.
    pub fn merge(&mut self, now: Instant, member: &Member) -> bool {
        if member.peer == self.me.peer {
            return self.refute(member);
        }
        self.entries.merge(now, member)
    }

    /// Tells a few members of each other data centre what its own daemon has in force; whoever is
    /// behind fetches it.
    ///
    /// Guards against a platform that turns the reader of a data centre away, in silence: that one
    /// notices after seconds, and whom it asks in its place may be turned away as well. Probes
    /// between data centres are too rare to carry the news in time.
    pub fn announce(&mut self, rng: &mut SmallRng) -> Vec<Send> {
        let home = &self.me.data_centre;
        let far = self.live().filter(|member| member.data_centre != *home);
        let mut far: Vec<(DataCentre, SocketAddr)> =
            far.map(|m| (m.data_centre.clone(), m.peer)).collect();
        far.shuffle(rng);
        far.sort_by(|a, b| a.0.cmp(&b.0));
        let few = far.chunk_by(|a, b| a.0 == b.0);
        let few = few.flat_map(|members| members.iter().take(HEARERS));
        let receivers: Vec<SocketAddr> = few.map(|(_, peer)| *peer).collect();
        let send = |to| self.bare(to, Probe::News);
        receivers.into_iter().map(send).collect()
    }

    /// Tells all other members of its data centre what its own daemon has in force and how recent that is.
    #[must_use]
    pub fn vouch(&self) -> Vec<Send> {
        let home = &self.me.data_centre;
        let near = self.live().filter(|member| member.data_centre == *home);
        near.map(|member| self.bare(member.peer, Probe::News))
            .collect()
    }

    /// Asks a few members what they have in force and how recent that is.
    pub fn ask(&mut self, now: Instant, rng: &mut SmallRng) -> Vec<Send> {
        let asked = self.entries.draw_live(ASKED, None, rng);
        asked
            .into_iter()
            .map(|peer| self.ping(now, peer, None))
            .collect()
    }

    /// Highest version that `peer` is known to have run.
    #[must_use]
    pub fn ran(&self, peer: SocketAddr) -> Version {
        self.entries.get(peer).map_or(Version(0), |entry| entry.ran)
    }

    /// Slots that a target offered last through `peer`.
    #[must_use]
    pub fn slots(&self, peer: SocketAddr) -> Option<Slots> {
        self.entries.get(peer).and_then(|entry| entry.slots)
    }

    /// Notes what version a peer has in force.
    pub fn note_version(&mut self, peer: SocketAddr, version: Version) {
        self.entries.note_version(peer, version);
    }

    /// Lets time pass.
    pub fn tick(&mut self, now: Instant, rng: &mut SmallRng) -> Effects {
        let mut effects = Effects::default();
        // Guards against blaming others for an own pause: after SIGCONT every probe under way
        // looks overdue, and healthy members would be suspected all at once. They are probed anew.
        let paused = self
            .last_tick
            .is_some_and(|last| now - last > 2 * self.timing.period);
        self.last_tick = Some(now);
        if paused {
            self.pending.clear();
        }
        self.overdue(now, rng, &mut effects);
        let Timing {
            suspicion, memory, ..
        } = self.timing;
        effects.changed |= self.entries.expire(now, suspicion, memory);
        if self.next_probe.is_none_or(|due| due <= now) {
            // A pause of the process must not be followed by a burst of the missed probes.
            self.next_probe = Some(now + self.timing.period);
            self.probe_next(now, rng, &mut effects);
        }
        effects
    }

    /// Takes a datagram in.
    pub fn receive(&mut self, now: Instant, datagram: &Datagram) -> Effects {
        let mut effects = Effects {
            changed: self.merge(now, &datagram.from),
            ..Effects::default()
        };
        for member in &datagram.news {
            effects.changed |= self.merge(now, member);
        }
        let sender = datagram.from.peer;
        self.note_version(sender, datagram.digest.version);
        if datagram.digest.version > self.digest.version {
            effects.ahead = Some(sender);
        }
        if datagram.evidence != self.evidence {
            effects.differs = Some(sender);
        }
        self.answer(now, sender, &datagram.probe, &mut effects);
        effects
    }

    fn answer(&mut self, now: Instant, sender: SocketAddr, probe: &Probe, effects: &mut Effects) {
        match *probe {
            Probe::Ping { seq } => {
                let pong = self.datagram(sender, Probe::Pong { seq });
                effects.sends.push(pong);
            }
            Probe::Pong { seq } => self.answered(seq, sender, effects),
            Probe::Relay { seq, subject } => {
                let ping = self.ping(now, subject, Some((sender, seq)));
                effects.sends.push(ping);
            }
            Probe::News | Probe::Crashes(_) | Probe::Rollouts(_) | Probe::Report(_) => {}
        }
    }

    fn answered(&mut self, seq: u64, sender: SocketAddr, effects: &mut Effects) {
        let Some(index) = self.pending.iter().position(|p| p.seq == seq) else {
            return;
        };
        let pending = self.pending.swap_remove(index);
        // A relayed answer comes from the helper; only the subject's own is passed on.
        if let (Some((asker, seq)), true) = (pending.asker, pending.subject == sender) {
            let pong = self.datagram(asker, Probe::Pong { seq });
            effects.sends.push(pong);
        }
    }

    fn overdue(&mut self, now: Instant, rng: &mut SmallRng, effects: &mut Effects) {
        let pending = std::mem::take(&mut self.pending);
        for mut probe in pending {
            let age = now.saturating_duration_since(probe.sent);
            if age >= self.timing.period {
                if probe.asker.is_none() {
                    effects.changed |= self.suspect(now, probe.subject);
                }
                continue;
            }
            if age >= self.timing.patience && !probe.relayed && probe.asker.is_none() {
                probe.relayed = true;
                let relay = Probe::Relay {
                    seq: probe.seq,
                    subject: probe.subject,
                };
                for helper in self.entries.draw_live(HELPERS, Some(probe.subject), rng) {
                    let request = self.datagram(helper, relay.clone());
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
        // Guards against a split that outlives the cut: both sides hold each other as gone and
        // would never speak again. A gone member is probed now and then until it is forgotten.
        let revisit = self.seq.is_multiple_of(REVISIT);
        // Guards against a daemon that starts again while no list of daemons can be read: it knows
        // nobody and refuses its callers for as long. Those who knew it look for it at first.
        let departed = self.entries.all().iter().filter(|entry| {
            let recent = now.saturating_duration_since(entry.since) < RECENT;
            !entry.member.health.is_live() && (revisit || recent)
        });
        let departed: Vec<SocketAddr> = departed.map(|e| e.member.peer).collect();
        if !departed.is_empty() {
            let peer = departed[rng.random_range(0..departed.len())];
            let revisit = self.datagram(peer, Probe::Ping { seq: 0 });
            effects.sends.push(revisit);
        }
        let subject = self.rounds.draw(&self.entries, &self.me.data_centre, rng);
        if let Some(subject) = subject {
            let ping = self.ping(now, subject, None);
            effects.sends.push(ping);
        }
    }

    fn ping(&mut self, now: Instant, to: SocketAddr, asker: Option<(SocketAddr, u64)>) -> Send {
        self.seq += 1;
        let seq = self.seq;
        self.pending.push(Pending {
            seq,
            subject: to,
            asker,
            sent: now,
            relayed: false,
        });
        self.datagram(to, Probe::Ping { seq })
    }

    /// A datagram without news of members.
    pub(crate) fn bare(&self, to: SocketAddr, probe: Probe) -> Send {
        let datagram = Datagram {
            release: wire::RELEASE,
            from: self.me.clone(),
            digest: self.digest,
            watermark: self.watermark,
            era: self.era,
            evidence: self.evidence,
            probe,
            news: Vec::new(),
        };
        Send { to, datagram }
    }

    /// A datagram with as much news as fits.
    pub(crate) fn datagram(&mut self, to: SocketAddr, probe: Probe) -> Send {
        let mut datagram = Datagram {
            release: wire::RELEASE,
            from: self.me.clone(),
            digest: self.digest,
            watermark: self.watermark,
            era: self.era,
            evidence: self.evidence,
            probe,
            news: self.entries.news(to),
        };
        while wire::encode(&datagram).len() > wire::MAX_DATAGRAM && datagram.news.pop().is_some() {}
        Send { to, datagram }
    }

    /// Answers an entry about its own daemon: `true` when it had to be refuted.
    fn refute(&mut self, member: &Member) -> bool {
        let leaving = !self.me.health.is_live();
        let slander = (member.incarnation, member.health) > (self.me.incarnation, self.me.health);
        let stale = member.incarnation == self.me.incarnation && *member != self.me;
        if leaving || !(slander || stale) {
            return false;
        }
        self.renew(member.incarnation.max(self.me.incarnation));
        true
    }

    const fn renew(&mut self, above: Incarnation) {
        self.me.incarnation = Incarnation(above.0 + 1);
    }
}
