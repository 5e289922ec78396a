//! Discrete-event simulation of callers and targets, with the product's code making the decisions.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use jackdawpulley::calls::latency::{Baseline, Outstanding, Profile};
use jackdawpulley::calls::limit::{Decision, Limit};
use jackdawpulley::calls::pick::{self, Candidate, Cost};
use jackdawpulley::calls::wait::{self, Estimator};
use jackdawpulley::units::Millis;
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use super::kind::{Kind, Nested, kinds};
use super::statistics::{End, Statistics};
use super::{Args, Policy, Report};

/// Slots of each target.
const SLOTS: u32 = 18;
/// Capacity of each sidecar's queue.
const QUEUE: u32 = 256;
/// Processing times of the targets in turn, as multiples of an ordinary target's.
const SPEEDS: [f64; 3] = [0.6, 1.0, 1.4];
/// Share of occupied slots above which a target slows down, and its slowdown with all slots occupied.
const SLOWDOWN: (f64, f64) = (0.75, 1.4);
/// Cost of a kilobyte from another data centre, in milliseconds, and the share of the cost by which a
/// call waits less there; the settings of the platform's deploy file.
const REMOTE_COST: (f64, f64) = (200.0, 0.1);
/// Most sidecars that may refuse a call before its caller is refused.
const MAX_REFUSALS: usize = 3;
/// Range of the time after which refused callers retry, in milliseconds.
const RETURN_DELAY_MS: std::ops::Range<f64> = 150.0..500.0;
/// Longest processing time of a call, as a multiple of the mean.
const MAX_WORK_FACTOR: f64 = 8.0;

/// Scheduled event.
#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    /// The next call of a kind arrives at a host.
    Arrive { kind: usize, host: usize },
    /// A refused caller retries.
    Return { call: usize },
    /// A run ends.
    Finish { call: usize },
    /// A waiting call gives up.
    GiveUp { call: usize, ticket: u64 },
}

#[derive(Debug)]
struct Call {
    kind: usize,
    host: usize,
    /// When the call first arrived, in microseconds, as all times here.
    came: u64,
    /// When this attempt was made.
    sent: u64,
    returned: bool,
    tried: Vec<usize>,
    parent: Option<usize>,
    /// Nested calls that have not ended.
    open: u32,
    target: usize,
    /// When it was forwarded to the target's sidecar.
    placed: u64,
    began: u64,
    work_ms: f64,
    ended: bool,
}

#[derive(Debug)]
struct Target {
    service: usize,
    data_centre: usize,
    speed: f64,
    limit: Limit,
    running: u32,
    /// Waiting calls by ticket.
    waiting: Vec<(u64, usize)>,
}

/// State of one host's ingress.
#[derive(Debug)]
struct Ingress {
    data_centre: usize,
    baselines: Vec<Baseline>,
    estimators: Vec<Estimator>,
    profiles: Vec<Profile>,
    own: Vec<u32>,
    /// Sum of the times at which the outstanding calls were sent, for each target.
    sent: Vec<u64>,
}

impl Ingress {
    /// Own calls outstanding at a target.
    fn outstanding(&self, target: usize, now: u64) -> Outstanding {
        let count = self.own[target];
        let mean = self.sent[target].checked_div(u64::from(count));
        Outstanding {
            count,
            mean_age: Duration::from_micros(mean.map_or(0, |mean| now - mean)),
        }
    }
}

/// State of a run.
#[derive(Debug)]
pub struct Simulation {
    policy: Policy,
    kinds: Vec<Kind>,
    load: f64,
    crowd: f64,
    slow: f64,
    until: u64,
    now: u64,
    start: Instant,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    calls: Vec<Call>,
    targets: Vec<Target>,
    ingresses: Vec<Ingress>,
    statistics: Vec<Statistics>,
    seconds: Vec<(f64, f64)>,
    refused: u64,
    ran: u64,
    far_kb: f64,
}

