//! The roll-outs of one daemon, shared by its controllers and read on the path of a request.

use std::net::SocketAddr;
use std::sync::atomic::{AtomicBool, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use tokio::sync::watch;
use xxhash_rust::xxh3::Xxh3;

use crate::rollout::counters::{Counters, Outcome, Report, RouteId};
use crate::rollout::order::{Change, Order, Verdict};
use crate::rollout::plan::Plan;
use crate::rollout::progress::{LocalProgress, Progress};
use crate::rollout::rules::Rules;
use crate::units::Service;

/// Services with a roll-out that are remembered; an order for a further one waits for the daemon's restart.
const MAX_SERVICES: usize = 256;
/// Reports that wait to be read, so that memory is bounded: those of a few hundred gates.
const MAX_REPORTS: usize = 1_024;

/// What is known of roll-outs.
#[derive(Debug)]
pub struct Rollouts {
    /// Held for as long as it takes to merge, and never by a request.
    state: Mutex<State>,
    rules: ArcSwap<Rules>,
    changes: watch::Sender<u64>,
    /// Whether the co-located target's service has a roll-out that is not decided.
    counting: AtomicBool,
    /// Held for a few instructions.
    counters: Mutex<Counters>,
    reports: Mutex<Vec<(SocketAddr, Report)>>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by service.
    known: Vec<LocalProgress>,
    /// Services with something that has not been passed on yet.
    updates: Vec<Service>,
    hash: u64,
}

impl Default for Rollouts {
    fn default() -> Self {
        Self {
            state: Mutex::default(),
            rules: ArcSwap::default(),
            changes: watch::Sender::new(0),
            counting: AtomicBool::new(false),
            counters: Mutex::new(Counters::new(rand::random())),
            reports: Mutex::default(),
        }
    }
}

impl Rollouts {
    /// The rules in force.
    #[must_use]
    pub fn rules(&self) -> Arc<Rules> {
        self.rules.load_full()
    }

    /// What is known of each service.
    #[must_use]
    pub fn list(&self) -> Vec<LocalProgress> {
        self.state().known.clone()
    }

    /// What is known of one service.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<LocalProgress> {
        let state = self.state();
        let index = find(&state.known, service).ok()?;
        Some(state.known[index].clone())
    }

    /// Takes in what was found on the platform; whether it was news.
    pub fn apply_change(&self, change: &Change) -> bool {
        let now = Instant::now();
        self.change(&change.service, |known| match (known, &change.order) {
            (Some(known), _) => known.apply_change(now, change).then_some(None),
            (None, Some(order)) => {
                let progress = Progress::new(order.clone(), change.position);
                Some(Some(LocalProgress::new(now, progress)))
            }
            // Nothing is known of it that could be taken away.
            (None, None) => None,
        })
    }

    /// Takes in what another daemon told.
    pub fn merge(&self, received: &[Progress]) {
        let now = Instant::now();
        for progress in received {
            self.change(&progress.order.service, |known| match known {
                Some(known) => known.merge(now, progress).then_some(None),
                None => Some(Some(LocalProgress::new(now, progress.clone()))),
            });
        }
    }

    /// Goes by a plan for an order; whether it supersedes the one before.
    pub fn apply_plan(&self, order: &Order, plan: &Plan) -> bool {
        let now = Instant::now();
        self.update_order(order, |known| known.apply_plan(now, plan))
    }

    /// Notes the verdict on an order; whether it was news.
    pub fn set_verdict(&self, order: &Order, verdict: Verdict) -> bool {
        self.update_order(order, |known| known.set_verdict(verdict))
    }

    /// Notes when an order was given; whether that is earlier than it seemed.
    pub fn backdate(&self, order: &Order, ordered_at: Instant) -> bool {
        self.update_order(order, |known| known.backdate(ordered_at))
    }

    /// The same for daemons that know the same; 0 for nothing.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.state().hash
    }

    /// Everything that is known.
    #[must_use]
    pub fn snapshot(&self) -> Vec<Progress> {
        let now = Instant::now();
        let state = self.state();
        state
            .known
            .iter()
            .map(|known| known.snapshot(now))
            .collect()
    }

    /// What has not been passed on yet, which counts as passed on from now on.
    #[must_use]
    pub fn take_updates(&self) -> Vec<Progress> {
        let now = Instant::now();
        let mut state = self.state();
        let updates = std::mem::take(&mut state.updates);
        let known = state.known.iter();
        let new = known.filter(|known| updates.contains(&known.progress().order.service));
        new.map(|known| known.snapshot(now)).collect()
    }

    /// Follows changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Has what the co-located target answers counted from now on, or no more.
    pub fn set_counting(&self, counting: bool) {
        let before = self.counting.swap(counting, Ordering::AcqRel);
        if counting && !before {
            *self.lock_counters() = Counters::new(rand::random());
        }
    }

    /// Counts a request that is sent to the co-located target, where that is wanted.
    pub fn count_request(&self) {
        if self.counting.load(Ordering::Acquire) {
            self.lock_counters().requests += 1;
        }
    }

    /// Counts how the co-located target is done with a request, where that is wanted.
    pub fn count_answer(&self, route: &str, outcome: Outcome) {
        if self.counting.load(Ordering::Acquire) {
            self.lock_counters().add(RouteId::of(route), outcome);
        }
    }

    /// What has been counted.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.lock_counters().clone()
    }

    /// Keeps a gate's report until it is read.
    pub fn add_report(&self, peer: SocketAddr, report: Report) {
        let mut reports = self.reports();
        // Each counts everything that the ones before it did.
        reports.retain(|(known, _)| *known != peer);
        if reports.len() < MAX_REPORTS {
            reports.push((peer, report));
        }
    }

    /// The reports that have come since they were taken last.
    #[must_use]
    pub fn take_reports(&self) -> Vec<(SocketAddr, Report)> {
        std::mem::take(&mut *self.reports())
    }

    /// Changes what is known of an order, if it is the current one.
    fn update_order(&self, order: &Order, update: impl FnOnce(&mut LocalProgress) -> bool) -> bool {
        self.change(&order.service, |known| {
            let known = known.filter(|known| known.progress().order == *order)?;
            update(known).then_some(None)
        })
    }

    /// Changes what is known of a service: something is returned when it is news, with what is known from
    /// now on where nothing was.
    fn change(
        &self,
        service: &Service,
        change: impl FnOnce(Option<&mut LocalProgress>) -> Option<Option<LocalProgress>>,
    ) -> bool {
        let mut state = self.state();
        let found = find(&state.known, service);
        let Some(added) = change(found.ok().map(|index| &mut state.known[index])) else {
            return false;
        };
        if let (Err(index), Some(known)) = (found, added)
            && state.known.len() < MAX_SERVICES
        {
            state.known.insert(index, known);
        }
        if !state.updates.contains(service) {
            state.updates.push(service.clone());
        }
        state.hash = hash(&state.known);
        self.rules.store(Arc::new(Rules::of(&state.known)));
        drop(state);
        self.changes.send_modify(|count| *count += 1);
        true
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn lock_counters(&self) -> MutexGuard<'_, Counters> {
        self.counters.lock().unwrap_or_else(PoisonError::into_inner)
    }

    fn reports(&self) -> MutexGuard<'_, Vec<(SocketAddr, Report)>> {
        self.reports.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

fn find(known: &[LocalProgress], service: &Service) -> Result<usize, usize> {
    known.binary_search_by(|known| known.progress().order.service.cmp(service))
}

/// The same for equal knowledge; 0 for none.
fn hash(known: &[LocalProgress]) -> u64 {
    if known.is_empty() {
        return 0;
    }
    let mut hasher = Xxh3::new();
    for known in known {
        known.hash_into(&mut hasher);
    }
    hasher.digest()
}
