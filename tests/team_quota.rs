//! Quotas of teams: a fleet of the state machines in virtual time, without a network.

use std::cmp::Reverse;
use std::collections::{BTreeMap, BinaryHeap};
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use jackdawpulley::membership::member::{Health, Member, Stage};
use jackdawpulley::quota::collector::Collector;
use jackdawpulley::quota::fleet::Fleet;
use jackdawpulley::quota::messages::{Counts, MAX_TEAMS, Message, Sums, pages};
use jackdawpulley::quota::reporter::Reporter;
use jackdawpulley::quota::{Allowance, TeamHash};
use jackdawpulley::units::{Burst, DataCentre, Incarnation, Millis, Priority, Rate};
use jackdawpulley::wire;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

const MS: u64 = 1;
const SECOND: u64 = 1_000 * MS;
/// Time after which the stand-in for the membership takes an unreachable member for gone.
const GONE_AFTER: u64 = 4 * SECOND;
const WINDOW: u64 = 5 * SECOND;
/// Time after a shift in demand in which requests may be refused.
const SHIFT: u64 = 500 * MS;
/// Time after a burst in which a team's requests may still be refused.
const RECOVERY: u64 = SECOND;

/// What happens during a run; times in milliseconds.
#[derive(Debug, Clone, Default)]
struct Plan {
    daemons: usize,
    teams: Vec<Team>,
    loss: f64,
    /// Longest delay of one datagram in a hundred; the others take 1 ms.
    delay: u64,
    duplicates: f64,
    /// Start, end and side of each daemon.
    partitions: Vec<(u64, u64, Vec<bool>)>,
    /// Time, daemon and time of its next start.
    kills: Vec<(u64, usize, u64)>,
    /// Start, daemon and end.
    pauses: Vec<(u64, usize, u64)>,
    length: u64,
}

#[derive(Debug, Clone)]
struct Team {
    rate: f64,
    burst: u64,
    /// Start of each phase, requests per second, and the weight of each daemon.
    phases: Vec<(u64, f64, Vec<f64>)>,
    /// Time and rate from which a lowered limit applies; each daemon has it within 2.5 s.
    lowered: Option<(u64, f64)>,
}

struct Daemon {
    reporter: Reporter,
    collector: Collector,
    fleet: Fleet,
    is_up: bool,
    paused_until: u64,
    mailbox: Vec<(usize, Message)>,
    last_contact: Vec<u64>,
    config_delay: u64,
}

enum Event {
    Tick(usize),
    Deliver(usize, usize, Message),
    Request(usize),
}

#[derive(Debug, Default)]
struct Outcome {
    /// Admitted requests of each team.
    admitted: Vec<Vec<u64>>,
    /// Requests of each team, with the time and whether they were admitted.
    asked: Vec<Vec<(u64, bool)>>,
    messages: usize,
    largest: usize,
}

fn address(index: usize) -> SocketAddr {
    SocketAddr::from(([10, 0, 0, 1], 1_000 + u16::try_from(index).unwrap()))
}

fn member(index: usize, health: Health) -> Member {
    Member {
        peer: address(index),
        operator: address(index),
        data_centre: data_centre(index),
        incarnation: Incarnation(1),
        health,
        stage: Stage::Serving,
        offer: None,
        departures: Vec::new(),
    }
}

fn data_centre(index: usize) -> DataCentre {
    DataCentre(format!("dc-{}", index % 3))
}

impl Team {
    fn hash(index: usize) -> TeamHash {
        TeamHash::of(&format!("team-{index}"))
    }

    fn rate_at(&self, time: u64) -> f64 {
        let lowered = self.lowered.filter(|(at, _)| time >= *at);
        lowered.map_or(self.rate, |(_, rate)| rate)
    }

    fn allowance(&self, index: usize, time: u64) -> Allowance {
        Allowance {
            team: Self::hash(index),
            rate: Rate::new(self.rate_at(time)).unwrap(),
            burst: Burst(self.burst),
        }
    }
}

