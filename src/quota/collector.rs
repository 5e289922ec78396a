//! The collector of a data centre: computes the shares of all teams from the reports of its daemons and the sums of
//! the other collectors.
//!
//! Each collector keeps the bucket of every team for the whole fleet. They compute from the same numbers, so they need
//! no agreement. The part of members that nobody hears from is set aside.

use std::net::SocketAddr;
use std::time::{Duration, Instant};

use rand::rngs::SmallRng;
use rand::{RngExt, SeedableRng};

use crate::quota::bucket::Bucket;
use crate::quota::fleet::{Fleet, Site};
use crate::quota::messages::{Counts, Limit, Message, Reply, Report, Sums, pages};
use crate::quota::reporter::MAX_CANDIDATES;
use crate::quota::sender::{Delta, Sender};
use crate::quota::{Allowance, MIN_INTERVAL, REPORT_INTERVAL, SILENCE_GRACE, TeamHash};

/// Time without any report after which a daemon no longer acts as a collector.
const RETIRE_AFTER: Duration = Duration::from_secs(3);
/// Time without a call after which the collector has been paused, and its state is outdated.
const MAX_PAUSE: Duration = Duration::from_secs(1);
/// Time since its start during which a collector does not treat members as silent.
const START_GRACE: Duration = Duration::from_millis(650);
/// Age of another collector up to which all its sums count when they are first received.
const MAX_NEW_AGE: Duration = Duration::from_millis(1_500);
/// Time for which a change of a team's sums is repeated, so that a few lost datagrams do not matter.
const REPEAT_FOR: Duration = Duration::from_millis(1_500);
/// Time for which the end of a limit is announced.
const ANNOUNCE_END_FOR: Duration = Duration::from_secs(1);
/// Time after which a sender that is silent is forgotten.
const FORGET_AFTER: Duration = Duration::from_mins(1);
/// Requests of a team since the last sums that cause early sums, if they are also twice as many as in the interval
/// before.
const SURGE: i64 = 8;
/// Factor by which a share has to change for it to be sent to all daemons at once.
const PUSH_FACTOR: f64 = 0.8;

/// State of a collector; unused while no daemon reports to it.
#[derive(Debug)]
pub struct Collector {
    me: SocketAddr,
    rng: SmallRng,
    /// Changes when the state is lost.
    epoch: u64,
    started: Option<Instant>,
    last_call: Option<Instant>,
    last_report: Option<Instant>,
    last_sums: Option<Instant>,
    last_push: Option<Instant>,
    surge: bool,
    push: bool,
    seq: u64,
    /// Sorted by address.
    daemons: Vec<Sender>,
    /// Other collectors, sorted by address.
    collectors: Vec<Sender>,
    /// Sorted by team.
    teams: Vec<Team>,
    in_touch: f64,
}

#[derive(Debug)]
struct Team {
    bucket: Bucket,
    /// Sums of this collector's daemons in its epoch.
    sums: Counts,
    changed: Option<Instant>,
    since_sums: i64,
    in_last_interval: i64,
    /// Share as it was last computed and last sent to all daemons.
    share: f64,
    pushed: f64,
    ended: Option<Instant>,
    /// Whether the limit's start was the last change that was logged.
    announced: bool,
}

/// Start or end of a limit, for the log.
#[derive(Debug, Clone, Copy, PartialEq)]
pub struct Change {
    /// The team.
    pub team: TeamHash,
    /// Share of its requests that is admitted; 1 if the limit ended.
    pub share: f64,
    /// Requests per second that arrive.
    pub demand: f64,
}

impl Collector {
    /// The state of a daemon at `me`.
    #[must_use]
    pub fn new(me: SocketAddr, seed: u64) -> Self {
        let mut rng = SmallRng::seed_from_u64(seed);
        Self {
            me,
            epoch: rng.random_range(1..u64::MAX),
            rng,
            started: None,
            last_call: None,
            last_report: None,
            last_sums: None,
            last_push: None,
            surge: false,
            push: false,
            seq: 0,
            daemons: Vec::new(),
            collectors: Vec::new(),
            teams: Vec::new(),
            in_touch: 1.0,
        }
    }

    /// Sets the quotas, sorted by team; the state of other teams is dropped.
    pub fn set_allowances(&mut self, now: Instant, allowances: &[Allowance]) {
        self.teams.retain(|team| {
            let found = allowances.binary_search_by_key(&team.sums.team, |a| a.team);
            found.is_ok()
        });
        for allowance in allowances {
            match self.find(allowance.team) {
                Ok(index) => self.teams[index].bucket.set_allowance(*allowance),
                Err(index) => self.teams.insert(index, Team::new(now, *allowance)),
            }
        }
    }

