//! Routing rules during a rollout, for the request path.
//!
//! An ingress asks [`Rule::choose_side`] to which revision a request goes; a sidecar asks [`Rule::side`]
//! whether its target may receive it. Both use the same rule, so that a sidecar rejects requests from an
//! ingress that has not received a change yet.

use std::net::SocketAddr;
use std::time::Instant;

use crate::rollout::order::Verdict;
use crate::rollout::plan::{FULL_PERMILLE, PLAN_TTL, Step};
use crate::rollout::progress::LocalProgress;
use crate::units::{Revision, Service};

/// Retries of a request that go to the old side; a further one goes to the new side.
const MAX_OLD_ATTEMPTS: usize = 1;

/// Role of a target in a rollout.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub enum Side {
    /// It has the new revision.
    New,
    /// It has another revision.
    Old,
}

/// Rule for the targets of one service.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Rule {
    /// Service that the rule is for.
    pub service: Service,
    /// The new revision.
    pub revision: Revision,
    /// Other revisions that receive no requests, sorted.
    excluded: Vec<Revision>,
    verdict: Option<Verdict>,
    step: Step,
    permille: u16,
    chosen: Vec<SocketAddr>,
    /// When the plan expires.
    plan_expires_at: Instant,
}

impl Rule {
    /// Rule that follows from the state of a rollout.
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

    /// The step that applies at `now`; `None` once there is a verdict.
    #[must_use]
    pub fn step(&self, now: Instant) -> Option<Step> {
        if self.verdict.is_some() {
            return None;
        }
        // A daemon that is cut off does not know whether the revision was rolled back meanwhile, so it sends
        // it no requests until it receives a current plan.
        let expired = now >= self.plan_expires_at && self.step != Step::Back;
        Some(if expired { Step::Waiting } else { self.step })
    }

    /// Side of a target that may receive requests at `now`; `None` if it may not.
    #[must_use]
    pub fn side(
        &self,
        revision: Option<&Revision>,
        peer: SocketAddr,
        now: Instant,
    ) -> Option<Side> {
        if self.verdict == Some(Verdict::Completed) {
            // A target whose revision is not known yet stays in use: the operator stops the targets that are
            // known to be old.
            let new = revision.is_none_or(|revision| *revision == self.revision);
            return new.then_some(Side::New);
        }
        // A target that was found by health checks alone may have the new revision; its next announcement
        // tells.
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

    /// Chooses the side of a request by a `random` number from 0 to 1 and the number of upstreams `tried`
    /// before. A first retry goes to the old side.
    ///
    /// Guards against a request that is refused by one old sidecar after the other, since all of them may
    /// already follow a plan that this ingress has not received. After two attempts the request goes to the
    /// new side.
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

    /// Whether sidecars count the responses of their targets.
    #[must_use]
    pub const fn is_undecided(&self) -> bool {
        self.verdict.is_none()
    }
}

/// Rules for all services that have a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Rules {
    /// Sorted by service.
    all: Vec<Rule>,
}

impl Rules {
    /// Rules that follow from the states of all rollouts, which are sorted by service.
    #[must_use]
    pub fn of(known: &[LocalProgress]) -> Self {
        Self {
            all: known.iter().map(Rule::of).collect(),
        }
    }

    /// The rule for a service, if it has a rollout.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<&Rule> {
        let found = self.all.binary_search_by(|rule| rule.service.cmp(service));
        found.ok().map(|index| &self.all[index])
    }
}
