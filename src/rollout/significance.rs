//! Telling a worse revision from chance.
//!
//! Two tests are offered. The sequential one weighs each answer by how much likelier it is for a bad revision
//! than for one like the old, and decides as soon as the weight is enough; the threshold waits for a number of
//! answers and compares shares.

use std::net::SocketAddr;

use strum::{Display, EnumString, VariantNames};

/// Rises of the share of bad answers that make a revision a bad one. The small one finds what is bad now and
/// then, where there are many answers; the large one finds what is often bad with few.
const EFFECT_SIZES: [f64; 2] = [0.05, 0.15];
/// Weight of evidence, as a natural logarithm of odds, that decides: one in 10,000 by chance.
const DECISIVE_LOG_ODDS: f64 = 9.2;
/// Weight of evidence with which a revision does not get on: one in 40 by chance.
const DOUBTFUL_LOG_ODDS: f64 = 3.7;
/// Largest part of the weight that decides which one target of several can bring.
///
/// Guards against a target that is bad alone, as one on a broken host is: the revision would be taken back
/// for it. A bad revision shows at other targets too; where those do well, they speak against it.
const MAX_TARGET_PART: f64 = 0.6;
/// Answers that the old revision is credited with beside its own.
const PRIOR_ANSWERS: f64 = 20.0;
/// Bad ones among them.
///
/// Guards against a share that was measured on few answers: an old revision without a bad one among a hundred
/// may have one in fifty, and the new one would be taken back for the same.
const PRIOR_BAD_ANSWERS: f64 = 1.0;
/// Largest share of bad answers that is reckoned with.
const MAX_BAD_RATE: f64 = 0.98;
/// Answers that the threshold waits for.
const THRESHOLD_MIN_ANSWERS: u32 = 50;
/// Rise of the share at which the threshold decides.
const THRESHOLD_RISE: f64 = 0.05;

/// How the two revisions are compared.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Test {
    /// Odds, answer by answer.
    #[default]
    Sequential,
    /// Shares, after a number of answers.
    Threshold,
}

/// Bad answers among all of one side.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Failures and slow answers.
    pub bad: u32,
    /// All answers and failures.
    pub total: u32,
}

impl Sample {
    /// The one with the larger share of bad answers.
    #[must_use]
    pub fn with_higher_bad_rate(self, other: Self) -> Self {
        if other.expected_bad_rate() > self.expected_bad_rate() {
            other
        } else {
            self
        }
    }

    /// Share of bad answers to expect, credited with a few for what luck has in it.
    fn expected_bad_rate(self) -> f64 {
        let share =
            (f64::from(self.bad) + PRIOR_BAD_ANSWERS) / (f64::from(self.total) + PRIOR_ANSWERS);
        share.min(MAX_BAD_RATE)
    }

    /// Both together.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            bad: self.bad + other.bad,
            total: self.total + other.total,
        }
    }
}

/// Answers of both revisions on one route, over the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Of the old one.
    pub old: Sample,
    /// Of each target of the new one that gave any, sorted by its daemon.
    pub new: Vec<(SocketAddr, Sample)>,
}

impl Comparison {
    /// The answers of all targets of the new revision.
    #[must_use]
    pub fn total(&self) -> Sample {
        let new = self.new.iter().map(|(_, sample)| *sample);
        new.fold(Sample::default(), Sample::plus)
    }
}

/// What a comparison says of the new revision.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Conclusion {
    /// No worse than the old one, as far as it shows.
    #[default]
    NotWorse,
    /// More likely worse than not, and not beyond chance.
    Doubtful,
    /// Worse beyond chance.
    Worse,
}

impl Test {
    /// Whether the new revision is worse than the old one, by the answers on some routes together; `alone` where
    /// it has only one target.
    #[must_use]
    pub fn compare(self, routes: &[Comparison], single_target: bool) -> Conclusion {
        match self {
            Self::Sequential => Conclusion::of(log_odds(routes, single_target)),
            Self::Threshold if exceeds(routes, single_target) => Conclusion::Worse,
            Self::Threshold => Conclusion::NotWorse,
        }
    }
}

impl Conclusion {
    fn of(log_odds: f64) -> Self {
        if log_odds >= DECISIVE_LOG_ODDS {
            Self::Worse
        } else if log_odds >= DOUBTFUL_LOG_ODDS {
            Self::Doubtful
        } else {
            Self::NotWorse
        }
    }
}

/// Logarithm of the odds that the new revision is worse, by the rise that explains the answers best.
fn log_odds(routes: &[Comparison], single_target: bool) -> f64 {
    let most = if single_target {
        f64::INFINITY
    } else {
        MAX_TARGET_PART
    };
    let log_odds = |rise: f64| {
        let weights = weights(routes, rise).into_iter();
        let capped = weights.map(|(_, weight)| weight.min(DECISIVE_LOG_ODDS * most));
        capped.sum::<f64>()
    };
    EFFECT_SIZES
        .into_iter()
        .map(log_odds)
        .fold(f64::MIN, f64::max)
}

/// Whether the new revision's share of bad answers is larger by the threshold.
fn exceeds(routes: &[Comparison], single_target: bool) -> bool {
    let old = routes.iter().map(|route| route.old);
    let old = old.fold(Sample::default(), Sample::plus);
    let new: Vec<Sample> = by_target(routes);
    let all = new.iter().copied().fold(Sample::default(), Sample::plus);
    let worst = new.iter().max_by_key(|sample| sample.bad);
    let rest = worst
        .filter(|_| !single_target)
        .map_or(all, |worst| Sample {
            bad: all.bad - worst.bad,
            total: all.total - worst.total,
        });
    let share = |s: Sample| f64::from(s.bad) / f64::from(s.total.max(1));
    rest.total >= THRESHOLD_MIN_ANSWERS && share(rest) - share(old) >= THRESHOLD_RISE
}

/// Weight of evidence of each target, over all of some routes. Each answer is weighed against the old ones of its
/// own route: the revisions may differ in the routes that they get.
fn weights(routes: &[Comparison], rise: f64) -> Vec<(SocketAddr, f64)> {
    let mut all: Vec<(SocketAddr, f64)> = Vec::new();
    for route in routes {
        for (peer, sample) in &route.new {
            let weight = weight(route.old, *sample, rise);
            match all.binary_search_by_key(peer, |(known, _)| *known) {
                Ok(index) => all[index].1 += weight,
                Err(index) => all.insert(index, (*peer, weight)),
            }
        }
    }
    all
}

/// Answers of each target of the new revision, over all of some routes.
fn by_target(routes: &[Comparison]) -> Vec<Sample> {
    let mut all: Vec<(SocketAddr, Sample)> = Vec::new();
    for (peer, sample) in routes.iter().flat_map(|route| &route.new) {
        match all.binary_search_by_key(peer, |(known, _)| *known) {
            Ok(index) => all[index].1 = all[index].1.plus(*sample),
            Err(index) => all.insert(index, (*peer, *sample)),
        }
    }
    all.into_iter().map(|(_, sample)| sample).collect()
}

/// Logarithm of the odds that the new revision has bad answers more often by a rise, rather than as often
/// as the old one.
fn weight(old: Sample, new: Sample, rise: f64) -> f64 {
    let expected_bad_rate = old.expected_bad_rate();
    let risen = (expected_bad_rate + rise).min(f64::midpoint(1.0, MAX_BAD_RATE));
    let good = f64::from(new.total.saturating_sub(new.bad));
    f64::from(new.bad) * (risen / expected_bad_rate).ln()
        + good * ((1.0 - risen) / (1.0 - expected_bad_rate)).ln()
}