    /// Handles the report of a daemon and returns the replies.
    pub fn receive_report(
        &mut self,
        now: Instant,
        from: SocketAddr,
        report: &Report,
        fleet: &Fleet,
    ) -> Vec<(SocketAddr, Message)> {
        self.wake(now);
        let known = self.daemons.binary_search_by_key(&from, |s| s.peer);
        let has_session = known.is_ok_and(|index| self.daemons[index].session == report.session);
        if report.session == 0 || report.epoch != 0 && (report.epoch != self.epoch || !has_session)
        {
            // Counts of a session that this collector does not know. The daemon begins a new one, with the counts
            // that are not acknowledged.
            return vec![(from, self.reply(0, 0, Vec::new()))];
        }
        if self.started.is_none() {
            // Whatever the bucket would have filled with since may have been used unseen.
            self.clear_teams(now);
            self.started = Some(now);
        }
        self.last_report = Some(now);
        let index = known.unwrap_or_else(|index| {
            self.daemons.insert(index, Sender::new(now, from));
            index
        });
        let daemon = &mut self.daemons[index];
        daemon.resume(report.session, report.next.duration());
        let deltas = daemon.merge(now, report.seq, &report.teams);
        self.in_touch = self.share_in_touch(now, fleet);
        for delta in deltas {
            let Ok(index) = self.find(delta.team) else {
                continue;
            };
            let team = &mut self.teams[index];
            team.sums.asked += delta.counts.0;
            team.sums.admitted += delta.counts.1;
            team.changed = Some(now);
            team.since_sums += delta.counts.0;
            self.surge |= team.since_sums >= SURGE.max(2 * team.in_last_interval);
            self.record(now, index, delta);
        }
        let limits = self.limits(now);
        let mut pages = pages(&limits).into_iter();
        let first = pages.next().unwrap_or_default();
        let mut sends = vec![(from, self.reply(report.session, report.seq, first))];
        sends.extend(pages.map(|page| (from, self.reply(report.session, 0, page))));
        sends
    }

    /// Handles the sums of another collector.
    pub fn receive_sums(&mut self, now: Instant, from: SocketAddr, sums: &Sums, fleet: &Fleet) {
        if self.started.is_none() {
            return;
        }
        self.wake(now);
        let known = self.collectors.binary_search_by_key(&from, |s| s.peer);
        let is_known = known.is_ok_and(|index| self.collectors[index].session == sums.epoch);
        let index = known.unwrap_or_else(|index| {
            self.collectors.insert(index, Sender::new(now, from));
            index
        });
        let sender = &mut self.collectors[index];
        if !is_known {
            sender.is_old = sums.age.duration() > MAX_NEW_AGE;
        }
        if !is_known || !sender.is_fresh(now) {
            sender.joined = now;
        }
        let has_joined = now < sender.joined + REPORT_INTERVAL;
        sender.resume(sums.epoch, REPORT_INTERVAL);
        // Sums are not acknowledged: two lost datagrams must not look like a silence.
        sender.grace = SILENCE_GRACE + REPORT_INTERVAL;
        sender.reporting = usize::try_from(sums.reporting).unwrap_or(usize::MAX);
        let is_new = |counts: &&Counts| sender.is_old && sender.find(counts.team).is_err();
        let old = sums.teams.iter().filter(is_new).map(|counts| counts.team);
        let old: Vec<TeamHash> = old.collect();
        let deltas = sender.merge(now, sums.seq, &sums.teams);
        self.in_touch = self.share_in_touch(now, fleet);
        for delta in deltas {
            if let Ok(index) = self.find(delta.team)
                && !old.contains(&delta.team)
            {
                self.record(now, index, delta);
            }
        }
        if has_joined {
            // Until now it took from the same quota unseen.
            for counts in &sums.teams {
                if let Ok(index) = self.find(counts.team) {
                    self.teams[index].bucket.adopt_debt(counts.debt);
                }
            }
        }
    }

