//! Calls under faults, with the callers' outcomes checked against the targets' runs.

pub mod caller;
pub mod fault_injection;
pub mod history;
pub mod options;

use std::net::SocketAddr;
use std::path::PathBuf;
use std::sync::{Arc, Mutex, PoisonError};
use std::time::{Duration, Instant};

use rand::SeedableRng;
use rand::rngs::SmallRng;
use serde::Serialize;
use strum::{Display, EnumString};

use crate::calls::caller::{Caller, Kind, Record, WORK_MS};
use crate::calls::history::{Attempt, Counts, Outcome};
use crate::calls::options::{Args, Fault};
use crate::rig::deployment::Deployment;
use crate::rig::fleet::Fleet;
use crate::rig::host::Host;

/// Slots of each target.
const SLOTS: u32 = 20;
/// Sessions for each call per second of a rate.
const SESSIONS_PER_CALL: f64 = 0.4;
/// Time for which sidecars remember keys: longer than any caller here repeats one.
const KEY_RETENTION_MS: &str = "12000";
/// Time after which the sidecars have been up for longer than they remember keys.
const WARM_UP: Duration = Duration::from_millis(12_500);

/// Policies of the daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "kebab-case")]
#[serde(rename_all = "kebab-case")]
pub enum Policy {
    /// Random selection, fixed retries, no concurrency limit.
    Baseline,
    /// The daemon's defaults.
    Default,
}

/// Results of a run.
#[derive(Debug, Clone, Serialize)]
pub struct Report {
    /// Name of the trial.
    pub trial: &'static str,
    /// Modelled deployment.
    pub deployment: Deployment,
    /// Injected fault.
    pub fault: Fault,
    /// Policies of the daemons.
    pub policy: Policy,
    /// Outcomes compared with runs.
    #[serde(flatten)]
    pub counts: Counts,
    /// Reads without a response, except those whose daemon was killed by the trial.
    pub reads_lost: usize,
    /// Results of each class of calls.
    pub classes: Vec<Class>,
    /// Interactive calls answered while callers were sending, as a share of the capacity of all slots.
    pub interactive_of_slots: f64,
    /// Calls answered while callers were sending, as a share of the capacity of all slots.
    pub goodput_of_slots: f64,
}

/// Class of calls.
#[derive(Debug, Clone, Serialize)]
pub struct Class {
    /// Path of the requests.
    pub path: &'static str,
    /// Calls sent.
    pub sent: u64,
    /// Calls answered.
    pub answered: u64,
    /// Median time to a complete response, in milliseconds.
    pub p50_ms: f64,
    /// 99th percentile of the time to a complete response, in milliseconds.
    pub p99_ms: f64,
}

/// Runs the trial with one fault and one policy.
///
/// # Panics
///
/// When the fleet does not start, or does not recover.
pub async fn run(program: PathBuf, args: &Args, policy: Policy) -> Report {
    let mut options = vec!["--key-memory-ms", KEY_RETENTION_MS];
    if policy == Policy::Baseline {
        options.extend(["--pick", "random", "--limits", "off", "--retries", "fixed"]);
    }
    let mut fleet = Fleet::start(program, &options).await.with_slots(SLOTS);
    fleet.add_hosts(&args.deployment.placements()).await;
    assert!(
        fleet
            .wait_for_members(fleet.hosts.len(), Duration::from_secs(30))
            .await,
        "all daemons see each other"
    );
    let version = fleet.publish_document(0, args.deployment.document()).await;
    assert!(
        fleet
            .wait_for_version(version, Duration::from_secs(9))
            .await,
        "the document is active"
    );

    tokio::time::sleep(WARM_UP).await;

    let kinds = kinds(args);
    let length = Duration::from_secs(args.seconds);
    let record = Arc::new(Record::new(&kinds, Instant::now() + length));
    let doors: Arc<Vec<SocketAddr>> =
        Arc::new(fleet.hosts.iter().map(Host::call_address).collect());
    let killed = Arc::new(Mutex::new(Vec::new()));
    let mut callers = Vec::new();
    for (kind_index, kind) in kinds.iter().enumerate() {
        for number in 0..kind.sessions {
            let caller = Caller {
                kind: *kind,
                kind_index,
                ingress: number % doors.len(),
                ingresses: Arc::clone(&doors),
                record: Arc::clone(&record),
                killed: Arc::clone(&killed),
                rng: SmallRng::seed_from_u64((kind_index * 10_000 + number) as u64),
            };
            callers.push(tokio::spawn(caller.run(length)));
        }
    }
    let leavings = fault_injection::run(&mut fleet, args, length, &killed).await;
    for caller in callers {
        caller.await.expect("a caller ends");
    }
    // A request that was reported as not run must not run later either.
    tokio::time::sleep(Duration::from_secs(2)).await;
    let tries = record
        .tries
        .lock()
        .unwrap_or_else(PoisonError::into_inner)
        .clone();
    let counts = Counts::of(&tries, &fleet.runs(), &leavings);
    report(args, policy, &kinds, &record, counts, &tries)
}

/// Kinds of calls of a deployment, with rates in proportion to the capacity of each service.
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

/// Number of sessions for a rate of calls: enough to keep up the rate when responses are slow.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a few hundred"
)]
fn sessions(rate: f64) -> usize {
    (rate * SESSIONS_PER_CALL).ceil() as usize
}

fn report(
    args: &Args,
    policy: Policy,
    kinds: &[Kind],
    record: &Record,
    counts: Counts,
    tries: &[Attempt],
) -> Report {
    let mut classes = Vec::new();
    let (mut interactive, mut inside) = (0, 0);
    for (kind, times) in kinds.iter().zip(&record.times) {
        let times = times.lock().unwrap_or_else(PoisonError::into_inner);
        let quantile = |share| number(times.answered.value_at_quantile(share)) / 1_000.0;
        interactive += if kind.interactive { times.inside } else { 0 };
        inside += times.inside;
        classes.push(Class {
            path: kind.path,
            sent: times.sent,
            answered: times.answered.len(),
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
    let lost = |attempt: &&Attempt| {
        !attempt.once && !matches!(attempt.told, Outcome::Answered | Outcome::CutByKill)
    };
    Report {
        trial: "calls",
        deployment: args.deployment,
        fault: args.fault,
        policy,
        counts,
        reads_lost: tries.iter().filter(lost).count(),
        classes,
        interactive_of_slots: number(interactive) / capacity,
        goodput_of_slots: number(inside) / capacity,
    }
}

fn number(count: u64) -> f64 {
    crate::measure::converge::as_f64(count)
}
