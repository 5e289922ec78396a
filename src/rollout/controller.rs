//! Rollout controller: reports counts to the coordinators, sends plans to all daemons and writes the verdict
//! to the platform.
//!
//! Coordination is advisory, as reading is: if two daemons coordinate at once, their plans merge, and the
//! platform accepts one verdict. The first daemon in rendezvous order for the service coordinates; the next
//! one takes over when no plan arrives.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use slog::{info, warn};

use crate::backoff::Backoff;
use crate::clock;
use crate::configuration::control_plane::ControlPlane;
use crate::membership::controller::Membership;
use crate::membership::member::{Health, Stage};
use crate::quarantine::detector;
use crate::rollout::counters::{Counters, Outcome, Report, RouteCounters, RouteId};
use crate::rollout::decision::{Decision, decide};
use crate::rollout::observed::ExposureLimits;
use crate::rollout::order::{Order, Status};
use crate::rollout::plan::{FULL_PERMILLE, MAX_CHOSEN, Plan, RENEWAL_INTERVAL, Step};
use crate::rollout::progress::LocalProgress;
use crate::rollout::significance::Test;
use crate::rollout::tracker::{
    MAX_OLD_REPORTERS, PROMOTION_TICK_INTERVAL, Sidecars, TICK_INTERVAL, Tracker, rendezvous_order,
};
use crate::shared_state::SharedState;
use crate::units::Service;

/// Tick interval while every rollout has a verdict.
const IDLE_INTERVAL: Duration = Duration::from_secs(2);
/// Daemons that receive a service's reports: the coordinator and its successor.
const COORDINATORS: usize = 2;
/// Time without a renewed plan after which the successor takes over: before the plan expires.
const TAKEOVER_TIMEOUT: Duration = Duration::from_secs(1);
/// Sidecars of the new revision that report: twice as many as a plan names, since some targets may not be
/// warm.
const MAX_NEW_REPORTERS: usize = 2 * MAX_CHOSEN;
/// Sidecars of the old revision that report per tick that their targets are drained; if there are more, each
/// reports less often.
const DRAIN_REPORTS_PER_TICK: usize = 48;
/// Interval at which the platform's status of a rollout is checked: it may have been lost.
const STATUS_CHECK_INTERVAL: Duration = Duration::from_secs(10);
/// Time after the end of an order during which the status is still checked.
const CHECK_TIME_AFTER_ORDER: Duration = Duration::from_mins(1);
/// Delays after failed calls to the platform.
const RETRY_BACKOFF: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(1));

/// Runs this daemon's part of all rollouts.
pub struct Controller {
    shared: Arc<SharedState>,
    membership: Arc<Membership>,
    control_plane: Option<Arc<dyn ControlPlane>>,
    limits: ExposureLimits,
    /// Sorted by service.
    trackers: Vec<Tracker>,
    ticks: u64,
}

impl Controller {
    /// A controller of the rollouts on `shared`.
    #[must_use]
    pub fn new(
        shared: &Arc<SharedState>,
        membership: &Arc<Membership>,
        control_plane: Option<Arc<dyn ControlPlane>>,
    ) -> Self {
        Self {
            limits: shared.settings.exposure(),
            shared: Arc::clone(shared),
            membership: Arc::clone(membership),
            control_plane,
            trackers: Vec::new(),
            ticks: 0,
        }
    }

    /// Runs for as long as the daemon does.
    pub async fn run(mut self) {
        let mut changes = self.shared.rollouts.changes();
        let mut next = Instant::now();
        loop {
            let known = self.shared.rollouts.list();
            if known.is_empty() {
                let _ = changes.changed().await;
                next = Instant::now();
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(next.into()) => {}
            }
            self.propagate_updates().await;
            if Instant::now() < next {
                continue;
            }
            let known = self.shared.rollouts.list();
            next = Instant::now() + tick_interval(&known);
            self.ticks += 1;
            self.send_report().await;
            self.record_reports();
            for known in &known {
                self.coordinate(known);
            }
            self.propagate_updates().await;
        }
    }

