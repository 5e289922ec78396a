//! Which targets may take a request, for the path of a request.
//!
//! An entry asks [`Rule::draw`] which side a request goes to; a gate asks [`Rule::side`] whether its target may
//! take it at all. Both go by the same rule, so a gate corrects an entry that has not heard of a change.

use std::net::SocketAddr;
use std::time::Instant;

use crate::rollout::order::Verdict;
use crate::rollout::plan::{FULL_PERMILLE, PLAN_TTL, Step};
use crate::rollout::progress::LocalProgress;
use crate::units::{Revision, Service};

/// Upstreams that a request tries before it goes to a new target without being drawn for it.
const MAX_OLD_ATTEMPTS: usize = 1;

/// Part that a target has in a roll-out.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// It is of the revision that is rolled out.
    New,
    /// It is of another one.
    Old,
}

/// What holds for the targets of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Service that it is about.
    pub service: Service,
    /// Revision that is rolled out.
    pub revision: Revision,
    /// Other revisions that get no request, sorted.
    excluded: Vec<Revision>,
    verdict: Option<Verdict>,
    step: Step,
    permille: u16,
    chosen: Vec<SocketAddr>,
    /// Until when the plan is gone by.
    plan_expires_at: Instant,
}

impl Rule {
    /// What follows from what is known of a roll-out.
    #[must_use]
    pub fn of(known: &LocalProgress) -> Self {
        let progress = known.progress();
        Self {
            service: progress.order.service.clone(),
            revision: progress.order.revision.clone(),
            excluded: progress.excluded_revisions(),
            verdict: progress.verdict,
            step: progress.plan.step,
            permille: progress.plan.permille,
            chosen: progress.plan.chosen.clone(),
            plan_expires_at: known.plan_renewed_at() + PLAN_TTL,
        }
    }

    /// The step that is gone by at `now`; nothing once there is a verdict.
    #[must_use]
    pub fn step(&self, now: Instant) -> Option<Step> {
        if self.verdict.is_some() {
            return None;
        }
        // Guards against a daemon that hears nobody: it does not know whether the revision was taken
        // back meanwhile, and goes back by itself until it hears more.
        let expired = now >= self.plan_expires_at && self.step != Step::Back;
        Some(if expired { Step::Waiting } else { self.step })
    }

    /// The side of a target that may take requests at `now`; nothing for one that may not.
    #[must_use]
    pub fn side(
        &self,
        revision: Option<&Revision>,
        peer: SocketAddr,
        now: Instant,
    ) -> Option<Side> {
        if self.verdict == Some(Verdict::Completed) {
            // One that has not said what it is yet is not stopped: the operator stops what it knows.
            let new = revision.is_none_or(|revision| *revision == self.revision);
            return new.then_some(Side::New);
        }
        // A target that was found by its health alone may be of the revision that is tried. It says what it
        // is with its next announcement.
        let revision = revision?;
        let step = self.step(now).unwrap_or(Step::Back);
        if *revision != self.revision {
            let excluded = self.excluded.binary_search(revision).is_ok();
            return (!excluded && step != Step::All).then_some(Side::Old);
        }
        let takes_requests = matches!(step, Step::Canary | Step::Ramp | Step::All);
        let chosen = self.chosen.is_empty() || self.chosen.binary_search(&peer).is_ok();
        (takes_requests && chosen).then_some(Side::New)
    }

    /// The side that a request goes to, by a number drawn from 0 to 1, after so many upstreams were `tried`.
    /// One that is sent once more goes to the old side.
    ///
    /// Guards against a request that is refused by one old gate after the other: all of them may have closed
    /// by a plan that has not come here yet. After two it goes to a new one.
    #[must_use]
    pub fn choose_side(&self, random: f64, tried: usize, now: Instant) -> Side {
        match self.step(now) {
            None => match self.verdict {
                Some(Verdict::Completed) => Side::New,
                _ => Side::Old,
            },
            Some(Step::All) => Side::New,
            Some(Step::Canary | Step::Ramp) => {
                let is_selected = random * f64::from(FULL_PERMILLE) < f64::from(self.permille);
                if tried > MAX_OLD_ATTEMPTS || tried == 0 && is_selected {
                    Side::New
                } else {
                    Side::Old
                }
            }
            Some(Step::Waiting | Step::Back) => Side::Old,
        }
    }

    /// Whether gates count how their targets answer.
    #[must_use]
    pub const fn is_undecided(&self) -> bool {
        self.verdict.is_none()
    }
}

/// The rules of all services that have a roll-out.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rules {
    /// Sorted by service.
    all: Vec<Rule>,
}

impl Rules {
    /// Rules that follow from what is known, which is sorted by service.
    #[must_use]
    pub fn of(known: &[LocalProgress]) -> Self {
        Self {
            all: known.iter().map(Rule::of).collect(),
        }
    }

    /// The rule of a service, if there is one.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<&Rule> {
        let found = self.all.binary_search_by(|rule| rule.service.cmp(service));
        found.ok().map(|index| &self.all[index])
    }
}
