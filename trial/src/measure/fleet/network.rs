//! Membership views on a virtual clock, and the network between them.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::net::{IpAddr, Ipv4Addr, SocketAddr};
use std::time::{Duration, Instant};

use jackdawpulley::membership::datagram::Datagram;
use jackdawpulley::membership::member::{Health, Member, Offer, Stage};
use jackdawpulley::membership::timing::Timing;
use jackdawpulley::membership::view::{Send, View};
use jackdawpulley::units::{DataCentre, Incarnation, Service, Slots, StartTime};
use jackdawpulley::wire;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;

use crate::measure::converge::as_f64;

/// Interval between two ticks of a view, as in the daemon.
const TICK: Duration = Duration::from_millis(200);
/// Longest delay of a datagram within a data centre and to another one.
const DELAYS: [Duration; 2] = [Duration::from_millis(1), Duration::from_millis(3)];
/// Incarnation of each daemon at its start: a time in milliseconds, as in the daemon.
const INCARNATION: u64 = 1_796_000_000_000;
/// Port of each daemon.
const PORT: u16 = 7_001;
/// First address of the fleet.
const FIRST_IP: u32 = 0x0a01_0000;

/// What the views are expected to know of a daemon.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Expectation {
    /// Nothing new.
    Unchanged,
    /// Its latest entry.
    Live,
    /// That it is gone.
    Gone,
}

/// Datagrams that the daemons sent.
#[derive(Debug, Clone, Copy, Default, Serialize)]
pub struct Traffic {
    /// Datagrams of a daemon in a second, on average.
    pub datagrams_per_daemon_s: f64,
    /// Bytes of a daemon in a second, on average.
    pub bytes_per_daemon_s: f64,
    /// Most bytes of any daemon in a second.
    pub peak_bytes_s: usize,
    /// Size of the largest datagram, in bytes.
    pub largest_bytes: usize,
    /// Share of the bytes that went to another data centre.
    pub remote_share: f64,
}

/// One daemon.
#[derive(Debug)]
struct Daemon {
    view: View,
    is_up: bool,
    /// Latest entry that it has sent.
    latest: Incarnation,
    /// Bytes sent in the current second.
    second_bytes: usize,
}

#[derive(Debug)]
enum Event {
    Tick(usize),
    Deliver(usize, Box<Datagram>),
    Announce(usize),
    Restart(usize),
}

/// An event with its time and its number, which keeps those of one time in order.
#[derive(Debug)]
struct Timed {
    at: Duration,
    order: u64,
    event: Event,
}

/// All daemons and the datagrams between them.
#[derive(Debug)]
pub struct Network {
    origin: Instant,
    now: Duration,
    rng: SmallRng,
    loss: f64,
    data_centres: usize,
    daemons: Vec<Daemon>,
    events: BinaryHeap<Reverse<Timed>>,
    order: u64,
    datagrams: u64,
    bytes: u64,
    remote_bytes: u64,
    peak_bytes: usize,
    largest_bytes: usize,
    second: u64,
}

impl Network {
    /// A fleet in which every daemon knows every other one.
    #[must_use]
    pub fn new(daemons: usize, data_centres: usize, loss: f64, seed: u64) -> Self {
        let origin = Instant::now();
        let members: Vec<Member> = (0..daemons)
            .map(|index| member(index, data_centres))
            .collect();
        let daemon = |me: &Member| {
            let mut view = View::new(me.clone(), Timing::default());
            view.adopt(origin, &members);
            Daemon {
                view,
                is_up: true,
                latest: me.incarnation,
                second_bytes: 0,
            }
        };
        let daemons: Vec<Daemon> = members.iter().map(daemon).collect();
        let mut network = Self {
            origin,
            now: Duration::ZERO,
            rng: SmallRng::seed_from_u64(seed),
            loss,
            data_centres,
            daemons,
            events: BinaryHeap::new(),
            order: 0,
            datagrams: 0,
            bytes: 0,
            remote_bytes: 0,
            peak_bytes: 0,
            largest_bytes: 0,
            second: 0,
        };
        for index in 0..network.len() {
            let at = network.random_time(TICK);
            network.schedule(at, Event::Tick(index));
        }
        network
    }

