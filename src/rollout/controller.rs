//! Carrying roll-outs out: counts to those who decide, plans to everybody, the verdict to the platform.
//!
//! Who decides is advisory, as reading is: two daemons that decide at once merge their plans, and the platform
//! takes one verdict. The one that comes first in rendezvous order for the service decides, the next one steps
//! in when no plan comes from it.

use std::net::SocketAddr;
use std::sync::Arc;
use std::sync::atomic::Ordering;
use std::time::{Duration, Instant};

use slog::{info, warn};

use crate::backoff::Backoff;
use crate::board::Board;
use crate::clock;
use crate::configuration::origin::Origin;
use crate::membership::controller::Membership;
use crate::membership::member::{Health, Stage};
use crate::quarantine::inspect;
use crate::rollout::decision::{Decision, decide};
use crate::rollout::duty::{Duty, Gates, MOVE_TICK, SAMPLED, TICK, ranked};
use crate::rollout::observed::Limits;
use crate::rollout::order::{Order, Status};
use crate::rollout::plan::{ALL, MOST_CHOSEN, Plan, RENEWAL, Step};
use crate::rollout::progress::Known;
use crate::rollout::tally::{Counts, Outcome, Report, RouteId, Tally};
use crate::rollout::test::Test;
use crate::units::Service;

/// Time between two looks where all have a verdict.
const REST: Duration = Duration::from_secs(2);
/// Daemons that get the counts of a service: the one that decides, and the next one.
const DECIDERS: usize = 2;
/// Time without a plan after which the next one decides: before plans lapse.
const TAKE_OVER: Duration = Duration::from_secs(1);
/// Gates of new targets that report: twice as many as a plan names, since some may not be warm.
const TRIED: usize = 2 * MOST_CHOSEN;
/// Gates that report in one tick that nothing runs at their old targets; where there are more, each does so
/// less often.
const DRAINS: usize = 48;
/// Time between two looks at what the platform says of a roll-out: it may have forgotten.
const RECHECK: Duration = Duration::from_secs(10);
/// Time for which it is looked at after the end of an order.
const AFTERMATH: Duration = Duration::from_mins(1);
/// Pauses after calls to the platform that failed.
const PAUSES: Backoff = Backoff::new(Duration::from_millis(200), Duration::from_secs(1));

/// Carries out what is ordered, as far as it is this daemon's part.
pub struct Controller {
    board: Arc<Board>,
    membership: Arc<Membership>,
    origin: Option<Arc<dyn Origin>>,
    limits: Limits,
    /// Sorted by service.
    duties: Vec<Duty>,
    ticks: u64,
}

impl Controller {
    /// A controller of what `board` knows.
    #[must_use]
    pub fn new(
        board: &Arc<Board>,
        membership: &Arc<Membership>,
        origin: Option<Arc<dyn Origin>>,
    ) -> Self {
        Self {
            limits: board.settings.exposure(),
            board: Arc::clone(board),
            membership: Arc::clone(membership),
            origin,
            duties: Vec::new(),
            ticks: 0,
        }
    }

    /// Follows roll-outs for as long as the daemon runs.
    pub async fn run(mut self) {
        let mut changes = self.board.rollouts.changes();
        let mut next = Instant::now();
        loop {
            let known = self.board.rollouts.known();
            if known.is_empty() {
                let _ = changes.changed().await;
                next = Instant::now();
            }
            tokio::select! {
                _ = changes.changed() => {}
                () = tokio::time::sleep_until(next.into()) => {}
            }
            self.pass_on().await;
            if Instant::now() < next {
                continue;
            }
            let known = self.board.rollouts.known();
            next = Instant::now() + pause(&known);
            self.ticks += 1;
            self.report().await;
            self.take_reports();
            for known in &known {
                self.attend(known);
            }
            self.pass_on().await;
        }
    }

    async fn pass_on(&self) {
        let news = self.board.rollouts.take_news();
        if !news.is_empty() {
            self.membership.gossip_rollouts(news).await;
        }
    }

    /// Tells those who decide how the co-located target answers.
    async fn report(&self) {
        let board = &self.board;
        let target = board.target();
        let rules = board.rollouts.rules();
        let rule = target
            .as_ref()
            .and_then(|target| rules.get(&target.service));
        let rule = rule.filter(|rule| rule.is_open());
        board.rollouts.count(rule.is_some());
        let (Some(rule), Some(target)) = (rule, target) else {
            return;
        };
        let Some(revision) = target.revision.clone() else {
            return;
        };
        let now = Instant::now();
        let step = rule.step(now).unwrap_or_default();
        let gates = Gates::of(&board.roster(), &target.service, &rule.revision);
        let me = board.settings.identity();
        let is_among = |peers: &[SocketAddr], first| peers.iter().take(first).any(|p| *p == me);
        let counts = is_among(&gates.new, TRIED) || is_among(&gates.old, SAMPLED);
        let every = gates.old.len().div_ceil(DRAINS).max(1) as u64;
        let drains = step == Step::All && revision != rule.revision;
        let drains = drains && self.ticks.is_multiple_of(every);
        if !counts && !drains {
            return;
        }
        let report = Report {
            service: target.service.clone(),
            revision,
            step,
            busy: self.busy(),
            warm: now >= target.cold_until,
            under_way: if counts {
                self.under_way(now)
            } else {
                Vec::new()
            },
            tally: if counts {
                board.rollouts.counted()
            } else {
                Tally::default()
            },
        };
        for peer in self.deciders(&target.service).into_iter().take(DECIDERS) {
            if peer == me {
                board.rollouts.hear(me, report.clone());
            } else {
                self.membership.report(peer, report.clone()).await;
            }
        }
    }

