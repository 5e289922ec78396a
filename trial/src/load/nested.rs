//! Simulation of nested calls that are refused, under several ways to control the runs that make them.
//!
//! Two deployments with the loads of `docs/design/teams-and-uneven-load.md`, in virtual time. The
//! simulation has one queue and one admission control for each target and leaves out the network.
//! Sidecars decide by the product's [`Limit`] and [`wait::max_wait`]; an ingress prefers the least
//! loaded of four targets and tries at most three.

use std::cmp::Reverse;
use std::collections::BinaryHeap;
use std::time::{Duration, Instant};

use clap::Parser;
use jackdawpulley::calls::dependency::{Arrival, CallEnd, CallId, Controller, RunEnd};
use jackdawpulley::calls::limit::{Decision, Limit, Rank};
use jackdawpulley::calls::pacer::Bucket;
use jackdawpulley::calls::wait;
use jackdawpulley::units::{Priority, Rate};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use strum::{Display, EnumString, VariantArray};

/// Way to control the runs that make nested calls.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, VariantArray, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Control {
    /// None, and nested calls queue like new work.
    Off,
    /// None, but nested calls go before new work of the same priority.
    Order,
    /// The product's limit, with that order.
    Product,
    /// An admission rate for the route, decreased by the share of wasted runs at most twice a second, and
    /// increased by 15 in 100 if few were, with that order.
    Rate,
    /// A limit on requests of the route in flight, halved at most once in a run time and increased by one per
    /// limit of successful runs, with that order.
    Concurrency,
    /// A probability equal to the share of runs that were wasted in the last seconds, with that order.
    Probability,
}

/// Modelled load.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, VariantArray, Serialize)]
pub enum Load {
    /// The first table of the page.
    StoreOrders,
    /// The second table of the page.
    Registrations,
}

/// Number of targets of a service, and their speeds in turn.
type Service = (usize, &'static [f64]);

/// Kind of request.
#[derive(Debug)]
struct Kind {
    name: &'static str,
    service: usize,
    rate: f64,
    work_ms: f64,
    aim_ms: f64,
    deadline_ms: f64,
    priority: u8,
    worth: f64,
    late: f64,
    nested: Option<Nested>,
}

/// Calls that a run makes before its work.
#[derive(Debug, Clone, Copy)]
struct Nested {
    kinds: [usize; 2],
    concurrent: bool,
}

/// Share of the runs that make nested calls.
const NESTED_SHARE: f64 = 0.7;
/// Deviation of the logarithm of the work.
const SPREAD: f64 = 0.6;
/// Longest work, in multiples of the mean.
const MAX_WORK: f64 = 6.0;
/// Sidecars that may refuse a request.
const MAX_REFUSALS: usize = 3;
/// Time after which a refused caller tries once more, in milliseconds.
const RETURN_MS: std::ops::Range<f64> = 150.0..500.0;
/// Slow spans of the second deployment: share of the time, length in microseconds and slowdown.
const SLOW_SPANS: (f64, u64, f64) = (0.15, 600_000, 2.5);
/// Variation of the demand of the second deployment, and its period in seconds.
const DEMAND: (f64, f64) = (0.55, 15.0);

/// Results of one kind of request.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Row {
    /// Name.
    pub kind: &'static str,
    /// Whether only targets send such requests.
    pub is_nested: bool,
    /// Requests sent.
    pub sent: u32,
    /// Responses in time.
    pub timely: u32,
    /// Late responses.
    pub late: u32,
    /// Requests refused in the end.
    pub refused: u32,
    /// Requests that failed.
    pub failed: u32,
    /// Runs, and those of them whose nested call was refused or late.
    pub runs: u32,
    /// Wasted runs.
    pub wasted: u32,
    /// Requests at sidecars, and those of them that were refused there.
    pub arrivals: u32,
    /// Refusals by sidecars.
    pub refusals: u32,
}

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Load as a multiple of the usual load
    #[arg(long, default_value_t = 1.8)]
    pub load: f64,
    /// Length of each run, in seconds of virtual time
    #[arg(long, default_value_t = 20)]
    pub seconds: u32,
    /// Number of seeds, from 1 on
    #[arg(long, default_value_t = 3)]
    pub seeds: u64,
}

