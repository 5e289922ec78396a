//! A daemon's part: admits requests by the shares of its collector and reports the counts.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::quota::fleet::Fleet;
use crate::quota::messages::{Counts, Message, Reply, Report, pages};
use crate::quota::own_part::OwnPart;
use crate::quota::{
    Allowance, IDLE_INTERVAL, MIN_INTERVAL, REPLY_GRACE, REPORT_INTERVAL, TeamHash,
};
use crate::units::Priority;

/// Time for which a limit holds without being renewed.
const LIMIT_LIFETIME: Duration = Duration::from_millis(600);
/// Time without a reply beyond the report interval after which a daemon reports to the next collector: soon enough
/// that the successor mostly replies before the daemon admits by its own part.
const TAKEOVER_GRACE: Duration = Duration::from_millis(350);
/// Interval at which a daemon that reports to a successor tries the first collector again.
const RETURN_INTERVAL: Duration = Duration::from_secs(1);
/// Time after which a report that was not answered is sent again.
const RETRY_INTERVAL: Duration = Duration::from_millis(60);
/// Reports without an answer that are followed by one ahead of its interval.
const MAX_EARLY_RETRIES: u32 = 5;
/// Number of candidates that are tried in turn.
pub const MAX_CANDIDATES: usize = 4;
/// Requests of a team since the last report that cause an early report, if they are also twice as many as in the
/// interval before.
const SURGE: i64 = 4;
/// Reports that may wait for their acknowledgement; an older one is acknowledged by a later one.
const MAX_PENDING: usize = 16;
/// Time without requests after which a team is forgotten.
const FORGET_AFTER: Duration = Duration::from_secs(30);
/// Priorities told apart within a team; lower ones count as the last.
const PRIORITIES: usize = 16;
/// Time constant of the local demand by priority.
const DEMAND_TIME_S: f64 = 1.0;
/// Longest delay that a refused caller is given.
const MAX_RETRY_AFTER: Duration = Duration::from_secs(5);

/// Why a request is not admitted.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Refusal {
    /// Time after which a request is expected to be admitted.
    pub retry_after: Duration,
}

/// An admitted request that can be given back.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Ticket {
    allowance: Allowance,
    by_own_part: bool,
}

/// State of quotas at one daemon.
#[derive(Debug)]
pub struct Reporter {
    rng: SmallRng,
    members: usize,
    collector: Option<Contact>,
    session: u64,
    seq: u64,
    last_report: Option<Instant>,
    last_return: Instant,
    /// Reports since the last reply.
    unanswered: u32,
    /// Until when the shares of the collector apply; none before its first reply.
    in_touch_until: Option<Instant>,
    /// When the next collector is tried unless this one replies.
    takeover_at: Instant,
    /// Whether any request of a team arrived since the last report.
    active: bool,
    was_active: bool,
    surge: bool,
    /// Sorted by team.
    teams: Vec<TeamState>,
}

#[derive(Debug)]
struct Contact {
    peer: SocketAddr,
    rank: usize,
    epoch: u64,
}

#[derive(Debug)]
struct TeamState {
    team: TeamHash,
    totals: Pair,
    acknowledged: Pair,
    base: Pair,
    pending: VecDeque<(u64, Pair)>,
    since_report: i64,
    in_last_interval: i64,
    last_request: Instant,
    limit: Option<(f64, Duration, Instant)>,
    own_part: Option<OwnPart>,
    error: f64,
    demand: [f64; PRIORITIES],
    demand_at: Instant,
    admitted: u64,
    refused: u64,
}

#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
struct Pair {
    asked: i64,
    admitted: i64,
}

/// State of one team at this daemon.
#[derive(Debug, Clone, Copy)]
pub struct Standing {
    /// The team.
    pub team: TeamHash,
    /// Share of its requests that is admitted.
    pub share: f64,
    /// Requests admitted and not given back.
    pub admitted: u64,
    /// Requests refused.
    pub refused: u64,
}