    /// Requests that the target works on, by route and the time since it got them.
    fn under_way(&self, now: Instant) -> Vec<(RouteId, Counts)> {
        let mut ages = Tally::default();
        let running = inspect::lock(&self.board.running);
        for run in running.under_way() {
            let age = now.saturating_duration_since(run.began);
            ages.add(RouteId::of(&run.route), Outcome::Answered(age));
        }
        ages.routes
    }

    fn busy(&self) -> u32 {
        let running = inspect::lock(&self.board.running);
        u32::try_from(running.under_way().count()).unwrap_or(u32::MAX)
    }

    /// Serving daemons in the order in which they decide on a service.
    fn deciders(&self, service: &Service) -> Vec<SocketAddr> {
        let roster = self.board.roster();
        let serving = roster
            .members
            .iter()
            .filter(|member| member.stage == Stage::Serving && member.health == Health::Alive);
        ranked(service, serving)
    }

    fn gates(&self, order: &Order) -> Gates {
        Gates::of(&self.board.roster(), &order.service, &order.revision)
    }

    fn take_reports(&mut self) {
        let now = Instant::now();
        for (peer, report) in self.board.rollouts.take_reports() {
            let found = self.find(&report.service);
            if let Ok(index) = found {
                self.duties[index].evidence.hear(now, peer, report);
            }
        }
        for duty in &mut self.duties {
            duty.evidence.tick();
        }
    }

    fn find(&self, service: &Service) -> Result<usize, usize> {
        let duties = &self.duties;
        duties.binary_search_by(|duty| duty.order.service.cmp(service))
    }

    /// Looks after one roll-out, where that is this daemon's part.
    fn attend(&mut self, known: &Known) {
        let order = known.progress().order.clone();
        let me = self.board.settings.identity();
        let deciders = self.deciders(&order.service);
        let rank = deciders.iter().position(|peer| *peer == me);
        let Some(rank) = rank.filter(|rank| *rank < DECIDERS) else {
            if let Ok(index) = self.find(&order.service) {
                self.duties.remove(index);
            }
            return;
        };
        let index = match self.find(&order.service) {
            Ok(index) if self.duties[index].order == order => index,
            Ok(index) => {
                self.duties[index] = Duty::new(order, known);
                index
            }
            Err(index) => {
                self.duties.insert(index, Duty::new(order, known));
                index
            }
        };
        let now = Instant::now();
        let quiet = now.saturating_duration_since(known.renewed());
        // Plans are renewed until there is a verdict; then one daemon looks after it.
        let is_open = known.progress().verdict.is_none();
        let is_turn = rank == 0 || is_open && quiet >= TAKE_OVER;
        let gates = self.gates(&self.duties[index].order);
        self.duties[index].measure(&gates);
        if is_turn {
            self.steer(index, known, &gates);
        }
    }

    /// Decides what comes next.
    fn steer(&mut self, index: usize, known: &Known, gates: &Gates) {
        let now = Instant::now();
        let era = self.board.era();
        let progress = known.progress();
        if progress.verdict.is_some() {
            self.check(index, known, Status::from(progress.verdict));
            return;
        }
        let duty = &mut self.duties[index];
        duty.follow(now, progress.plan.step);
        let finding = duty.evidence.judge(Test::default(), gates.new.len());
        let observed = duty.observe(now, known, gates, finding.is_some());
        let decision = decide(&self.limits, &observed);
        let warm = duty.warm(now, gates);
        let chosen = chosen(&warm, decision.targets);
        let plan = &progress.plan;
        let same =
            (plan.step, plan.permille, &plan.chosen) == (decision.step, decision.permille, &chosen);
        let quiet = now.saturating_duration_since(known.renewed());
        let order = duty.order.clone();
        if !same || quiet >= RENEWAL.duration() {
            let next = Plan {
                number: plan.number + 1,
                step: decision.step,
                permille: decision.permille,
                chosen,
            };
            self.board.rollouts.follow(&order, &next);
            let service = order.service.to_string();
            metrics::gauge!("jackdaw_rollout_share", "service" => service)
                .set(f64::from(decision.permille) / f64::from(ALL));
        }
        if plan.step != decision.step || decision.complete {
            info!(self.board.logger, "roll-out decided"; "service" => %order.service,
                "revision" => %order.revision, "step" => %decision.step, "from" => %plan.step,
                "complete" => decision.complete, "cause" => %decision.cause,
                "permille" => decision.permille, "targets" => decision.targets,
                "observed" => ?observed, "finding" => ?finding,
                "compared" => ?duty.evidence.compared(), "era" => era.0);
        }
        match wanted(&decision) {
            Some(status) => self.ask(index, status),
            None => self.check(index, known, Status::Running),
        }
    }