    async fn propagate_updates(&self) {
        let updates = self.shared.rollouts.take_updates();
        if !updates.is_empty() {
            self.membership.gossip_rollouts(updates).await;
        }
    }

    /// Reports the counts of the co-located target to the coordinators.
    async fn send_report(&self) {
        let shared = &self.shared;
        let target = shared.target();
        let rules = shared.rollouts.rules();
        let rule = target
            .as_ref()
            .and_then(|target| rules.get(&target.service));
        let rule = rule.filter(|rule| rule.is_undecided());
        shared.rollouts.set_counting(rule.is_some());
        let (Some(rule), Some(target)) = (rule, target) else {
            return;
        };
        let Some(revision) = target.revision.clone() else {
            return;
        };
        let now = Instant::now();
        let step = rule.step(now).unwrap_or_default();
        let sidecars = Sidecars::of(&shared.roster(), &target.service, &rule.revision);
        let me = shared.settings.identity();
        let is_among = |peers: &[SocketAddr], first| peers.iter().take(first).any(|p| *p == me);
        let counts = is_among(&sidecars.new, MAX_NEW_REPORTERS)
            || is_among(&sidecars.old, MAX_OLD_REPORTERS);
        let every = sidecars.old.len().div_ceil(DRAIN_REPORTS_PER_TICK).max(1) as u64;
        let drains = step == Step::All && revision != rule.revision;
        let drains = drains && self.ticks.is_multiple_of(every);
        if !counts && !drains {
            return;
        }
        let report = Report {
            service: target.service.clone(),
            revision,
            step,
            in_flight: self.in_flight(),
            warm: now >= target.cold_until,
            in_flight_ages: if counts {
                self.in_flight_ages(now)
            } else {
                Vec::new()
            },
            counters: if counts {
                shared.rollouts.counters()
            } else {
                Counters::default()
            },
        };
        for peer in self
            .coordinators(&target.service)
            .into_iter()
            .take(COORDINATORS)
        {
            if peer == me {
                shared.rollouts.add_report(me, report.clone());
            } else {
                self.membership.report(peer, report.clone()).await;
            }
        }
    }

    /// Requests in flight at the target, by route and age.
    fn in_flight_ages(&self, now: Instant) -> Vec<(RouteId, RouteCounters)> {
        let mut ages = Counters::default();
        let running = detector::lock_running(&self.shared.running);
        for run in running.in_flight() {
            let age = now.saturating_duration_since(run.began);
            ages.add(RouteId::of(&run.route), Outcome::Answered(age));
        }
        ages.routes
    }

    fn in_flight(&self) -> u32 {
        let running = detector::lock_running(&self.shared.running);
        u32::try_from(running.in_flight().count()).unwrap_or(u32::MAX)
    }

    /// Serving daemons in the order in which they coordinate rollouts of a service.
    fn coordinators(&self, service: &Service) -> Vec<SocketAddr> {
        let roster = self.shared.roster();
        let serving = roster
            .members
            .iter()
            .filter(|member| member.stage == Stage::Serving && member.health == Health::Alive);
        rendezvous_order(service, serving)
    }

    fn sidecars(&self, order: &Order) -> Sidecars {
        Sidecars::of(&self.shared.roster(), &order.service, &order.revision)
    }

    fn record_reports(&mut self) {
        let now = Instant::now();
        for (peer, report) in self.shared.rollouts.take_reports() {
            let found = self.find_tracker(&report.service);
            if let Ok(index) = found {
                self.trackers[index].analysis.record(now, peer, report);
            }
        }
        for tracker in &mut self.trackers {
            tracker.analysis.start_tick();
        }
    }

    fn find_tracker(&self, service: &Service) -> Result<usize, usize> {
        let trackers = &self.trackers;
        trackers.binary_search_by(|tracker| tracker.order.service.cmp(service))
    }

