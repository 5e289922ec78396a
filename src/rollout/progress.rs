//! State of a rollout, replicated on every daemon.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::configuration::control_plane::Position;
use crate::rollout::order::{Change, Order, Verdict};
use crate::rollout::plan::{Plan, Step};
use crate::units::{Millis, Offset, Revision};

/// Past orders of one service that are kept: several more than an operator gives while they matter.
const MAX_PAST_ORDERS: usize = 8;
/// Rolled-back revisions of one service that are kept.
const MAX_REFUSED_REVISIONS: usize = 32;

/// An order that a later one replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastOrder {
    /// The replaced order.
    pub order: Order,
    /// Its offset on the platform.
    pub offset: Offset,
    /// Whether its revision had received all requests.
    pub completed: bool,
}

/// State of one rollout as daemons send it to each other.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// The current order.
    pub order: Order,
    /// Position of the order on the platform.
    #[serde(rename = "at")]
    pub position: Position,
    /// Time since the order was given, at the time of sending.
    pub age: Millis,
    /// The plan that daemons follow.
    pub plan: Plan,
    /// Time since the plan was renewed, at the time of sending.
    pub plan_age: Millis,
    /// The verdict, if there is one.
    pub verdict: Option<Verdict>,
    /// Rolled-back revisions, sorted. They receive no requests, whatever is ordered.
    pub refused: Vec<Revision>,
    /// Replaced orders, the latest last.
    pub past: Vec<PastOrder>,
}

/// State of a rollout as one daemon holds it, with local times in place of ages.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalProgress {
    progress: Progress,
    /// When the order was given.
    ordered_at: Instant,
    /// When the plan was renewed.
    plan_renewed_at: Instant,
}

impl Progress {
    /// State of an order that was just given.
    #[must_use]
    pub fn new(order: Order, position: Position) -> Self {
        Self {
            order,
            position,
            age: Millis(0),
            plan: Plan::default(),
            plan_age: Millis(0),
            verdict: None,
            refused: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Whether the ordered revision was rolled back.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.refused.binary_search(&self.order.revision).is_ok()
    }

    /// Revisions other than the ordered one that receive no requests, sorted: those that were rolled back,
    /// and those whose rollout was replaced by another order before it completed.
    #[must_use]
    pub fn excluded_revisions(&self) -> Vec<Revision> {
        let mut excluded = self.refused.clone();
        for past in &self.past {
            let revision = &past.order.revision;
            match excluded.binary_search(revision) {
                Err(index) if !past.completed => excluded.insert(index, revision.clone()),
                // A later order for this revision completed.
                Ok(index) if past.completed && !self.refused.contains(revision) => {
                    excluded.remove(index);
                }
                _ => {}
            }
        }
        excluded.retain(|revision| *revision != self.order.revision);
        excluded
    }
}

impl LocalProgress {
    /// A state that was received at `now`.
    #[must_use]
    pub fn new(now: Instant, progress: Progress) -> Self {
        let before = |age: Millis| now.checked_sub(age.duration()).unwrap_or(now);
        Self {
            ordered_at: before(progress.age),
            plan_renewed_at: before(progress.plan_age),
            progress,
        }
    }

    /// The state, with ages as of the time at which it was received.
    #[must_use]
    pub const fn progress(&self) -> &Progress {
        &self.progress
    }

    /// When the plan was renewed.
    #[must_use]
    pub const fn plan_renewed_at(&self) -> Instant {
        self.plan_renewed_at
    }

    /// Time since the order was given.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ordered_at)
    }

