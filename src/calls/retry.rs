//! When a failed request is tried again.
//!
//! Only the entry retries, so layers never multiply. A request that provably did not run may go
//! to another target; one whose fate is unknown only if its route is repeatable. Retries come out
//! of a [`Budget`], a share of recent requests, so that a failing group is not buried under them.
//!
//! ```
//! use jackdawpulley::calls::retry::Budget;
//! use jackdawpulley::units::Percent;
//!
//! let budget = Budget::default();
//! assert!((0..10).all(|_| budget.withdraw(Percent(20))), "a small reserve");
//! assert!(!budget.withdraw(Percent(20)));
//! budget.deposit();
//! ```

use std::sync::Arc;
use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use arc_swap::ArcSwap;

use crate::calls::outcome::Outcome;
use crate::configuration::document::Retry;
use crate::units::{Percent, Priority, Service};

/// Retries that a quiet service may do before any deposit.
const RESERVE: u32 = 10;
/// Retries that are saved up at most, where no other bound is given.
const CEILING: u32 = 20;
/// What a retry costs; a request deposits its rule's percentage of it.
const PRICE: i64 = 100;

/// Retries allowed as a share of requests.
///
/// Within any span of time, retries stay below the share of the requests in that span plus what
/// was saved up before it. Guards against a quiet time that pays for a storm: the less is saved
/// up, the closer every window keeps to its own share.
#[derive(Debug)]
pub struct Budget {
    /// Requests and reserve, in hundredths of a retry at 100 percent.
    balance: AtomicI64,
    /// Most that is saved up, in the same unit.
    ceiling: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance: AtomicI64::new(i64::from(RESERVE) * PRICE),
            ceiling: AtomicI64::new(i64::from(CEILING) * PRICE),
        }
    }
}

impl Budget {
    /// A budget that saves up to `reserve` retries and begins with that many.
    #[must_use]
    pub const fn with_reserve(reserve: u32) -> Self {
        let reserve = reserve as i64 * PRICE;
        Self {
            balance: AtomicI64::new(reserve),
            ceiling: AtomicI64::new(reserve),
        }
    }

    /// Saves up no more than this daemon's part of `reserve` retries, which `daemons` share.
    ///
    /// Guards against a fleet that grows: each daemon's own reserve adds to what all of them may
    /// repeat at the same moment. One retry is the least, or none would ever be affordable.
    pub fn share_reserve(&self, reserve: u32, daemons: usize) {
        let daemons = i64::try_from(daemons.max(1)).unwrap_or(i64::MAX);
        let ceiling = (i64::from(reserve) * PRICE / daemons).max(PRICE);
        self.ceiling.store(ceiling, Ordering::Relaxed);
        self.balance.fetch_min(ceiling, Ordering::Relaxed);
    }

    /// Notes a first attempt under a rule of the default share.
    pub fn deposit(&self) {
        self.deposit_share(Percent(20));
    }

    /// Notes a first attempt; it pays for `share` of a retry.
    pub fn deposit_share(&self, share: Percent) {
        let ceiling = self.ceiling.load(Ordering::Relaxed);
        let save = |balance: i64| Some((balance + i64::from(share.0)).min(ceiling));
        // The closure always yields a value, so this never fails.
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, save);
    }

    /// Takes one retry out; `false` when the budget is spent or `share` allows none.
    #[must_use]
    pub fn withdraw(&self, share: Percent) -> bool {
        self.withdraw_leaving(share, 0)
    }

    /// Takes one retry out for a request of this rank; only the most urgent ones get the last, where
    /// there is room for more than one.
    ///
    /// Guards against a failing service whose many lists and lookups spend every retry before a
    /// purchase comes by.
    #[must_use]
    pub fn withdraw_for(&self, share: Percent, rank: Priority) -> bool {
        let beyond = self.ceiling.load(Ordering::Relaxed) - PRICE;
        let left = if rank == Priority(0) {
            0
        } else {
            beyond.min(PRICE)
        };
        self.withdraw_leaving(share, left)
    }

    fn withdraw_leaving(&self, share: Percent, left: i64) -> bool {
        if share.0 == 0 {
            return false;
        }
        let least = PRICE + left;
        let take = |balance: i64| (balance >= least).then_some(balance - PRICE);
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

/// The budgets of all services, each with its own.
///
/// A service that fails must not spend what the others would need.
#[derive(Debug)]
pub struct Budgets {
    reserve: u32,
    /// What all daemons save up together, in place of the reserve; 0 for none.
    shared: u32,
    /// Sorted by service.
    services: ArcSwap<Vec<(Service, Arc<Budget>)>>,
}

impl Budgets {
    /// No budgets yet; each will save up to `reserve` retries, or its part of what is `shared`.
    #[must_use]
    pub fn new(reserve: u32, shared: u32) -> Self {
        Self {
            reserve,
            shared,
            services: ArcSwap::default(),
        }
    }

    /// The budget of a service in a fleet of `daemons`.
    #[must_use]
    pub fn of(&self, service: &Service, daemons: usize) -> Arc<Budget> {
        let budget = self.find(service);
        if self.shared > 0 {
            budget.share_reserve(self.shared, daemons);
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
        let new = Arc::new(Budget::with_reserve(self.reserve));
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

/// Whether the request may be tried once more.
///
/// `made` attempts have been made, `left` is the time until the deadline, and `fate` is what is
/// known of the last attempt.
#[must_use]
pub fn again(rule: &Retry, made: u32, repeatable: bool, fate: Outcome, left: Duration) -> bool {
    // Guards the promise of at-most-once: a request whose fate is unknown may have run, and only
    // a repeatable one may run again.
    let harmless = match fate {
        Outcome::NotRun => true,
        Outcome::Unknown => repeatable,
        Outcome::Answered => false,
    };
    harmless && made < rule.attempts && !left.is_zero()
}

/// Wait before a retry: full jitter up to the rule's bound, and never most of the time left.
#[must_use]
pub fn backoff(rule: &Retry, left: Duration, fraction: f64) -> Duration {
    rule.backoff_ms.duration().mul_f64(fraction).min(left / 4)
}