    /// Number of daemons.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.daemons.len()
    }

    /// Whether there is no daemon.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.daemons.is_empty()
    }

    /// A time before `end`.
    pub fn random_time(&mut self, end: Duration) -> Duration {
        end.mul_f64(self.rng.random_range(0.0..1.0))
    }

    /// Schedules the announcement of a daemon's target.
    pub fn announce_at(&mut self, at: Duration, index: usize) {
        self.daemons[index].latest = Incarnation(INCARNATION + 1);
        self.schedule(at, Event::Announce(index));
    }

    /// Ends a daemon without notice.
    pub fn kill(&mut self, index: usize) {
        self.daemons[index].is_up = false;
    }

    /// Schedules the start of a daemon that was killed.
    pub fn restart_at(&mut self, at: Duration, index: usize) {
        self.daemons[index].latest = Incarnation(INCARNATION + 10_001);
        self.schedule(at, Event::Restart(index));
    }

    /// Handles all events before `end`.
    pub fn run_until(&mut self, end: Duration) {
        while let Some(Reverse(next)) = self.events.peek() {
            if next.at >= end {
                break;
            }
            let Some(Reverse(Timed { at, event, .. })) = self.events.pop() else {
                break;
            };
            self.now = at;
            self.count_second();
            self.handle(event);
        }
    }

    /// Share of the pairs of a running daemon and a changed one whose view meets the expectation.
    #[must_use]
    pub fn share_known(&self, expected: &[Expectation]) -> f64 {
        let (mut known, mut pairs) = (0, 0);
        for (index, daemon) in self.daemons.iter().enumerate() {
            let entries = daemon.view.entries();
            let mut position = 0;
            for (other, expectation) in expected.iter().enumerate() {
                let peer = address(other);
                while entries.get(position).is_some_and(|e| e.member.peer < peer) {
                    position += 1;
                }
                if !daemon.is_up || other == index || *expectation == Expectation::Unchanged {
                    continue;
                }
                let entry = entries.get(position).filter(|e| e.member.peer == peer);
                let live = entry.filter(|entry| entry.member.health.is_live());
                let latest = self.daemons[other].latest;
                let is_known = match expectation {
                    Expectation::Live => live.is_some_and(|e| e.member.incarnation >= latest),
                    _ => live.is_none(),
                };
                pairs += 1;
                known += u64::from(is_known);
            }
        }
        as_f64(known) / as_f64(pairs.max(1))
    }

    /// Running daemons that some running daemon considers gone.
    #[must_use]
    pub fn count_lost(&self) -> usize {
        let mut lost = vec![false; self.len()];
        for daemon in self.daemons.iter().filter(|daemon| daemon.is_up) {
            for entry in daemon.view.entries() {
                let index = index_of(entry.member.peer);
                lost[index] |= !entry.member.health.is_live() && self.daemons[index].is_up;
            }
        }
        lost.into_iter().filter(|lost| *lost).count()
    }

    /// Traffic so far.
    #[must_use]
    pub fn traffic(&self) -> Traffic {
        let daemons = as_f64(u64::try_from(self.len()).unwrap_or(u64::MAX));
        let daemon_seconds = daemons * self.now.as_secs_f64().max(1.0);
        Traffic {
            datagrams_per_daemon_s: as_f64(self.datagrams) / daemon_seconds,
            bytes_per_daemon_s: as_f64(self.bytes) / daemon_seconds,
            peak_bytes_s: self.peak_bytes,
            largest_bytes: self.largest_bytes,
            remote_share: as_f64(self.remote_bytes) / as_f64(self.bytes.max(1)),
        }
    }

    fn handle(&mut self, event: Event) {
        let now = self.origin + self.now;
        match event {
            Event::Tick(index) => {
                if self.daemons[index].is_up {
                    let sends = self.daemons[index].view.tick(now, &mut self.rng).sends;
                    self.send(index, sends);
                    self.schedule(self.now + TICK, Event::Tick(index));
                }
            }
            Event::Deliver(index, datagram) => {
                if self.daemons[index].is_up {
                    let effects = self.daemons[index].view.receive(now, &datagram);
                    self.send(index, effects.sends);
                }
            }
            Event::Announce(index) => {
                let offer = Some(offer(index));
                let view = &mut self.daemons[index].view;
                let sends = view.update(Stage::Serving, offer, Vec::new(), &mut self.rng);
                self.send(index, sends);
            }
            Event::Restart(index) => self.restart(index, now),
        }
    }

    fn restart(&mut self, index: usize, now: Instant) {
        let seed = loop {
            let seed = self.rng.random_range(0..self.len());
            if self.daemons[seed].is_up {
                break seed;
            }
        };
        let mut me = member(index, self.data_centres);
        me.incarnation = Incarnation(INCARNATION + 10_000);
        let members = self.daemons[seed].view.members();
        self.daemons[seed].view.merge(now, &me);
        let mut view = View::new(me, Timing::default());
        view.adopt(now, &members);
        let sends = view.update(
            Stage::Serving,
            Some(offer(index)),
            Vec::new(),
            &mut self.rng,
        );
        self.daemons[index].view = view;
        self.daemons[index].is_up = true;
        self.send(index, sends);
        let at = self.now + self.random_time(TICK);
        self.schedule(at, Event::Tick(index));
    }

    fn send(&mut self, from: usize, sends: Vec<Send>) {
        for Send { to, datagram } in sends {
            let size = wire::encode(&datagram).len();
            let to = index_of(to);
            let is_remote = from % self.data_centres != to % self.data_centres;
            let bytes = u64::try_from(size).unwrap_or(u64::MAX);
            self.datagrams += 1;
            self.bytes += bytes;
            self.remote_bytes += if is_remote { bytes } else { 0 };
            self.largest_bytes = self.largest_bytes.max(size);
            self.daemons[from].second_bytes += size;
            if self.rng.random_bool(self.loss) {
                continue;
            }
            let delay = self.random_time(DELAYS[usize::from(is_remote)]);
            self.schedule(self.now + delay, Event::Deliver(to, Box::new(datagram)));
        }
    }

    /// Takes stock of the bytes of each daemon when a second has ended.
    fn count_second(&mut self) {
        if self.now.as_secs() == self.second {
            return;
        }
        self.second = self.now.as_secs();
        for daemon in &mut self.daemons {
            self.peak_bytes = self
                .peak_bytes
                .max(std::mem::take(&mut daemon.second_bytes));
        }
    }

    fn schedule(&mut self, at: Duration, event: Event) {
        self.order += 1;
        let order = self.order;
        self.events.push(Reverse(Timed { at, order, event }));
    }
}

