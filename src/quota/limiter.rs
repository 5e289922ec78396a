//! What the ingress uses: decides on requests and takes back those that did not run.

use std::net::SocketAddr;
use std::sync::{Arc, Mutex, MutexGuard, PoisonError};
use std::time::Instant;

use arc_swap::ArcSwap;
use serde::{Deserialize, Serialize};
use tokio::sync::Notify;

use crate::quota::Allowance;
use crate::quota::collector::{Change, Collector};
use crate::quota::fleet::Fleet;
use crate::quota::messages::Message;
pub use crate::quota::reporter::Refusal;
use crate::quota::reporter::{Reporter, Standing, Ticket};
use crate::teams::directory::Entry;
use crate::units::{Burst, Priority, Rate};

/// Quotas of teams at this daemon.
#[derive(Debug)]
pub struct Limiter {
    me: SocketAddr,
    fleet: ArcSwap<Fleet>,
    /// Held for a few instructions by a request, and while a message is handled.
    state: Mutex<State>,
    /// Notified when a message is due ahead of its interval.
    pub(super) surge: Notify,
}

/// The two state machines of a daemon.
#[derive(Debug)]
struct State {
    reporter: Reporter,
    collector: Collector,
}

/// An admitted request.
///
/// It is given back when dropped, unless it has been sent or has run.
#[derive(Debug)]
pub struct Admission {
    limiter: Arc<Limiter>,
    ticket: Option<Ticket>,
    is_sent: bool,
}

/// State of one team, as the operators' API returns it.
#[derive(Debug, Clone, PartialEq, Serialize, Deserialize)]
pub struct TeamState {
    /// Name of the team.
    pub team: String,
    /// Requests per second that it may send.
    pub rate: Rate,
    /// Requests that it may send in addition.
    pub burst: Burst,
    /// Requests per second that it sends to all daemons, if this daemon is a collector.
    pub demand: Option<f64>,
    /// Requests that this daemon has admitted recently and not taken back.
    pub admitted: u64,
    /// Requests that this daemon has refused recently.
    pub refused: u64,
    /// Share of the requests to admit.
    pub share: f64,
    /// Collector that this daemon reports to; none while it admits by its own part.
    pub collector: Option<SocketAddr>,
}

impl Limiter {
    /// The limiter of a daemon at `me`.
    #[must_use]
    pub fn new(me: SocketAddr) -> Self {
        let state = State {
            reporter: Reporter::new(Instant::now(), rand::random()),
            collector: Collector::new(me, rand::random()),
        };
        Self {
            me,
            fleet: ArcSwap::default(),
            state: Mutex::new(state),
            surge: Notify::new(),
        }
    }

    /// Decides on a request of a team with a quota.
    ///
    /// # Errors
    ///
    /// When the caller may try again.
    pub fn admit(
        self: &Arc<Self>,
        team: Allowance,
        priority: Priority,
        now: Instant,
    ) -> Result<Admission, Refusal> {
        let mut state = self.state();
        let was_surging = state.reporter.is_surging();
        let result = state.reporter.admit(now, team, priority);
        let is_surging = state.reporter.is_surging();
        drop(state);
        if is_surging && !was_surging {
            self.surge.notify_one();
        }
        Ok(Admission {
            limiter: Arc::clone(self),
            ticket: Some(result?),
            is_sent: false,
        })
    }

    /// Sets the quotas, sorted by team.
    pub(super) fn set_allowances(&self, allowances: &[Allowance]) {
        let mut state = self.state();
        state.collector.set_allowances(Instant::now(), allowances);
    }

    /// Replaces the members that share the quotas.
    pub(super) fn set_fleet(&self, fleet: Fleet) {
        self.fleet.store(Arc::new(fleet));
    }

    /// Returns the messages that are due, and the limits that have set in or ended.
    pub(super) fn tick(&self, now: Instant) -> (Vec<(SocketAddr, Message)>, Vec<Change>) {
        let fleet = self.fleet.load();
        let mut state = self.state();
        let mut sends = state.reporter.tick(now, &fleet);
        sends.extend(state.collector.tick(now, &fleet));
        let sends = self.handle_own(now, &mut state, &fleet, sends);
        let changes = state.collector.take_changes(now);
        (sends, changes)
    }

