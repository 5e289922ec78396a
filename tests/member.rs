//! The membership view under loss, reordering, duplication and restarts.

mod common;

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use common::fixed;
use jackdawpulley::configuration::control_plane::Position;
use jackdawpulley::configuration::exchange::Digest;
use jackdawpulley::configuration::freshness::Report;
use jackdawpulley::membership::member::{Health, Member, Stage};
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
    }
}

#[derive(Debug, Clone)]
enum Step {
    Tick(usize),
    Deliver(usize),
    Repeat(usize),
    Lose(usize),
    Pause(u64),
    Restart(usize),
}

fn step() -> impl Strategy<Value = Step> {
    prop_oneof![
        10 => (0..COUNT).prop_map(Step::Tick),
        12 => (0_usize..20).prop_map(Step::Deliver),
        2 => (0_usize..20).prop_map(Step::Repeat),
        4 => (0_usize..20).prop_map(Step::Lose),
        2 => (1_u64..20).prop_map(Step::Pause),
        1 => (0..COUNT).prop_map(Step::Restart),
    ]
}

/// Views and the datagrams between them, in any order.
struct Net {
    now: Instant,
    rng: SmallRng,
    views: Vec<View>,
    flying: Vec<Send>,
}

impl Net {
    fn new(seed: u64) -> Self {
        let now = Instant::now();
        let views = (0..COUNT).map(|index| View::new(member(index, 1), Timing::default()));
        let mut net = Self {
            now,
            rng: SmallRng::seed_from_u64(seed),
            views: views.collect(),
            flying: Vec::new(),
        };
        for view in &mut net.views[1..] {
            view.merge(now, &member(0, 1));
        }
        net
    }

    fn carry(&mut self, effects: Effects) {
        self.flying.extend(effects.sends);
        self.flying.truncate(200);
    }

    fn tick(&mut self, index: usize) {
        self.now += TICK / 5;
        let effects = self.views[index].tick(self.now, &mut self.rng);
        self.carry(effects);
    }

    fn deliver(&mut self, send: &Send) {
        let receiver = (0..COUNT).find(|&index| address(index) == send.to);
        let effects = self.views[receiver.expect("known")].receive(self.now, &send.datagram);
        self.carry(effects);
    }

    /// A daemon comes back at its address, knowing nothing, with a clock that was set back.
    fn restart(&mut self, index: usize) {
        let mut view = View::new(member(index, 1), Timing::default());
        let greeter = (index + 1) % COUNT;
        for known in self.views[greeter].members() {
            view.merge(self.now, &known);
        }
        self.views[index] = view;
    }

    fn run(&mut self, step: &Step) {
        match *step {
            Step::Tick(index) => self.tick(index),
            Step::Deliver(place) if !self.flying.is_empty() => {
                let send = self.flying.remove(place % self.flying.len());
                self.deliver(&send);
            }
            Step::Repeat(place) if !self.flying.is_empty() => {
                let send = self.flying[place % self.flying.len()].clone();
                self.deliver(&send);
            }
            Step::Lose(place) if !self.flying.is_empty() => {
                self.flying.remove(place % self.flying.len());
            }
            Step::Pause(ticks) => self.now += TICK * u32::try_from(ticks).expect("small"),
            Step::Restart(index) => self.restart(index),
            _ => {}
        }
    }

