//! The membership view under loss, reordering, duplication and restarts.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::deterministic_config;
use jackdawpulley::configuration::control_plane::Position;
use jackdawpulley::configuration::exchange::Digest;
use jackdawpulley::configuration::freshness::Report;
use jackdawpulley::membership::member::{Health, Member, Stage};
use jackdawpulley::membership::target::Departure;
use jackdawpulley::membership::timing::Timing;
use jackdawpulley::membership::view::{Effects, Send, View};
use jackdawpulley::units::{DataCentre, Generation, Incarnation, Millis, Offset, Version};
use proptest::prelude::*;
use rand::SeedableRng;
use rand::rngs::SmallRng;

const COUNT: usize = 5;
const TICK: Duration = Duration::from_millis(200);

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([127, 0, 0, 1], 7_000 + u16::try_from(index).expect("small")))
}

fn member(index: usize, incarnation: u64) -> Member {
    Member {
        peer: address(index),
        operator: address(index),
        data_centre: DataCentre::from("eros"),
        incarnation: Incarnation(incarnation),
        health: Health::Alive,
        stage: Stage::Serving,
        offer: None,
        departures: Vec::new(),
    }
}

#[derive(Debug, Clone)]
enum Step {
    Tick(usize),
    Deliver(usize),
    Duplicate(usize),
    Drop(usize),
    Pause(u64),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => (0..COUNT).prop_map(Step::Tick),
        12 => (0_usize..20).prop_map(Step::Deliver),
        2 => (0_usize..20).prop_map(Step::Duplicate),
        4 => (0_usize..20).prop_map(Step::Drop),
        2 => (1_u64..20).prop_map(Step::Pause),
        1 => (0..COUNT).prop_map(Step::Restart),
    ]
}

/// Views and the datagrams in flight between them, which may be reordered, duplicated and dropped.
struct Network {
    now: Instant,
    rng: SmallRng,
    views: Vec<View>,
    in_flight: Vec<Send>,
}

impl Network {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let views = (0..COUNT).map(|index| View::new(member(index, 1), Timing::default()));
        let mut network = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            views: views.collect(),
            in_flight: Vec::new(),
        };
        for view in &mut network.views[1..] {
            view.merge(now, &member(0, 1));
        }
        network
    }

    fn enqueue(&mut self, effects: Effects) {
        self.in_flight.extend(effects.sends);
        self.in_flight.truncate(200);
    }

    fn tick(&mut self, index: usize) {
        self.now += TICK / 5;
        let effects = self.views[index].tick(self.now, &mut self.rng);
        self.enqueue(effects);
    }

    fn deliver(&mut self, send: &Send) {
        let receiver = (0..COUNT).find(|&index| address(index) == send.to);
        let effects = self.views[receiver.expect("known")].receive(self.now, &send.datagram);
        self.enqueue(effects);
    }

    /// Restarts a daemon at its address without any state, and with a clock that was set back.
    fn restart(&mut self, index: usize) {
        let mut view = View::new(member(index, 1), Timing::default());
        let seed_peer = (index + 1) % COUNT;
        for known in self.views[seed_peer].members() {
            view.merge(self.now, &known);
        }
        self.views[index] = view;
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Tick(index) => self.tick(index),
            Step::Deliver(position) if !self.in_flight.is_empty() => {
                let send = self.in_flight.remove(position % self.in_flight.len());
                self.deliver(&send);
            }
            Step::Duplicate(position) if !self.in_flight.is_empty() => {
                let send = self.in_flight[position % self.in_flight.len()].clone();
                self.deliver(&send);
            }
            Step::Drop(position) if !self.in_flight.is_empty() => {
                self.in_flight.remove(position % self.in_flight.len());
            }
            Step::Pause(ticks) => self.now += TICK * u32::try_from(ticks).expect("small"),
            Step::Restart(index) => self.restart(index),
            _ => {}
        }
    }

    /// Runs all views for a while and delivers every datagram.
    fn stabilize(&mut self) {
        for _ in 0..600 {
            self.now += TICK;
            for index in 0..COUNT {
                let effects = self.views[index].tick(self.now, &mut self.rng);
                self.enqueue(effects);
            }
            while !self.in_flight.is_empty() {
                let send = self.in_flight.remove(0);
                self.deliver(&send);
            }
        }
    }

    fn incarnations(&self) -> Vec<Vec<(SocketAddr, Incarnation)>> {
        let known = |view: &View| {
            let entries = view.entries().iter();
            entries
                .map(|e| (e.member.peer, e.member.incarnation))
                .collect()
        };
        self.views.iter().map(known).collect()
    }
}