    /// Returns the messages that are due: sums to the other collectors, and shares that changed much to all daemons.
    pub fn tick(&mut self, now: Instant, fleet: &Fleet) -> Vec<(SocketAddr, Message)> {
        self.wake(now);
        let Some(started) = self.started else {
            return Vec::new();
        };
        if self
            .last_report
            .is_none_or(|last| now >= last + RETIRE_AFTER)
        {
            self.reset();
            return Vec::new();
        }
        let is_kept = |sender: &Sender| now < sender.heard + FORGET_AFTER;
        self.daemons.retain(is_kept);
        self.collectors.retain(is_kept);
        self.in_touch = self.share_in_touch(now, fleet);
        let senders = self.daemons.iter_mut().chain(&mut self.collectors);
        let assumed: Vec<Delta> = senders.flat_map(|sender| sender.assume(now)).collect();
        for delta in assumed {
            if let Ok(index) = self.find(delta.team) {
                self.record(now, index, delta);
            }
        }
        let in_touch = self.in_touch;
        for team in self.teams.iter_mut().filter(|team| team.share < 1.0) {
            team.evaluate(now, in_touch);
            // The end of a limit is sent at once: an idle daemon would apply it for up to a second.
            self.push |= team.share >= 1.0;
        }
        let mut sends = Vec::new();
        if self.push && is_due(self.last_push, now, MIN_INTERVAL) {
            self.last_push = Some(now);
            self.push = false;
            let limits = self.limits(now);
            for team in &mut self.teams {
                team.pushed = team.share;
            }
            for page in pages(&limits) {
                let peers = self.daemons.iter().filter(|daemon| daemon.is_fresh(now));
                let push = |d: &Sender| (d.peer, self.reply(d.session, 0, page.clone()));
                sends.extend(peers.map(push));
            }
        }
        let interval = if self.surge {
            MIN_INTERVAL
        } else {
            REPORT_INTERVAL
        };
        if is_due(self.last_sums, now, interval) {
            self.last_sums = Some(now);
            self.surge = false;
            sends.extend(self.sums(now, started, fleet));
        }
        sends
    }

    /// Whether a message is due ahead of its interval.
    #[must_use]
    pub const fn is_surging(&self) -> bool {
        self.surge || self.push
    }

    /// Whether daemons report to this collector.
    #[must_use]
    pub const fn is_active(&self) -> bool {
        self.started.is_some()
    }

    /// Teams that have become limited or are no longer, since the last call.
    pub fn take_changes(&mut self, now: Instant) -> Vec<Change> {
        let in_touch = self.in_touch;
        let mut changes = Vec::new();
        for team in &mut self.teams {
            team.evaluate(now, in_touch);
            let is_limited = team.share < 1.0;
            if team.announced != is_limited {
                team.announced = is_limited;
                changes.push(team.change());
            }
        }
        changes
    }

    /// State of all teams with demand.
    pub fn states(&self) -> impl Iterator<Item = Change> {
        let teams = self.teams.iter().filter(|team| team.bucket.demand() > 0.0);
        teams.map(Team::change)
    }

    fn record(&mut self, now: Instant, index: usize, delta: Delta) {
        let in_touch = self.in_touch;
        let team = &mut self.teams[index];
        team.bucket.advance(now, in_touch);
        team.bucket.record(delta.asked, delta.admitted);
        team.evaluate(now, in_touch);
        self.push |= team.share < team.pushed * PUSH_FACTOR;
    }

    /// Limits to send to a daemon.
    fn limits(&mut self, now: Instant) -> Vec<Limit> {
        let in_touch = self.in_touch;
        let mut limits = Vec::new();
        for team in &mut self.teams {
            team.evaluate(now, in_touch);
            let has_ended = team.ended.is_some_and(|at| now < at + ANNOUNCE_END_FOR);
            if team.share < 1.0 || has_ended {
                limits.push(Limit {
                    team: team.sums.team,
                    share: to_share(team.share),
                    wait: team.bucket.wait(in_touch),
                });
            }
        }
        limits
    }

    fn sums(
        &mut self,
        now: Instant,
        started: Instant,
        fleet: &Fleet,
    ) -> Vec<(SocketAddr, Message)> {
        let is_recent = |team: &&Team| team.changed.is_some_and(|at| now < at + REPEAT_FOR);
        let recent = self.teams.iter().filter(is_recent);
        let counts = recent.map(|team| Counts {
            debt: team.bucket.debt(),
            ..team.sums
        });
        let counts: Vec<Counts> = counts.collect();
        for team in &mut self.teams {
            team.in_last_interval = std::mem::take(&mut team.since_sums);
        }
        let local = fleet.sites().iter().find(|s| s.data_centre == fleet.local);
        let reporting = local.map_or(0, |site| self.reporting(now, site));
        let heard = self.collectors.iter().filter(|sender| sender.is_fresh(now));
        let heard: Vec<SocketAddr> = heard.map(|sender| sender.peer).collect();
        let mut peers = heard.clone();
        for site in fleet.sites() {
            // A data centre without a known collector may have chosen any of the first.
            let is_heard = site.data_centre == fleet.local
                || site.candidates.iter().any(|peer| heard.contains(peer));
            let count = if is_heard { 1 } else { MAX_CANDIDATES };
            peers.extend(site.candidates.iter().take(count));
        }
        peers.retain(|peer| *peer != self.me);
        peers.sort_unstable();
        peers.dedup();
        let mut sends = Vec::new();
        for teams in pages(&counts) {
            self.seq += 1;
            let sums = Sums {
                epoch: self.epoch,
                seq: self.seq,
                age: now.saturating_duration_since(started).into(),
                reporting: u32::try_from(reporting).unwrap_or(u32::MAX),
                teams,
            };
            let send = |peer: &SocketAddr| (*peer, Message::Sums(sums.clone()));
            sends.extend(peers.iter().map(send));
        }
        sends
    }