impl Plan {
    fn is_linked(&self, time: u64, a: usize, b: usize) -> bool {
        let cuts = self.partitions.iter();
        let mut cuts = cuts.filter(|(from, to, _)| (*from..*to).contains(&time));
        cuts.all(|(_, _, side)| side[a] == side[b])
    }

    fn run(&self, seed: u64) -> Outcome {
        let mut world = World::new(self, seed);
        world.run();
        world.outcome
    }
}

struct World<'a> {
    plan: &'a Plan,
    rng: SmallRng,
    origin: Instant,
    daemons: Vec<Daemon>,
    queue: BinaryHeap<Reverse<(u64, u64, usize)>>,
    events: BTreeMap<usize, Event>,
    next: usize,
    outcome: Outcome,
    /// Number of the next event; keeps those of one time in order.
    order: u64,
}

impl<'a> World<'a> {
    fn new(plan: &'a Plan, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        let origin = Instant::now();
        let daemons = (0..plan.daemons).map(|index| Daemon {
            reporter: Reporter::new(origin, rng.random()),
            collector: Collector::new(address(index), rng.random()),
            fleet: Fleet::default(),
            is_up: true,
            paused_until: 0,
            mailbox: Vec::new(),
            last_contact: vec![0; plan.daemons],
            config_delay: rng.random_range(0..2_500),
        });
        let daemons = daemons.collect();
        let outcome = Outcome {
            admitted: vec![Vec::new(); plan.teams.len()],
            asked: vec![Vec::new(); plan.teams.len()],
            ..Outcome::default()
        };
        Self {
            plan,
            origin,
            daemons,
            queue: BinaryHeap::new(),
            events: BTreeMap::new(),
            next: 0,
            outcome,
            order: 0,
            rng,
        }
    }

    fn schedule(&mut self, at: u64, event: Event) {
        self.events.insert(self.next, event);
        self.order += 1;
        self.queue.push(Reverse((at, self.order, self.next)));
        self.next += 1;
    }

    fn run(&mut self) {
        for index in 0..self.plan.daemons {
            self.refresh(0, index);
            let at = self.rng.random_range(0..250);
            self.schedule(at, Event::Tick(index));
        }
        for team in 0..self.plan.teams.len() {
            self.schedule_request(0, team);
        }
        let mut faults = self.plan.kills.clone();
        faults.sort_unstable();
        while let Some(Reverse((time, _, id))) = self.queue.pop() {
            if time >= self.plan.length {
                break;
            }
            while faults.first().is_some_and(|(at, _, _)| time >= *at) {
                let (_, index, _) = faults.remove(0);
                self.daemons[index].is_up = false;
                self.daemons[index].mailbox.clear();
            }
            match self.events.remove(&id).unwrap() {
                Event::Tick(index) => self.tick(time, index),
                Event::Deliver(from, to, message) => self.deliver(time, from, to, message),
                Event::Request(team) => self.request(time, team),
            }
        }
    }

    fn now(&self, time: u64) -> Instant {
        self.origin + Duration::from_millis(time)
    }

    fn refresh(&mut self, time: u64, index: usize) {
        for peer in 0..self.plan.daemons {
            if self.daemons[peer].is_up && self.plan.is_linked(time, index, peer) {
                self.daemons[index].last_contact[peer] = time;
            }
        }
        let health = |last: u64| {
            if time < last + GONE_AFTER {
                Health::Alive
            } else {
                Health::Gone
            }
        };
        let contacts = self.daemons[index].last_contact.iter().enumerate();
        let members: Vec<Member> = contacts.map(|(i, last)| member(i, health(*last))).collect();
        self.daemons[index].fleet = Fleet::new(&data_centre(index), members.iter());
    }

    fn is_paused(&mut self, time: u64, index: usize) -> bool {
        let pauses = self.plan.pauses.iter();
        let mut pauses =
            pauses.filter(|(from, who, to)| *who == index && (*from..*to).contains(&time));
        if let Some((_, _, to)) = pauses.next() {
            self.daemons[index].paused_until = *to;
            return true;
        }
        false
    }

