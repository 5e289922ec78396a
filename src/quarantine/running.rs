//! What runs at the co-located target, and what ran when it ended.
//!
//! All work enters a target through its gate, so the gate alone knows what was under way when the target
//! ended. [`Running`] gets time as an argument.

use std::time::{Duration, Instant};

use crate::quarantine::fingerprint::Fingerprint;
use crate::units::Service;

/// Time for which a request counts that its entry or caller has given up: not every target stops the work
/// when its connection closes, and what takes longer to end a target than this is told by later ends.
const ABANDONED_WINDOW: Duration = Duration::from_secs(1);
/// Time after a broken connection in which another life of the target proves that it had ended: a supervisor
/// starts it again, and it announces itself.
const RESTART_WINDOW: Duration = Duration::from_secs(5);
/// Requests of unknown fate that are kept: as many as a target of many slots may have under way.
const MAX_UNRESOLVED: usize = 256;
/// Answered requests that are remembered of one life of the target, in 8 KB. At a hundred answers a second
/// they span ten seconds, many times what a request takes.
const MAX_ANSWERED: usize = 1_024;

/// One request at the target.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Run {
    /// What it is.
    pub fingerprint: Fingerprint,
    /// Its route.
    pub route: String,
    /// Service on whose host it began.
    pub from: Service,
    /// When it was sent to the target.
    pub began: Instant,
}

/// Names a run until it is over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct RunId(u64);

/// How a run was over.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Completion {
    /// The target answered it.
    Answered,
    /// The target failed or refused it, or never saw it.
    Resolved,
    /// Its connection broke, or whoever waited for it has given up.
    Unresolved,
}

/// The requests at one target.
#[derive(Debug, Default)]
pub struct Running {
    next: u64,
    /// Sorted by ticket.
    under_way: Vec<(u64, Run)>,
    /// Runs of unknown fate, with the time at which they were over.
    unresolved: Vec<(Instant, Run)>,
    /// Fingerprints that this life of the target has answered; the oldest is overwritten first.
    answered: Vec<Fingerprint>,
    next_answered: usize,
    /// Whether the target has said that it ends.
    draining: bool,
    /// Runs that began up to then were at lives whose end is known.
    attributed_until: Option<Instant>,
    /// Whether it is being found out if the target is still there.
    check_in_progress: bool,
}

impl Running {
    /// Notes that a request is sent to the target.
    pub fn begin(&mut self, run: Run) -> RunId {
        let id = self.next;
        self.next += 1;
        self.under_way.push((id, run));
        RunId(id)
    }

    /// The requests that are under way.
    pub fn under_way(&self) -> impl Iterator<Item = &Run> {
        self.under_way.iter().map(|(_, run)| run)
    }

    /// Notes that a run is over.
    pub fn finish(&mut self, now: Instant, id: RunId, completion: Completion) {
        let found = self.under_way.binary_search_by_key(&id.0, |(id, _)| *id);
        let Ok(index) = found else {
            return;
        };
        let (_, run) = self.under_way.remove(index);
        match completion {
            Completion::Answered => self.remember_answered(run.fingerprint),
            Completion::Resolved => {}
            // What is cut while the target leaves is not the cause.
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

    /// Runs that were over with an unknown fate in the last `time`.
    #[must_use]
    pub fn unresolved_within(&self, now: Instant, time: Duration) -> usize {
        let unresolved = self.unresolved.iter();
        unresolved
            .filter(|(over, _)| now.saturating_duration_since(*over) < time)
            .count()
    }

    /// When the target ended that another life, `age` after its begin, has taken the place of.
    ///
    /// Guards against targets that end together and whose ends pass for several moments: the next lives announce
    /// themselves one after the other.
    #[must_use]
    pub fn crash_time(&self, now: Instant, age: Option<Duration>) -> Instant {
        let broken = self.unresolved.iter().map(|(over, _)| *over).max();
        let started_at = age.and_then(|age| now.checked_sub(age));
        broken.into_iter().chain(started_at).min().unwrap_or(now)
    }

    /// Notes that the target has said that it ends: what was cut before did not end it.
    pub fn mark_draining(&mut self) {
        self.draining = true;
        self.unresolved.clear();
    }

    /// Notes that the target takes requests; `another` when it is not the life that did so before.
    pub fn mark_ready(&mut self, restarted: bool) {
        self.draining = false;
        if restarted {
            self.answered.clear();
            self.next_answered = 0;
        }
    }

    /// Notes that another life of the target has announced itself, `age` after it began where it tells that;
    /// returns what may have ended the former one, unless its end is known.
    ///
    /// Guards against a supervisor that starts a target again before its gate has looked: the end would pass for
    /// a connection that was cut.
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
        let under_way = self.under_way().filter(before).cloned();
        let runs = self.implicated(unresolved.chain(under_way));
        self.mark_attributed(started_at.or(last));
        runs
    }

    /// Whether to find out if the target is still there; no second time until [`Running::inspected`].
    pub const fn begin_check(&mut self) -> bool {
        let begins = !self.check_in_progress;
        self.check_in_progress = true;
        begins
    }

    /// Notes whether the target has ended without a word, and since when nobody listens; returns what may have
    /// ended it.
    ///
    /// What this life has answered before did not end it now: a request that many callers send is under
    /// way whenever a target ends.
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
        let under_way = self
            .under_way()
            .filter(|run| began_before_crash(run))
            .cloned();
        let runs = self.implicated(unresolved.map(|(_, run)| run).chain(under_way));
        self.mark_attributed(Some(refused_since));
        runs
    }

    /// Those of some runs that may have ended this life: not answered by it, nor told at an earlier end.
    fn implicated(&self, runs: impl Iterator<Item = Run>) -> Vec<Run> {
        runs.filter(|run| self.attributed_until.is_none_or(|until| run.began > until))
            .filter(|run| !self.answered.contains(&run.fingerprint))
            .collect()
    }

    /// Notes that the end of the life is known at which runs were that began up to `until`.
    ///
    /// Guards against one end that is told twice, and against a look that comes back when the next life is there:
    /// the end of that one would pass for known.
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
