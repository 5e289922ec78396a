//! What a daemon admits of a team while no collector replies to it.
//!
//! Tokens become available one by one at a fixed rate from a random start, and each expires unless it is used soon.
//! If they were kept, each of thousands of idle daemons would have one when requests arrive at all of them.

use std::time::{Duration, Instant};

use rand::RngExt;
use rand::rngs::SmallRng;

use crate::units::Rate;

/// Share of its part of the rate that a daemon uses: the collectors notice the silence later than the daemon.
const FACTOR: f64 = 0.6;
/// Time after which an unused token expires.
const LIFETIME: Duration = Duration::from_secs(1);
/// Longest interval between tokens; a longer one does not matter.
const MAX_INTERVAL_S: f64 = 86_400.0;

/// Tokens of one team at one daemon.
#[derive(Debug, Clone, Copy)]
pub struct OwnPart {
    next: Instant,
}

impl OwnPart {
    /// Tokens at `rate` shared by `members` daemons, from a random start.
    pub fn new(now: Instant, rate: Rate, members: usize, rng: &mut SmallRng) -> Self {
        let start = interval(rate, members).mul_f64(rng.random_range(0.0..1.0));
        Self { next: now + start }
    }

    /// Takes a token.
    ///
    /// # Errors
    ///
    /// The time until the next token.
    pub fn take(&mut self, now: Instant, rate: Rate, members: usize) -> Result<(), Duration> {
        let interval = interval(rate, members);
        // A raised rate brings the next token nearer.
        self.next = self.next.min(now + interval);
        let age = now.saturating_duration_since(self.next);
        if let Some(late) = age.checked_sub(LIFETIME) {
            let expired = (late.as_secs_f64() / interval.as_secs_f64()).ceil();
            self.next += interval.mul_f64(expired);
        }
        if self.next > now {
            return Err(self.next - now);
        }
        self.next += interval;
        Ok(())
    }

    /// Returns a token.
    pub fn give_back(&mut self, rate: Rate, members: usize) {
        self.next = self
            .next
            .checked_sub(interval(rate, members))
            .unwrap_or(self.next);
    }
}

fn interval(rate: Rate, members: usize) -> Duration {
    let members = f64::from(u32::try_from(members).unwrap_or(u32::MAX));
    let seconds = members / (FACTOR * rate.per_second());
    Duration::from_secs_f64(seconds.clamp(1e-6, MAX_INTERVAL_S))
}