    fn tick(&mut self, time: u64, index: usize) {
        let now = self.now(time);
        if !self.daemons[index].is_up {
            let kills = self.plan.kills.iter();
            let mut kills =
                kills.filter(|(at, who, back)| *who == index && *at <= time && *back <= time);
            if kills.next().is_some() {
                let daemon = &mut self.daemons[index];
                daemon.reporter = Reporter::new(now, self.rng.random());
                daemon.collector = Collector::new(address(index), self.rng.random());
                daemon.is_up = true;
            }
            self.schedule(time + 10, Event::Tick(index));
            return;
        }
        if self.is_paused(time, index) {
            let until = self.daemons[index].paused_until;
            self.schedule(until, Event::Tick(index));
            return;
        }
        if time % 250 < 10 {
            self.refresh(time, index);
        }
        self.configure(time, index);
        let waiting = std::mem::take(&mut self.daemons[index].mailbox);
        for (from, message) in waiting {
            self.deliver(time, from, index, message);
        }
        let daemon = &mut self.daemons[index];
        let fleet = daemon.fleet.clone();
        let mut sends = daemon.reporter.tick(now, &fleet);
        sends.extend(daemon.collector.tick(now, &fleet));
        self.send(time, index, sends);
        self.schedule(time + 10, Event::Tick(index));
    }

    fn configure(&mut self, time: u64, index: usize) {
        let now = self.now(time);
        let seen = time.saturating_sub(self.daemons[index].config_delay);
        let teams = self.plan.teams.iter().enumerate();
        let mut allowances: Vec<Allowance> =
            teams.map(|(i, team)| team.allowance(i, seen)).collect();
        allowances.sort_by_key(|allowance| allowance.team);
        self.daemons[index]
            .collector
            .set_allowances(now, &allowances);
    }

    fn send(&mut self, time: u64, from: usize, sends: Vec<(SocketAddr, Message)>) {
        for (peer, message) in sends {
            let to = usize::from(peer.port() - 1_000);
            self.outcome.messages += 1;
            self.outcome.largest = self.outcome.largest.max(wire::encode(&message).len());
            let copies = 1 + u32::from(self.rng.random_bool(self.plan.duplicates));
            for _ in 0..copies {
                if from != to && self.rng.random_bool(self.plan.loss) {
                    continue;
                }
                let slow = self.plan.delay > 0 && self.rng.random_bool(0.05);
                let delay = if slow {
                    self.rng.random_range(1..=self.plan.delay)
                } else {
                    1
                };
                self.schedule(time + delay, Event::Deliver(from, to, message.clone()));
            }
        }
    }

    fn deliver(&mut self, time: u64, from: usize, to: usize, message: Message) {
        if !self.daemons[to].is_up || !self.plan.is_linked(time, from, to) {
            return;
        }
        if self.is_paused(time, to) {
            self.daemons[to].mailbox.push((from, message));
            return;
        }
        let now = self.now(time);
        let peer = address(from);
        let daemon = &mut self.daemons[to];
        let fleet = daemon.fleet.clone();
        let sends = match message {
            Message::Report(report) => daemon.collector.receive_report(now, peer, &report, &fleet),
            Message::Reply(reply) => {
                daemon.reporter.receive(now, peer, &reply, &fleet);
                Vec::new()
            }
            Message::Sums(sums) => {
                daemon.collector.receive_sums(now, peer, &sums, &fleet);
                Vec::new()
            }
        };
        self.send(time, to, sends);
    }

    fn schedule_request(&mut self, time: u64, team: usize) {
        let phases = &self.plan.teams[team].phases;
        let rate = phases
            .iter()
            .rev()
            .find(|(at, _, _)| time >= *at)
            .unwrap()
            .1;
        // Exponential gaps, in whole milliseconds.
        let gap = -self.rng.random_range(f64::MIN_POSITIVE..1.0f64).ln() / rate.max(0.1) * 1e3;
        let whole = gap.floor();
        let extra = u64::from(self.rng.random_bool(gap - whole));
        let wait = Duration::from_secs_f64(whole.min(1e6) / 1e3).as_millis();
        let wait = u64::try_from(wait).unwrap() + extra;
        let next = phases.iter().map(|(at, _, _)| *at).find(|at| *at > time);
        let at = next.map_or(time + wait, |next| next.min(time + wait));
        self.schedule(at, Event::Request(team));
    }

