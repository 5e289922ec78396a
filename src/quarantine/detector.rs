//! Finding out whether the target has ended when a connection to it breaks.

use std::cmp::Reverse;
use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use slog::warn;
use tokio::net::TcpStream;

use crate::board::{Board, Target};
use crate::calls::outcome::Reason;
use crate::clock;
use crate::quarantine::crash::{Crash, CrashId};
use crate::quarantine::fingerprint::Fingerprint;
use crate::quarantine::running::{Completion, Run, RunId, Running};
use crate::units::Millis;

/// Time after the first broken connection in which the others that break with it are noticed.
const SETTLE_TIME: Duration = Duration::from_millis(10);
/// Time in which a host refuses a connection to a port of its own that nobody listens on, many times over.
const CONNECT_TIMEOUT: Duration = Duration::from_millis(200);
/// Requests that a line about an ended target names.
const MAX_LOGGED_REQUESTS: usize = 32;

/// Follows the runs at the target of one gate.
#[derive(Debug, Clone)]
pub struct Detector {
    board: Arc<Board>,
}

/// A run that is over when this is dropped, with an unknown fate if nothing else was said.
#[derive(Debug)]
pub struct RunGuard {
    detector: Detector,
    fingerprint: Fingerprint,
    id: RunId,
    completion: Completion,
}

impl Detector {
    /// An inspector of the target that `board` names.
    #[must_use]
    pub const fn new(board: Arc<Board>) -> Self {
        Self { board }
    }

    /// Notes that a request is about to be sent to the target.
    ///
    /// # Errors
    ///
    /// [`Reason::Quarantined`] for one under which targets ended, [`Reason::Overloaded`] for one that has
    /// to wait until another under suspicion is done.
    pub fn begin(&self, run: Run) -> Result<RunGuard, Reason> {
        let quarantine = &self.board.quarantine;
        let assessment = quarantine.assessment(run.fingerprint);
        // Guards against a request that ends each target which runs it, while its caller sends it again and
        // again: callers of all kinds see the service shrink to a few targets. Every gate refuses it by the
        // same evidence, so no entry that has not heard of it yet can bring it to a target.
        if assessment
            .quarantined_until
            .is_some_and(|until| run.began < until)
        {
            return Err(Reason::Quarantined);
        }
        let mut running = self.running();
        // Guards against a bystander that goes from one ending target to the next beside the cause, as
        // both are repeated: with each of them on a target of its own, the next end tells which it is.
        let must_isolate = |run: &Run| quarantine.assessment(run.fingerprint).must_isolate();
        if assessment.must_isolate() && running.under_way().any(must_isolate) {
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

    /// Finds out in a moment whether `target` has ended, unless that is under way already.
    pub fn check_target(&self, target: &Arc<Target>) {
        if !self.running().begin_check() {
            return;
        }
        let (detector, target) = (self.clone(), Arc::clone(target));
        tokio::spawn(async move {
            // At once: a supervisor may have the next life listen within a few milliseconds.
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
                detector.board.drop_target(&target);
            }
            if !runs.is_empty() {
                detector.log_crash(&target, &runs);
                detector.report_crash(runs, Duration::ZERO);
            }
        });
    }

    /// Notes that `target` is another life than the one before it.
    pub fn target_restarted(&self, target: &Target) {
        let began = target.born.map(|born| born.0);
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

    /// Tells that the target ended `ago` under these runs. Where they are too many, those that are suspected
    /// already and those that began last are told.
    fn report_crash(&self, mut runs: Vec<Run>, ago: Duration) {
        let quarantine = &self.board.quarantine;
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
        warn!(self.board.logger, "target ended"; "instance" => instance,
            "address" => %target.address, "running" => runs.len(), "requests" => named.join(" "));
    }

    fn running(&self) -> MutexGuard<'_, Running> {
        lock_running(&self.board.running)
    }
}

impl RunGuard {
    /// Notes how the run is over.
    pub fn finish(mut self, completion: Completion) {
        self.completion = completion;
        if completion == Completion::Answered {
            self.detector
                .board
                .quarantine
                .record_answer(self.fingerprint);
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

/// Takes the lock, which is held for a few instructions.
pub fn lock_running(running: &Mutex<Running>) -> MutexGuard<'_, Running> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}

/// When it was found that nobody listens at an address of this host, if nobody does.
///
/// Guards against a target whose answer was lost, or that cuts one connection: it still listens. One that
/// has ended does not, and its host says so at once.
async fn refused_at(address: SocketAddr) -> Option<Instant> {
    let looked = Instant::now();
    let connecting = tokio::time::timeout(CONNECT_TIMEOUT, TcpStream::connect(address)).await;
    let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
    let gone = connecting.is_ok_and(|connected| connected.is_err_and(refused));
    gone.then_some(looked)
}
