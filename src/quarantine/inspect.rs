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
use crate::quarantine::running::{End, Run, Running, Ticket};
use crate::units::Millis;

/// Time after the first broken connection in which the others that break with it are noticed.
const SETTLE: Duration = Duration::from_millis(10);
/// Time in which a host refuses a connection to a port of its own that nobody listens on, many times over.
const REFUSAL: Duration = Duration::from_millis(200);
/// Requests that a line about an ended target names.
const NAMED: usize = 32;

/// Follows the runs at the target of one gate.
#[derive(Debug, Clone)]
pub struct Inspector {
    board: Arc<Board>,
}

/// A run that is over when this is dropped, with an unknown fate if nothing else was said.
#[derive(Debug)]
pub struct Watched {
    inspector: Inspector,
    fingerprint: Fingerprint,
    ticket: Ticket,
    end: End,
}

impl Inspector {
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
    pub fn begin(&self, run: Run) -> Result<Watched, Reason> {
        let quarantine = &self.board.quarantine;
        let standing = quarantine.standing(run.fingerprint);
        // Guards against a request that ends each target which runs it, while its caller sends it again and
        // again: callers of all kinds see the service shrink to a few targets. Every gate refuses it by the
        // same evidence, so no entry that has not heard of it yet can bring it to a target.
        if standing.until.is_some_and(|until| run.began < until) {
            return Err(Reason::Quarantined);
        }
        let mut running = self.running();
        // Guards against a bystander that goes from one ending target to the next beside the cause, as
        // both are repeated: with each of them on a target of its own, the next end tells which it is.
        let apart = |run: &Run| quarantine.standing(run.fingerprint).apart();
        if standing.apart() && running.under_way().any(apart) {
            return Err(Reason::Overloaded);
        }
        let fingerprint = run.fingerprint;
        let ticket = running.begin(run);
        drop(running);
        Ok(Watched {
            ticket,
            fingerprint,
            inspector: self.clone(),
            end: End::Open,
        })
    }

    /// Finds out in a moment whether `target` has ended, unless that is under way already.
    pub fn inspect(&self, target: &Arc<Target>) {
        if !self.running().inspect() {
            return;
        }
        let (inspector, target) = (self.clone(), Arc::clone(target));
        tokio::spawn(async move {
            // At once: a supervisor may have the next life listen within a few milliseconds.
            let mut gone_since = refused_at(target.address).await;
            tokio::time::sleep(SETTLE).await;
            let together = inspector.running().ended_within(Instant::now(), 2 * SETTLE) > 1;
            if gone_since.is_none() && together {
                // Its connections may have been closed before its listener.
                gone_since = refused_at(target.address).await;
            }
            let runs = inspector.running().inspected(Instant::now(), gone_since);
            if gone_since.is_some() {
                inspector.board.drop_target(&target);
            }
            if !runs.is_empty() {
                inspector.report(&target, &runs);
                inspector.accuse(runs, Duration::ZERO);
            }
        });
    }

    /// Notes that `target` is another life than the one before it.
    pub fn succeed(&self, target: &Target) {
        let began = target.start_time.map(|born| born.0);
        let age = began.map(|began| Duration::from_millis(clock::unix_ms().saturating_sub(began)));
        let now = Instant::now();
        let mut running = self.running();
        let ended_at = running.ended_at(now, age);
        let runs = running.succeed(now, age);
        drop(running);
        if !runs.is_empty() {
            self.report(target, &runs);
            self.accuse(runs, now.saturating_duration_since(ended_at));
        }
    }

    /// Tells that the target ended `ago` under these runs. Where they are too many, those that are suspected
    /// already and those that began last are told.
    fn accuse(&self, mut runs: Vec<Run>, ago: Duration) {
        let quarantine = &self.board.quarantine;
        runs.sort_by_key(|run| Reverse((quarantine.standing(run.fingerprint).ends, run.began)));
        let running = runs.into_iter().map(|run| run.fingerprint).collect();
        quarantine.see(&Crash {
            age: ago.into(),
            ..Crash::new(CrashId(rand::random()), running)
        });
    }

    fn report(&self, target: &Target, runs: &[Run]) {
        let now = Instant::now();
        let name = |run: &Run| {
            let age = Millis::from(now.saturating_duration_since(run.began));
            format!("{}:{}:{}:{age}", run.fingerprint, run.route, run.from)
        };
        let named: Vec<String> = runs.iter().take(NAMED).map(name).collect();
        let instance = target.instance.as_ref().map(ToString::to_string);
        warn!(self.board.logger, "target ended"; "instance" => instance,
            "address" => %target.address, "running" => runs.len(), "requests" => named.join(" "));
    }

    fn running(&self) -> MutexGuard<'_, Running> {
        lock(&self.board.running)
    }
}

impl Watched {
    /// Notes how the run is over.
    pub fn finish(mut self, end: End) {
        self.end = end;
        if end == End::Answered {
            self.inspector.board.quarantine.answered(self.fingerprint);
        }
    }
}

impl Drop for Watched {
    fn drop(&mut self) {
        let now = Instant::now();
        self.inspector.running().finish(now, self.ticket, self.end);
    }
}

/// Takes the lock, which is held for a few instructions.
pub fn lock(running: &Mutex<Running>) -> MutexGuard<'_, Running> {
    running.lock().unwrap_or_else(PoisonError::into_inner)
}

/// When it was found that nobody listens at an address of this host, if nobody does.
///
/// Guards against a target whose answer was lost, or that cuts one connection: it still listens. One that
/// has ended does not, and its host says so at once.
async fn refused_at(address: SocketAddr) -> Option<Instant> {
    let looked = Instant::now();
    let connecting = tokio::time::timeout(REFUSAL, TcpStream::connect(address)).await;
    let refused = |error: std::io::Error| error.kind() == std::io::ErrorKind::ConnectionRefused;
    let gone = connecting.is_ok_and(|connected| connected.is_err_and(refused));
    gone.then_some(looked)
}