    fn request(&mut self, time: u64, index: usize) {
        self.schedule_request(time, index);
        let plan = self.plan;
        let team = &plan.teams[index];
        let (_, _, weights) = team
            .phases
            .iter()
            .rev()
            .find(|(at, _, _)| time >= *at)
            .unwrap();
        let mut draw = self.rng.random_range(0.0..weights.iter().sum::<f64>());
        let to = weights.iter().position(|weight| {
            draw -= weight;
            draw <= 0.0
        });
        let to = to.unwrap_or(0);
        if !self.daemons[to].is_up || self.is_paused(time, to) {
            return;
        }
        let now = self.now(time);
        let seen = time.saturating_sub(self.daemons[to].config_delay);
        let allowance = team.allowance(index, seen);
        let result = self.daemons[to].reporter.admit(now, allowance, Priority(0));
        self.outcome.asked[index].push((time, result.is_ok()));
        if let Ok(ticket) = result {
            if self.rng.random_bool(0.03) {
                // Refused by a target: it does not count.
                self.daemons[to].reporter.give_back(ticket);
            } else {
                self.outcome.admitted[index].push(time);
            }
        }
    }
}

/// Requirement 8: in any 5 s, at most (rate x 5 + burst) x 1.1 + 20 requests of a team are admitted.
fn over_quota(plan: &Plan, outcome: &Outcome) -> Option<String> {
    let teams = plan.teams.iter().enumerate();
    let mut worst: Option<(f64, String)> = None;
    for (index, team) in teams {
        let times = &outcome.admitted[index];
        let mut end = 0;
        for (start, time) in times.iter().enumerate() {
            while end < times.len() && times[end] < time + WINDOW {
                end += 1;
            }
            // The lowered limit binds windows that begin once all daemons have it.
            let known = time.saturating_sub(2_500);
            let rate = team.rate_at(known);
            let burst = f64::from(u32::try_from(team.burst).unwrap());
            let allowed = (rate * 5.0 + burst) * 1.1 + 20.0;
            let seen = f64::from(u32::try_from(end - start).unwrap());
            if seen > allowed
                && worst
                    .as_ref()
                    .is_none_or(|(ratio, _)| seen / allowed > *ratio)
            {
                let text = format!("team {index}: {seen} of {allowed:.0} allowed from {time} ms");
                worst = Some((seen / allowed, text));
            }
        }
    }
    worst.map(|(_, text)| text)
}

/// Requirement 9: no request of a team below its quota is refused, but for a few hundred milliseconds after each change
/// of its demand.
///
/// The quota is a bucket that takes what the quota allows. A team is above its quota from 300 ms before that bucket
/// refuses a request: what is limited before the bucket is empty, so that it does not become far overdrawn.
fn refused_below(plan: &Plan, outcome: &Outcome) -> Option<String> {
    let mut faults = Vec::new();
    for (index, team) in plan.teams.iter().enumerate() {
        let burst = f64::from(u32::try_from(team.burst).unwrap());
        let (mut tokens, mut last, mut above) = (burst, 0, Vec::new());
        for (time, _) in &outcome.asked[index] {
            let seconds = Duration::from_millis(time - last).as_secs_f64();
            tokens = (tokens + seconds * team.rate).min(burst);
            last = *time;
            if tokens < 1.0 {
                above.push(*time);
            } else {
                tokens -= 1.0;
            }
        }
        for (time, admitted) in &outcome.asked[index] {
            let starts = team.phases.iter().map(|(at, _, _)| *at);
            let mut shifts = starts.filter(|at| time >= at && *time < at + SHIFT);
            let next = above.partition_point(|above| above + RECOVERY < *time);
            let is_above = above.get(next).is_some_and(|above| *above <= time + 300);
            if !admitted && !is_above && shifts.next().is_none() {
                faults.push((index, *time));
            }
        }
    }
    let first = faults.first()?;
    Some(format!(
        "{} refused, first (team, ms): {first:?}",
        faults.len()
    ))
}

