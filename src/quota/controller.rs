//! Task that drives the quotas of this daemon: sends reports, sums and shares, and writes metrics and log lines.

use std::sync::Arc;
use std::time::{Duration, Instant};

use slog::info;

use crate::membership::controller::Membership;
use crate::quota::collector::Change;
use crate::quota::fleet::Fleet;
use crate::quota::reporter::Standing;
use crate::quota::{Allowance, TeamHash};
use crate::shared_state::{SharedState, Snapshot};
use crate::teams::directory::Entry;

/// Interval between ticks: that of the earliest messages that are sent ahead of their interval.
const TICK_INTERVAL: Duration = Duration::from_millis(50);
/// Interval between updates of the metrics.
const METRICS_INTERVAL: Duration = Duration::from_secs(1);
/// Teams that have metrics of their own; the others share one label.
const MAX_NAMED_TEAMS: usize = 20;
/// Label of the other teams.
const OTHER_TEAMS: &str = "other";

/// Drives the quotas of a daemon.
pub struct Controller {
    shared: Arc<SharedState>,
    membership: Arc<Membership>,
    /// Teams with metrics of their own.
    named: Vec<TeamHash>,
    /// Counts when the metrics were last updated, sorted by team.
    counted: Vec<Standing>,
    next_metrics: Instant,
}

impl Controller {
    /// A controller of the quotas on `shared`.
    #[must_use]
    pub fn new(shared: &Arc<SharedState>, membership: &Arc<Membership>) -> Self {
        Self {
            shared: Arc::clone(shared),
            membership: Arc::clone(membership),
            named: Vec::new(),
            counted: Vec::new(),
            next_metrics: Instant::now(),
        }
    }

    /// Runs for as long as the daemon does; waits for another version while no team has a quota.
    pub async fn run(mut self) {
        let mut versions = self.shared.versions();
        loop {
            let config = self.shared.config();
            let allowances = allowances(&config);
            self.shared.quotas.set_allowances(&allowances);
            if allowances.is_empty() {
                if versions.changed().await.is_err() {
                    return;
                }
                continue;
            }
            let changed = versions.changed();
            tokio::select! {
                _ = changed => {}
                () = self.drive(&config) => {}
            }
        }
    }

    /// Runs while the version is active.
    async fn drive(&mut self, config: &Snapshot) {
        let shared = Arc::clone(&self.shared);
        let mut rosters = shared.rosters();
        rosters.mark_changed();
        loop {
            if rosters.has_changed().is_ok_and(|changed| changed) {
                rosters.mark_unchanged();
                let fleet = Fleet::of(&shared.roster(), &shared.settings.data_centre);
                shared.quotas.set_fleet(fleet);
            }
            let (sends, changes) = shared.quotas.tick(Instant::now());
            self.membership.send_quota(sends).await;
            for change in changes {
                self.log(config, change);
            }
            self.update_metrics(config);
            let surge = shared.quotas.surge.notified();
            // An earlier message is still at least a tick apart from the last one.
            tokio::select! {
                () = tokio::time::sleep(TICK_INTERVAL) => {}
                () = surge => {}
            }
        }
    }

    fn log(&self, config: &Snapshot, change: Change) {
        let Some(team) = find(config, change.team) else {
            return;
        };
        if change.share < 1.0 {
            info!(self.shared.logger, "team is limited by its quota"; "team" => &team.name,
                "share" => change.share, "demand" => change.demand,
                "rate" => team.quota.map(|quota| quota.rate.per_second()));
        } else {
            info!(self.shared.logger, "team is no longer limited by its quota";
                "team" => &team.name, "demand" => change.demand);
        }
    }

    /// Adds what has been admitted and refused since the last call to the counters.
    fn update_metrics(&mut self, config: &Snapshot) {
        let now = Instant::now();
        if now < self.next_metrics {
            return;
        }
        self.next_metrics = now + METRICS_INTERVAL;
        let standings = self.shared.quotas.standings(now);
        let mut busiest: Vec<&Standing> = standings.iter().collect();
        busiest.sort_by_key(|standing| std::cmp::Reverse(standing.admitted + standing.refused));
        for standing in busiest.into_iter().take(MAX_NAMED_TEAMS) {
            let has_room = self.named.len() < MAX_NAMED_TEAMS;
            if has_room && !self.named.contains(&standing.team) {
                self.named.push(standing.team);
            }
        }
        for standing in &standings {
            let known = self
                .counted
                .binary_search_by_key(&standing.team, |known| known.team);
            let known = known.map_or((0, 0), |index| {
                let known = &self.counted[index];
                (known.admitted, known.refused)
            });
            let is_named = self.named.contains(&standing.team);
            let team = is_named.then(|| find(config, standing.team)).flatten();
            let name = team.map_or(OTHER_TEAMS.to_owned(), |team| team.name.clone());
            let counts = [
                ("admitted", standing.admitted.saturating_sub(known.0)),
                ("refused", standing.refused.saturating_sub(known.1)),
            ];
            for (decision, count) in counts.into_iter().filter(|(_, count)| *count > 0) {
                metrics::counter!("jackdaw_quota_requests_total",
                    "team" => name.clone(), "decision" => decision)
                .increment(count);
            }
        }
        self.counted = standings;
    }
}

/// Quotas of a version, sorted by team.
fn allowances(config: &Snapshot) -> Vec<Allowance> {
    let teams = config.teams.teams().iter();
    let mut allowances: Vec<Allowance> =
        teams.filter_map(|team| Allowance::of_entry(team)).collect();
    allowances.sort_by_key(|allowance| allowance.team);
    allowances
}

fn find(config: &Snapshot, team: TeamHash) -> Option<&Arc<Entry>> {
    let mut teams = config.teams.teams().iter();
    teams.find(|entry| TeamHash::of(&entry.name) == team)
}