    /// Lets the network be well for a while.
    fn settle(&mut self) {
        for _ in 0..600 {
            self.now += TICK;
            for index in 0..COUNT {
                let effects = self.views[index].tick(self.now, &mut self.rng);
                self.carry(effects);
            }
            while !self.flying.is_empty() {
                let send = self.flying.remove(0);
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
    #![proptest_config(fixed(200))]

    #[test]
    fn views_agree_once_the_network_is_well(
        seed: u64,
        steps in prop::collection::vec(step(), 1..150),
    ) {
        let mut net = Net::new(seed);
        for step in steps {
            let before = net.incarnations();
            net.run(&step);
            if matches!(step, Step::Restart(_)) {
                continue;
            }
            for (old, new) in before.iter().zip(net.incarnations()) {
                for (peer, incarnation) in old {
                    let now = new.iter().find(|(other, _)| other == peer);
                    prop_assert!(now.is_none_or(|(_, now)| now >= incarnation));
                }
            }
        }
        net.settle();
        for view in &net.views {
            prop_assert_eq!(view.live().count(), COUNT - 1);
            prop_assert!(view.live().all(|member| member.health == Health::Alive));
        }
    }
}

/// A daemon is stopped for ten seconds and continued. All its probes look overdue, so it would
/// call every healthy member suspect, and the callers' requests would avoid them all.
#[test]
fn own_pause_is_not_blamed_on_others() {
    let mut net = Net::new(1);
    net.settle();
    net.now += Duration::from_secs(10);
    let effects = net.views[0].tick(net.now, &mut net.rng);
    assert!(!effects.changed);
    assert!(
        net.views[0]
            .live()
            .all(|member| member.health == Health::Alive)
    );
}

/// Two data centres part for longer than it takes to call the other side gone. When the link is
/// back nobody would probe the gone ones, and the split would last for ever.
#[test]
fn split_heals_by_itself() {
    let mut net = Net::new(2);
    net.settle();
    for _ in 0..200 {
        net.now += TICK;
        for index in 0..COUNT {
            let effects = net.views[index].tick(net.now, &mut net.rng);
            net.carry(effects);
        }
        let flying = std::mem::take(&mut net.flying);
        for send in flying {
            let side = |peer: SocketAddr| peer.port() < 7_002;
            if side(send.to) == side(send.datagram.from.peer) {
                net.deliver(&send);
            }
        }
    }
    assert!(net.views[0].live().count() < COUNT - 1, "the cut was seen");
    net.settle();
    assert!(
        net.views
            .iter()
            .all(|view| view.live().count() == COUNT - 1)
    );
}

#[test]
fn newer_version_is_noticed() {
    let mut net = Net::new(3);
    net.settle();
    net.views[1].set_digest(Digest {
        version: Version(9),
        hash: 1,
    });
    let effects = net.views[1].tick(net.now + TICK * 10, &mut net.rng);
    let probe = effects.sends.first().expect("a probe");
    let receiver = (0..COUNT)
        .find(|&index| address(index) == probe.to)
        .expect("known");
    let effects = net.views[receiver].receive(net.now, &probe.datagram);
    assert_eq!(effects.ahead, Some(address(1)));
    assert_eq!(net.views[receiver].ran(address(1)), Version(9));
}

#[test]
fn leaver_is_gone_at_once() {
    let mut net = Net::new(4);
    net.settle();
    let sends = net.views[0].leave(Health::Left, &mut net.rng);
    assert!(!sends.is_empty());
    for send in sends {
        let receiver = (0..COUNT)
            .find(|&index| address(index) == send.to)
            .expect("known");
        net.views[receiver].receive(net.now, &send.datagram);
        assert!(
            net.views[receiver]
                .live()
                .all(|member| member.peer != address(0))
        );
    }
}

/// A data centre of two hundred comes back and fills the news of every datagram for minutes. A
/// death meanwhile must be told in the next one, or callers are sent to a dead host for as long.
#[test]
fn latest_news_goes_first() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(5);
    let mut view = View::new(member(0, 1), Timing::default());
    for index in 1..200 {
        view.merge(now, &member(index, 1));
    }
    for step in 1..20 {
        view.tick(now + TICK * 6 * step, &mut rng);
    }
    let mut dead = member(199, 1);
    dead.health = Health::Gone;
    view.merge(now, &dead);
    let effects = view.tick(now + TICK * 200, &mut rng);
    let told = |send: &Send| send.datagram.news.contains(&dead);
    assert!(effects.sends.iter().any(told), "{:?}", effects.sends.len());
}

/// The platform's list of daemons is away when a daemon that was stopped as planned starts again,
/// so it knows nobody. Unless the others look for it, its callers are refused until the list is
/// back.
#[test]
fn returning_leaver_is_met() {
    let mut net = Net::new(6);
    net.settle();
    let sends = net.views[0].leave(Health::Left, &mut net.rng);
    net.carry(Effects {
        sends,
        ..Effects::default()
    });
    net.settle();
    net.views[0] = View::new(member(0, 1_000), Timing::default());
    net.settle();
    assert_eq!(net.views[0].live().count(), COUNT - 1);
    assert!(net.views[1].live().any(|member| member.peer == address(0)));
}

/// A fleet of three data centres on a calm day. Probes and their news go to every member alike, and
/// two thirds of their bytes, which grow with the fleet, pass between data centres and are paid for.
#[test]
fn probes_stay_near() {
    let (home, away) = (DataCentre::from("eros"), DataCentre::from("olympia"));
    let at = |index: usize| {
        let data_centre = if index < 4 { &home } else { &away };
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
        now += Timing::default().period;
        let effects = view.tick(now, &mut rng);
        for send in effects.sends {
            let index = (0..12).find(|index| address(*index) == send.to);
            probed[index.expect("known")] += 1;
            // Everybody answers, so that nobody is suspected.
            let answer = View::new(at(index.expect("known")), Timing::default())
                .receive(now, &send.datagram)
                .sends;
            view.receive(now, &answer[0].datagram);
        }
    }
    let far: usize = probed[4..].iter().sum();
    assert!(far * 100 <= 30 * probed.iter().sum::<usize>(), "{probed:?}");
    assert!(probed[1..].iter().all(|count| *count > 0), "{probed:?}");
}

/// A daemon that is alone in its data centre has nobody beside it. It has to probe the others all
/// the same, or it would never notice that one of them is gone.
#[test]
fn lonely_one_probes_the_others() {
    let now = Instant::now();
    let mut rng = SmallRng::seed_from_u64(7);
    let mut view = View::new(member(0, 1), Timing::default());
    let far = Member {
        data_centre: DataCentre::from("olympia"),
        ..member(1, 1)
    };
    view.merge(now, &far);
    let effects = view.tick(now, &mut rng);
    assert!(effects.sends.iter().any(|send| send.to == far.peer));
}

/// Guards against watermarks that cross to other data centres after each read.
#[test]
fn vouch_stays_near() {
    let now = Instant::now();
    let mut view = View::new(member(0, 1), Timing::default());
    let far = Member {
        data_centre: DataCentre::from("olympia"),
        ..member(2, 1)
    };
    view.merge(now, &member(1, 1));
    view.merge(now, &far);
    let watermark = Report {
        age: Millis(5),
        next: Position {
            generation: Generation(0),
            offset: Offset(9),
        },
    };
    view.set_watermark(Some(watermark));
    let sends = view.vouch();
    let told: Vec<SocketAddr> = sends.iter().map(|send| send.to).collect();
    assert_eq!(told, [address(1)]);
    assert_eq!(sends[0].datagram.watermark, Some(watermark));
}