fn weights(rng: &mut SmallRng, daemons: usize) -> Vec<f64> {
    let kind = rng.random_range(0..4);
    let favoured = rng.random_range(0..daemons);
    let weight = |index: usize, rng: &mut SmallRng| match kind {
        0 => 1.0,
        1 => f64::from(u8::from(index == favoured)),
        2 => f64::from(u8::from(index % 3 == favoured % 3)),
        _ => rng.random_range(0.0..1.0f64).powi(4) + 0.001,
    };
    (0..daemons).map(|index| weight(index, rng)).collect()
}

fn team(rng: &mut SmallRng, daemons: usize, is_busy: bool) -> Team {
    let rate = 3.0 * 100f64.powf(rng.random_range(0.0..1.0));
    let burst = (rate * rng.random_range(0.5..2.0)).ceil();
    let usual = rate / 1.6;
    let mut phases = vec![(0, usual, weights(rng, daemons))];
    if is_busy {
        // The buckets are full by then.
        let begin = rng.random_range(7 * SECOND..9 * SECOND);
        let factor = rng.random_range(2.8..7.5);
        let end = begin + rng.random_range(5 * SECOND..8 * SECOND);
        phases.push((begin, usual * factor, weights(rng, daemons)));
        phases.push((end, usual, weights(rng, daemons)));
    } else {
        phases.push((6 * SECOND, usual, weights(rng, daemons)));
        phases.push((10 * SECOND, usual * 0.5, weights(rng, daemons)));
    }
    let burst = Duration::from_secs_f64(burst).as_secs();
    Team {
        rate,
        burst,
        phases,
        lowered: None,
    }
}

/// A plan with even and one-sided load; busy teams and faults of each kind on request.
fn plan(seed: u64, is_busy: bool, has_faults: bool) -> Plan {
    let rng = &mut SmallRng::seed_from_u64(seed ^ 0x5eed);
    let daemons = rng.random_range(4..24);
    let length = 20 * SECOND;
    let teams = (0..rng.random_range(1..3))
        .map(|_| team(rng, daemons, is_busy))
        .collect();
    let mut plan = Plan {
        daemons,
        teams,
        loss: [0.0, 0.02, 0.1][rng.random_range(0..3)],
        delay: [0, 20, 120][rng.random_range(0..3)],
        duplicates: 0.05,
        length,
        ..Plan::default()
    };
    if !has_faults {
        return plan;
    }
    if rng.random_bool(0.5) {
        for _ in 0..rng.random_range(1..3) {
            let from = rng.random_range(2 * SECOND..16 * SECOND);
            let to = from + rng.random_range(200 * MS..10 * SECOND);
            let part = rng.random_range(0.1..0.9);
            let by_site = rng.random_bool(0.5);
            let side = |index: usize, rng: &mut SmallRng| {
                if by_site {
                    index.is_multiple_of(3)
                } else {
                    rng.random_bool(part)
                }
            };
            let side = (0..daemons).map(|index| side(index, rng)).collect();
            plan.partitions.push((from, to, side));
        }
    }
    if rng.random_bool(0.4) {
        let at = rng.random_range(2 * SECOND..14 * SECOND);
        let part = rng.random_range(0.05..0.8);
        for index in 0..daemons {
            if rng.random_bool(part) {
                let at = at + rng.random_range(0..300);
                let back = at + rng.random_range(200 * MS..8 * SECOND);
                plan.kills.push((at, index, back));
            }
        }
    }
    if rng.random_bool(0.4) {
        for _ in 0..rng.random_range(1..4) {
            let from = rng.random_range(2 * SECOND..16 * SECOND);
            let to = from + rng.random_range(100 * MS..5 * SECOND);
            plan.pauses.push((from, rng.random_range(0..daemons), to));
        }
    }
    if rng.random_bool(0.2) {
        let at = rng.random_range(SECOND..6 * SECOND);
        let lowered = plan.teams[0].rate * rng.random_range(0.2..0.8);
        plan.teams[0].lowered = Some((at, lowered));
    }
    plan
}