impl Reporter {
    /// The state of a daemon that starts at `now`.
    #[must_use]
    pub fn new(now: Instant, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            members: 1,
            collector: None,
            session: rng.random_range(1..u64::MAX),
            seq: 0,
            last_report: None,
            last_return: now,
            unanswered: 0,
            in_touch_until: None,
            takeover_at: now,
            active: false,
            was_active: false,
            surge: false,
            teams: Vec::new(),
            rng,
        }
    }

    /// Decides on a request.
    ///
    /// # Errors
    ///
    /// When the caller may try again.
    pub fn admit(
        &mut self,
        now: Instant,
        allowance: Allowance,
        priority: Priority,
    ) -> Result<Ticket, Refusal> {
        self.activate(now);
        let in_touch = self.in_touch(now);
        let (members, index) = (self.members, self.index(now, allowance.team));
        let state = &mut self.teams[index];
        state.last_request = now;
        let share = state.record_demand(now, priority);
        if in_touch {
            state.own_part = None;
            state.totals.asked += 1;
            state.since_report += 1;
            self.surge |= state.since_report >= SURGE.max(2 * state.in_last_interval);
            state.error += share;
            if state.error < 1.0 {
                state.refused += 1;
                let retry_after = state.retry_after(share);
                return Err(Refusal { retry_after });
            }
            state.error -= 1.0;
            state.totals.admitted += 1;
        } else {
            let rng = &mut self.rng;
            let own_part = state
                .own_part
                .get_or_insert_with(|| OwnPart::new(now, allowance.rate, members, rng));
            // The collectors set this part aside, so it is not reported.
            if let Err(left) = own_part.take(now, allowance.rate, members) {
                state.refused += 1;
                let retry_after = left.min(MAX_RETRY_AFTER);
                return Err(Refusal { retry_after });
            }
        }
        state.admitted += 1;
        Ok(Ticket {
            allowance,
            by_own_part: !in_touch,
        })
    }

    /// Takes back an admitted request that no target ran.
    pub fn give_back(&mut self, ticket: Ticket) {
        let members = self.members;
        let team = ticket.allowance.team;
        let Ok(index) = self.teams.binary_search_by_key(&team, |state| state.team) else {
            return;
        };
        let state = &mut self.teams[index];
        state.admitted = state.admitted.saturating_sub(1);
        if !ticket.by_own_part {
            state.totals.admitted -= 1;
        } else if let Some(own_part) = &mut state.own_part {
            own_part.give_back(ticket.allowance.rate, members);
        }
    }

    /// Whether a report is due ahead of its interval.
    #[must_use]
    pub const fn is_surging(&self) -> bool {
        self.surge
    }

    /// Returns the reports that are due.
    pub fn tick(&mut self, now: Instant, fleet: &Fleet) -> Vec<(SocketAddr, Message)> {
        self.members = fleet.size();
        let candidates = fleet.candidates();
        let candidates = &candidates[..candidates.len().min(MAX_CANDIDATES)];
        self.choose(now, candidates);
        let interval = if self.surge {
            MIN_INTERVAL
        } else if (1..=MAX_EARLY_RETRIES).contains(&self.unanswered) {
            RETRY_INTERVAL
        } else {
            self.interval()
        };
        let too_soon = self.last_report.is_some_and(|last| now < last + interval);
        if too_soon {
            return Vec::new();
        }
        let Some(contact) = &self.collector else {
            return Vec::new();
        };
        let (peer, rank, epoch) = (contact.peer, contact.rank, contact.epoch);
        self.last_report = Some(now);
        self.unanswered += 1;
        self.was_active = std::mem::take(&mut self.active);
        self.surge = false;
        self.teams
            .retain(|state| now < state.last_request + FORGET_AFTER || state.has_news());
        let news = self.teams.iter().filter(|state| state.has_news());
        let news: Vec<Counts> = news.map(TeamState::counts).collect();
        for state in &mut self.teams {
            state.in_last_interval = std::mem::take(&mut state.since_report);
        }
        let mut sends: Vec<(SocketAddr, Message)> = Vec::new();
        for teams in pages(&news) {
            self.seq += 1;
            for counts in &teams {
                self.mark_sent(counts.team);
            }
            sends.push((peer, self.report(epoch, teams)));
        }
        if rank > 0 && now >= self.last_return + RETURN_INTERVAL {
            self.last_return = now;
            let probe = Report {
                session: 0,
                epoch: 0,
                seq: 0,
                next: IDLE_INTERVAL.into(),
                teams: Vec::new(),
            };
            sends.push((candidates[0], Message::Report(probe)));
        }
        sends
    }

    /// Handles a reply of a collector.
    pub fn receive(&mut self, now: Instant, from: SocketAddr, reply: &Reply, fleet: &Fleet) {
        let Some(contact) = &mut self.collector else {
            return;
        };
        if reply.session == 0 {
            // The collector has lost its state, or the first one replies again.
            let is_current = contact.peer == from && contact.epoch != 0;
            let is_first = fleet.candidates().first() == Some(&from) && contact.rank > 0;
            if is_current || is_first {
                let rank = if is_first { 0 } else { contact.rank };
                self.begin_session(now, from, rank);
            }
            return;
        }
        if contact.peer != from {
            return;
        }
        if reply.session != self.session {
            return;
        }
        contact.epoch = reply.epoch;
        let interval = self.interval();
        self.unanswered = 0;
        self.in_touch_until = Some(now + interval + REPLY_GRACE);
        self.takeover_at = now + interval + TAKEOVER_GRACE;
        for state in &mut self.teams {
            state.acknowledge(reply.seq);
        }
        for limit in &reply.limits {
            let index = self.index(now, limit.team);
            let share = f64::from(limit.share) / 10_000.0;
            let until = now + LIMIT_LIFETIME;
            self.teams[index].limit = Some((share, limit.wait.duration(), until));
        }
    }

    /// Whether a collector has replied recently.
    #[must_use]
    pub fn in_touch(&self, now: Instant) -> bool {
        self.in_touch_until.is_some_and(|until| now < until)
    }

    /// Address of the collector.
    #[must_use]
    pub fn collector(&self) -> Option<SocketAddr> {
        self.collector.as_ref().map(|contact| contact.peer)
    }

    /// State of all teams with recent requests.
    pub fn standings(&self, now: Instant) -> impl Iterator<Item = Standing> {
        self.teams.iter().map(move |state| Standing {
            team: state.team,
            share: state.share(now),
            admitted: state.admitted,
            refused: state.refused,
        })
    }

    fn choose(&mut self, now: Instant, candidates: &[SocketAddr]) {
        let known = self.collector.as_ref();
        let rank = known.and_then(|known| candidates.iter().position(|peer| *peer == known.peer));
        let Some(rank) = rank else {
            if let Some(first) = candidates.first() {
                self.begin_session(now, *first, 0);
            }
            return;
        };
        if let Some(contact) = &mut self.collector {
            contact.rank = rank;
        }
        if now >= self.takeover_at {
            let next = (rank + 1) % candidates.len();
            self.begin_session(now, candidates[next], next);
        }
    }

    /// Starts counting anew for another collector, from what the last one has acknowledged.
    fn begin_session(&mut self, now: Instant, peer: SocketAddr, rank: usize) {
        self.collector = Some(Contact {
            peer,
            rank,
            epoch: 0,
        });
        self.session = self.rng.random_range(1..u64::MAX);
        self.takeover_at = now + TAKEOVER_GRACE;
        self.last_return = now;
        self.unanswered = 0;
        // Reports at once.
        self.last_report = None;
        for state in &mut self.teams {
            state.base = state.acknowledged;
            state.pending.clear();
        }
    }

    fn report(&self, epoch: u64, teams: Vec<Counts>) -> Message {
        Message::Report(Report {
            session: self.session,
            epoch,
            seq: self.seq,
            next: self.interval().into(),
            teams,
        })
    }

    const fn interval(&self) -> Duration {
        if self.active || self.was_active {
            REPORT_INTERVAL
        } else {
            IDLE_INTERVAL
        }
    }

    /// Ends an idle time: a report is due at once, and its reply within the time of an active daemon.
    fn activate(&mut self, now: Instant) {
        if !self.active && !self.was_active {
            self.surge = true;
            let until = now + REPLY_GRACE;
            self.in_touch_until = self.in_touch_until.map(|known| known.min(until));
            self.takeover_at = self.takeover_at.min(now + TAKEOVER_GRACE);
        }
        self.active = true;
    }

    fn mark_sent(&mut self, team: TeamHash) {
        let seq = self.seq;
        if let Ok(index) = self.teams.binary_search_by_key(&team, |state| state.team) {
            let state = &mut self.teams[index];
            state.pending.push_back((seq, state.totals));
            if state.pending.len() > MAX_PENDING {
                state.pending.pop_front();
            }
        }
    }

    fn index(&mut self, now: Instant, team: TeamHash) -> usize {
        let found = self.teams.binary_search_by_key(&team, |state| state.team);
        found.unwrap_or_else(|index| {
            let error = self.rng.random_range(0.0..1.0);
            self.teams.insert(index, TeamState::new(now, team, error));
            index
        })
    }
}

