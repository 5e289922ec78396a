//! Token bucket of one team over the whole fleet, which may go into debt.

use std::time::{Duration, Instant};

use crate::quota::Allowance;
use crate::units::Millis;

/// Time over which the tokens at hand are spread.
const HORIZON_S: f64 = 0.3;
/// Time constant of the average demand.
const DEMAND_TIME_S: f64 = 0.5;
/// Time for which the tokens of members that fell silent are kept: a few lost datagrams must not cost tokens.
const KEEP_RESERVED: Duration = Duration::from_secs(2);
/// Width of a slot in which recent demand is counted.
const SLOT: Duration = Duration::from_millis(50);
/// Number of slots: two report intervals.
const SLOTS: usize = 10;
/// Length of all slots.
const WINDOW_S: f64 = 0.5;
/// Slots that show the start of a burst: a report interval and a bit.
const SLOTS_LATEST: usize = 6;
/// Length of these slots.
const LATEST_S: f64 = 0.3;
/// Demand beyond the tokens that does not limit a team yet. Without it a team of a few requests per second is limited when three
/// arrive at once, though its burst covers them.
const SLACK: f64 = 6.0;
/// Most debt, in seconds of the rate, beyond [`SLACK`]: requests older than the 5 s of the quota rule do not matter.
const MAX_DEBT_S: f64 = 5.0;

/// Tokens and demand of one team.
#[derive(Debug, Clone)]
pub struct Bucket {
    allowance: Allowance,
    tokens: f64,
    average: f64,
    updated: Instant,
    /// Share of the fleet whose consumption was last known.
    in_touch: f64,
    /// Tokens left to the members that fell silent, and since when.
    reserved: f64,
    reserved_at: Instant,
    /// Requests that arrived, the current slot first.
    recent: [f64; SLOTS],
    slot_began: Instant,
}

impl Bucket {
    /// An empty bucket.
    #[must_use]
    pub const fn new(now: Instant, allowance: Allowance) -> Self {
        Self {
            allowance,
            tokens: 0.0,
            average: 0.0,
            updated: now,
            in_touch: 1.0,
            reserved: 0.0,
            reserved_at: now,
            recent: [0.0; SLOTS],
            slot_began: now,
        }
    }

    /// Refills the bucket and reduces the average demand. `in_touch` is the share of the fleet whose consumption is
    /// known; the rest is set aside for the other members.
    pub fn advance(&mut self, now: Instant, in_touch: f64) {
        let seconds = now.saturating_duration_since(self.updated).as_secs_f64();
        self.updated = self.updated.max(now);
        let rate = self.allowance.rate.per_second();
        self.split(now, in_touch);
        let filled = self.tokens + rate * in_touch * seconds;
        self.tokens = filled.min(self.capacity() * in_touch);
        self.average *= (-seconds / DEMAND_TIME_S).exp();
        let mut steps = 0;
        while now >= self.slot_began + SLOT {
            self.slot_began += SLOT;
            steps += 1;
            if steps > SLOTS {
                self.slot_began = now;
            }
            self.recent.rotate_right(1);
            self.recent[0] = 0.0;
        }
    }

    /// Leaves their part of the tokens to members that fall silent, and takes it back if they return soon.
    fn split(&mut self, now: Instant, in_touch: f64) {
        let before = std::mem::replace(&mut self.in_touch, in_touch);
        if in_touch < before && self.tokens > 0.0 {
            let left = self.tokens * (1.0 - in_touch / before);
            self.tokens -= left;
            self.reserved += left;
            self.reserved_at = now;
        }
        if now >= self.reserved_at + KEEP_RESERVED {
            self.reserved = 0.0;
        }
        if in_touch > before {
            let regained = self.reserved * (in_touch - before) / (1.0 - before);
            self.tokens += regained;
            self.reserved -= regained;
        }
    }

    /// Records requests that arrived and those of them that were admitted.
    pub fn record(&mut self, asked: f64, admitted: f64) {
        self.average = (self.average + asked / DEMAND_TIME_S).max(0.0);
        self.recent[0] += asked;
        let most_debt = self.allowance.rate.per_second() * MAX_DEBT_S + SLACK;
        self.tokens = (self.tokens - admitted).clamp(-most_debt, self.capacity());
    }

    /// Changes the quota. A higher burst is available at once.
    pub fn set_allowance(&mut self, allowance: Allowance) {
        let before = self.capacity();
        self.allowance = allowance;
        let raised = (self.capacity() - before).max(0.0);
        self.tokens = (self.tokens + raised).min(self.capacity());
    }

    /// Share of the requests to admit.
    #[must_use]
    pub fn share(&self, in_touch: f64) -> f64 {
        let refill = self.allowance.rate.per_second() * in_touch * HORIZON_S;
        let available = self.tokens + refill;
        let wanted = self.demand() * HORIZON_S;
        if wanted <= available + SLACK {
            return 1.0;
        }
        (available / wanted).clamp(0.0, 1.0)
    }

    /// Time until the share is above 0.
    #[must_use]
    pub fn wait(&self, in_touch: f64) -> Millis {
        let rate = self.allowance.rate.per_second() * in_touch.max(0.01);
        let missing = (-self.tokens - rate * HORIZON_S).max(0.0);
        Duration::from_secs_f64((missing / rate).min(60.0)).into()
    }

    /// Requests per second that arrive: the average, corrected by the last two report intervals, so that a limit sets
    /// in soon after the start of a burst and ends soon after its end.
    #[must_use]
    pub fn demand(&self) -> f64 {
        // Few requests may come together by chance.
        let latest: f64 = self.recent[..SLOTS_LATEST].iter().sum();
        let latest = (latest - 2.0 * latest.max(0.0).sqrt()) / LATEST_S;
        self.average
            .min(self.recent.iter().sum::<f64>() / WINDOW_S)
            .max(latest)
    }

    /// Requests admitted beyond the quota and not yet made up for.
    #[must_use]
    #[expect(
        clippy::cast_possible_truncation,
        clippy::cast_sign_loss,
        reason = "a debt is bounded"
    )]
    pub fn debt(&self) -> u32 {
        (-self.tokens).max(0.0) as u32
    }

    /// Adopts the debt of a bucket that took from the same quota unseen, if it is larger.
    pub fn adopt_debt(&mut self, debt: u32) {
        if debt > 0 {
            self.tokens = self.tokens.min(-f64::from(debt));
        }
    }

    /// The quota.
    #[must_use]
    pub const fn allowance(&self) -> Allowance {
        self.allowance
    }

    fn capacity(&self) -> f64 {
        // Without a burst, a single request must still fit.
        to_f64(i64::try_from(self.allowance.burst.0).unwrap_or(i64::MAX)).max(1.0)
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn to_f64(count: i64) -> f64 {
    count as f64
}
