//! Calls under faults, checked on one history of callers and targets.

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::atomic::{AtomicU64, Ordering};
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use clap::Parser;
use hdrhistogram::Histogram;
use http::Method;
use jackdawpulley::outcome::{OUTCOME, REASON};
use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};
use serde::Serialize;
use strum::{Display, EnumString};

use crate::deployment::Deployment;
use crate::fleet::Fleet;
use crate::history::{Counts, Told, Try};
use crate::inject;
use crate::session::{Answer, Failure, Session};
use crate::target::Echo;

/// Mean time that a target works on a call, in milliseconds.
const WORK_MS: f64 = 200.0;
/// Longest time that a target works on a call, in milliseconds.
const MAX_WORK_MS: f64 = 1_600.0;
/// Slots of each target.
const SLOTS: u32 = 20;
/// Sessions for each call that all slots together take in a second.
const SESSIONS_PER_CALL: f64 = 0.4;
/// Time that a caller waits for an answer; above every time-out of a route.
const PATIENCE: Duration = Duration::from_secs(8);
/// Time for which gates remember keys: longer than any caller here repeats one.
const KEY_MEMORY_MS: &str = "12000";
/// Time after which the gates' memories are whole.
const SETTLE: Duration = Duration::from_millis(12_500);
/// Tries of a caller that repeats a key.
const KEY_TRIES: usize = 3;

/// What is done to the fleet.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Fault {
    /// Nothing, but for a change of configuration.
    None,
    /// One whole host and one target are killed, and come back.
    Kill,
    /// One target and one daemon are stopped for a while.
    Freeze,
    /// The platform log is away for a third of the time.
    LogOutage,
    /// Every target and daemon is stopped as planned and started again, one after another.
    Leave,
    /// Callers send twice what the slots can take.
    Surge,
}

/// Which policies the daemons follow.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Random choice, fixed retries, no limit.
    Baseline,
    /// The daemon's defaults.
    Default,
}

/// Arguments of the trial.
#[derive(Debug, Clone, Parser)]
pub struct Args {
    /// Deployment to model: kalahari or hooghly
    #[arg(long, default_value_t = Deployment::Kalahari)]
    pub deployment: Deployment,
    /// What is done to it: none, kill, freeze, log-outage, leave or surge
    #[arg(long, default_value_t = Fault::None)]
    pub fault: Fault,
    /// Length of each run
    #[arg(long, default_value_t = 20)]
    pub seconds: u64,
    /// Only the daemon's default policies, without the baseline beside them
    #[arg(long)]
    pub no_baseline: bool,
}

/// What a run showed.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Which trial this is.
    pub trial: &'static str,
    /// Deployment.
    pub deployment: Deployment,
    /// What was done to it.
    pub fault: Fault,
    /// Policies of the daemons.
    pub policy: Policy,
    /// What was told and run.
    #[serde(flatten)]
    pub counts: Counts,
    /// Reads that were not answered, but for those cut by the kill of their own daemon.
    pub reads_lost: usize,
    /// Each class of calls.
    pub classes: Vec<Class>,
    /// Answered interactive calls, as a share of what all slots could have answered.
    pub interactive_of_slots: f64,
    /// Answered calls, as a share of what all slots could have answered.
    pub goodput_of_slots: f64,
}

/// One class of calls.
#[derive(Debug, Clone, Serialize)]
pub struct Class {
    /// Its path.
    pub path: &'static str,
    /// Calls sent.
    pub sent: u64,
    /// Calls answered.
    pub answered: u64,
    /// Time to a whole answer, median, in milliseconds.
    pub p50_ms: f64,
    /// Time to a whole answer, 99 in 100, in milliseconds.
    pub p99_ms: f64,
}

/// One kind of call that callers make.
#[derive(Debug, Clone, Copy)]
struct Kind {
    path: &'static str,
    once: bool,
    interactive: bool,
    /// Calls a second, over all sessions.
    rate: f64,
    /// Sessions that make them.
    sessions: usize,
}

/// What callers collect.
#[derive(Debug)]
struct Record {
    tries: Mutex<Vec<Try>>,
    /// By kind: calls, answers and their times in microseconds.
    times: Vec<Mutex<(u64, Histogram<u64>)>>,
    names: AtomicU64,
}

