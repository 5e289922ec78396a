//! What is known of a roll-out, merged alike on every daemon.

use std::time::{Duration, Instant};

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::Xxh3;

use crate::configuration::control_plane::Position;
use crate::rollout::order::{Notice, Order, Verdict};
use crate::rollout::plan::{Plan, Step};
use crate::units::{Millis, Offset, Revision};

/// Orders of one service that are remembered: several more than an operator gives within the time in which
/// they matter.
const MOST_PAST: usize = 8;
/// Revisions of one service that are remembered after they were rolled back.
const MOST_REFUSED: usize = 32;

/// An order that another one has replaced.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
pub struct Past {
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
    pub at: Position,
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
    pub past: Vec<Past>,
}

/// Progress as one daemon holds it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Known {
    progress: Progress,
    /// When the order was given.
    given: Instant,
    /// When the plan was renewed.
    renewed: Instant,
}

impl Progress {
    /// An order that was just given.
    #[must_use]
    pub fn new(order: Order, at: Position) -> Self {
        Self {
            order,
            at,
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
    pub fn barred(&self) -> Vec<Revision> {
        let mut barred = self.refused.clone();
        for past in &self.past {
            let revision = &past.order.revision;
            match barred.binary_search(revision) {
                Err(index) if !past.completed => barred.insert(index, revision.clone()),
                // It was tried once more, and got all requests.
                Ok(index) if past.completed && !self.refused.contains(revision) => {
                    barred.remove(index);
                }
                _ => {}
            }
        }
        barred.retain(|revision| *revision != self.order.revision);
        barred
    }
}

impl Known {
    /// What was told at `now`.
    #[must_use]
    pub fn new(now: Instant, progress: Progress) -> Self {
        let before = |age: Millis| now.checked_sub(age.duration()).unwrap_or(now);
        Self {
            given: before(progress.age),
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
    pub const fn renewed(&self) -> Instant {
        self.renewed
    }

    /// Time since the order was given.
    #[must_use]
    pub fn age(&self, now: Instant) -> Duration {
        now.saturating_duration_since(self.given)
    }

    /// What others are told at `now`.
    #[must_use]
    pub fn told(&self, now: Instant) -> Progress {
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
            return self.unite(&other) || refused;
        }
        if other.progress.at <= self.progress.at {
            return refused;
        }
        self.replace(other);
        true
    }

    /// Takes in what was found on the platform; whether it was news.
    pub fn notice(&mut self, now: Instant, notice: &Notice) -> bool {
        if notice.at <= self.progress.at {
            return false;
        }
        let Some(order) = &notice.order else {
            return self.withdraw(notice.at);
        };
        if *order == self.progress.order {
            self.progress.at = notice.at;
            return true;
        }
        // Guards against a platform that comes back from an older copy: an order that was replaced
        // stands there again until the operator has written the newer one once more. What it names would
        // be tried anew. In a copy it stands where it stood.
        let is_copy = self.progress.at.generation < notice.at.generation
            && self
                .progress
                .past
                .iter()
                .any(|past| past.order == *order && past.offset == notice.at.offset);
        if is_copy {
            return false;
        }
        self.replace(Self::new(now, Progress::new(order.clone(), notice.at)));
        true
    }

    /// Goes by a plan that supersedes the one before; whether it does.
    pub fn follow(&mut self, renewed: Instant, plan: &Plan) -> bool {
        let later = plan.supersedes(&self.progress.plan);
        if later {
            self.progress.plan = plan.clone();
            self.renewed = renewed;
        }
        if plan.step == Step::Back {
            self.refuse();
        }
        later
    }

    /// Notes the verdict; whether it was news.
    pub fn conclude(&mut self, verdict: Verdict) -> bool {
        if self.progress.verdict.is_some() {
            return false;
        }
        self.progress.verdict = Some(verdict);
        if verdict == Verdict::RolledBack {
            self.refuse();
        }
        true
    }

    /// Notes that the order is older than it seemed; whether that was news.
    pub fn date_back(&mut self, given: Instant) -> bool {
        let earlier = given < self.given;
        self.given = self.given.min(given);
        earlier
    }

    /// Adds what decides what a daemon does to a hash; ages and renewals don't.
    pub fn add_to(&self, hasher: &mut Xxh3) {
        let progress = &self.progress;
        let (order, at) = (&progress.order, progress.at);
        hasher.update(order.service.as_str().as_bytes());
        hasher.update(order.revision.as_str().as_bytes());
        hasher.update(&order.duration.0.to_le_bytes());
        hasher.update(&at.generation.0.to_le_bytes());
        hasher.update(&at.offset.0.to_le_bytes());
        let verdict = progress.verdict.map_or(0, |verdict| verdict as u8 + 1);
        hasher.update(&[progress.plan.step as u8, verdict]);
        for refused in &progress.refused {
            hasher.update(refused.as_str().as_bytes());
        }
    }

    fn unite(&mut self, other: &Self) -> bool {
        let theirs = &other.progress;
        let placed = theirs.at > self.progress.at;
        self.progress.at = self.progress.at.max(theirs.at);
        self.date_back(other.given);
        let followed = self.follow(other.renewed, &theirs.plan);
        let concluded = theirs.verdict.is_some_and(|verdict| self.conclude(verdict));
        placed || followed || concluded
    }

    /// Another order takes the place of this one.
    fn replace(&mut self, mut next: Self) {
        let mut past = std::mem::take(&mut self.progress.past);
        past.push(Past {
            order: self.progress.order.clone(),
            offset: self.progress.at.offset,
            completed: self.progress.verdict == Some(Verdict::Completed),
        });
        past.extend(std::mem::take(&mut next.progress.past));
        past.dedup();
        let surplus = past.len().saturating_sub(MOST_PAST);
        past.drain(..surplus);
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
        self.progress.at = at;
        if self.progress.verdict.is_none() {
            let number = self.progress.plan.number + 1;
            self.progress.plan = Plan {
                number,
                step: Step::Back,
                ..Plan::default()
            };
            self.refuse();
        }
        true
    }

    fn refuse(&mut self) {
        let revision = self.progress.order.revision.clone();
        self.refuse_all(&[revision]);
    }

    /// Adds revisions to those that get no request; whether any was news.
    fn refuse_all(&mut self, revisions: &[Revision]) -> bool {
        let refused = &mut self.progress.refused;
        let mut news = false;
        for revision in revisions {
            if let Err(index) = refused.binary_search(revision) {
                refused.insert(index, revision.clone());
                news = true;
            }
        }
        let current = &self.progress.order.revision;
        while refused.len() > MOST_REFUSED {
            let other = refused.iter().position(|revision| revision != current);
            refused.remove(other.unwrap_or(0));
        }
        news
    }
}