proptest! {
    #![proptest_config(deterministic_config(200))]

    #[test]
    fn views_converge_on_a_reliable_network(
        seed: u64,
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut network = Network::new(seed);
        for step in steps {
            let before = network.incarnations();
            network.run(&step);
            if matches!(step, Step::Restart(_)) {
                continue;
            }
            for (old, new) in before.iter().zip(network.incarnations()) {
                for (peer, incarnation) in old {
                    let now = new.iter().find(|(other, _)| other == peer);
                    prop_assert!(now.is_none_or(|(_, now)| now >= incarnation));
                }
            }
        }
        network.stabilize();
        for view in &network.views {
            prop_assert_eq!(view.live().count(), COUNT - 1);
            prop_assert!(view.live().all(|member| member.health == Health::Alive));
        }
    }
}

/// Guards against a daemon that suspects every healthy member, so that requests avoid them all, after it was
/// paused for ten seconds: all its pending probes then look overdue.
#[test]
fn own_pause_suspects_nobody() {
    let mut network = Network::new(1);
    network.stabilize();
    network.now += Duration::from_secs(10);
    let effects = network.views[0].tick(network.now, &mut network.rng);
    assert!(!effects.changed);
    assert!(
        network.views[0]
            .live()
            .all(|member| member.health == Health::Alive)
    );
}

/// Guards against a partition between two data centres that never heals: it lasts until each side considers the
/// other one gone, and afterwards nobody would probe the gone members.
#[test]
fn partition_heals() {
    let mut network = Network::new(2);
    network.stabilize();
    for _ in 0..200 {
        network.now += TICK;
        for index in 0..COUNT {
            let effects = network.views[index].tick(network.now, &mut network.rng);
            network.enqueue(effects);
        }
        let in_flight = std::mem::take(&mut network.in_flight);
        for send in in_flight {
            let side = |peer: SocketAddr| peer.port() < 7_002;
            if side(send.to) == side(send.datagram.from.peer) {
                network.deliver(&send);
            }
        }
    }
    assert!(
        network.views[0].live().count() < COUNT - 1,
        "the partition was detected"
    );
    network.stabilize();
    assert!(
        network
            .views
            .iter()
            .all(|view| view.live().count() == COUNT - 1)
    );
}

#[test]
fn newer_version_is_reported() {
    let mut network = Network::new(3);
    network.stabilize();
    network.views[1].set_digest(Digest {
        version: Version(9),
        hash: 1,
    });
    let effects = network.views[1].tick(network.now + TICK * 10, &mut network.rng);
    let probe = effects.sends.first().expect("a probe");
    let receiver = (0..COUNT)
        .find(|&index| address(index) == probe.to)
        .expect("known");
    let effects = network.views[receiver].receive(network.now, &probe.datagram);
    assert_eq!(effects.newer_config_at, Some(address(1)));
    assert_eq!(
        network.views[receiver].highest_version(address(1)),
        Version(9)
    );
}

#[test]
fn leaver_is_dropped_at_once() {
    let mut network = Network::new(4);
    network.stabilize();
    let sends = network.views[0].leave(Health::Left, &mut network.rng);
    assert!(!sends.is_empty());
    for send in sends {
        let receiver = (0..COUNT)
            .find(|&index| address(index) == send.to)
            .expect("known");
        network.views[receiver].receive(network.now, &send.datagram);
        assert!(
            network.views[receiver]
                .live()
                .all(|member| member.peer != address(0))
        );
    }
}

/// Guards against the failure of a member that is propagated minutes late, while callers are sent to a dead host:
/// a data centre of two hundred comes back, and its updates fill every datagram for minutes.
#[test]
fn latest_update_is_sent_first() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut view = View::new(member(0, 1), Timing::default());
    for index in 1..200 {
        view.merge(now, &member(index, 1));
    }
    for step in 1..20 {
        view.tick(now + TICK * 6 * step, &mut rng);
    }
    let mut gone = member(199, 1);
    gone.health = Health::Gone;
    view.merge(now, &gone);
    let effects = view.tick(now + TICK * 200, &mut rng);
    let has_update = |send: &Send| send.datagram.updates.contains(&gone);
    assert!(
        effects.sends.iter().any(has_update),
        "{:?}",
        effects.sends.len()
    );
}

/// Guards against a daemon that restarts after a planned stop, knows nobody since the list of daemons is
/// unavailable, and refuses its callers until the list is back: the other daemons have to probe it.
#[test]
fn restarted_leaver_is_found() {
    let mut network = Network::new(6);
    network.stabilize();
    let sends = network.views[0].leave(Health::Left, &mut network.rng);
    network.enqueue(Effects {
        sends,
        ..Effects::default()
    });
    network.stabilize();
    network.views[0] = View::new(member(0, 1_000), Timing::default());
    network.stabilize();
    assert_eq!(network.views[0].live().count(), COUNT - 1);
    assert!(
        network.views[1]
            .live()
            .any(|member| member.peer == address(0))
    );
}

