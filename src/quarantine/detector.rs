//! Detection of target crashes when a connection to the target breaks.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::warn;
use tokio::net::TcpStream;

use crate::calls::outcome::Reason;
use crate::clock;
use crate::quarantine::crash::{Crash, CrashId};
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::running::{Completion, Run, RunId, Running};
use crate::shared_state::{SharedState, Target};
use crate::units::Millis;

/// Time after the first broken connection in which others that break with it are noticed.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Far longer than a host takes to refuse a connection to a local port without a listener.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Most requests that the log line about a crash lists.
const MAX_LOGGED_REQUESTS: usize = 32;

/// Tracks the requests that run at the target of one sidecar and reports its crashes.
#[derive(Debug, Clone)]
pub struct Detector {
    shared: Arc<SharedState>,
}

/// A request at the target. Counts as unresolved if it is dropped without [`RunGuard::finish`].
#[derive(Debug)]
pub struct RunGuard {
    detector: Detector,
    fingerprint: Fingerprint,
    id: RunId,
    completion: Completion,
}

impl Detector {
    /// A detector for the target that `shared` names.
    #[must_use]
    pub const fn new(shared: Arc<SharedState>) -> Self {
        Self { shared }
    }

    /// Admits a request to the target and tracks it.
    ///
    /// # Errors
    ///
    /// [`Reason::Quarantined`] if the request is quarantined; [`Reason::Overloaded`] if it must be isolated
    /// from a request that is running.
    pub fn begin(&self, run: Run) -> Result<RunGuard, Reason> {
        let quarantine = &self.shared.quarantine;
        let assessment = quarantine.assessment(run.fingerprint);
        // A request that crashes every target would otherwise be retried until few targets are left for all
        // callers. All sidecars refuse it by the same crash reports, so an ingress that has not received them
        // yet can't get it to a target.
        if assessment
            .quarantined_until
            .is_some_and(|until| run.began < until)
        {
            return Err(Reason::Quarantined);
        }
        let mut running = self.running();
        // An unrelated request may be retried along with the cause, from one crashing target to the next. On
        // separate targets, the next crash tells which of them is the cause.
        let must_isolate = |run: &Run| quarantine.assessment(run.fingerprint).must_isolate();
        if assessment.must_isolate() && running.in_flight().any(must_isolate) {
            return Err(Reason::Overloaded);
        }
        let fingerprint = run.fingerprint;
        let id = running.begin(run);
        drop(running);
        Ok(RunGuard {
            id,
            fingerprint,
            detector: self.clone(),
            completion: Completion::Unresolved,
        })
    }

    /// Checks in the background whether `target` has crashed, unless a check is in progress.
    pub fn check_target(&self, target: &Arc<Target>) {
        if !self.running().begin_check() {
            return;
        }
        let (detector, target) = (self.clone(), Arc::clone(target));
        tokio::spawn(async move {
            // At once, since a supervisor may restart the target within a few milliseconds.
            let mut refused_since = refused_at(target.address).await;
            tokio::time::sleep(SETTLE_TIME).await;
            let broke_together = detector
                .running()
                .unresolved_within(Instant::now(), 2 * SETTLE_TIME)
                > 1;
            if refused_since.is_none() && broke_together {
                // Its connections may have been closed before its listener.
                refused_since = refused_at(target.address).await;
            }
            let runs = detector
                .running()
                .finish_check(Instant::now(), refused_since);
            if refused_since.is_some() {
                detector.shared.remove_target(&target);
            }
            if !runs.is_empty() {
                detector.log_crash(&target, &runs);
                detector.report_crash(runs, Duration::ZERO);
            }
        });
    }

    /// Handles the announcement of `target`, which replaces an earlier process.
    pub fn target_restarted(&self, target: &Target) {
        let began = target.start_time.map(|born| born.0);
        let age = began.map(|began| Duration::from_millis(clock::unix_ms().saturating_sub(began)));
        let now = Instant::now();
        let mut running = self.running();
        let crashed_at = running.crash_time(now, age);
        let runs = running.restarted(now, age);
        drop(running);
        if !runs.is_empty() {
            self.log_crash(target, &runs);
            self.report_crash(runs, now.saturating_duration_since(crashed_at));
        }
    }

    /// Reports that the target crashed `ago` while these requests were running. If they are more than a
    /// report holds, those with most crashes and those that began last are reported.
    fn report_crash(&self, mut runs: Vec<Run>, ago: Duration) {
        let quarantine = &self.shared.quarantine;
        runs.sort_by_key(|run| {
            Reverse((quarantine.assessment(run.fingerprint).crashes, run.began))
        });
        let running = runs.into_iter().map(|run| run.fingerprint).collect();
        quarantine.record_local_crash(&Crash {
            age: ago.into(),
            ..Crash::new(CrashId(rand::random()), running)
        });
    }

    fn log_crash(&self, target: &Target, runs: &[Run]) {
        let now = Instant::now();
        let name = |run: &Run| {
            let age = Millis::from(now.saturating_duration_since(run.began));
            format!("{}:{}:{}:{age}", run.fingerprint, run.route, run.from)
        };
        let named: Vec<String> = runs.iter().take(MAX_LOGGED_REQUESTS).map(name).collect();
        let instance = target.instance.as_ref().map(ToString::to_string);
        warn!(self.shared.logger, "target crashed"; "instance" => instance,
            "address" => %target.address, "running" => runs.len(), "requests" => named.join(" "));
    }

    fn running(&self) -> MutexGuard<'_, Running> {
        lock_running(&self.shared.running)
    }
}

impl RunGuard {
    /// Records that the request has a connection to the target.
    pub fn mark_connected(&self) {
        let now = Instant::now();
        self.detector.running().mark_connected(now, self.id);
    }

    /// Ends the run with its outcome.
    pub fn finish(mut self, completion: Completion) {
        self.completion = completion;
        if completion == Completion::Answered {
            self.detector
                .shared
                .quarantine
                .record_answered(self.fingerprint);
        }
    }
}

impl Drop for RunGuard {
    fn drop(&mut self) {
        let now = Instant::now();
        self.detector
            .running()
            .finish(now, self.id, self.completion);
    }
}

/// Locks the runs; the lock is held for a few instructions only.
pub fn lock_running(running: &Mutex<Running>) -> MutexGuard<'_, Running> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}

/// When a connection to this local address was refused, if it was.
///
/// A target that lost a response or closed one connection still listens; the host of a crashed target refuses
/// connections at once.
async fn refused_at(address: SocketAddr) -> Option<Instant> {
    let started_at = Instant::now();
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
    let refused = connecting.is_ok_and(|connected| connected.is_err_and(refused));
    refused.then_some(started_at)
}
