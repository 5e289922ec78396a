//! Comparison of the new revision with the old one, from the reports of a service's sidecars.
//!
//! Counts are kept by tick, so that both revisions are compared over the same time: a failing downstream
//! service or a slow period affects the old revision as well. The last ticks are also compared by themselves,
//! so that a late fault is not outweighed by earlier good responses.

use std::collections::VecDeque;
use std::net::SocketAddr;
use std::time::{Duration, Instant};

use crate::rollout::counters::{Counters, Report, RouteCounters, RouteId};
use crate::rollout::significance::{Comparison, Conclusion, Sample, Test};
use crate::units::Revision;

/// Ticks that are kept: one minute at four ticks per second.
const MAX_TICKS: usize = 240;
/// Histogram buckets above the old revision's median from which a response counts as slow: about three times
/// the median.
const SLOW_BUCKET_OFFSET: usize = 3;
/// Least number of responses of the old revision for a comparison, if there are as many.
const MIN_BASE_RESPONSES: u32 = 300;
/// Responses of the old revision in a second, longer sample, which evens out chance in the recent one.
const LONG_BASE_RESPONSES: u32 = 2_000;
/// Last ticks in which a doubt is looked for, beside all ticks: those of a promotion.
const RECENT_TICKS: usize = 8;
/// Age from which a sidecar's last report is ignored.
const REPORT_TIMEOUT: Duration = Duration::from_millis(1_500);

/// A sidecar with its last report.
#[derive(Debug, Clone)]
struct Sidecar {
    peer: SocketAddr,
    report: Report,
    received_at: Instant,
}

/// Counts that were reported during one tick.
#[derive(Debug, Clone, Default)]
struct Tick {
    old: Vec<(RouteId, RouteCounters)>,
    new: Vec<(SocketAddr, RouteId, RouteCounters)>,
}

/// Comparison of the new revision with the old one.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Finding {
    /// Route of the responses; 0 for several routes together.
    pub route: RouteId,
    /// Responses of the old revision.
    pub old: Sample,
    /// Responses of the new revision.
    pub new: Sample,
    /// Ticks over which the responses were counted.
    pub ticks: usize,
}

impl Finding {
    fn new(routes: &[RouteId], compared: &[Comparison], ticks: usize) -> Self {
        let sum = |samples: Vec<Sample>| samples.into_iter().fold(Sample::default(), Sample::plus);
        Self {
            route: if let [route] = routes {
                *route
            } else {
                RouteId::default()
            },
            old: sum(compared.iter().map(|route| route.old).collect()),
            new: sum(compared.iter().map(Comparison::total).collect()),
            ticks,
        }
    }
}

/// Reports of the sidecars of one service during one rollout.
#[derive(Debug, Clone)]
pub struct Analysis {
    /// The new revision.
    revision: Revision,
    /// Sorted by address.
    sidecars: Vec<Sidecar>,
    ticks: VecDeque<Tick>,
    /// Reported requests to the new revision.
    exposed: u64,
    /// Reported requests to the old revision.
    others: u64,
    /// Reported responses and failures of the new revision.
    answers: u64,
}

impl Analysis {
    /// An analysis of `revision` without reports.
    #[must_use]
    pub const fn new(revision: Revision) -> Self {
        Self {
            revision,
            sidecars: Vec::new(),
            ticks: VecDeque::new(),
            exposed: 0,
            others: 0,
            answers: 0,
        }
    }

    /// Adds a sidecar's report.
    pub fn record(&mut self, now: Instant, peer: SocketAddr, report: Report) {
        let found = self
            .sidecars
            .binary_search_by_key(&peer, |sidecar| sidecar.peer);
        let known = found.ok().map(|index| self.sidecars[index].report.clone());
        // A restarted count, or a target of another revision, starts from zero.
        let same = known.filter(|known| {
            known.counters.series_id == report.counters.series_id
                && known.revision == report.revision
        });
        let before = same.map(|known| known.counters).unwrap_or_default();
        // Datagrams may arrive out of order.
        if report.counters.requests < before.requests {
            return;
        }
        self.add_report(peer, &report, &before);
        let sidecar = Sidecar {
            peer,
            report,
            received_at: now,
        };
        match found {
            Ok(index) => self.sidecars[index] = sidecar,
            Err(index) => self.sidecars.insert(index, sidecar),
        }
    }