impl TeamState {
    fn new(now: Instant, team: TeamHash, error: f64) -> Self {
        Self {
            team,
            totals: Pair::default(),
            acknowledged: Pair::default(),
            base: Pair::default(),
            pending: VecDeque::new(),
            since_report: 0,
            in_last_interval: 0,
            last_request: now,
            limit: None,
            own_part: None,
            error,
            demand: [0.0; PRIORITIES],
            demand_at: now,
            admitted: 0,
            refused: 0,
        }
    }

    fn has_news(&self) -> bool {
        self.totals != self.acknowledged
    }

    const fn counts(&self) -> Counts {
        Counts {
            team: self.team,
            asked: self.totals.asked - self.base.asked,
            admitted: self.totals.admitted - self.base.admitted,
            debt: 0,
        }
    }

    fn acknowledge(&mut self, seq: u64) {
        while let Some((sent, totals)) = self.pending.front().copied() {
            if sent > seq {
                break;
            }
            if sent == seq {
                self.acknowledged = totals;
            }
            self.pending.pop_front();
        }
    }

    fn share(&self, now: Instant) -> f64 {
        let limit = self.limit.filter(|(_, _, until)| now < *until);
        limit.map_or(1.0, |(share, _, _)| share)
    }

    /// Records a request and returns the share of those of its priority to admit: higher priorities go first.
    fn record_demand(&mut self, now: Instant, priority: Priority) -> f64 {
        let seconds = now.saturating_duration_since(self.demand_at).as_secs_f64();
        self.demand_at = now;
        let decay = (-seconds / DEMAND_TIME_S).exp();
        for demand in &mut self.demand {
            *demand *= decay;
        }
        let level = usize::from(priority.0).min(PRIORITIES - 1);
        self.demand[level] += 1.0 / DEMAND_TIME_S;
        let share = self.share(now);
        if share >= 1.0 {
            return 1.0;
        }
        let total: f64 = self.demand.iter().sum();
        let before: f64 = self.demand[..level].iter().sum();
        ((share * total - before) / self.demand[level]).clamp(0.0, 1.0)
    }

    fn retry_after(&self, share: f64) -> Duration {
        let wait = self.limit.map_or(Duration::ZERO, |(_, wait, _)| wait);
        let total: f64 = self.demand.iter().sum();
        let next = (1.0 - self.error) / (share.max(0.01) * total.max(1.0));
        (wait + Duration::from_secs_f64(next)).clamp(MIN_INTERVAL, MAX_RETRY_AFTER)
    }
}