/// Runs the seeds of one kind on a few threads and reports every one that breaks the requirement.
///
/// `SEED` in the environment runs that seed alone, `SEEDS` that many.
fn check(
    seeds: u64,
    is_busy: bool,
    has_faults: bool,
    find: impl Fn(&Plan, &Outcome) -> Option<String> + Sync,
) {
    let number = |name| std::env::var(name).ok()?.parse().ok();
    let seeds = 0..number("SEEDS").unwrap_or(seeds);
    let seeds: Vec<u64> = number("SEED").map_or_else(|| seeds.collect(), |seed| vec![seed]);
    let run = |seeds: &[u64]| {
        let mut broken = Vec::new();
        for seed in seeds {
            let plan = plan(*seed, is_busy, has_faults);
            let outcome = plan.run(*seed);
            let largest = outcome.largest;
            assert!(largest < 1_100, "a message of {largest} bytes");
            broken.extend(find(&plan, &outcome).map(|fault| format!("seed {seed}: {fault}")));
        }
        broken
    };
    let broken: Vec<String> = std::thread::scope(|scope| {
        let parts = seeds.chunks(seeds.len().div_ceil(4));
        let threads: Vec<_> = parts.map(|part| scope.spawn(|| run(part))).collect();
        let results = threads.into_iter().map(|thread| thread.join().unwrap());
        results.flatten().collect()
    });
    let (count, all) = (broken.len(), seeds.len());
    let listed = &broken[..count.min(40)];
    assert!(count == 0, "{count} of {all} seeds:\n{}", listed.join("\n"));
}

/// Guards against a datagram that is too large when many teams have news.
#[test]
fn a_full_page_fits_a_datagram() {
    let counts = Counts {
        team: TeamHash(u64::MAX),
        asked: i64::MAX,
        admitted: i64::MAX,
        debt: u32::MAX,
    };
    for teams in pages(&[counts; 2 * MAX_TEAMS + 1]) {
        let message = Message::Sums(Sums {
            epoch: u64::MAX,
            seq: u64::MAX,
            age: Millis(u64::MAX),
            reporting: u32::MAX,
            teams,
        });
        assert!(wire::encode(&message).len() < 1_100);
    }
}

/// Guards against refusals of a team that stays below its quota, wherever its requests arrive.
#[test]
fn below_the_quota_nothing_is_refused() {
    check(300, false, false, refused_below);
}

/// Guards against a team that gets more than its quota by sending many times its usual.
#[test]
fn a_busy_team_stays_within_its_quota() {
    check(300, true, false, over_quota);
}

/// Guards against refusals while a burst still fits the quota, and long after it.
#[test]
fn a_busy_team_is_refused_above_its_quota_only() {
    check(300, true, false, refused_below);
}

/// Guards against a quota that is exceeded while daemons are killed, paused, cut off or lose datagrams.
#[test]
fn the_quota_holds_through_faults() {
    check(600, true, true, over_quota);
}

/// Guards against a data centre without a collector after the planned stop of its collector.
#[test]
fn stopping_collector_is_replaced() {
    let mut members: Vec<Member> = (0..3).map(|index| member(index, Health::Alive)).collect();
    for member in &mut members {
        member.data_centre = members_data_centre();
    }
    let candidates = |members: &[Member]| {
        let fleet = Fleet::new(&members_data_centre(), members.iter());
        fleet.candidates().to_vec()
    };
    let before = candidates(&members);
    let first = members.iter_mut().find(|member| member.peer == before[0]);
    first.expect("it is a member").stage = Stage::Leaving;
    assert_eq!(candidates(&members), [before[1], before[2], before[0]]);
}

fn members_data_centre() -> DataCentre {
    DataCentre::from("here")
}
