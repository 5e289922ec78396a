//! Retry rules and retry budgets.
//!
//! Only the ingress retries, so that retries of several layers do not multiply. A request that
//! provably did not run may go to another target; one whose outcome is unknown may do so only if
//! its route is repeatable. Retries are paid from a [`Budget`], a share of recent requests, so that
//! they do not overload a failing group.
//!
//! ```
//! use std::time::{Duration, Instant};
//! use jackdawpulley::calls::retry::Budget;
//! use jackdawpulley::units::Percent;
//!
//! let (now, window) = (Instant::now(), Duration::from_secs(10));
//! let budget = Budget::with_reserve(2, window);
//! assert!((0..2).all(|_| budget.withdraw(Percent(20), now)), "the reserve");
//! assert!(!budget.withdraw(Percent(20), now));
//! (0..5).for_each(|_| budget.deposit_share(Percent(20), now));
//! assert!(budget.withdraw(Percent(20), now));
//! ```

use std::sync::atomic::{AtomicI64, AtomicU64, Ordering};
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use arc_swap::ArcSwap;

use crate::calls::outcome::Outcome;
use crate::configuration::document::Retry;
use crate::units::{Percent, Priority, Service};

/// Cost of a retry; a request deposits its rule's percentage of it.
const RETRY_COST: i64 = 100;
/// Slots that a window is divided into.
const SLOTS: u64 = 10;
/// Slots that are kept: retries count for one slot longer than requests, so that no window of any start holds
/// more retries than its requests pay for.
const KEPT_SLOTS: usize = 11;
/// Nested calls that a repeated request is assumed to make, each of which counts as a retry of its service.
const CALLS_PER_REPEAT: i64 = 2;

/// Retry budget of one service, as a share of its recent requests.
///
/// In any window of time, retries do not exceed the share of the requests of about that window plus the
/// reserve. The reserves of all daemons add up to that of the fleet, however many daemons there are: a part of
/// less than one retry only makes up for a share that is too small to pay for one.
#[derive(Debug)]
pub struct Budget {
    /// Reserve, in units of which a retry costs 100.
    reserve: AtomicI64,
    slot_length: Duration,
    origin: Instant,
    /// Repeated requests at the local target that have been charged for.
    charged_repeats: AtomicU64,
    /// Locked for a few instructions.
    ledger: Mutex<Ledger>,
}

/// Deposits and withdrawals of the recent slots of time.
#[derive(Debug, Default)]
struct Ledger([Slot; KEPT_SLOTS]);

#[derive(Debug, Clone, Copy, Default)]
struct Slot {
    /// Number of the slot, from 1 on; 0 while unused.
    number: u64,
    deposited: i64,
    withdrawn: i64,
}

impl Budget {
    /// Creates a budget that allows `reserve` retries in each window in addition to the share of its requests.
    #[must_use]
    pub fn with_reserve(reserve: u32, window: Duration) -> Self {
        let slots = u32::try_from(SLOTS).unwrap_or(u32::MAX);
        Self {
            reserve: AtomicI64::new(i64::from(reserve) * RETRY_COST),
            slot_length: (window / slots).max(Duration::from_millis(1)),
            origin: Instant::now(),
            charged_repeats: AtomicU64::new(0),
            ledger: Mutex::default(),
        }
    }

    /// Sets the reserve to this daemon's part of `reserve` retries shared by `daemons`.
    ///
    /// Guards against a growing fleet: if each daemon had at least one retry, a fleet larger than the reserve
    /// would exceed it.
    pub fn share_reserve(&self, reserve: u32, daemons: usize) {
        let daemons = i64::try_from(daemons.max(1)).unwrap_or(i64::MAX);
        let part = i64::from(reserve) * RETRY_COST / daemons;
        self.reserve.store(part, Ordering::Relaxed);
    }

    /// Records a first attempt at `now`, which pays for `share` of a retry.
    pub fn deposit_share(&self, share: Percent, now: Instant) {
        let number = self.slot_number(now);
        self.ledger().slot(number).deposited += i64::from(share.0);
    }

    /// Charges for the nested calls of repeated requests, of which `repeats` have arrived at the local target.
    ///
    /// What is charged may exceed the balance: those calls have been made already.
    pub fn charge_repeats(&self, repeats: u64, now: Instant) {
        let charged = self.charged_repeats.fetch_max(repeats, Ordering::Relaxed);
        let new = i64::try_from(repeats.saturating_sub(charged)).unwrap_or(i64::MAX);
        if new > 0 {
            let number = self.slot_number(now);
            let cost = new.saturating_mul(CALLS_PER_REPEAT * RETRY_COST);
            self.ledger().slot(number).withdrawn += cost;
        }
    }

    /// Withdraws one retry; `false` if the balance is too low or `share` is zero.
    #[must_use]
    pub fn withdraw(&self, share: Percent, now: Instant) -> bool {
        self.withdraw_leaving(share, now, 0)
    }

