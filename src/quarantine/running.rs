//! Requests at the co-located target, and which of them may have caused its crash.
//!
//! All requests reach a target through its sidecar, so only the sidecar knows what was running when the
//! target crashed. [`Running`] takes the current time as an argument.

use std::time::{Duration, Instant};

use crate::quarantine::fingerprint::Fingerprint;
use crate::units::Service;

/// Time for which a request that its ingress or caller gave up may still have caused a crash: not every
/// target stops work when the connection closes. A request that takes longer to crash its target is found by
/// later crashes.
const ABANDONED_WINDOW: Duration = Duration::from_secs(1);
/// Time after a broken connection within which a new target process shows that the earlier one had crashed:
/// its supervisor restarts it, and it announces itself.
const RESTART_WINDOW: Duration = Duration::from_secs(5);
/// Most unresolved requests that are kept: as many as a target with many slots may have in flight.
const MAX_UNRESOLVED: usize = 256;
/// Answered requests remembered for one target process, 8 KB in all. At a hundred responses per second they
/// cover ten seconds, many times what a request takes.
const MAX_ANSWERED: usize = 1_024;

/// A request at the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// Identifies the request across retries.
    pub fingerprint: Fingerprint,
    /// Name of its route.
    pub route: String,
    /// Service on whose host the request began.
    pub from: Service,
    /// When the request was handed to a connection to the target, or when it was to be sent until then.
    pub began: Instant,
}

/// Identifies a run while it is in flight.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunId(u64);

/// How a run finished.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered the request.
    Answered,
    /// The target failed or refused the request, or never received it.
    Resolved,
    /// The connection broke, or whoever waited for the response gave up; the target may still process it.
    Unresolved,
}

/// The requests at one target.
#[derive(Debug, Default)]
pub struct Running {
    next: u64,
    /// Sorted by id.
    in_flight: Vec<(u64, Run)>,
    /// Unresolved runs, with the time at which they finished.
    unresolved: Vec<(Instant, Run)>,
    /// Requests that the current target process has answered, as a ring buffer.
    answered: Vec<Fingerprint>,
    next_answered: usize,
    /// Whether the target announced that it is going to stop.
    draining: bool,
    /// Runs that began up to this time were at processes whose end is known.
    attributed_until: Option<Instant>,
    /// Whether a check of the target is in progress.
    check_in_progress: bool,
}

impl Running {
    /// Adds a request that is sent to the target.
    pub fn begin(&mut self, run: Run) -> RunId {
        let id = self.next;
        self.next += 1;
        self.in_flight.push((id, run));
        RunId(id)
    }

    /// Records that a run has a connection to the target.
    ///
    /// Guards against a run that waits for its connection while the target is restarted: the next process
    /// gets it, so it must not count as one of the process before.
    pub fn mark_connected(&mut self, now: Instant, id: RunId) {
        let found = self.in_flight.binary_search_by_key(&id.0, |(id, _)| *id);
        if let Ok(index) = found {
            self.in_flight[index].1.began = now;
        }
    }

    /// The requests that are in flight.
    pub fn in_flight(&self) -> impl Iterator<Item = &Run> {
        self.in_flight.iter().map(|(_, run)| run)
    }

    /// Ends a run; does nothing if it ended before.
    pub fn finish(&mut self, now: Instant, id: RunId, completion: Completion) {
        let found = self.in_flight.binary_search_by_key(&id.0, |(id, _)| *id);
        let Ok(index) = found else {
            return;
        };
        let (_, run) = self.in_flight.remove(index);
        match completion {
            Completion::Answered => self.remember_answered(run.fingerprint),
            Completion::Resolved => {}
            // A target that stops as announced has not crashed.
            Completion::Unresolved if self.draining => {}
            Completion::Unresolved => {
                self.drop_expired(now);
                if self.unresolved.len() == MAX_UNRESOLVED {
                    self.unresolved.remove(0);
                }
                self.unresolved.push((now, run));
            }
        }
    }

    /// Number of runs that finished as unresolved in the last `time`.
    #[must_use]
    pub fn unresolved_within(&self, now: Instant, time: Duration) -> usize {
        let unresolved = self.unresolved.iter();
        unresolved
            .filter(|(over, _)| now.saturating_duration_since(*over) < time)
            .count()
    }