impl PartialEq for Timed {
    fn eq(&self, other: &Self) -> bool {
        (self.at, self.order) == (other.at, other.order)
    }
}

impl Eq for Timed {}

impl PartialOrd for Timed {
    fn partial_cmp(&self, other: &Self) -> Option<std::cmp::Ordering> {
        Some(self.cmp(other))
    }
}

impl Ord for Timed {
    fn cmp(&self, other: &Self) -> std::cmp::Ordering {
        (self.at, self.order).cmp(&(other.at, other.order))
    }
}

fn address(index: usize) -> SocketAddr {
    let index = u32::try_from(index).unwrap_or(u32::MAX);
    SocketAddr::new(IpAddr::V4(Ipv4Addr::from_bits(FIRST_IP + index)), PORT)
}

fn index_of(peer: SocketAddr) -> usize {
    match peer.ip() {
        IpAddr::V4(ip) => usize::try_from(ip.to_bits() - FIRST_IP).unwrap_or(usize::MAX),
        IpAddr::V6(_) => usize::MAX,
    }
}

fn member(index: usize, data_centres: usize) -> Member {
    Member {
        peer: address(index),
        operator: SocketAddr::new(address(index).ip(), PORT + 3),
        data_centre: DataCentre(format!("data-centre-{}", index % data_centres)),
        incarnation: Incarnation(INCARNATION),
        health: Health::Alive,
        stage: Stage::Starting,
        offer: None,
        departures: Vec::new(),
    }
}

fn offer(index: usize) -> Offer {
    Offer {
        service: Service(format!("service-{:03}", index % 100)),
        slots: Slots(12),
        start_time: u64::try_from(index)
            .ok()
            .map(|ms| StartTime(INCARNATION + ms)),
        revision: None,
        open: true,
    }
}