/// Results of a simulation.
#[derive(Debug, Serialize)]
pub struct Report {
    /// Load.
    pub load: Load,
    /// Control.
    pub control: Control,
    /// Seed.
    pub seed: u64,
    /// Sum of the worth of all responses.
    pub worth: f64,
    /// Results of each kind.
    pub rows: Vec<Row>,
}

#[derive(Debug, Clone, Copy, PartialEq, Eq, PartialOrd, Ord)]
enum Event {
    Arrive(usize),
    Return(usize),
    Finish(usize),
    /// The deadline has passed, or a wait in a queue has lasted too long.
    Expire(usize),
    GiveUp(usize, u64),
}

#[derive(Debug, Clone, Copy, PartialEq, Eq)]
enum Phase {
    Away,
    Waiting(u64),
    Running,
    Ended,
}

#[derive(Debug)]
struct Call {
    kind: usize,
    came: u64,
    phase: Phase,
    returned: bool,
    /// Call whose run made this one, and its record at the target's daemon.
    parent: Option<(usize, CallId)>,
    /// Nested calls still to be made, and those in flight.
    to_make: usize,
    open: usize,
    target: usize,
    began: u64,
}

#[derive(Debug)]
struct Target {
    service: usize,
    speed: f64,
    limit: Limit,
    waiting: Vec<(u64, usize)>,
    control: Controller,
    /// State of the other ways of control, for each kind.
    others: Vec<Other>,
}

#[derive(Debug, Clone)]
struct Other {
    in_flight: f64,
    limit: f64,
    cut: u64,
    wasted: f64,
    rate: Option<Bucket>,
    window: Option<Window>,
}

/// Counts since the last change of a rate.
#[derive(Debug, Clone)]
struct Window {
    since: Instant,
    per_second: f64,
    admitted: f64,
    ended: f64,
    wasted: f64,
}

impl Other {
    fn admit(&mut self, now: Instant) -> bool {
        let admitted = self.rate.as_mut().is_none_or(|bucket| bucket.take(now));
        let window = self
            .window
            .get_or_insert_with(|| Window::new(now, f64::MAX));
        window.admitted += f64::from(u8::from(admitted));
        admitted
    }

    fn record_run(&mut self, now: Instant, began: Instant, wasted: f64) {
        let Some(window) = self.window.as_mut().filter(|window| began >= window.since) else {
            return;
        };
        window.ended += 1.0;
        window.wasted += wasted;
        let elapsed = (now - window.since).as_secs_f64();
        if elapsed < 0.5 || window.ended < 5.0 {
            return;
        }
        let share = window.wasted / window.ended;
        let per_second = if share > 0.05 {
            (window.admitted / elapsed).min(window.per_second) * (1.0 - share)
        } else {
            window.per_second * 1.15
        };
        self.window = Some(Window::new(now, per_second.max(2.0)));
        self.rate = Rate::new(per_second.max(2.0))
            .filter(|_| per_second < 1e6)
            .map(|rate| {
                let mut bucket = self.rate.unwrap_or(Bucket::new(rate, now));
                bucket.set_rate(rate, now);
                bucket
            });
    }
}

impl Window {
    const fn new(since: Instant, per_second: f64) -> Self {
        Self {
            since,
            per_second,
            admitted: 0.0,
            ended: 0.0,
            wasted: 0.0,
        }
    }
}

/// State of a simulation.
#[derive(Debug)]
pub struct Simulation {
    control: Control,
    load: Load,
    factor: f64,
    kinds: Vec<Kind>,
    slots: u32,
    now: u64,
    until: u64,
    start: Instant,
    rng: SmallRng,
    events: BinaryHeap<Reverse<(u64, u64, Event)>>,
    order: u64,
    calls: Vec<Call>,
    targets: Vec<Target>,
    rows: Vec<Row>,
    worth: f64,
}