    /// When the earlier target process crashed, judged at the announcement of a new one that is `age` old.
    ///
    /// Guards against simultaneous crashes that seem to lie apart, because the new processes announce
    /// themselves one after the other.
    #[must_use]
    pub fn crash_time(&self, now: Instant, age: Option<Duration>) -> Instant {
        let broken = self.unresolved.iter().map(|(over, _)| *over).max();
        let started_at = age.and_then(|age| now.checked_sub(age));
        broken.into_iter().chain(started_at).min().unwrap_or(now)
    }

    /// Records that the target announced its stop; requests that were cut off before did not crash it.
    pub fn mark_draining(&mut self) {
        self.draining = true;
        self.unresolved.clear();
    }

    /// Records that the target accepts requests; `restarted` if it is a new process.
    pub fn mark_ready(&mut self, restarted: bool) {
        self.draining = false;
        if restarted {
            self.answered.clear();
            self.next_answered = 0;
        }
    }

    /// Records the announcement of a new target process that is `age` old, where it tells its age. Returns
    /// the runs that may have crashed the earlier process, unless its end is known.
    ///
    /// Guards against a target that is restarted before its sidecar has checked it: the check finds a
    /// listener, and the crash would pass for a broken connection.
    pub fn restarted(&mut self, now: Instant, age: Option<Duration>) -> Vec<Run> {
        self.drop_expired(now);
        if self.draining {
            return Vec::new();
        }
        let started_at = age.and_then(|age| now.checked_sub(age));
        let unresolved = std::mem::take(&mut self.unresolved);
        let last = unresolved.iter().map(|(_, run)| run.began).max();
        let unresolved = unresolved.into_iter().map(|(_, run)| run);
        let before = |run: &&Run| started_at.is_some_and(|started_at| run.began < started_at);
        let in_flight = self.in_flight().filter(before).cloned();
        let runs = self.implicated(unresolved.chain(in_flight));
        self.mark_attributed(started_at.or(last));
        runs
    }

    /// Returns whether to check the target; `false` until [`Running::finish_check`] if a check is in
    /// progress.
    pub const fn begin_check(&mut self) -> bool {
        let begins = !self.check_in_progress;
        self.check_in_progress = true;
        begins
    }

    /// Records the result of a check: since when connections are refused, if the target has crashed. Returns
    /// the runs that may have crashed it.
    ///
    /// Requests that this process answered before are not among them: one that many callers send is in flight
    /// at every crash.
    pub fn finish_check(&mut self, now: Instant, refused_since: Option<Instant>) -> Vec<Run> {
        self.check_in_progress = false;
        self.drop_expired(now);
        let Some(refused_since) = refused_since.filter(|_| !self.draining) else {
            return Vec::new();
        };
        let began_before_crash = |run: &Run| run.began <= refused_since;
        let unresolved = std::mem::take(&mut self.unresolved);
        let (unresolved, later) = unresolved
            .into_iter()
            .partition(|(_, run)| began_before_crash(run));
        self.unresolved = later;
        let is_recent = |over: Instant| now.saturating_duration_since(over) < ABANDONED_WINDOW;
        let unresolved = unresolved.into_iter().filter(|(over, _)| is_recent(*over));
        let in_flight = self
            .in_flight()
            .filter(|run| began_before_crash(run))
            .cloned();
        let runs = self.implicated(unresolved.map(|(_, run)| run).chain(in_flight));
        self.mark_attributed(Some(refused_since));
        runs
    }

    /// The runs that may have crashed the current process: those that it has not answered before and that
    /// began after the last known end of a process.
    fn implicated(&self, runs: impl Iterator<Item = Run>) -> Vec<Run> {
        runs.filter(|run| self.attributed_until.is_none_or(|until| run.began > until))
            .filter(|run| !self.answered.contains(&run.fingerprint))
            .collect()
    }

    /// Records that runs which began up to `until` were at a process whose end is known.
    ///
    /// Guards against reporting a crash twice, and against a check that finishes after the restart and would
    /// mark the runs of the new process as well.
    fn mark_attributed(&mut self, until: Option<Instant>) {
        self.attributed_until = self.attributed_until.max(until);
    }

    fn remember_answered(&mut self, fingerprint: Fingerprint) {
        if self.answered.len() < MAX_ANSWERED {
            self.answered.push(fingerprint);
            return;
        }
        self.answered[self.next_answered] = fingerprint;
        self.next_answered = (self.next_answered + 1) % MAX_ANSWERED;
    }

    fn drop_expired(&mut self, now: Instant) {
        self.unresolved
            .retain(|(over, _)| now.saturating_duration_since(*over) < RESTART_WINDOW);
    }
}