    /// Looks now and then whether the platform still says how a roll-out stands, and whether it knows better.
    fn check(&mut self, index: usize, known: &Known, status: Status) {
        let now = Instant::now();
        let duty = &self.duties[index];
        let era = self.board.era();
        let due = duty.checked.is_none_or(|(checked, then)| {
            let late = known.age(now) > duty.order.duration.duration() + AFTERMATH;
            let waited = now.saturating_duration_since(checked) >= RECHECK;
            then != era || waited && !late
        });
        if due || !duty.asked.confirmed.load(Ordering::Acquire) {
            self.ask(index, status);
        }
    }

    /// Tells the platform how a roll-out stands and takes what stands there, unless that is under way.
    fn ask(&mut self, index: usize, status: Status) {
        let Some(origin) = self.origin.clone() else {
            return;
        };
        let era = self.board.era();
        let duty = &mut self.duties[index];
        if duty.asked.under_way.swap(true, Ordering::AcqRel) {
            return;
        }
        duty.checked = Some((Instant::now(), era));
        let (order, asked) = (duty.order.clone(), Arc::clone(&duty.asked));
        let board = Arc::clone(&self.board);
        tokio::spawn(async move {
            let outcome = tell(&board, origin.as_ref(), &order, status).await;
            if outcome.is_err() {
                let mut pauses = PAUSES;
                tokio::time::sleep(pauses.next_delay()).await;
            }
            asked.confirmed.fetch_or(outcome.is_ok(), Ordering::AcqRel);
            asked.under_way.store(false, Ordering::Release);
        });
    }
}

/// Time until the next look at what is known.
fn pause(known: &[Known]) -> Duration {
    let open = known
        .iter()
        .filter(|known| known.progress().verdict.is_none());
    let moves = |known: &Known| matches!(known.progress().plan.step, Step::Ramp | Step::All);
    let each = open.map(|known| if moves(known) { MOVE_TICK } else { TICK });
    each.min().unwrap_or(REST)
}

/// Tells the platform how a roll-out stands, and takes what stands there.
async fn tell(
    board: &Board,
    origin: &dyn Origin,
    order: &Order,
    status: Status,
) -> crate::Result<()> {
    let stands = origin.tell(order, status).await?;
    if let Some(verdict) = stands.verdict() {
        if board.rollouts.conclude(order, verdict) {
            metrics::counter!("jackdaw_rollouts_total", "verdict" => verdict.to_string())
                .increment(1);
            warn!(board.logger, "roll-out ended"; "service" => %order.service,
                "revision" => %order.revision, "verdict" => %verdict, "wanted" => %status);
        }
        return Ok(());
    }
    let Some(known) = board.rollouts.get(&order.service) else {
        return Ok(());
    };
    // Guards against the loss of all daemons at once: those that start would give the order its whole time
    // once more.
    let age = known.age(Instant::now());
    let age_ms = u64::try_from(age.as_millis()).unwrap_or(u64::MAX);
    let now_ms = clock::unix_ms();
    let begin = origin
        .note_begin(order, now_ms.saturating_sub(age_ms))
        .await?;
    let before = Duration::from_millis(now_ms.saturating_sub(begin));
    if let Some(given) = Instant::now().checked_sub(before) {
        board.rollouts.date_back(order, given);
    }
    Ok(())
}

/// What the operator is to be told after a decision, if there is a verdict in it.
fn wanted(decision: &Decision) -> Option<Status> {
    if decision.step == Step::Back {
        return Some(Status::RolledBack);
    }
    decision.complete.then_some(Status::Completed)
}

/// The first few of the daemons, sorted; none for all.
fn chosen(ranked: &[SocketAddr], count: usize) -> Vec<SocketAddr> {
    let mut chosen: Vec<SocketAddr> = ranked.iter().take(count).copied().collect();
    chosen.sort_unstable();
    chosen
}

impl std::fmt::Debug for Controller {
    fn fmt(&self, f: &mut std::fmt::Formatter<'_>) -> std::fmt::Result {
        f.debug_struct("Controller")
            .field("limits", &self.limits)
            .field("duties", &self.duties.len())
            .finish_non_exhaustive()
    }
}
