//! Retry rules and retry budgets.
//!
//! Only the ingress retries, so that retries of several layers do not multiply. A request that
//! provably did not run may go to another target; one whose outcome is unknown may do so only if
//! its route is repeatable. Retries are paid from a [`Budget`], a share of recent requests, so that
//! they do not overload a failing group.
//!
//! ```
//! use jackdawpulley::calls::retry::Budget;
//! use jackdawpulley::units::Percent;
//!
//! let budget = Budget::default();
//! assert!((0..10).all(|_| budget.withdraw(Percent(20))), "the reserve");
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

/// Initial balance of a default budget, in retries.
const DEFAULT_RESERVE: u32 = 10;
/// Maximum balance of a default budget, in retries.
const DEFAULT_MAX_BALANCE: u32 = 20;
/// Cost of a retry; a request deposits its rule's percentage of it.
const RETRY_COST: i64 = 100;

/// Retry budget of one service, as a share of its requests.
///
/// In any time window, retries do not exceed the share of that window's requests plus the balance
/// at its start. A low maximum balance keeps a quiet period from paying for a retry storm.
#[derive(Debug)]
pub struct Budget {
    /// Balance, in units of which a retry costs 100.
    balance: AtomicI64,
    /// Maximum balance, in the same unit.
    max_balance: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance: AtomicI64::new(i64::from(DEFAULT_RESERVE) * RETRY_COST),
            max_balance: AtomicI64::new(i64::from(DEFAULT_MAX_BALANCE) * RETRY_COST),
        }
    }
}

impl Budget {
    /// Creates a budget with a balance of `reserve` retries, which is also its maximum.
    #[must_use]
    pub const fn with_reserve(reserve: u32) -> Self {
        let reserve = reserve as i64 * RETRY_COST;
        Self {
            balance: AtomicI64::new(reserve),
            max_balance: AtomicI64::new(reserve),
        }
    }

    /// Limits the balance to this daemon's part of `reserve` retries shared by `daemons`.
    ///
    /// Guards against a growing fleet: the reserves of all daemons add up to the number of retries
    /// that may be sent at the same moment. The limit is at least one retry, or none could ever be
    /// paid for.
    pub fn share_reserve(&self, reserve: u32, daemons: usize) {
        let daemons = i64::try_from(daemons.max(1)).unwrap_or(i64::MAX);
        let max_balance = (i64::from(reserve) * RETRY_COST / daemons).max(RETRY_COST);
        self.max_balance.store(max_balance, Ordering::Relaxed);
        self.balance.fetch_min(max_balance, Ordering::Relaxed);
    }

    /// Records a first attempt under the default share of 20 percent.
    pub fn deposit(&self) {
        self.deposit_share(Percent(20));
    }

    /// Records a first attempt, which pays for `share` of a retry.
    pub fn deposit_share(&self, share: Percent) {
        let max_balance = self.max_balance.load(Ordering::Relaxed);
        let add = |balance: i64| Some((balance + i64::from(share.0)).min(max_balance));
        // The closure always returns `Some`, so this cannot fail.
        let _ = self
            .balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, add);
    }

    /// Withdraws one retry; `false` if the balance is too low or `share` is zero.
    #[must_use]
    pub fn withdraw(&self, share: Percent) -> bool {
        self.withdraw_leaving(share, 0)
    }

    /// Withdraws one retry for a request of this priority. If the budget can hold more than one
    /// retry, the last one is left to requests of the highest priority.
    ///
    /// Guards against a failing service whose many requests of lower priority spend every retry
    /// before an urgent one fails.
    #[must_use]
    pub fn withdraw_for(&self, share: Percent, priority: Priority) -> bool {
        let beyond_one = self.max_balance.load(Ordering::Relaxed) - RETRY_COST;
        let remaining = if priority == Priority(0) {
            0
        } else {
            beyond_one.min(RETRY_COST)
        };
        self.withdraw_leaving(share, remaining)
    }

    fn withdraw_leaving(&self, share: Percent, remaining: i64) -> bool {
        if share.0 == 0 {
            return false;
        }
        let min_balance = RETRY_COST + remaining;
        let take = |balance: i64| (balance >= min_balance).then_some(balance - RETRY_COST);
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

/// Retry budgets by service, so that a failing service does not spend the retries of others.
#[derive(Debug)]
pub struct Budgets {
    reserve: u32,
    /// Reserve shared by all daemons, which takes the place of `reserve`; 0 for none.
    shared_reserve: u32,
    /// Sorted by service.
    services: ArcSwap<Vec<(Service, Arc<Budget>)>>,
}

impl Budgets {
    /// Creates an empty set; each budget's maximum is `reserve` retries, or this daemon's part of
    /// `shared_reserve` if that is not zero.
    #[must_use]
    pub fn new(reserve: u32, shared_reserve: u32) -> Self {
        Self {
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
