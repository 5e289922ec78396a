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
    ended: Vec<(Instant, Run)>,
    /// Fingerprints that this life of the target has answered; the oldest is overwritten first.
    answered: Vec<Fingerprint>,
    oldest_answered: usize,
    /// Whether the target has said that it ends.
    leaving: bool,
    /// Runs that began up to then were at lives whose end is known.
    known_until: Option<Instant>,
    /// Whether it is being found out if the target is still there.
    inspected: bool,
}

impl Running {
    /// Notes that a request is sent to the target.
    pub fn begin(&mut self, run: Run) -> RunId {
        let ticket = self.next;
        self.next += 1;
        self.under_way.push((ticket, run));
        RunId(ticket)
    }

    /// The requests that are under way.
    pub fn under_way(&self) -> impl Iterator<Item = &Run> {
        self.under_way.iter().map(|(_, run)| run)
    }

    /// Notes that a run is over.
    pub fn finish(&mut self, now: Instant, ticket: RunId, end: Completion) {
        let found = self
            .under_way
            .binary_search_by_key(&ticket.0, |(ticket, _)| *ticket);
        let Ok(index) = found else {
            return;
        };
        let (_, run) = self.under_way.remove(index);
        match end {
            Completion::Answered => self.remember(run.fingerprint),
            Completion::Resolved => {}
            // What is cut while the target leaves is not the cause.
            Completion::Unresolved if self.leaving => {}
            Completion::Unresolved => {
                self.forget_old(now);
                if self.ended.len() == MAX_UNRESOLVED {
                    self.ended.remove(0);
                }
                self.ended.push((now, run));
            }
        }
    }

    /// Runs that were over with an unknown fate in the last `time`.
    #[must_use]
    pub fn unresolved_within(&self, now: Instant, time: Duration) -> usize {
        let ended = self.ended.iter();
        ended
            .filter(|(over, _)| now.saturating_duration_since(*over) < time)
            .count()
    }

    /// When the target ended that another life, `age` after its begin, has taken the place of.
    ///
    /// Guards against targets that end together and whose ends pass for several moments: the next lives announce
    /// themselves one after the other.
    #[must_use]
    pub fn crash_time(&self, now: Instant, age: Option<Duration>) -> Instant {
        let broken = self.ended.iter().map(|(over, _)| *over).max();
        let born = age.and_then(|age| now.checked_sub(age));
        broken.into_iter().chain(born).min().unwrap_or(now)
    }

    /// Notes that the target has said that it ends: what was cut before did not end it.
    pub fn mark_draining(&mut self) {
        self.leaving = true;
        self.ended.clear();
    }

    /// Notes that the target takes requests; `another` when it is not the life that did so before.
    pub fn mark_ready(&mut self, another: bool) {
        self.leaving = false;
        if another {
            self.answered.clear();
            self.oldest_answered = 0;
        }
    }

    /// Notes that another life of the target has announced itself, `age` after it began where it tells that;
    /// returns what may have ended the former one, unless its end is known.
    ///
    /// Guards against a supervisor that starts a target again before its gate has looked: the end would pass for
    /// a connection that was cut.
    pub fn succeed(&mut self, now: Instant, age: Option<Duration>) -> Vec<Run> {
        self.forget_old(now);
        if self.leaving {
            return Vec::new();
        }
        let born = age.and_then(|age| now.checked_sub(age));
        let ended = std::mem::take(&mut self.ended);
        let last = ended.iter().map(|(_, run)| run.began).max();
        let ended = ended.into_iter().map(|(_, run)| run);
        let before = |run: &&Run| born.is_some_and(|born| run.began < born);
        let under_way = self.under_way().filter(before).cloned();
        let runs = self.suspects(ended.chain(under_way));
        self.know_until(born.or(last));
        runs
    }

    /// Whether to find out if the target is still there; no second time until [`Running::inspected`].
    pub const fn inspect(&mut self) -> bool {
        let begins = !self.inspected;
        self.inspected = true;
        begins
    }

    /// Notes whether the target has ended without a word, and since when nobody listens; returns what may have
    /// ended it.
    ///
    /// What this life has answered before did not end it now: a request that many callers send is under
    /// way whenever a target ends.
    pub fn inspected(&mut self, now: Instant, gone_since: Option<Instant>) -> Vec<Run> {
        self.inspected = false;
        self.forget_old(now);
        let Some(gone_since) = gone_since.filter(|_| !self.leaving) else {
            return Vec::new();
        };
        let at_the_end = |run: &Run| run.began <= gone_since;
        let ended = std::mem::take(&mut self.ended);
        let (ended, later) = ended.into_iter().partition(|(_, run)| at_the_end(run));
        self.ended = later;
        let lingers = |over: Instant| now.saturating_duration_since(over) < ABANDONED_WINDOW;
        let ended = ended.into_iter().filter(|(over, _)| lingers(*over));
        let under_way = self.under_way().filter(|run| at_the_end(run)).cloned();
        let runs = self.suspects(ended.map(|(_, run)| run).chain(under_way));
        self.know_until(Some(gone_since));
        runs
    }

    /// Those of some runs that may have ended this life: not answered by it, nor told at an earlier end.
    fn suspects(&self, runs: impl Iterator<Item = Run>) -> Vec<Run> {
        runs.filter(|run| self.known_until.is_none_or(|until| run.began > until))
            .filter(|run| !self.answered.contains(&run.fingerprint))
            .collect()
    }

    /// Notes that the end of the life is known at which runs were that began up to `until`.
    ///
    /// Guards against one end that is told twice, and against a look that comes back when the next life is there:
    /// the end of that one would pass for known.
    fn know_until(&mut self, until: Option<Instant>) {
        self.known_until = self.known_until.max(until);
    }

    fn remember(&mut self, fingerprint: Fingerprint) {
        if self.answered.len() < MAX_ANSWERED {
            self.answered.push(fingerprint);
            return;
        }
        self.answered[self.oldest_answered] = fingerprint;
        self.oldest_answered = (self.oldest_answered + 1) % MAX_ANSWERED;
    }

    fn forget_old(&mut self, now: Instant) {
        self.ended
            .retain(|(over, _)| now.saturating_duration_since(*over) < RESTART_WINDOW);
    }
}