impl Simulation {
    /// Creates the simulation in its initial state.
    #[must_use]
    pub fn new(args: &Args, policy: Policy) -> Self {
        let start = Instant::now();
        let kinds = kinds(args.deployment);
        let centres = args.deployment.data_centres().len();
        let services = args.deployment.services().iter().enumerate();
        let spread =
            services.flat_map(|(service, (_, count))| (0..*count).map(move |i| (service, i)));
        let targets: Vec<Target> = spread
            .map(|(service, index)| Target {
                service,
                data_centre: index % centres,
                speed: SPEEDS[index % SPEEDS.len()],
                limit: Limit::new(limit_of(policy).0, limit_of(policy).1),
                running: 0,
                waiting: Vec::new(),
            })
            .collect();
        let ingresses = targets.iter().map(|target| Ingress {
            data_centre: target.data_centre,
            baselines: vec![Baseline::default(); kinds.len()],
            estimators: vec![Estimator::default(); kinds.len()],
            profiles: vec![Profile::new(start); targets.len()],
            own: vec![0; targets.len()],
            sent: vec![0; targets.len()],
        });
        let ingresses = ingresses.collect();
        let seconds = vec![(0.0, 0.0); args.seconds as usize];
        Self {
            policy,
            statistics: vec![Statistics::new(); kinds.len()],
            kinds,
            load: args.load,
            crowd: args.crowd,
            slow: args.slow,
            until: u64::from(args.seconds) * 1_000_000,
            now: 0,
            start,
            rng: SmallRng::seed_from_u64(args.seed),
            events: BinaryHeap::new(),
            order: 0,
            calls: Vec::new(),
            targets,
            ingresses,
            seconds,
            refused: 0,
            ran: 0,
            far_kb: 0.0,
        }
    }