    /// Handles a message of another daemon and returns the replies.
    pub(crate) fn receive(
        &self,
        now: Instant,
        from: SocketAddr,
        message: &Message,
    ) -> Vec<(SocketAddr, Message)> {
        let fleet = self.fleet.load();
        let mut state = self.state();
        let sends = state.receive(now, from, message, &fleet);
        let sends = self.handle_own(now, &mut state, &fleet, sends);
        let is_surging = state.collector.is_surging();
        drop(state);
        if is_surging {
            self.surge.notify_one();
        }
        sends
    }

    /// State of the teams with recent requests at this daemon.
    pub(super) fn standings(&self, now: Instant) -> Vec<Standing> {
        self.state().reporter.standings(now).collect()
    }

    /// State of all teams with a quota.
    pub(crate) fn states(&self, now: Instant, teams: &[Arc<Entry>]) -> Vec<TeamState> {
        let state = self.state();
        let collector = state.reporter.collector();
        let collector = collector.filter(|_| state.reporter.in_touch(now));
        let standings: Vec<Standing> = state.reporter.standings(now).collect();
        let is_collector = state.collector.is_active();
        let demands: Vec<Change> = state.collector.states().collect();
        drop(state);
        let limited = teams.iter().filter_map(|team| {
            let allowance = Allowance::of_entry(team)?;
            Some((team, allowance))
        });
        let describe = |(team, allowance): (&Arc<Entry>, Allowance)| {
            let known = standings.iter().find(|known| known.team == allowance.team);
            let demand = demands.iter().find(|known| known.team == allowance.team);
            TeamState {
                team: team.name.clone(),
                rate: allowance.rate,
                burst: allowance.burst,
                demand: is_collector.then(|| demand.map_or(0.0, |demand| demand.demand)),
                admitted: known.map_or(0, |known| known.admitted),
                refused: known.map_or(0, |known| known.refused),
                share: known.map_or(1.0, |known| known.share),
                collector,
            }
        };
        limited.map(describe).collect()
    }

    /// Handles the messages of this daemon to itself, and returns the others.
    fn handle_own(
        &self,
        now: Instant,
        state: &mut State,
        fleet: &Fleet,
        sends: Vec<(SocketAddr, Message)>,
    ) -> Vec<(SocketAddr, Message)> {
        let mut others = Vec::new();
        let mut queue = sends;
        while let Some((to, message)) = queue.pop() {
            if to == self.me {
                queue.extend(state.receive(now, self.me, &message, fleet));
            } else {
                others.push((to, message));
            }
        }
        others
    }

    fn state(&self) -> MutexGuard<'_, State> {
        self.state.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

impl State {
    fn receive(
        &mut self,
        now: Instant,
        from: SocketAddr,
        message: &Message,
        fleet: &Fleet,
    ) -> Vec<(SocketAddr, Message)> {
        match message {
            Message::Report(report) => self.collector.receive_report(now, from, report, fleet),
            Message::Reply(reply) => {
                self.reporter.receive(now, from, reply, fleet);
                Vec::new()
            }
            Message::Sums(sums) => {
                self.collector.receive_sums(now, from, sums, fleet);
                Vec::new()
            }
        }
    }
}

impl Admission {
    /// Records that the request is about to be sent: if its caller goes away, it may have run.
    pub const fn mark_sent(&mut self) {
        self.is_sent = true;
    }

    /// Records that the request has run or may have: it counts towards the quota.
    pub fn ran(mut self) {
        self.ticket = None;
    }

    /// Gives back a request that provably did not run, also if it was sent.
    pub fn not_run(mut self) {
        self.is_sent = false;
    }
}

impl Drop for Admission {
    fn drop(&mut self) {
        let ticket = self.ticket.take().filter(|_| !self.is_sent);
        if let Some(ticket) = ticket {
            self.limiter.state().reporter.give_back(ticket);
        }
    }
}