    /// The state with ages at `now`, for sending.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Progress {
        Progress {
            age: self.age(now).into(),
            plan_age: now.saturating_duration_since(self.plan_renewed_at).into(),
            ..self.progress.clone()
        }
    }

    /// Merges the state of another daemon for the same service; returns whether anything changed.
    pub fn merge(&mut self, now: Instant, other: &Progress) -> bool {
        let other = Self::new(now, other.clone());
        let refused = self.refuse_all(&other.progress.refused);
        if self.progress.order == other.progress.order {
            return self.merge_same_order(&other) || refused;
        }
        if other.progress.position <= self.progress.position {
            return refused;
        }
        self.replace(other);
        true
    }

    /// Applies a change read from the platform; returns whether anything changed.
    pub fn apply_change(&mut self, now: Instant, change: &Change) -> bool {
        if change.position <= self.progress.position {
            return false;
        }
        let Some(order) = &change.order else {
            return self.withdraw(change.position);
        };
        if *order == self.progress.order {
            self.progress.position = change.position;
            return true;
        }
        // A platform that is restored from a backup has a replaced order again until the operator repeats the
        // newer one. Following it would start its rollout anew. In a backup the order has the same offset as
        // before.
        let is_copy = self.progress.position.generation < change.position.generation
            && self
                .progress
                .past
                .iter()
                .any(|past| past.order == *order && past.offset == change.position.offset);
        if is_copy {
            return false;
        }
        self.replace(Self::new(
            now,
            Progress::new(order.clone(), change.position),
        ));
        true
    }

    /// Adopts a plan if it supersedes the current one; returns whether it does.
    pub fn apply_plan(&mut self, plan_renewed_at: Instant, plan: &Plan) -> bool {
        let later = plan.supersedes(&self.progress.plan);
        if later {
            self.progress.plan = plan.clone();
            self.plan_renewed_at = plan_renewed_at;
        }
        if plan.step == Step::Back {
            self.refuse_ordered_revision();
        }
        later
    }

    /// Sets the verdict unless there is one; returns whether it was set.
    pub fn set_verdict(&mut self, verdict: Verdict) -> bool {
        if self.progress.verdict.is_some() {
            return false;
        }
        self.progress.verdict = Some(verdict);
        if verdict == Verdict::RolledBack {
            self.refuse_ordered_revision();
        }
        true
    }

    /// Moves the time of the order back if `ordered_at` is earlier; returns whether it is.
    pub fn backdate(&mut self, ordered_at: Instant) -> bool {
        let earlier = ordered_at < self.ordered_at;
        self.ordered_at = self.ordered_at.min(ordered_at);
        earlier
    }

    /// Adds the state to a hash, except for ages and renewals, which don't affect what a daemon does.
    pub fn hash_into(&self, hasher: &mut Xxh3) {
        let progress = &self.progress;
        let (order, position) = (&progress.order, progress.position);
        hasher.update(order.service.as_str().as_bytes());
        hasher.update(order.revision.as_str().as_bytes());
        hasher.update(&order.duration.0.to_le_bytes());
        hasher.update(&position.generation.0.to_le_bytes());
        hasher.update(&position.offset.0.to_le_bytes());
        let verdict = progress.verdict.map_or(0, |verdict| verdict as u8 + 1);
        hasher.update(&[progress.plan.step as u8, verdict]);
        for refused in &progress.refused {
            hasher.update(refused.as_str().as_bytes());
        }
    }

    fn merge_same_order(&mut self, other: &Self) -> bool {
        let received = &other.progress;
        let is_moved = received.position > self.progress.position;
        self.progress.position = self.progress.position.max(received.position);
        self.backdate(other.ordered_at);
        let is_plan_new = self.apply_plan(other.plan_renewed_at, &received.plan);
        let is_verdict_new = received
            .verdict
            .is_some_and(|verdict| self.set_verdict(verdict));
        is_moved || is_plan_new || is_verdict_new
    }

    /// Replaces the order by a later one.
    fn replace(&mut self, mut next: Self) {
        let mut past = std::mem::take(&mut self.progress.past);
        past.push(PastOrder {
            order: self.progress.order.clone(),
            offset: self.progress.position.offset,
            completed: self.progress.verdict == Some(Verdict::Completed),
        });
        past.extend(std::mem::take(&mut next.progress.past));
        past.dedup();
        let excess = past.len().saturating_sub(MAX_PAST_ORDERS);
        past.drain(..excess);
        next.progress.past = past;
        let refused = std::mem::take(&mut self.progress.refused);
        *self = next;
        self.refuse_all(&refused);
        // A revision that was rolled back is not tried again under the same name: callers would meet its
        // faults again.
        if self.progress.is_refused() {
            self.progress.plan.step = Step::Back;
        }
    }

    /// The order was withdrawn: its revision receives no more requests, unless there is a verdict.
    fn withdraw(&mut self, position: Position) -> bool {
        self.progress.position = position;
        if self.progress.verdict.is_none() {
            let number = self.progress.plan.number + 1;
            self.progress.plan = Plan {
                number,
                step: Step::Back,
                ..Plan::default()
            };
            self.refuse_ordered_revision();
        }
        true
    }

    fn refuse_ordered_revision(&mut self) {
        let revision = self.progress.order.revision.clone();
        self.refuse_all(&[revision]);
    }

    /// Adds rolled-back revisions; returns whether any was not known.
    fn refuse_all(&mut self, revisions: &[Revision]) -> bool {
        let refused = &mut self.progress.refused;
        let mut is_new = false;
        for revision in revisions {
            if let Err(index) = refused.binary_search(revision) {
                refused.insert(index, revision.clone());
                is_new = true;
            }
        }
        let current = &self.progress.order.revision;
        while refused.len() > MAX_REFUSED_REVISIONS {
            let other = refused.iter().position(|revision| revision != current);
            refused.remove(other.unwrap_or(0));
        }
        is_new
    }
}