    fn add_report(&mut self, peer: SocketAddr, report: &Report, before: &Counters) {
        let arrived = report.counters.requests - before.requests;
        let is_new = report.revision == self.revision;
        if is_new {
            self.exposed += arrived;
        } else {
            self.others += arrived;
        }
        if self.ticks.is_empty() {
            self.ticks.push_back(Tick::default());
        }
        let Some(tick) = self.ticks.back_mut() else {
            return;
        };
        for (route, counts) in &report.counters.routes {
            let counts = counts.since(&before.of(*route));
            if counts.total() == 0 {
                continue;
            }
            if is_new {
                self.answers += u64::from(counts.total());
                tick.new.push((peer, *route, counts));
            } else {
                add_counters(&mut tick.old, *route, &counts);
            }
        }
    }

    /// Begins the next tick.
    pub fn start_tick(&mut self) {
        if self.ticks.len() == MAX_TICKS {
            self.ticks.pop_front();
        }
        self.ticks.push_back(Tick::default());
    }

    /// Reported requests to the new revision.
    #[must_use]
    pub const fn exposed(&self) -> u64 {
        self.exposed
    }

    /// Reported requests to the old revision, from the sidecars that report.
    #[must_use]
    pub const fn old_requests(&self) -> u64 {
        self.others
    }

    /// Reported responses and failures of the new revision.
    #[must_use]
    pub const fn answers(&self) -> u64 {
        self.answers
    }

    /// Sidecars whose last report is recent, with that report.
    pub fn recent_reports(&self, now: Instant) -> impl Iterator<Item = (SocketAddr, &Report)> {
        let recent = self.sidecars.iter().filter(move |sidecar| {
            now.saturating_duration_since(sidecar.received_at) < REPORT_TIMEOUT
        });
        recent.map(|sidecar| (sidecar.peer, &sidecar.report))
    }

    /// The first significant finding against the new revision, which has `targets` targets.
    ///
    /// Each route is tested by itself, so that a fault on one is not outweighed by the others, and all routes
    /// together, since a fault on all of them then needs fewer responses on each.
    #[must_use]
    pub fn find_regression(&self, test: Test, targets: usize) -> Option<Finding> {
        let routes = self.routes();
        let separate = routes.chunks(1);
        let mut groups = separate.chain((routes.len() > 1).then_some(routes.as_slice()));
        groups.find_map(|group| self.find_regression_on(group, test, targets))
    }

    /// Whether the new revision is at least doubtful, over all ticks or the last ones.
    ///
    /// Only all routes together are tested: among many single routes, chance raises a doubt on some with any
    /// revision.
    #[must_use]
    pub fn is_doubtful(&self, test: Test, targets: usize) -> bool {
        let routes = self.routes();
        let all = self.ticks.len();
        let is_doubtful_over = |span: usize| {
            let compared = self.compare_all(&routes, span);
            test.compare(&compared, targets <= 1) >= Conclusion::Doubtful
        };
        is_doubtful_over(all) || is_doubtful_over(all.min(RECENT_TICKS))
    }

    /// Both revisions by route, over all ticks.
    #[must_use]
    pub fn compared(&self) -> Vec<Finding> {
        let all = self.ticks.len();
        let routes = self.routes().into_iter();
        let finding = |route| Finding::new(&[route], &[self.compare(route, all)], all);
        routes.map(finding).collect()
    }

    /// Routes on which the new revision has answered, sorted.
    fn routes(&self) -> Vec<RouteId> {
        let new = self.ticks.iter().flat_map(|tick| &tick.new);
        let mut routes: Vec<RouteId> = new.map(|(_, route, _)| *route).collect();
        routes.sort_unstable();
        routes.dedup();
        routes
    }

    /// Tests routes together over the last tick, the last two, four and so on.
    fn find_regression_on(
        &self,
        routes: &[RouteId],
        test: Test,
        targets: usize,
    ) -> Option<Finding> {
        let spans = std::iter::successors(Some(1), |span| Some(span * 2));
        let mut spans: Vec<usize> = spans.take_while(|span| *span < self.ticks.len()).collect();
        spans.push(self.ticks.len());
        spans.into_iter().find_map(|span| {
            let compared = self.compare_all(routes, span);
            let conclusion = test.compare(&compared, targets <= 1);
            (conclusion == Conclusion::Worse).then(|| Finding::new(routes, &compared, span))
        })
    }