    /// Coordinates a rollout if this daemon is one of its coordinators.
    fn coordinate(&mut self, known: &LocalProgress) {
        let order = known.progress().order.clone();
        let me = self.shared.settings.identity();
        let coordinators = self.coordinators(&order.service);
        let rank = coordinators.iter().position(|peer| *peer == me);
        let Some(rank) = rank.filter(|rank| *rank < COORDINATORS) else {
            if let Ok(index) = self.find_tracker(&order.service) {
                self.trackers.remove(index);
            }
            return;
        };
        let index = match self.find_tracker(&order.service) {
            Ok(index) if self.trackers[index].order == order => index,
            Ok(index) => {
                self.trackers[index] = Tracker::new(order, known);
                index
            }
            Err(index) => {
                self.trackers.insert(index, Tracker::new(order, known));
                index
            }
        };
        let now = Instant::now();
        let since_renewal = now.saturating_duration_since(known.plan_renewed_at());
        // Until there is a verdict, the successor takes over when renewals stop; after it, only the first
        // daemon checks the status.
        let is_open = known.progress().verdict.is_none();
        let is_active = rank == 0 || is_open && since_renewal >= TAKEOVER_TIMEOUT;
        let sidecars = self.sidecars(&self.trackers[index].order);
        self.trackers[index].update_request_rate(&sidecars);
        if is_active {
            self.advance(index, known, &sidecars);
        }
    }

    /// Decides on the next plan and writes a verdict.
    fn advance(&mut self, index: usize, known: &LocalProgress, sidecars: &Sidecars) {
        let now = Instant::now();
        let generation = self.shared.generation();
        let progress = known.progress();
        if progress.verdict.is_some() {
            self.check_status(index, known, Status::from(progress.verdict));
            return;
        }
        let tracker = &mut self.trackers[index];
        tracker.set_step(now, progress.plan.step);
        let finding = tracker
            .analysis
            .find_regression(Test::default(), sidecars.new.len());
        let observed = tracker.observe(now, known, sidecars, finding.is_some());
        let decision = decide(&self.limits, &observed);
        let warm = tracker.warm(now, sidecars);
        let chosen = choose_targets(&warm, decision.targets);
        let plan = &progress.plan;
        let same =
            (plan.step, plan.permille, &plan.chosen) == (decision.step, decision.permille, &chosen);
        let since_renewal = now.saturating_duration_since(known.plan_renewed_at());
        let order = tracker.order.clone();
        if !same || since_renewal >= RENEWAL_INTERVAL.duration() {
            let next = Plan {
                number: plan.number + 1,
                step: decision.step,
                permille: decision.permille,
                chosen,
            };
            self.shared.rollouts.apply_plan(&order, &next);
            let service = order.service.to_string();
            metrics::gauge!("jackdaw_rollout_share", "service" => service)
                .set(f64::from(decision.permille) / f64::from(FULL_PERMILLE));
        }
        if plan.step != decision.step || decision.complete {
            info!(self.shared.logger, "rollout step decided"; "service" => %order.service,
                "revision" => %order.revision, "step" => %decision.step, "from" => %plan.step,
                "complete" => decision.complete, "cause" => %decision.cause,
                "permille" => decision.permille, "targets" => decision.targets,
                "observed" => ?observed, "finding" => ?finding,
                "compared" => ?tracker.analysis.compared(), "era" => generation.0);
        }
        match final_status(&decision) {
            Some(status) => self.sync_status(index, status),
            None => self.check_status(index, known, Status::Running),
        }
    }

    /// Synchronizes the status with the platform if it is due or has not been confirmed.
    fn check_status(&mut self, index: usize, known: &LocalProgress, status: Status) {
        let now = Instant::now();
        let tracker = &self.trackers[index];
        let generation = self.shared.generation();
        let due = tracker.last_checked.is_none_or(|(checked, then)| {
            let late = known.age(now) > tracker.order.duration.duration() + CHECK_TIME_AFTER_ORDER;
            let waited = now.saturating_duration_since(checked) >= STATUS_CHECK_INTERVAL;
            then != generation || waited && !late
        });
        if due || !tracker.sync.confirmed.load(Ordering::Acquire) {
            self.sync_status(index, status);
        }
    }

