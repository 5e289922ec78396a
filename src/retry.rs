//! When a failed request is tried again.
//!
//! Only the entry retries, so layers never multiply. A request that provably did not run may go
//! to another target; one whose fate is unknown only if its route is repeatable. Retries come out
//! of a [`Budget`], a share of recent requests, so that a failing group is not buried under them.
//!
//! ```
//! use jackdawpulley::retry::Budget;
//! use jackdawpulley::units::Percent;
//!
//! let budget = Budget::default();
//! assert!((0..10).all(|_| budget.withdraw(Percent(20))), "a small reserve");
//! assert!(!budget.withdraw(Percent(20)));
//! budget.deposit();
//! ```

use std::sync::atomic::{AtomicI64, Ordering};
use std::time::Duration;

use crate::document::Retry;
use crate::outcome::Fate;
use crate::units::Percent;

/// Retries that a quiet route may do before any deposit.
const RESERVE: i64 = 10;
/// What a retry costs; a request deposits its rule's percentage of it.
const PRICE: i64 = 100;
/// Most that is saved up.
const CEILING: i64 = 1_000 * PRICE;

/// Retries allowed as a share of requests.
#[derive(Debug)]
pub struct Budget {
    /// Requests and reserve, in hundredths of a retry at 100 percent.
    balance: AtomicI64,
}

impl Default for Budget {
    fn default() -> Self {
        Self {
            balance: AtomicI64::new(RESERVE * PRICE),
        }
    }
}

impl Budget {
    /// Notes a first attempt under a rule of the default share.
    pub fn deposit(&self) {
        self.deposit_share(Percent(20));
    }

    /// Notes a first attempt; it pays for `share` of a retry.
    pub fn deposit_share(&self, share: Percent) {
        let paid = self
            .balance
            .fetch_add(i64::from(share.0), Ordering::Relaxed);
        if paid > CEILING {
            self.balance.store(CEILING, Ordering::Relaxed);
        }
    }

    /// Takes one retry out; `false` when the budget is spent or `share` allows none.
    #[must_use]
    pub fn withdraw(&self, share: Percent) -> bool {
        if share.0 == 0 {
            return false;
        }
        let take = |balance: i64| (balance >= PRICE).then_some(balance - PRICE);
        self.balance
            .fetch_update(Ordering::Relaxed, Ordering::Relaxed, take)
            .is_ok()
    }
}

/// Whether the request may be tried once more.
///
/// `made` attempts have been made, `left` is the time until the deadline, and `fate` is what is
/// known of the last attempt.
#[must_use]
pub fn again(rule: &Retry, made: u32, repeatable: bool, fate: Fate, left: Duration) -> bool {
    // Guards the promise of at-most-once: a request whose fate is unknown may have run, and only
    // a repeatable one may run again.
    let harmless = match fate {
        Fate::NotRun => true,
        Fate::Unknown => repeatable,
        Fate::Answered => false,
    };
    harmless && made < rule.attempts && !left.is_zero()
}

/// Wait before a retry: full jitter up to the rule's bound, and never most of the time left.
#[must_use]
pub fn backoff(rule: &Retry, left: Duration, fraction: f64) -> Duration {
    rule.backoff_ms.duration().mul_f64(fraction).min(left / 4)
}