    /// Responses of both revisions on each route over the last `span` ticks.
    fn compare_all(&self, routes: &[RouteId], span: usize) -> Vec<Comparison> {
        let routes = routes.iter();
        routes.map(|route| self.compare(*route, span)).collect()
    }

    /// Responses of both revisions on one route over the last `span` ticks.
    fn compare(&self, route: RouteId, span: usize) -> Comparison {
        let min_responses = self
            .count_new_responses(route, span)
            .max(MIN_BASE_RESPONSES);
        let recent = self.old_counters(route, span, min_responses);
        let slow_bucket = recent
            .median()
            .map_or(usize::MAX, |median| median + SLOW_BUCKET_OFFSET);
        let sample = |counts: &RouteCounters| Sample {
            bad: counts.bad(slow_bucket),
            total: counts.total(),
        };
        // The worse of a recent and a longer sample counts: a downstream fault that has just begun shows only
        // in the recent one, and a few good responses by chance do not affect the longer one.
        let long_term = self.old_counters(route, span, LONG_BASE_RESPONSES);
        Comparison {
            old: sample(&recent).with_higher_bad_rate(sample(&long_term)),
            new: self.new_samples(route, span, slow_bucket),
        }
    }

    /// Number of responses of the new revision over the last `span` ticks.
    fn count_new_responses(&self, route: RouteId, span: usize) -> u32 {
        let ticks = self.ticks.iter().rev().take(span);
        let new = ticks.flat_map(|tick| &tick.new);
        let here = new.filter(|(_, known, _)| *known == route);
        here.map(|(_, _, counts)| counts.total()).sum()
    }

    /// Counts of the old revision over the last `span` ticks, and over earlier ones until there are
    /// `min_responses`.
    ///
    /// Once the new revision receives all requests, the last responses of the old one are compared with all
    /// that follow. If these were few and good by chance, a good revision would be rolled back.
    fn old_counters(&self, route: RouteId, span: usize, min_responses: u32) -> RouteCounters {
        let mut base = RouteCounters::default();
        for (age, tick) in self.ticks.iter().rev().enumerate() {
            if age >= span && base.total() >= min_responses {
                break;
            }
            let found = tick.old.binary_search_by_key(&route, |(known, _)| *known);
            if let Ok(index) = found {
                base.merge(&tick.old[index].1);
            }
        }
        base
    }

    fn is_new(&self, sidecar: &Sidecar) -> bool {
        sidecar.report.revision == self.revision
    }

    /// Responses of each target of the new revision over the last `span` ticks, sorted by sidecar.
    fn new_samples(
        &self,
        route: RouteId,
        span: usize,
        slow_bucket: usize,
    ) -> Vec<(SocketAddr, Sample)> {
        let mut samples: Vec<(SocketAddr, Sample)> = Vec::new();
        for tick in self.ticks.iter().rev().take(span) {
            let here = tick.new.iter().filter(|(_, known, _)| *known == route);
            for (peer, _, counts) in here {
                let counted = Sample {
                    bad: counts.bad(slow_bucket),
                    total: counts.total(),
                };
                add_sample(&mut samples, *peer, counted);
            }
        }
        // Requests in flight for longer than the limit for a slow response count as bad. The responses of a slow
        // revision would otherwise arrive only after it has received all requests.
        for sidecar in self.sidecars.iter().filter(|sidecar| self.is_new(sidecar)) {
            let here = sidecar.report.in_flight_ages.iter();
            let here = here.filter(|(known, _)| *known == route);
            let overdue: u32 = here.map(|(_, ages)| ages.bad(slow_bucket)).sum();
            let overdue_sample = Sample {
                bad: overdue,
                total: overdue,
            };
            add_sample(&mut samples, sidecar.peer, overdue_sample);
        }
        samples
    }
}

fn add_sample(all: &mut Vec<(SocketAddr, Sample)>, peer: SocketAddr, sample: Sample) {
    match all.binary_search_by_key(&peer, |(known, _)| *known) {
        Ok(index) => all[index].1 = all[index].1.plus(sample),
        Err(index) if sample.total > 0 => all.insert(index, (peer, sample)),
        Err(_) => {}
    }
}

fn add_counters(all: &mut Vec<(RouteId, RouteCounters)>, route: RouteId, counts: &RouteCounters) {
    match all.binary_search_by_key(&route, |(known, _)| *known) {
        Ok(index) => all[index].1.merge(counts),
        Err(index) => all.insert(index, (route, *counts)),
    }
}