    /// Share of the fleet whose consumption is known.
    fn share_in_touch(&self, now: Instant, fleet: &Fleet) -> f64 {
        let in_touch = |site: &Site| {
            let own = if site.data_centre == fleet.local {
                self.reporting(now, site)
            } else if self.is_starting(now) {
                site.size
            } else {
                0
            };
            let fresh = self.collectors.iter().filter(|sender| sender.is_fresh(now));
            let theirs = fresh.filter(|sender| site.candidates.contains(&sender.peer));
            let theirs: usize = theirs.map(|sender| sender.reporting).sum();
            own.saturating_add(theirs).min(site.size)
        };
        let known: usize = fleet.sites().iter().map(in_touch).sum();
        ratio(known, fleet.size())
    }

    /// Number of members of the own data centre that report to this collector.
    fn reporting(&self, now: Instant, site: &Site) -> usize {
        if self.is_starting(now) {
            return site.size;
        }
        let fresh = self.daemons.iter().filter(|daemon| daemon.is_fresh(now));
        fresh.count().min(site.size)
    }

    fn is_starting(&self, now: Instant) -> bool {
        self.started
            .is_none_or(|started| now < started + START_GRACE)
    }

    /// Drops the state if this process has been paused.
    fn wake(&mut self, now: Instant) {
        let is_late = self.last_call.is_some_and(|last| now > last + MAX_PAUSE);
        if is_late && self.started.is_some() {
            self.reset();
        }
        self.last_call = Some(now);
    }

    fn reset(&mut self) {
        self.epoch = self.rng.random_range(1..u64::MAX);
        self.started = None;
        self.last_report = None;
        self.daemons.clear();
        self.collectors.clear();
    }

    fn clear_teams(&mut self, now: Instant) {
        for team in &mut self.teams {
            *team = Team::new(now, team.bucket.allowance());
        }
    }

    const fn reply(&self, session: u64, seq: u64, limits: Vec<Limit>) -> Message {
        Message::Reply(Reply {
            epoch: self.epoch,
            session,
            seq,
            limits,
        })
    }

    fn find(&self, team: TeamHash) -> Result<usize, usize> {
        self.teams
            .binary_search_by_key(&team, |known| known.sums.team)
    }
}

impl Team {
    const fn new(now: Instant, allowance: Allowance) -> Self {
        Self {
            bucket: Bucket::new(now, allowance),
            sums: Counts {
                team: allowance.team,
                asked: 0,
                admitted: 0,
                debt: 0,
            },
            changed: None,
            since_sums: 0,
            in_last_interval: 0,
            share: 1.0,
            pushed: 1.0,
            ended: None,
            announced: false,
        }
    }

    fn evaluate(&mut self, now: Instant, in_touch: f64) {
        self.bucket.advance(now, in_touch);
        let share = self.bucket.share(in_touch);
        if share >= 1.0 && self.share < 1.0 {
            self.ended = Some(now);
            self.pushed = 1.0;
        }
        self.share = share;
    }

    fn change(&self) -> Change {
        Change {
            team: self.sums.team,
            share: self.share,
            demand: self.bucket.demand(),
        }
    }
}

fn is_due(last: Option<Instant>, now: Instant, interval: Duration) -> bool {
    last.is_none_or(|last| now >= last + interval)
}

#[expect(clippy::cast_precision_loss, reason = "numbers of members are small")]
fn ratio(part: usize, whole: usize) -> f64 {
    part as f64 / whole.max(1) as f64
}

/// A share in 1/10,000, rounded down.
#[expect(
    clippy::cast_possible_truncation,
    clippy::cast_sign_loss,
    reason = "a share is in 0 to 1"
)]
fn to_share(share: f64) -> u16 {
    (share * 10_000.0) as u16
}