impl Load {
    /// Services as numbers of targets, their speeds in turn, slots, queue and kinds of request.
    fn parts(self) -> (Vec<Service>, (u32, u32), Vec<Kind>) {
        let kind = |name, service, rate, times: [f64; 3], priority, worth, late| Kind {
            name,
            service,
            rate,
            work_ms: times[0],
            aim_ms: times[1],
            deadline_ms: times[2],
            priority,
            worth,
            late,
            nested: None,
        };
        let nested = |kinds, concurrent| Some(Nested { kinds, concurrent });
        match self {
            Self::StoreOrders => {
                let times = [240.0, 800.0, 2_000.0];
                let mut histories = kind("histories", 0, 1_293.0, times, 1, 0.89, 0.1);
                histories.nested = nested([3, 3], true);
                let kinds = vec![
                    histories,
                    kind(
                        "bookings",
                        0,
                        415.0,
                        [320.0, 1_500.0, 2_000.0],
                        2,
                        0.89,
                        0.15,
                    ),
                    kind("charges", 1, 293.0, [170.0, 500.0, 1_200.0], 0, 5.1, 0.04),
                    kind("stock", 1, 0.0, [61.0, 250.0, 800.0], 3, 0.0, 0.3),
                ];
                let services = vec![(60, &[0.6, 1.0, 1.4][..]), (15, &[0.5, 1.0, 1.0, 1.5][..])];
                (services, (13, 52), kinds)
            }
            Self::Registrations => {
                let speeds = &[0.55, 1.2, 1.2, 1.2][..];
                let mut lookups = kind("lookups", 0, 1_113.0, [120.0, 400.0, 1_500.0], 0, 1.0, 0.3);
                lookups.nested = nested([3, 4], false);
                let times = [160.0, 500.0, 2_000.0];
                let mut transfers = kind("transfers", 1, 323.0, times, 0, 2.0, 0.3);
                transfers.nested = nested([3, 4], true);
                let check = [36.0, 150.0, 400.0];
                let kinds = vec![
                    lookups,
                    transfers,
                    kind("renewals", 2, 323.0, [85.0, 300.0, 1_500.0], 0, 3.0, 0.3),
                    kind("insurance", 1, 0.0, check, 0, 0.0, 0.3),
                    kind("fees", 2, 0.0, check, 0, 0.0, 0.3),
                ];
                (
                    vec![(39, speeds), (22, speeds), (9, speeds)],
                    (9, 36),
                    kinds,
                )
            }
        }
    }
}

/// Simulates both loads under each control.
pub fn compare(args: &Args) -> impl Iterator<Item = Report> {
    let loads = Load::VARIANTS.iter();
    let cases = loads.flat_map(|load| Control::VARIANTS.iter().map(move |control| (load, control)));
    cases.flat_map(|(load, control)| {
        (1..=args.seeds).map(|seed| simulate(*load, *control, args.load, args.seconds, seed))
    })
}

/// Simulates `seconds` of a load, multiplied by `factor`.
#[must_use]
pub fn simulate(load: Load, control: Control, factor: f64, seconds: u32, seed: u64) -> Report {
    let (services, (slots, queue), kinds) = load.parts();
    let targets = services.iter().enumerate();
    let targets = targets.flat_map(|(service, (count, speeds))| {
        let other = Other {
            in_flight: 0.0,
            limit: f64::from(slots + queue),
            cut: 0,
            wasted: 0.0,
            rate: None,
            window: None,
        };
        let others = vec![other; kinds.len()];
        (0..*count).map(move |index| Target {
            service,
            speed: speeds[index % speeds.len()],
            limit: Limit::new(slots, queue),
            waiting: Vec::new(),
            control: Controller::default(),
            others: others.clone(),
        })
    });
    let rows = kinds.iter().map(|kind| Row {
        kind: kind.name,
        is_nested: kind.rate == 0.0,
        ..Row::default()
    });
    let mut simulation = Simulation {
        control,
        load,
        factor,
        slots,
        now: 0,
        until: u64::from(seconds) * 1_000_000,
        start: Instant::now(),
        rng: SmallRng::seed_from_u64(seed),
        events: BinaryHeap::new(),
        order: 0,
        calls: Vec::new(),
        targets: targets.collect(),
        rows: rows.collect(),
        worth: 0.0,
        kinds,
    };
    simulation.run();
    Report {
        load,
        control,
        seed,
        worth: simulation.worth,
        rows: simulation.rows,
    }
}

