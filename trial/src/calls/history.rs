//! Compares the outcomes that callers observed with the requests that targets ran.

use std::collections::BTreeMap;

use serde::Serialize;

use crate::stand_in::target::Run;

/// Outcome of one attempt, as its caller observed it.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Outcome {
    /// Complete response to the request.
    Answered,
    /// Response to another request, or a truncated one.
    Wrong,
    /// Reported as not run.
    NotRun,
    /// Reported as unknown.
    Unknown,
    /// The connection broke before a complete response.
    Cut,
    /// The connection broke because the trial killed the daemon.
    CutByKill,
    /// No response within the time-out.
    Silent,
}

/// Attempt of a caller to get a request served.
#[derive(Debug, Clone)]
pub struct Attempt {
    /// Name of the request, which repeats share.
    pub request: String,
    /// Whether the request must run at most once.
    pub once: bool,
    /// Outcome that the caller observed.
    pub told: Outcome,
    /// Daemon's reason for the lack of a response, or the error that broke the connection.
    pub reason: String,
}

/// Graceful shutdown of a target.
#[derive(Debug, Clone, Copy)]
pub struct Departure {
    /// Address of the target.
    pub target: std::net::SocketAddr,
    /// Time of the shutdown request, in Unix ms.
    pub asked_ms: u64,
    /// Time just before the restart, in Unix ms.
    pub back_ms: u64,
}

/// Counts over a run; the first six must be zero.
#[derive(Debug, Clone, Default, Serialize)]
pub struct Counts {
    /// Requests that ran although every attempt was reported as not run.
    pub told_not_run_but_ran: usize,
    /// Requests that may run at most once and ran more often.
    pub ran_twice: usize,
    /// Attempts whose connection broke although the trial had not killed the daemon.
    pub cut: usize,
    /// Responses to other requests, and truncated ones.
    pub wrong_answer: usize,
    /// Runs at a target more than three seconds after its shutdown request.
    pub late_work: usize,
    /// Attempts without a response within the time-out.
    pub silent: usize,
    /// Attempts sent.
    pub sent: usize,
    /// Attempts with the correct response.
    pub answered: usize,
    /// Attempts reported as not run.
    pub not_run: usize,
    /// Attempts reported as unknown.
    pub unknown: usize,
    /// Attempts whose connection broke because the trial killed the daemon.
    pub cut_by_kill: usize,
    /// Numbers of attempts by reason.
    pub reasons: BTreeMap<String, usize>,
}

/// Time after which a target that shuts down must not get new requests, in milliseconds.
const LEAVE_MS: u64 = 3_000;

impl Counts {
    /// Counts the observed outcomes and compares them with the runs.
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

    /// Whether all counts that must be zero are zero.
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