/// Guards against probes that go to all members alike: in a fleet of three data centres, two thirds of their
/// bytes, which grow with the fleet, would pass between data centres and be paid for.
#[test]
fn probes_are_mostly_local() {
    let (local, remote) = (DataCentre::from("eros"), DataCentre::from("olympia"));
    let at = |index: usize| {
        let data_centre = if index < 4 { &local } else { &remote };
        Member {
            data_centre: data_centre.clone(),
            ..member(index, 1)
        }
    };
    let mut now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut view = View::new(at(0), Timing::default());
    for index in 1..12 {
        view.merge(now, &at(index));
    }
    let mut probed = [0_usize; 12];
    for _ in 0..400 {
        now += Timing::default().probe_period;
        let effects = view.tick(now, &mut rng);
        for send in effects.sends {
            let index = (0..12).find(|index| address(*index) == send.to);
            probed[index.expect("known")] += 1;
            // All members respond, so that none is suspected.
            let answer = View::new(at(index.expect("known")), Timing::default())
                .receive(now, &send.datagram)
                .sends;
            // Requests for missing entries are counted as well, and have no response here.
            if let Some(answer) = answer.first() {
                view.receive(now, &answer.datagram);
            }
        }
    }
    let remote_count: usize = probed[4..].iter().sum();
    assert!(
        remote_count * 100 <= 30 * probed.iter().sum::<usize>(),
        "{probed:?}"
    );
    assert!(probed[1..].iter().all(|count| *count > 0), "{probed:?}");
}

/// Guards against a member that restarts in a large fleet and is probed by all daemons in each period, and
/// against one that is found late.
#[test]
fn revisits_do_not_grow() {
    const PERIODS: u32 = 20;
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(8);
    let departed = Member {
        health: Health::Left,
        ..member(0, 1)
    };
    for daemons in [100, 200] {
        let members: Vec<Member> = (1..=daemons).map(|index| member(index, 1)).collect();
        let mut revisits = 0;
        for me in &members {
            let mut view = View::new(me.clone(), Timing::default());
            view.adopt(now, &members);
            view.merge(now, &departed);
            for period in 1..=PERIODS {
                let effects = view.tick(now + Timing::default().probe_period * period, &mut rng);
                let to_departed = effects.sends.iter().filter(|send| send.to == departed.peer);
                revisits += u32::try_from(to_departed.count()).expect("few");
            }
        }
        let mean = revisits / PERIODS;
        assert!((4..=12).contains(&mean), "{mean} a period of {daemons}");
    }
}

/// Guards against a daemon that never notices that a member is gone, since it is the only one in its data centre
/// and probes no remote members.
#[test]
fn single_local_member_probes_remote_ones() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut view = View::new(member(0, 1), Timing::default());
    let remote = Member {
        data_centre: DataCentre::from("olympia"),
        ..member(1, 1)
    };
    view.merge(now, &remote);
    let effects = view.tick(now, &mut rng);
    assert!(effects.sends.iter().any(|send| send.to == remote.peer));
}

/// Guards against watermarks that are sent to other data centres after each read.
#[test]
fn watermarks_stay_local() {
    let now = Instant::now();
    let mut view = View::new(member(0, 1), Timing::default());
    let remote = Member {
        data_centre: DataCentre::from("olympia"),
        ..member(2, 1)
    };
    view.merge(now, &member(1, 1));
    view.merge(now, &remote);
    let watermark = Report {
        age: Millis(5),
        next: Position {
            generation: Generation(0),
            offset: Offset(9),
        },
    };
    view.set_watermark(Some(watermark));
    let sends = view.send_watermark();
    let receivers: Vec<SocketAddr> = sends.iter().map(|send| send.to).collect();
    assert_eq!(receivers, [address(1)]);
    assert_eq!(sends[0].datagram.watermark, Some(watermark));
}

/// Guards against a departure that peers forget as soon as the daemon that acknowledged it has restarted.
#[test]
fn departures_outlive_restart() {
    let mut view = View::new(member(0, 1), Timing::default());
    let now = Instant::now();
    let departure = Departure {
        instance: "a".into(),
        started_until: None,
    };
    let departing = Member {
        departures: vec![departure.clone()],
        ..member(1, 1)
    };
    view.merge(now, &departing);
    view.merge(now, &member(1, 2));
    assert_eq!(view.departures(address(1)), [departure]);
}