impl Simulation {
    fn run(&mut self) {
        for kind in 0..self.kinds.len() {
            self.schedule_arrival(kind);
        }
        while let Some(Reverse((time, _, event))) = self.events.pop() {
            self.now = time;
            match event {
                Event::Arrive(kind) => {
                    self.schedule_arrival(kind);
                    self.begin(kind, None);
                }
                Event::Return(call) => self.place(call),
                Event::Finish(call) if self.calls[call].phase == Phase::Running => {
                    self.end_run(call, true);
                    self.end(call, Some(self.now - self.calls[call].came));
                }
                Event::Finish(_) => {}
                Event::Expire(call) => self.expire(call),
                Event::GiveUp(call, ticket) => {
                    if self.calls[call].phase == Phase::Waiting(ticket) {
                        self.leave_queue(call, ticket);
                        self.refuse(call);
                    }
                }
            }
        }
    }

    fn at(&self) -> Instant {
        self.start + Duration::from_micros(self.now)
    }

    fn schedule(&mut self, after_ms: f64, event: Event) {
        self.order += 1;
        let time = self.at() + Duration::from_secs_f64(after_ms / 1_000.0) - self.start;
        let time = u64::try_from(time.as_micros()).unwrap_or(u64::MAX);
        self.events.push(Reverse((time, self.order, event)));
    }

    fn schedule_arrival(&mut self, kind: usize) {
        let seconds = Duration::from_micros(self.now).as_secs_f64();
        let demand = match self.load {
            Load::StoreOrders => 1.0,
            Load::Registrations => {
                1.0 + DEMAND.0 * (std::f64::consts::TAU * seconds / DEMAND.1).sin()
            }
        };
        let rate = self.kinds[kind].rate * self.factor * demand;
        if rate > 0.0 && self.now < self.until {
            let wait = -self.rng.random_range(f64::EPSILON..1.0).ln() / rate;
            self.schedule(wait * 1_000.0, Event::Arrive(kind));
        }
    }

    fn begin(&mut self, kind: usize, parent: Option<(usize, CallId)>) {
        self.calls.push(Call {
            kind,
            came: self.now,
            phase: Phase::Away,
            returned: false,
            parent,
            to_make: 0,
            open: 0,
            target: 0,
            began: 0,
        });
        let call = self.calls.len() - 1;
        self.schedule(self.kinds[kind].deadline_ms, Event::Expire(call));
        self.place(call);
    }

    /// Passes a call to a sidecar that admits it, as an ingress does.
    fn place(&mut self, call: usize) {
        if self.calls[call].phase == Phase::Ended {
            return;
        }
        let service = self.kinds[self.calls[call].kind].service;
        let all = 0..self.targets.len();
        let mut untried: Vec<usize> = all
            .filter(|t| self.targets[*t].service == service)
            .collect();
        for _ in 0..MAX_REFUSALS {
            let sample: Vec<usize> = (0..4)
                .map(|_| self.rng.random_range(0..untried.len()))
                .collect();
            let load = |index: &usize| {
                let target = &self.targets[untried[*index]];
                f64::from(target.limit.running()) * target.speed
                    + f64::from(u32::try_from(target.waiting.len()).unwrap_or(u32::MAX))
            };
            let best = sample
                .into_iter()
                .min_by(|a, b| load(a).total_cmp(&load(b)));
            let target = untried.swap_remove(best.unwrap_or_default());
            if self.enter(call, target) {
                return;
            }
        }
        self.refuse(call);
    }