/// Runs one fault under one policy.
///
/// # Panics
///
/// When the fleet does not come up, or does not come back.
pub async fn run(program: PathBuf, args: &Args, policy: Policy) -> Report {
    let mut options = vec!["--key-memory-ms", KEY_MEMORY_MS];
    if policy == Policy::Baseline {
        options.extend(["--pick", "random", "--limits", "off", "--retries", "fixed"]);
    }
    let mut fleet = Fleet::start(program, &options).await.with_slots(SLOTS);
    fleet.add(&args.deployment.places()).await;
    assert!(
        fleet
            .meets(fleet.hosts.len(), Duration::from_secs(30))
            .await,
        "all know each other"
    );
    let version = fleet.put(0, args.deployment.document()).await;
    assert!(
        fleet.converges(version, Duration::from_secs(9)).await,
        "the document is in force"
    );

    tokio::time::sleep(SETTLE).await;

    let kinds = kinds(args);
    let record = Arc::new(Record::new(&kinds));
    let doors: Arc<Vec<SocketAddr>> =
        Arc::new(fleet.hosts.iter().map(super::fleet::Host::calls).collect());
    let length = Duration::from_secs(args.seconds);
    let killed = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (kind_index, kind) in kinds.iter().enumerate() {
        for number in 0..kind.sessions {
            let caller = Caller {
                kind: *kind,
                kind_index,
                door: number % doors.len(),
                doors: Arc::clone(&doors),
                record: Arc::clone(&record),
                killed: Arc::clone(&killed),
                rng: SmallRng::seed_from_u64((kind_index * 10_000 + number) as u64),
            };
            callers.push(tokio::spawn(caller.run(length)));
        }
    }
    let leavings = inject::run(&mut fleet, args, length, &killed).await;
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    // A request that is told "not run" must not run later either.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let tries = record
        .tries
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let counts = Counts::of(&tries, &fleet.runs(), &leavings);
    report(args, policy, &kinds, &record, counts, &tries)
}

/// The calls of a deployment, so that each service gets its share of what its slots can take.
fn kinds(args: &Args) -> Vec<Kind> {
    let load = if args.fault == Fault::Surge { 2.0 } else { 0.5 };
    let paths = args.deployment.paths();
    let services = args.deployment.services();
    let kind = |path, once, interactive, service: usize, share: f64| {
        let targets = u32::try_from(services[service].1).expect("few targets");
        let capacity = f64::from(targets * SLOTS) * 1_000.0 / WORK_MS;
        let rate = capacity * load * share;
        Kind {
            path,
            once,
            interactive,
            rate,
            sessions: sessions(rate),
        }
    };
    vec![
        kind(paths.read, false, true, 0, 0.8),
        kind(paths.write, true, true, 1, 0.6),
        kind(paths.grant, true, false, 0, 0.2),
        kind(paths.feed, false, false, 1, 0.4),
    ]
}

/// Sessions for a rate of calls: enough that callers keep calling when answers are slow.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few hundred"
)]
fn sessions(rate: f64) -> usize {
    (rate * SESSIONS_PER_CALL).ceil() as usize
}

/// One caller with one session.
struct Caller {
    kind: Kind,
    kind_index: usize,
    door: usize,
    doors: Arc<Vec<SocketAddr>>,
    record: Arc<Record>,
    killed: Arc<Mutex<Vec<SocketAddr>>>,
    rng: SmallRng,
}

impl Caller {
    /// Calls at random times, as fast on average as its kind asks for.
    async fn run(mut self, length: Duration) {
        let mean_s = number(self.kind.sessions as u64) / self.kind.rate;
        let mut session = Session::new(self.doors[self.door]);
        let began = Instant::now();
        let mut due = began;
        loop {
            due += Duration::from_secs_f64(mean_s * -self.rng.random_range(f64::EPSILON..1.0).ln());
            if due - began >= length {
                return;
            }
            tokio::time::sleep_until(due.into()).await;
            self.call(&mut session).await;
        }
    }

    /// Makes one call; repeats its key elsewhere while its fate is unknown.
    async fn call(&mut self, session: &mut Session) {
        let name = format!("r{}", self.record.names.fetch_add(1, Ordering::Relaxed));
        // Half of the calls that may run once carry a key.
        let keyed = self.kind.once && self.rng.random_bool(0.5);
        let work = (-WORK_MS * self.rng.random_range(f64::EPSILON..1.0).ln()).min(MAX_WORK_MS);
        let work = format!("{work:.0}");
        let began = Instant::now();
        let record = Arc::clone(&self.record);
        let times = &record.times[self.kind_index];
        times.lock().unwrap_or_else(PoisonError::into_inner).0 += 1;
        for _ in 0..if keyed { KEY_TRIES } else { 1 } {
            let (told, reason) = self.attempt(session, &name, &work, keyed).await;
            let attempt = Try {
                request: name.clone(),
                once: self.kind.once,
                told,
                reason,
            };
            self.record
                .tries
                .lock()
                .unwrap_or_else(PoisonError::into_inner)
                .push(attempt);
            match told {
                Told::Answered => {
                    let took = u64::try_from(began.elapsed().as_micros()).unwrap_or(u64::MAX);
                    let mut times = times.lock().unwrap_or_else(PoisonError::into_inner);
                    let _ = times.1.record(took);
                    return;
                }
                Told::Unknown | Told::Cut | Told::CutByKill => {
                    tokio::time::sleep(Duration::from_millis(100)).await;
                    self.next_door(session);
                }
                _ => return,
            }
        }
    }