    /// Synchronizes the status with the platform in the background, unless that is in progress.
    fn sync_status(&mut self, index: usize, status: Status) {
        let Some(control_plane) = self.control_plane.clone() else {
            return;
        };
        let generation = self.shared.generation();
        let tracker = &mut self.trackers[index];
        if tracker.sync.in_progress.swap(true, Ordering::AcqRel) {
            return;
        }
        tracker.last_checked = Some((Instant::now(), generation));
        let (order, sync) = (tracker.order.clone(), Arc::clone(&tracker.sync));
        let shared = Arc::clone(&self.shared);
        tokio::spawn(async move {
            let outcome = sync_with_platform(&shared, control_plane.as_ref(), &order, status).await;
            if outcome.is_err() {
                let mut backoff = RETRY_BACKOFF;
                tokio::time::sleep(backoff.next_delay()).await;
            }
            sync.confirmed.fetch_or(outcome.is_ok(), Ordering::AcqRel);
            sync.in_progress.store(false, Ordering::Release);
        });
    }
}

/// Time until the next tick.
fn tick_interval(known: &[LocalProgress]) -> Duration {
    let open = known
        .iter()
        .filter(|known| known.progress().verdict.is_none());
    let is_promotion =
        |known: &LocalProgress| matches!(known.progress().plan.step, Step::Ramp | Step::All);
    let each = open.map(|known| {
        if is_promotion(known) {
            PROMOTION_TICK_INTERVAL
        } else {
            TICK_INTERVAL
        }
    });
    each.min().unwrap_or(IDLE_INTERVAL)
}

/// Writes the status of a rollout to the platform and applies the stored verdict, if there is one.
async fn sync_with_platform(
    shared: &SharedState,
    control_plane: &dyn ControlPlane,
    order: &Order,
    status: Status,
) -> crate::Result<()> {
    let stored = control_plane.report_rollout_status(order, status).await?;
    if let Some(verdict) = stored.verdict() {
        if shared.rollouts.set_verdict(order, verdict) {
            metrics::counter!("jackdaw_rollouts_total", "verdict" => verdict.to_string())
                .increment(1);
            warn!(shared.logger, "rollout ended"; "service" => %order.service,
                "revision" => %order.revision, "verdict" => %verdict, "wanted" => %status);
        }
        return Ok(());
    }
    let Some(known) = shared.rollouts.get(&order.service) else {
        return Ok(());
    };
    // The start time of the order is stored as well: after the loss of all daemons, those that start would
    // otherwise grant the whole duration again.
    let age = known.age(Instant::now());
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let now_ms = clock::unix_ms();
    let ordered_at_ms = control_plane
        .record_rollout_start(order, now_ms.saturating_sub(age_ms))
        .await?;
    let age = Duration::from_millis(now_ms.saturating_sub(ordered_at_ms));
    if let Some(ordered_at) = Instant::now().checked_sub(age) {
        shared.rollouts.backdate(order, ordered_at);
    }
    Ok(())
}

/// The final status that follows from a decision, if it ends the rollout.
fn final_status(decision: &Decision) -> Option<Status> {
    if decision.step == Step::Back {
        return Some(Status::RolledBack);
    }
    decision.complete.then_some(Status::Completed)
}

/// The first `count` daemons, sorted.
fn choose_targets(ranked: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut chosen: Vec<SocketAddr> = ranked.iter().take(count).copied().collect();
    chosen.sort_unstable();
    chosen
}

impl std::fmt::Debug for Controller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Controller")
            .field("limits", &self.limits)
            .field("duties", &self.trackers.len())
            .finish_non_exhaustive()
    }
}