    fn enter(&mut self, call: usize, target: usize) -> bool {
        let now = self.at();
        let Call { kind, came, .. } = self.calls[call];
        let is_nested = self.calls[call].parent.is_some();
        let details = &self.kinds[kind];
        let arrival = Arrival {
            route: details.name,
            priority: Priority(details.priority),
            slots: self.slots,
        };
        let row = &mut self.rows[kind];
        row.arrivals += 1;
        let there = &mut self.targets[target];
        let admitted = match self.control {
            Control::Off | Control::Order => true,
            Control::Product => there.control.admit(now, arrival),
            Control::Concurrency => there.others[kind].in_flight < there.others[kind].limit,
            Control::Rate => there.others[kind].admit(now),
            Control::Probability => self.rng.random_range(0.0..1.0) >= there.others[kind].wasted,
        };
        if !admitted {
            row.refusals += 1;
            return false;
        }
        there.others[kind].in_flight += 1.0;
        let age = Duration::from_micros(self.now - came);
        let aim = if is_nested {
            details.deadline_ms
        } else {
            details.aim_ms
        };
        let left = Duration::from_secs_f64(aim / 1_000.0).saturating_sub(age);
        let max_wait = wait::max_wait(left, Duration::from_secs_f64(details.work_ms / 1_000.0));
        let rank = Rank {
            priority: arrival.priority,
            is_new: !is_nested || self.control == Control::Off,
        };
        self.order += 1;
        let ticket = self.order;
        let decision = if there.limit.expected_wait(rank) > max_wait {
            Decision::Shed
        } else {
            there.limit.acquire(ticket, rank)
        };
        match decision {
            Decision::Shed => {
                row.refusals += 1;
                there.others[kind].in_flight -= 1.0;
                if self.control == Control::Product {
                    there.control.record_refusal(now, arrival);
                    there.control.release(arrival.route);
                }
                return false;
            }
            Decision::Run => {
                self.calls[call].target = target;
                self.start(call);
            }
            Decision::Wait { shed } => {
                there.waiting.push((ticket, call));
                self.calls[call].target = target;
                self.calls[call].phase = Phase::Waiting(ticket);
                let left = details.deadline_ms - age.as_secs_f64() * 1_000.0;
                self.schedule(left.max(0.0) / 2.0, Event::GiveUp(call, ticket));
                let waiting = &self.targets[target].waiting;
                if let Some((ticket, shed)) =
                    waiting.iter().find(|(t, _)| Some(*t) == shed).copied()
                {
                    self.leave_queue(shed, ticket);
                    self.refuse(shed);
                }
            }
        }
        true
    }

    /// Removes a waiting call that has not started.
    fn leave_queue(&mut self, call: usize, ticket: u64) {
        let now = self.at();
        let Call { kind, target, .. } = self.calls[call];
        let details = &self.kinds[kind];
        let there = &mut self.targets[target];
        there.limit.cancel(ticket);
        there.waiting.retain(|(other, _)| *other != ticket);
        there.others[kind].in_flight -= 1.0;
        self.rows[kind].refusals += 1;
        if self.control == Control::Product {
            let arrival = Arrival {
                route: details.name,
                priority: Priority(details.priority),
                slots: self.slots,
            };
            there.control.record_refusal(now, arrival);
            there.control.release(details.name);
        }
        self.calls[call].phase = Phase::Away;
    }

    fn start(&mut self, call: usize) {
        let kind = self.calls[call].kind;
        self.calls[call].phase = Phase::Running;
        self.calls[call].began = self.now;
        self.rows[kind].runs += 1;
        let nested = self.kinds[kind].nested;
        match nested.filter(|_| self.rng.random_bool(NESTED_SHARE)) {
            None => self.work(call),
            Some(nested) => {
                self.calls[call].to_make = nested.kinds.len();
                let at_once = if nested.concurrent { 2 } else { 1 };
                for _ in 0..at_once {
                    self.make_nested(call);
                }
            }
        }
    }

    fn make_nested(&mut self, call: usize) {
        let Call {
            kind,
            target,
            to_make,
            phase,
            ..
        } = self.calls[call];
        if let (Some(nested), Phase::Running) = (self.kinds[kind].nested, phase) {
            self.calls[call].to_make -= 1;
            self.calls[call].open += 1;
            let now = self.at();
            let id = self.targets[target].control.begin_call(now);
            self.begin(nested.kinds[to_make - 1], Some((call, id)));
        }
    }

    fn work(&mut self, call: usize) {
        let Call { kind, target, .. } = self.calls[call];
        let radius = (-2.0 * self.rng.random_range(f64::EPSILON..1.0).ln()).sqrt();
        let normal = radius * (std::f64::consts::TAU * self.rng.random_range(0.0..1.0)).cos();
        let draw = (SPREAD * normal - SPREAD * SPREAD / 2.0)
            .exp()
            .min(MAX_WORK);
        let span = self.now / SLOW_SPANS.1;
        let seed = span.wrapping_mul(1_000_003) + u64::try_from(target).unwrap_or_default();
        let is_slow = self.load == Load::Registrations
            && SmallRng::seed_from_u64(seed).random_bool(SLOW_SPANS.0);
        let slowdown = if is_slow { SLOW_SPANS.2 } else { 1.0 };
        let time = self.kinds[kind].work_ms * draw * self.targets[target].speed * slowdown;
        self.schedule(time, Event::Finish(call));
    }

