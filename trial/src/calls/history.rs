//! The history of a trial: what callers were told, against what targets ran.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::stand_in::target::Run;

/// What a caller was told about one try.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// The whole answer to its own request.
    Answered,
    /// Somebody else's answer, or a part of one.
    Wrong,
    /// Provably not run.
    NotRun,
    /// Fate unknown.
    Unknown,
    /// The connection broke without an answer.
    Cut,
    /// The connection broke because the trial killed the daemon at its other end.
    CutByKill,
    /// No answer in time.
    Silent,
}

/// One try of a request.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Name of the request; a repeat has the same.
    pub request: String,
    /// Whether running it twice does harm.
    pub once: bool,
    /// What the caller was told.
    pub told: Outcome,
    /// Why there was no answer, in the daemon's words.
    pub reason: String,
}

/// A target that was asked to leave.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    /// Where it took calls.
    pub target: std::net::SocketAddr,
    /// When it was asked, in milliseconds since 1970.
    pub asked_ms: u64,
    /// When it was started again, in milliseconds since 1970.
    pub back_ms: u64,
}

/// Counts over a history; the first six must be zero.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counts {
    /// Requests told "not run" in every try, and run all the same.
    pub told_not_run_but_ran: usize,
    /// Requests that may run once, and ran more often.
    pub ran_twice: usize,
    /// Sessions cut, but for those whose daemon was killed.
    pub cut: usize,
    /// Answers that belong to another request, or a part of an answer.
    pub wrong_answer: usize,
    /// Runs on a leaving target more than three seconds after it was asked.
    pub late_work: usize,
    /// Requests without any answer in time.
    pub silent: usize,
    /// Tries sent.
    pub sent: usize,
    /// Tries answered.
    pub answered: usize,
    /// Tries told "not run".
    pub not_run: usize,
    /// Tries of unknown fate.
    pub unknown: usize,
    /// Sessions cut by the kill of their daemon.
    pub cut_by_kill: usize,
    /// Reasons that callers were given, with their number.
    pub reasons: BTreeMap<String, usize>,
}

/// Time after which a leaving target gets no new work, in milliseconds.
const LEAVE_MS: u64 = 3_000;

impl Counts {
    /// Counts what was told and what was run.
    #[must_use]
    pub fn of(tries: &[Attempt], runs: &[Run], leavings: &[Departure]) -> Self {
        let mut counts = Self {
            sent: tries.len(),
            ..Self::default()
        };
        for attempt in tries {
            let counter = match attempt.told {
                Outcome::Answered => &mut counts.answered,
                Outcome::Wrong => &mut counts.wrong_answer,
                Outcome::NotRun => &mut counts.not_run,
                Outcome::Unknown => &mut counts.unknown,
                Outcome::Cut => &mut counts.cut,
                Outcome::CutByKill => &mut counts.cut_by_kill,
                Outcome::Silent => &mut counts.silent,
            };
            *counter += 1;
            if !attempt.reason.is_empty() {
                *counts.reasons.entry(attempt.reason.clone()).or_default() += 1;
            }
        }
        let mut ran: BTreeMap<&str, usize> = BTreeMap::new();
        for run in runs {
            *ran.entry(&run.request).or_default() += 1;
        }
        let mut told: BTreeMap<&str, (bool, bool)> = BTreeMap::new();
        for attempt in tries {
            let entry = told.entry(&attempt.request).or_insert((attempt.once, true));
            entry.1 &= attempt.told == Outcome::NotRun;
        }
        for (request, (once, never)) in told {
            let times = ran.get(request).copied().unwrap_or(0);
            counts.told_not_run_but_ran += usize::from(never && times > 0);
            counts.ran_twice += usize::from(once && times > 1);
        }
        counts.late_work = leavings.iter().map(|leaving| leaving.late(runs)).sum();
        counts
    }

    /// Whether nothing happened that must not.
    #[must_use]
    pub const fn clean(&self) -> bool {
        let forbidden = self.told_not_run_but_ran
            + self.ran_twice
            + self.cut
            + self.wrong_answer
            + self.late_work
            + self.silent;
        forbidden == 0
    }
}

impl Departure {
    fn late(&self, runs: &[Run]) -> usize {
        let span = self.asked_ms + LEAVE_MS..self.back_ms;
        runs.iter()
            .filter(|run| run.target == self.target && span.contains(&run.began_ms))
            .count()
    }
}