    async fn attempt(
        &mut self,
        session: &mut Session,
        name: &str,
        work: &str,
        keyed: bool,
    ) -> (Told, String) {
        let mut headers = vec![("x-request", name), ("x-work-ms", work), ("x-size", "300")];
        if keyed {
            headers.push(("idempotency-key", name));
        }
        // A daemon that refuses connections has seen nothing; another one is tried.
        for _ in 0..self.doors.len() {
            let method = if self.kind.once {
                Method::POST
            } else {
                Method::GET
            };
            let request = Session::request(method, self.kind.path, &headers, "{}");
            match session.send(request, PATIENCE).await {
                Ok(answer) => {
                    if answer.closes() {
                        self.next_door(session);
                    }
                    return (judge(&answer, name), answer.header(REASON).to_owned());
                }
                Err(Failure::Refused) => self.next_door(session),
                Err(Failure::Silent) => return (Told::Silent, String::new()),
                Err(Failure::Cut(how)) => {
                    let killed = self.killed.lock().unwrap_or_else(PoisonError::into_inner);
                    let by_kill = killed.contains(&self.doors[self.door]);
                    drop(killed);
                    self.next_door(session);
                    return (if by_kill { Told::CutByKill } else { Told::Cut }, how);
                }
            }
        }
        (Told::NotRun, "no daemon listens".to_owned())
    }

    fn next_door(&mut self, session: &mut Session) {
        self.door = (self.door + 1) % self.doors.len();
        session.move_to(self.doors[self.door]);
    }
}

/// Reads an answer: whose it is, and what it says.
fn judge(answer: &Answer, name: &str) -> Told {
    match answer.header(OUTCOME) {
        "not-run" => Told::NotRun,
        "unknown" => Told::Unknown,
        "answered" => {
            let echo = serde_json::from_slice::<Echo>(&answer.body).ok();
            let own = echo.is_some_and(|echo| echo.request == name && echo.padding.len() == 300);
            if own { Told::Answered } else { Told::Wrong }
        }
        _ => Told::Wrong,
    }
}

impl Record {
    fn new(kinds: &[Kind]) -> Self {
        let histogram = || Histogram::new(3).expect("three digits are valid");
        Self {
            tries: Mutex::default(),
            times: kinds.iter().map(|_| Mutex::new((0, histogram()))).collect(),
            names: AtomicU64::new(0),
        }
    }
}

fn report(
    args: &Args,
    policy: Policy,
    kinds: &[Kind],
    record: &Record,
    counts: Counts,
    tries: &[Try],
) -> Report {
    let mut classes = Vec::new();
    let mut interactive = 0;
    for (kind, times) in kinds.iter().zip(&record.times) {
        let times = times.lock().unwrap_or_else(PoisonError::into_inner);
        let quantile = |share| number(times.1.value_at_quantile(share)) / 1_000.0;
        interactive += if kind.interactive { times.1.len() } else { 0 };
        classes.push(Class {
            path: kind.path,
            sent: times.0,
            answered: times.1.len(),
            p50_ms: quantile(0.50),
            p99_ms: quantile(0.99),
        });
    }
    let targets = args
        .deployment
        .services()
        .iter()
        .map(|(_, count)| *count as u64)
        .sum::<u64>();
    let capacity = number(targets * u64::from(SLOTS) * args.seconds) * 1_000.0 / WORK_MS;
    let answered = classes.iter().map(|class| class.answered).sum::<u64>();
    let lost =
        |attempt: &&Try| !attempt.once && !matches!(attempt.told, Told::Answered | Told::CutByKill);
    Report {
        trial: "calls",
        deployment: args.deployment,
        fault: args.fault,
        policy,
        counts,
        reads_lost: tries.iter().filter(lost).count(),
        classes,
        interactive_of_slots: number(interactive) / capacity,
        goodput_of_slots: number(answered) / capacity,
    }
}

fn number(count: u64) -> f64 {
    crate::converge::as_f64(count)
}
