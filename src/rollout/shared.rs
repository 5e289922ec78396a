//! Rollout state of one daemon: updated by its controllers, read on the request path.

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

/// Most services with a rollout. An order for a further one is ignored until the daemon restarts.
const MAX_SERVICES: usize = 256;
/// Most unread reports, to bound memory: those of a few hundred sidecars.
const MAX_REPORTS: usize = 1_024;

/// The known rollouts.
#[derive(Debug)]
pub struct Rollouts {
    /// Held while a change is merged; never taken by a request.
    state: Mutex<State>,
    rules: ArcSwap<Rules>,
    changes: watch::Sender<u64>,
    /// Whether the service of the co-located target has a rollout without a verdict.
    counting: AtomicBool,
    /// Held for a few instructions.
    counters: Mutex<Counters>,
    reports: Mutex<Vec<(SocketAddr, Report)>>,
}

#[derive(Debug, Default)]
struct State {
    /// Sorted by service.
    known: Vec<LocalProgress>,
    /// Services with changes that have not been sent to peers.
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
    /// The current rules.
    #[must_use]
    pub fn rules(&self) -> Arc<Rules> {
        self.rules.load_full()
    }

    /// States of all known rollouts.
    #[must_use]
    pub fn list(&self) -> Vec<LocalProgress> {
        self.state().known.clone()
    }

    /// State of one service's rollout.
    #[must_use]
    pub fn get(&self, service: &Service) -> Option<LocalProgress> {
        let state = self.state();
        let index = find(&state.known, service).ok()?;
        Some(state.known[index].clone())
    }

    /// Applies a change read from the platform; returns whether anything changed.
    pub fn apply_change(&self, change: &Change) -> bool {
        let now = Instant::now();
        self.change(&change.service, |known| match (known, &change.order) {
            (Some(known), _) => known.apply_change(now, change).then_some(None),
            (None, Some(order)) => {
                let progress = Progress::new(order.clone(), change.position);
                Some(Some(LocalProgress::new(now, progress)))
            }
            // No order is known that could be withdrawn.
            (None, None) => None,
        })
    }

    /// Merges the states received from another daemon.
    pub fn merge(&self, received: &[Progress]) {
        let now = Instant::now();
        for progress in received {
            self.change(&progress.order.service, |known| match known {
                Some(known) => known.merge(now, progress).then_some(None),
                None => Some(Some(LocalProgress::new(now, progress.clone()))),
            });
        }
    }

    /// Adopts a plan for an order if it supersedes the current one; returns whether it does.
    pub fn apply_plan(&self, order: &Order, plan: &Plan) -> bool {
        let now = Instant::now();
        self.update_order(order, |known| known.apply_plan(now, plan))
    }

    /// Sets the verdict on an order unless there is one; returns whether it was set.
    pub fn set_verdict(&self, order: &Order, verdict: Verdict) -> bool {
        self.update_order(order, |known| known.set_verdict(verdict))
    }

    /// Moves the time of an order back if `ordered_at` is earlier; returns whether it is.
    pub fn backdate(&self, order: &Order, ordered_at: Instant) -> bool {
        self.update_order(order, |known| known.backdate(ordered_at))
    }

    /// Hash of all states, equal for daemons that know the same; 0 for none.
    #[must_use]
    pub fn hash(&self) -> u64 {
        self.state().hash
    }

    /// All states, for sending.
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

    /// Returns the changes that have not been sent to peers and marks them as sent.
    #[must_use]
    pub fn take_updates(&self) -> Vec<Progress> {
        let now = Instant::now();
        let mut state = self.state();
        let updates = std::mem::take(&mut state.updates);
        let known = state.known.iter();
        let new = known.filter(|known| updates.contains(&known.progress().order.service));
        new.map(|known| known.snapshot(now)).collect()
    }

    /// Subscribes to changes.
    #[must_use]
    pub fn changes(&self) -> watch::Receiver<u64> {
        self.changes.subscribe()
    }

    /// Starts or stops counting the responses of the co-located target. Starting resets the counters.
    pub fn set_counting(&self, counting: bool) {
        let before = self.counting.swap(counting, Ordering::AcqRel);
        if counting && !before {
            *self.lock_counters() = Counters::new(rand::random());
        }
    }

    /// Counts a request that is sent to the co-located target, if counting is on.
    pub fn count_request(&self) {
        if self.counting.load(Ordering::Acquire) {
            self.lock_counters().requests += 1;
        }
    }

    /// Counts the outcome of a request at the co-located target, if counting is on.
    pub fn count_response(&self, route: &str, outcome: Outcome) {
        if self.counting.load(Ordering::Acquire) {
            self.lock_counters().add(RouteId::of(route), outcome);
        }
    }

    /// A copy of the counters.
    #[must_use]
    pub fn counters(&self) -> Counters {
        self.lock_counters().clone()
    }

    /// Keeps a sidecar's report until it is read, in place of an earlier one.
    pub fn add_report(&self, peer: SocketAddr, report: Report) {
        let mut reports = self.reports();
        // Counts are cumulative, so a report includes all earlier ones.
        reports.retain(|(known, _)| *known != peer);
        if reports.len() < MAX_REPORTS {
            reports.push((peer, report));
        }
    }

    /// Removes and returns the reports received since the last call.
    #[must_use]
    pub fn take_reports(&self) -> Vec<(SocketAddr, Report)> {
        std::mem::take(&mut *self.reports())
    }

    /// Changes the state of an order if it is the current one of its service.
    fn update_order(&self, order: &Order, update: impl FnOnce(&mut LocalProgress) -> bool) -> bool {
        self.change(&order.service, |known| {
            let known = known.filter(|known| known.progress().order == *order)?;
            update(known).then_some(None)
        })
    }

    /// Changes the state of a service. `change` returns `None` if nothing changed, and otherwise the new
    /// state if the service had none.
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

/// Equal for equal states; 0 for none.
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