    /// Runs until every call has ended.
    pub fn run(&mut self) {
        for kind in 0..self.kinds.len() {
            for host in 0..self.ingresses.len() {
                self.schedule_arrival(kind, host);
            }
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive { kind, host } => {
                    self.schedule_arrival(kind, host);
                    let call = self.begin(kind, host, None);
                    self.place(call);
                }
                Event::Return { call } => {
                    self.calls[call].sent = self.now;
                    self.calls[call].tried.clear();
                    self.place(call);
                }
                Event::Finish { call } => self.finish(call),
                Event::GiveUp { call, ticket } => self.give_up(call, ticket),
            }
        }
    }

    /// Summarizes the run.
    #[must_use]
    pub fn report(&self, policy: Policy) -> Report {
        let (earned, worth) = self.seconds.iter().fold((0.0, 0.0), |sum, second| {
            (sum.0 + second.0, sum.1 + second.1)
        });
        let answered = self.statistics.iter().map(Statistics::answered);
        let (served, late) = answered.fold((0, 0), |sum, one| (sum.0 + one.0, sum.1 + one.1));
        let share = |part, whole: u64| {
            crate::measure::converge::as_f64(part) / crate::measure::converge::as_f64(whole.max(1))
        };
        let rows = self.statistics.iter().zip(&self.kinds);
        Report {
            trial: "load",
            policy,
            credit: earned / worth,
            late: share(late, served),
            far_kb: self.far_kb,
            refusals: share(self.refused, self.ran),
            kinds: rows.map(|(tally, kind)| tally.row(kind)).collect(),
            seconds: self
                .seconds
                .iter()
                .map(|(earned, worth)| earned / worth.max(1.0))
                .collect(),
        }
    }

    fn at(&self, time: u64) -> Instant {
        self.start + Duration::from_micros(time)
    }

    fn schedule(&mut self, after: Duration, event: Event) {
        self.order += 1;
        let time = self.now + u64::try_from(after.as_micros()).unwrap_or(u64::MAX / 2);
        self.events.push(Reverse((time, self.order, event)));
    }

    /// Schedules the next call of a kind at a host, at a random time.
    fn schedule_arrival(&mut self, kind: usize, host: usize) {
        let weight = |ingress: &Ingress| {
            if ingress.data_centre == 0 {
                self.crowd
            } else {
                1.0
            }
        };
        let share = weight(&self.ingresses[host]) / self.ingresses.iter().map(weight).sum::<f64>();
        let rate = self.kinds[kind].rate * self.load * share;
        if rate <= 0.0 {
            return;
        }
        let wait = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
        let wait = Duration::from_secs_f64(wait);
        if self.at(self.now) + wait < self.at(self.until) {
            self.schedule(wait, Event::Arrive { kind, host });
        }
    }

    fn begin(&mut self, kind: usize, host: usize, parent: Option<usize>) -> usize {
        let Kind { work, spread, .. } = self.kinds[kind];
        let mean_ms = work.duration().as_secs_f64() * 1_000.0;
        // Box-Muller transform: two uniform draws give a normal one, whose exponential has the wanted mean.
        let radius = (-2.0 * self.rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.rng.random_range(0.0..1.0)).cos();
        let draw = (spread * normal - spread * spread / 2.0).exp();
        self.calls.push(Call {
            kind,
            host,
            came: self.now,
            sent: self.now,
            returned: false,
            tried: Vec::new(),
            parent,
            open: 0,
            target: 0,
            placed: 0,
            began: 0,
            work_ms: mean_ms * draw.min(MAX_WORK_FACTOR),
            ended: false,
        });
        self.calls.len() - 1
    }

    /// Forwards a call to a sidecar that accepts it, as an ingress does.
    fn place(&mut self, call: usize) {
        let mut refusals = 0;
        loop {
            let Some(target) = self.choose(call) else {
                return self.refuse(call);
            };
            if self.enter(call, target) {
                return;
            }
            self.refused += 1;
            refusals += 1;
            self.record_refusal(call, target);
            self.calls[call].tried.push(target);
            if refusals == MAX_REFUSALS {
                return self.refuse(call);
            }
        }
    }

    /// Records the load that a sidecar reports with a refusal.
    fn record_refusal(&mut self, call: usize, target: usize) {
        if self.policy == Policy::ExpectedNear {
            return;
        }
        let now = self.at(self.now);
        let load = self.load_of(target);
        let ingress = &mut self.ingresses[self.calls[call].host];
        ingress.profiles[target].record_load(now, load, ingress.own[target]);
    }

    /// Number of calls that run at a target or wait at its sidecar.
    fn load_of(&self, target: usize) -> u32 {
        let there = &self.targets[target];
        there.running + count(there.waiting.len())
    }

    /// Longest expected wait for a slot at a target with which a call is admitted.
    fn max_wait(&mut self, call: usize, target: usize) -> Duration {
        let Call {
            kind,
            host,
            came,
            sent,
            ..
        } = self.calls[call];
        let Kind { aim, timeout, .. } = self.kinds[kind];
        let ingress = &mut self.ingresses[host];
        let baseline = ingress.baselines[kind];
        let before = Duration::from_micros(sent - came);
        let caller_timeout = Millis::from(timeout.duration().saturating_sub(before));
        let before = if self.policy == Policy::ExpectedAlike {
            Duration::ZERO
        } else {
            ingress.estimators[kind].caller_wait(caller_timeout)
        };
        let remote = ingress.data_centre != self.targets[target].data_centre;
        let transfer_ms = if remote {
            REMOTE_COST.0 * REMOTE_COST.1 * baseline.response_bytes / 1_024.0
        } else {
            0.0
        };
        let left = aim.duration().saturating_sub(before);
        wait::max_wait(
            left,
            baseline.processing() + Duration::from_secs_f64(transfer_ms / 1_000.0),
        )
    }

    fn choose(&mut self, call: usize) -> Option<usize> {
        let Call { kind, host, .. } = self.calls[call];
        let service = self.kinds[kind].service;
        let now = self.at(self.now);
        let all = 0..self.targets.len();
        let fresh: Vec<usize> = all
            .filter(|t| self.targets[*t].service == service && !self.calls[call].tried.contains(t))
            .collect();
        if matches!(self.policy, Policy::Random | Policy::TwoChoices) {
            let by = if self.policy == Policy::Random {
                pick::Policy::Random
            } else {
                pick::Policy::TwoChoices
            };
            let candidates: Vec<Candidate> =
                fresh.iter().map(|t| self.candidate(host, *t)).collect();
            return pick::choose(by, &candidates, &mut self.rng).map(|index| fresh[index]);
        }
        let ingress = &self.ingresses[host];
        let baseline = ingress.baselines[kind];
        let costs: Vec<Cost> = fresh
            .iter()
            .map(|target| {
                let expected = ingress.profiles[*target].expected_ms(
                    now,
                    ingress.outstanding(*target, self.now),
                    SLOTS,
                    &baseline,
                );
                let remote = ingress.data_centre != self.targets[*target].data_centre;
                let free =
                    !self.calls[call].tried.is_empty() && self.policy != Policy::ExpectedNear;
                let transfer_ms = if remote && !free {
                    REMOTE_COST.0 * (0.5 + baseline.response_bytes / 1_024.0)
                } else {
                    0.0
                };
                Cost {
                    ms: expected + transfer_ms,
                    held: false,
                    ejected: false,
                }
            })
            .collect();
        pick::cheapest(&costs, &mut self.rng).map(|index| fresh[index])
    }

    fn candidate(&self, host: usize, target: usize) -> Candidate {
        let (ingress, there) = (&self.ingresses[host], &self.targets[target]);
        Candidate {
            local: ingress.data_centre == there.data_centre,
            load: ingress.own[target].max(there.running),
            slots: SLOTS,
            share: 1.0,
            held: false,
            ejected: false,
        }
    }

    /// Requests a slot from a sidecar; returns `false` if the sidecar refuses.
    fn enter(&mut self, call: usize, target: usize) -> bool {
        let Call { kind, .. } = self.calls[call];
        let Kind {
            priority, timeout, ..
        } = self.kinds[kind];
        let tolerance = self.max_wait(call, target);
        let expected = !matches!(self.policy, Policy::Random | Policy::TwoChoices);
        let wait = self.targets[target].limit.expected_wait(priority);
        if expected && wait > tolerance {
            return false;
        }
        self.order += 1;
        let ticket = self.order;
        let (_, queue) = limit_of(self.policy);
        match self.targets[target].limit.acquire(ticket, priority) {
            Decision::Shed => return false,
            Decision::Run => {
                self.calls[call].target = target;
                self.track_request(call, target);
                self.start(call);
            }
            Decision::Wait { shed } => {
                debug_assert!(queue > 0);
                self.calls[call].target = target;
                self.track_request(call, target);
                self.targets[target].waiting.push((ticket, call));
                self.schedule(timeout.duration() / 2, Event::GiveUp { call, ticket });
                if let Some(shed) = shed {
                    self.drop_waiting(target, shed);
                }
            }
        }
        true
    }

    fn drop_waiting(&mut self, target: usize, ticket: u64) {
        let place = self.targets[target]
            .waiting
            .iter()
            .position(|(t, _)| *t == ticket);
        if let Some(place) = place {
            let (_, call) = self.targets[target].waiting.remove(place);
            self.untrack_request(call);
            self.refuse(call);
        }
    }

    fn give_up(&mut self, call: usize, ticket: u64) {
        let target = self.calls[call].target;
        let waits = self.targets[target]
            .waiting
            .iter()
            .any(|(t, c)| *t == ticket && *c == call);
        if waits && self.targets[target].limit.cancel(ticket) {
            self.drop_waiting(target, ticket);
        }
    }

    /// Runs a call: first its nested calls, then its own processing.
    fn start(&mut self, call: usize) {
        self.ran += 1;
        let Call { kind, target, .. } = self.calls[call];
        self.calls[call].began = self.now;
        self.targets[target].running += 1;
        let nested = self.kinds[kind].calls;
        let nested = nested.filter(|nested| self.rng.random_bool(nested.share));
        let Some(Nested { kind, times, .. }) = nested else {
            return self.work(call);
        };
        self.calls[call].open = times;
        // Hosts and targets have the same indices: the nested calls use the co-located ingress.
        for _ in 0..times {
            if self.calls[call].ended {
                return;
            }
            let inner = self.begin(kind, target, Some(call));
            self.place(inner);
        }
    }

    fn work(&mut self, call: usize) {
        let Call {
            target, work_ms, ..
        } = self.calls[call];
        let there = &self.targets[target];
        let fill = f64::from(there.running) / f64::from(SLOTS);
        let crowded = 1.0 + (fill - SLOWDOWN.0).max(0.0) / (1.0 - SLOWDOWN.0) * (SLOWDOWN.1 - 1.0);
        let third = self.until / 3;
        let slow = target == 0 && (third..2 * third).contains(&self.now);
        let slow = if slow { self.slow } else { 1.0 };
        let time = work_ms * there.speed * crowded * slow;
        self.schedule(
            Duration::from_secs_f64(time / 1_000.0),
            Event::Finish { call },
        );
    }

    fn finish(&mut self, call: usize) {
        let Call {
            kind,
            host,
            target,
            began,
            sent,
            came,
            ..
        } = self.calls[call];
        if self.calls[call].ended {
            return;
        }
        let now = self.at(self.now);
        let remote = self.ingresses[host].data_centre != self.targets[target].data_centre;
        self.far_kb += if remote { self.kinds[kind].kb } else { 0.0 };
        let work = Duration::from_micros(self.now - began);
        let load = self.load_of(target);
        let ingress = &mut self.ingresses[host];
        let factor = ingress.profiles[target].slowdown(now);
        ingress.baselines[kind].record(work, factor, bytes(self.kinds[kind].kb));
        let baseline = ingress.baselines[kind];
        ingress.profiles[target].record_response(now, work, &baseline);
        ingress.profiles[target].record_load(now, load, ingress.own[target]);
        self.leave(call);
        let deadline = self.kinds[kind].timeout.duration();
        let took = Duration::from_micros(self.now - came);
        let in_time = Duration::from_micros(self.now - sent) <= deadline && took <= deadline;
        let end = if in_time {
            End::Answered(Millis::from(took).0)
        } else {
            End::Failed
        };
        self.end(call, end);
    }

    fn track_request(&mut self, call: usize, target: usize) {
        self.calls[call].placed = self.now;
        let ingress = &mut self.ingresses[self.calls[call].host];
        ingress.own[target] += 1;
        ingress.sent[target] += self.now;
    }

    fn untrack_request(&mut self, call: usize) {
        let Call {
            host,
            target,
            placed,
            ..
        } = self.calls[call];
        let ingress = &mut self.ingresses[host];
        ingress.own[target] -= 1;
        ingress.sent[target] -= placed;
    }

    /// Releases the slot of a call and starts the call that gets it next.
    fn leave(&mut self, call: usize) {
        let Call { target, began, .. } = self.calls[call];
        self.untrack_request(call);
        let held = Duration::from_micros(self.now - began);
        let there = &mut self.targets[target];
        there.running -= 1;
        there.limit.record_hold(held);
        let next = there.limit.release();
        let place = next.and_then(|next| there.waiting.iter().position(|(t, _)| *t == next));
        if let Some(place) = place {
            let (_, next) = there.waiting.remove(place);
            self.start(next);
        }
    }

    fn refuse(&mut self, call: usize) {
        let Call {
            kind,
            came,
            returned,
            parent,
            ..
        } = self.calls[call];
        let waited = Duration::from_micros(self.now - came);
        if parent.is_some() || returned || waited >= self.kinds[kind].timeout.duration() {
            return self.end(call, End::Refused);
        }
        self.calls[call].returned = true;
        let pause = Duration::from_secs_f64(self.rng.random_range(RETURN_DELAY_MS) / 1_000.0);
        self.schedule(pause, Event::Return { call });
    }

    fn end(&mut self, call: usize, end: End) {
        let Call {
            kind, came, parent, ..
        } = self.calls[call];
        self.calls[call].ended = true;
        let Kind { worth, .. } = self.kinds[kind];
        let credit = worth * self.statistics[kind].count(&self.kinds[kind], end);
        let second = usize::try_from(came / 1_000_000).unwrap_or(usize::MAX);
        if let Some(sums) = self.seconds.get_mut(second) {
            sums.0 += credit;
            sums.1 += worth;
        }
        if let Some(parent) = parent {
            self.nested_call_ended(parent, matches!(end, End::Answered(_)));
        }
    }

    /// Handles the end of a nested call: its parent continues, or fails at once.
    fn nested_call_ended(&mut self, parent: usize, well: bool) {
        if self.calls[parent].ended {
            return;
        }
        if !well {
            self.leave(parent);
            return self.end(parent, End::Failed);
        }
        self.calls[parent].open -= 1;
        if self.calls[parent].open == 0 {
            self.work(parent);
        }
    }
}

/// Slots and queue capacity under a policy; without a limit the target's own queue is unbounded.
const fn limit_of(policy: Policy) -> (u32, u32) {
    match policy {
        Policy::Random => (SLOTS, u32::MAX),
        _ => (SLOTS, QUEUE),
    }
}

fn count(length: usize) -> u32 {
    u32::try_from(length).unwrap_or(u32::MAX)
}

#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few kilobytes"
)]
fn bytes(kb: f64) -> usize {
    (kb * 1_024.0) as usize
}
