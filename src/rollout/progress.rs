//! What is known of a roll-out, merged alike on every daemon.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::configuration::origin::Position;
use crate::rollout::order::{Change, Order, Verdict};
use crate::rollout::plan::{Plan, Step};
use crate::units::{Millis, Offset, Revision};

/// Orders of one service that are remembered: several more than an operator gives within the time in which
/// they matter.
const MAX_PAST_ORDERS: usize = 8;
/// Revisions of one service that are remembered after they were rolled back.
const MAX_REFUSED_REVISIONS: usize = 32;

/// An order that another one has replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct PastOrder {
    /// What was ordered.
    pub order: Order,
    /// Where it stood.
    pub offset: Offset,
    /// Whether its revision had got all requests.
    pub completed: bool,
}

/// One roll-out as daemons tell each other of it.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Progress {
    /// What is ordered.
    pub order: Order,
    /// Where the order stands on the platform.
    #[serde(rename = "at")]
    pub position: Position,
    /// Time since it was given, when this was told.
    pub age: Millis,
    /// What daemons go by.
    pub plan: Plan,
    /// Time since the plan was renewed, when this was told.
    pub plan_age: Millis,
    /// How it ended.
    pub verdict: Option<Verdict>,
    /// Revisions that were rolled back, sorted: they get no request, whatever is ordered.
    pub refused: Vec<Revision>,
    /// Orders that were replaced, the last one last.
    pub past: Vec<PastOrder>,
}

/// Progress as one daemon holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct LocalProgress {
    progress: Progress,
    /// When the order was given.
    ordered_at: Instant,
    /// When the plan was renewed.
    renewed: Instant,
}

impl Progress {
    /// An order that was just given.
    #[must_use]
    pub fn new(order: Order, at: Position) -> Self {
        Self {
            order,
            position: at,
            age: Millis(0),
            plan: Plan::default(),
            plan_age: Millis(0),
            verdict: None,
            refused: Vec::new(),
            past: Vec::new(),
        }
    }

    /// Whether the order's revision was rolled back.
    #[must_use]
    pub fn is_refused(&self) -> bool {
        self.refused.binary_search(&self.order.revision).is_ok()
    }

    /// Revisions beside the order's that get no request, sorted: those that were rolled back, and those
    /// that were being tried when another order took their place.
    #[must_use]
    pub fn excluded_revisions(&self) -> Vec<Revision> {
        let mut excluded = self.refused.clone();
        for past in &self.past {
            let revision = &past.order.revision;
            match excluded.binary_search(revision) {
                Err(index) if !past.completed => excluded.insert(index, revision.clone()),
                // It was tried once more, and got all requests.
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
    /// What was told at `now`.
    #[must_use]
    pub fn new(now: Instant, progress: Progress) -> Self {
        let before = |age: Millis| now.checked_sub(age.duration()).unwrap_or(now);
        Self {
            ordered_at: before(progress.age),
            renewed: before(progress.plan_age),
            progress,
        }
    }

    /// Its content; the ages in it are those at which it was learnt.
    #[must_use]
    pub const fn progress(&self) -> &Progress {
        &self.progress
    }

    /// When the plan was renewed.
    #[must_use]
    pub const fn plan_renewed_at(&self) -> Instant {
        self.renewed
    }

    /// Time since the order was given.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.ordered_at)
    }

    /// What others are told at `now`.
    #[must_use]
    pub fn snapshot(&self, now: Instant) -> Progress {
        Progress {
            age: self.age(now).into(),
            plan_age: now.saturating_duration_since(self.renewed).into(),
            ..self.progress.clone()
        }
    }

    /// Takes in what another daemon told of the same service; whether any of it was news.
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

    /// Takes in what was found on the platform; whether it was news.
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
        // Guards against a platform that comes back from an older copy: an order that was replaced
        // stands there again until the operator has written the newer one once more. What it names would
        // be tried anew. In a copy it stands where it stood.
        let is_copy = self.progress.position.era < change.position.era
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

    /// Goes by a plan that supersedes the one before; whether it does.
    pub fn apply_plan(&mut self, renewed: Instant, plan: &Plan) -> bool {
        let later = plan.supersedes(&self.progress.plan);
        if later {
            self.progress.plan = plan.clone();
            self.renewed = renewed;
        }
        if plan.step == Step::Back {
            self.refuse_ordered_revision();
        }
        later
    }

    /// Notes the verdict; whether it was news.
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

    /// Notes that the order is older than it seemed; whether that was news.
    pub fn backdate(&mut self, ordered_at: Instant) -> bool {
        let earlier = ordered_at < self.ordered_at;
        self.ordered_at = self.ordered_at.min(ordered_at);
        earlier
    }

    /// Adds what decides what a daemon does to a hash; ages and renewals don't.
    pub fn hash_into(&self, hasher: &mut Xxh3) {
        let progress = &self.progress;
        let (order, at) = (&progress.order, progress.position);
        hasher.update(order.service.as_str().as_bytes());
        hasher.update(order.revision.as_str().as_bytes());
        hasher.update(&order.duration.0.to_le_bytes());
        hasher.update(&at.era.0.to_le_bytes());
        hasher.update(&at.offset.0.to_le_bytes());
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
        let is_plan_new = self.apply_plan(other.renewed, &received.plan);
        let is_verdict_new = received
            .verdict
            .is_some_and(|verdict| self.set_verdict(verdict));
        is_moved || is_plan_new || is_verdict_new
    }

    /// Another order takes the place of this one.
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
        // A revision that was rolled back is not tried again under its name: it would meet callers anew.
        if self.progress.is_refused() {
            self.progress.plan.step = Step::Back;
        }
    }

    /// The order was taken away: what it names gets no more requests, unless it has got all of them.
    fn withdraw(&mut self, at: Position) -> bool {
        self.progress.position = at;
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

    /// Adds revisions to those that get no request; whether any was news.
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