    /// Ends a run and starts the call that gets its slot.
    fn end_run(&mut self, call: usize, succeeded: bool) {
        let now = self.at();
        let Call {
            kind,
            target,
            began,
            ..
        } = self.calls[call];
        self.calls[call].phase = Phase::Away;
        let held = Duration::from_micros(self.now - began);
        let start = self.start + Duration::from_micros(began);
        let there = &mut self.targets[target];
        let other = &mut there.others[kind];
        other.in_flight -= 1.0;
        let wasted = f64::from(u8::from(!succeeded));
        other.wasted += 0.05 * (wasted - other.wasted);
        other.record_run(now, start, wasted);
        if succeeded {
            other.limit += 1.0 / other.limit;
        } else if began >= other.cut {
            other.limit = (other.limit.min(other.in_flight + 1.0) / 2.0).max(1.0);
            other.cut = self.now;
        }
        if self.control == Control::Product {
            let end = if succeeded {
                RunEnd::Succeeded
            } else {
                RunEnd::Failed
            };
            there
                .control
                .end_run(now, self.kinds[kind].name, start, end);
            there.control.release(self.kinds[kind].name);
        }
        there.limit.record_hold(held);
        let next = there.limit.release();
        if let Some(index) = there.waiting.iter().position(|(t, _)| Some(*t) == next) {
            let (_, next) = there.waiting.remove(index);
            self.start(next);
        }
    }

    fn expire(&mut self, call: usize) {
        match self.calls[call].phase {
            Phase::Ended => return,
            Phase::Away => {}
            Phase::Waiting(ticket) => self.leave_queue(call, ticket),
            Phase::Running => self.end_run(call, false),
        }
        self.rows[self.calls[call].kind].failed += 1;
        self.end(call, None);
    }

    fn refuse(&mut self, call: usize) {
        let Call {
            kind,
            came,
            returned,
            parent,
            ..
        } = self.calls[call];
        self.calls[call].phase = Phase::Away;
        let waited_ms = Duration::from_micros(self.now - came).as_secs_f64() * 1_000.0;
        if parent.is_some() || returned || waited_ms > self.kinds[kind].deadline_ms {
            self.rows[kind].refused += 1;
            return self.end(call, None);
        }
        self.calls[call].returned = true;
        let pause = self.rng.random_range(RETURN_MS);
        self.schedule(pause, Event::Return(call));
    }

    /// Ends a call, `took` microseconds after it came if it was answered.
    fn end(&mut self, call: usize, took: Option<u64>) {
        let Call { kind, parent, .. } = self.calls[call];
        self.calls[call].phase = Phase::Ended;
        let Kind {
            aim_ms,
            worth,
            late,
            ..
        } = self.kinds[kind];
        let row = &mut self.rows[kind];
        row.sent += 1;
        if let Some(took) = took {
            let in_time = Duration::from_micros(took).as_secs_f64() * 1_000.0 <= aim_ms;
            row.timely += u32::from(in_time);
            row.late += u32::from(!in_time);
            self.worth += worth * if in_time { 1.0 } else { late };
        }
        if let Some((parent, id)) = parent {
            let now = self.at();
            let Call {
                kind,
                target,
                phase,
                ..
            } = self.calls[parent];
            let end = match took {
                Some(_) => CallEnd::Answered {
                    waited: Duration::from_micros(self.calls[call].began - self.calls[call].came),
                },
                None => CallEnd::Refused,
            };
            self.targets[target].control.end_call(now, id, end);
            if phase != Phase::Running {
                return;
            }
            self.calls[parent].open -= 1;
            if took.is_none() {
                self.rows[kind].wasted += 1;
                self.rows[kind].failed += 1;
                self.end_run(parent, false);
                self.end(parent, None);
            } else if self.calls[parent].to_make > 0 && self.calls[parent].open == 0 {
                self.make_nested(parent);
            } else if self.calls[parent].open == 0 {
                self.work(parent);
            }
        }
    }
}