    /// Withdraws one retry for a request of this priority. If the reserve is more than one retry, the last one
    /// is left to requests of the highest priority.
    ///
    /// Guards against a failing service whose many requests of lower priority spend every retry
    /// before an urgent one fails.
    #[must_use]
    pub fn withdraw_for(&self, share: Percent, priority: Priority, now: Instant) -> bool {
        let beyond_one = self.reserve.load(Ordering::Relaxed) - RETRY_COST;
        let remaining = if priority == Priority(0) {
            0
        } else {
            beyond_one.clamp(0, RETRY_COST)
        };
        self.withdraw_leaving(share, now, remaining)
    }

    fn withdraw_leaving(&self, share: Percent, now: Instant, remaining: i64) -> bool {
        if share.0 == 0 {
            return false;
        }
        let number = self.slot_number(now);
        let reserve = self.reserve.load(Ordering::Relaxed);
        let mut ledger = self.ledger();
        let is_covered = ledger.balance(number) + reserve >= RETRY_COST + remaining;
        if is_covered {
            ledger.slot(number).withdrawn += RETRY_COST;
        }
        is_covered
    }

    fn slot_number(&self, now: Instant) -> u64 {
        let elapsed = now.saturating_duration_since(self.origin);
        let number = elapsed.as_nanos() / self.slot_length.as_nanos();
        u64::try_from(number).unwrap_or(u64::MAX - 1) + 1
    }

    fn ledger(&self) -> MutexGuard<'_, Ledger> {
        self.ledger.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl Ledger {
    /// Deposits less withdrawals in the window that ends with a slot.
    fn balance(&self, number: u64) -> i64 {
        let kept = self.0.iter().filter(|slot| slot.number + SLOTS >= number);
        let deposits = kept.clone().filter(|slot| slot.number + SLOTS > number);
        let deposited: i64 = deposits.map(|slot| slot.deposited).sum();
        let withdrawn: i64 = kept.map(|slot| slot.withdrawn).sum();
        deposited - withdrawn
    }

    /// The slot with a number, which replaces the one before it in its place.
    fn slot(&mut self, number: u64) -> &mut Slot {
        let place = usize::try_from(number).unwrap_or(0) % KEPT_SLOTS;
        let slot = &mut self.0[place];
        if slot.number < number {
            *slot = Slot {
                number,
                ..Slot::default()
            };
        }
        slot
    }
}

/// Retry budgets by service, so that a failing service does not spend the retries of others.
#[derive(Debug)]
pub struct Budgets {
    window: Duration,
    reserve: u32,
    /// Reserve shared by all daemons, which takes the place of `reserve`; 0 for none.
    shared_reserve: u32,
    /// Sorted by service.
    services: ArcSwap<Vec<(Service, Arc<Budget>)>>,
}

impl Budgets {
    /// Creates an empty set; each budget allows `reserve` retries in a `window`, or this daemon's part of
    /// `shared_reserve` if that is not zero.
    #[must_use]
    pub fn new(window: Duration, reserve: u32, shared_reserve: u32) -> Self {
        Self {
            window,
            reserve,
            shared_reserve,
            services: ArcSwap::default(),
        }
    }

    /// Returns the budget of a service in a fleet of `daemons`.
    #[must_use]
    pub fn for_service(&self, service: &Service, daemons: usize) -> Arc<Budget> {
        let budget = self.find(service);
        if self.shared_reserve > 0 {
            budget.share_reserve(self.shared_reserve, daemons);
        }
        budget
    }

    fn find(&self, service: &Service) -> Arc<Budget> {
        let find = |all: &[(Service, Arc<Budget>)]| {
            let index = all.binary_search_by(|(known, _)| known.cmp(service));
            index.map(|index| Arc::clone(&all[index].1))
        };
        if let Ok(budget) = find(&self.services.load()) {
            return budget;
        }
        let new = Arc::new(Budget::with_reserve(self.reserve, self.window));
        self.services.rcu(|all| {
            let mut all = Vec::clone(all);
            if let Err(index) = all.binary_search_by(|(known, _)| known.cmp(service)) {
                all.insert(index, (service.clone(), Arc::clone(&new)));
            }
            all
        });
        find(&self.services.load()).unwrap_or(new)
    }
}

/// Whether a request may be retried after `attempts` attempts, with `left` until its deadline.
///
/// `outcome` is that of the last attempt.
#[must_use]
pub fn is_allowed(
    rule: &Retry,
    attempts: u32,
    repeatable: bool,
    outcome: Outcome,
    left: Duration,
) -> bool {
    // At-most-once: a request whose outcome is unknown may have run, and only a repeatable one may
    // run again.
    let safe = match outcome {
        Outcome::NotRun => true,
        Outcome::Unknown => repeatable,
        Outcome::Answered => false,
    };
    safe && attempts < rule.attempts && !left.is_zero()
}

/// Delay before a retry: full jitter up to the rule's bound, at most a quarter of the time left.
#[must_use]
pub fn backoff(rule: &Retry, left: Duration, fraction: f64) -> Duration {
    rule.backoff_ms.duration().mul_f64(fraction).min(left / 4)
}
