//! What a collector knows of one daemon, or of another collector: the counts that it has received from it.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::quota::messages::Counts;
use crate::quota::{IDLE_INTERVAL, MIN_INTERVAL, SILENCE_GRACE, TeamHash};

/// Time constant of the rates by which the consumption of an overdue sender is assumed.
const RATE_TIME_S: f64 = 0.5;

/// A daemon or another collector that counts are received from.
#[derive(Debug)]
pub struct Sender {
    pub peer: SocketAddr,
    /// Session of a daemon or epoch of a collector.
    pub session: u64,
    pub heard: Instant,
    /// Time after `heard` by which the next message is due.
    pub next: Duration,
    /// Time beyond `next` after which the sender is silent.
    pub grace: Duration,
    /// Members that report to this collector.
    pub reporting: usize,
    /// When the first message after a silence arrived.
    pub joined: Instant,
    /// Whether its counts began long before they were first received, and so belong to an earlier time.
    pub is_old: bool,
    /// When the consumption was last assumed, while a message is overdue.
    pub assumed_until: Option<Instant>,
    /// Sorted by team.
    pub accounts: Vec<Account>,
}

/// Counts of one team at a sender.
#[derive(Debug)]
pub struct Account {
    /// Number of the last message with the team.
    pub seq: u64,
    pub counts: Counts,
    /// Requests per second that arrived and were admitted before the last message.
    pub rates: (f64, f64),
    /// Consumption that was assumed since the last message.
    pub assumed: (f64, f64),
}

/// Consumption of a team at a sender since the last message or assumption.
#[derive(Debug, Clone, Copy)]
pub struct Delta {
    pub team: TeamHash,
    /// Requests that arrived and that were admitted, as the sender counts them.
    pub counts: (i64, i64),
    /// Both without what had been assumed.
    pub asked: f64,
    pub admitted: f64,
}

impl Sender {
    pub const fn new(now: Instant, peer: SocketAddr) -> Self {
        Self {
            peer,
            session: 0,
            heard: now,
            joined: now,
            is_old: false,
            next: IDLE_INTERVAL,
            grace: SILENCE_GRACE,
            reporting: 0,
            assumed_until: None,
            accounts: Vec::new(),
        }
    }

    pub fn resume(&mut self, session: u64, next: Duration) {
        if self.session != session {
            self.session = session;
            self.accounts.clear();
        }
        self.next = next;
        self.assumed_until = None;
    }

    pub fn is_fresh(&self, now: Instant) -> bool {
        now < self.heard + self.next + self.grace
    }

    /// Merges received counts and returns what is new.
    pub fn merge(&mut self, now: Instant, seq: u64, received: &[Counts]) -> Vec<Delta> {
        let elapsed = now.saturating_duration_since(self.heard).as_secs_f64();
        self.heard = now;
        let decay = (-elapsed / RATE_TIME_S).exp();
        for account in &mut self.accounts {
            account.rates = (account.rates.0 * decay, account.rates.1 * decay);
        }
        let mut deltas = Vec::new();
        for counts in received {
            let index = self.find(counts.team).unwrap_or_else(|index| {
                self.accounts.insert(index, Account::new(counts.team));
                index
            });
            let account = &mut self.accounts[index];
            if account.seq >= seq {
                continue;
            }
            account.seq = seq;
            let known = std::mem::replace(&mut account.counts, *counts);
            let delta = (
                to_f64(counts.asked - known.asked),
                to_f64(counts.admitted - known.admitted),
            );
            account.rates.0 += delta.0 / RATE_TIME_S;
            account.rates.1 += delta.1 / RATE_TIME_S;
            let assumed = std::mem::take(&mut account.assumed);
            deltas.push(Delta {
                team: counts.team,
                counts: (counts.asked - known.asked, counts.admitted - known.admitted),
                asked: delta.0 - assumed.0,
                admitted: delta.1 - assumed.1,
            });
        }
        deltas
    }

    /// What the sender of an overdue message is assumed to have consumed since the last call.
    pub fn assume(&mut self, now: Instant) -> Vec<Delta> {
        if now < self.heard + self.next + MIN_INTERVAL || !self.is_fresh(now) {
            return Vec::new();
        }
        let since = self.assumed_until.replace(now).unwrap_or(self.heard);
        let seconds = now.saturating_duration_since(since).as_secs_f64();
        let accounts = self.accounts.iter_mut();
        let used = accounts.filter(|account| account.rates.0 > 0.0);
        let deltas = used.map(|account| {
            let asked = account.rates.0 * seconds;
            let admitted = account.rates.1 * seconds;
            account.assumed.0 += asked;
            account.assumed.1 += admitted;
            Delta {
                team: account.counts.team,
                counts: (0, 0),
                asked,
                admitted,
            }
        });
        deltas.collect()
    }

    pub fn find(&self, team: TeamHash) -> Result<usize, usize> {
        self.accounts
            .binary_search_by_key(&team, |account| account.counts.team)
    }
}

impl Account {
    fn new(team: TeamHash) -> Self {
        Self {
            seq: 0,
            counts: Counts {
                team,
                ..Counts::default()
            },
            rates: (0.0, 0.0),
            assumed: (0.0, 0.0),
        }
    }
}

#[expect(clippy::cast_precision_loss, reason = "counts are far below 2^52")]
const fn to_f64(count: i64) -> f64 {
    count as f64
}
