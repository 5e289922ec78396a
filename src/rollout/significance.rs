//! Statistical tests of whether the new revision is worse than the old one.
//!
//! There are two tests. The sequential one is a likelihood-ratio test: it adds up the log-likelihood ratio of
//! each response and decides as soon as the sum is large enough. The threshold test waits for a number of
//! responses and compares the shares of bad ones.

use std::net::SocketAddr;

use strum::{Display, EnumString, VariantNames};

/// Increases of the share of bad responses that make a revision bad. The small one detects rare faults with
/// many responses, the large one frequent faults with few.
const EFFECT_SIZES: [f64; 2] = [0.05, 0.15];
/// Natural logarithm of the odds that decides against a revision: one in 10,000 by chance.
const DECISIVE_LOG_ODDS: f64 = 9.2;
/// Natural logarithm of the odds at which a rollout does not advance: one in 40 by chance.
const DOUBTFUL_LOG_ODDS: f64 = 3.7;
/// Largest part of the decisive log odds that a single target of several can contribute.
///
/// Guards against rolling back a revision because of one bad target, for example on a broken host. A bad
/// revision shows at other targets too; if those do well, their responses count in its favour.
const MAX_TARGET_PART: f64 = 0.6;
/// Responses that are added to those of the old revision as a prior.
const PRIOR_RESPONSES: f64 = 20.0;
/// Bad responses among the added ones.
///
/// Guards against a share that was measured on few responses: an old revision without a bad one in a
/// hundred may have a share of one in fifty, and the new one would be rolled back for the same share.
const PRIOR_BAD_RESPONSES: f64 = 1.0;
/// Upper bound of the assumed share of bad responses.
const MAX_BAD_RATE: f64 = 0.98;
/// Responses that the threshold test waits for.
const THRESHOLD_MIN_RESPONSES: u32 = 50;
/// Increase of the share of bad responses at which the threshold test decides.
const THRESHOLD_RISE: f64 = 0.05;

/// Method of comparison.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, Display, EnumString, VariantNames)]
#[strum(serialize_all = "snake_case")]
pub enum Test {
    /// Sequential likelihood-ratio test.
    #[default]
    Sequential,
    /// Comparison of shares after a fixed number of responses.
    Threshold,
}

/// Numbers of bad and of all responses; a request that failed counts as a bad response.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq)]
pub struct Sample {
    /// Failures and slow responses.
    pub bad: u32,
    /// All requests that were answered or failed.
    pub total: u32,
}

impl Sample {
    /// The sample with the larger share of bad responses.
    #[must_use]
    pub fn with_higher_bad_rate(self, other: Self) -> Self {
        if other.expected_bad_rate() > self.expected_bad_rate() {
            other
        } else {
            self
        }
    }

    /// Share of bad responses to expect, with a prior for small samples.
    fn expected_bad_rate(self) -> f64 {
        let share =
            (f64::from(self.bad) + PRIOR_BAD_RESPONSES) / (f64::from(self.total) + PRIOR_RESPONSES);
        share.min(MAX_BAD_RATE)
    }

    /// Sum of two samples.
    #[must_use]
    pub const fn plus(self, other: Self) -> Self {
        Self {
            bad: self.bad + other.bad,
            total: self.total + other.total,
        }
    }
}

/// Responses of both revisions on one route during the same time.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Comparison {
    /// Responses of the old revision.
    pub old: Sample,
    /// Responses by target of the new revision, sorted by the address of its sidecar.
    pub new: Vec<(SocketAddr, Sample)>,
}

impl Comparison {
    /// Responses of all targets of the new revision.
    #[must_use]
    pub fn total(&self) -> Sample {
        let new = self.new.iter().map(|(_, sample)| *sample);
        new.fold(Sample::default(), Sample::plus)
    }
}

/// Result of a test.
#[derive(Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord)]
pub enum Conclusion {
    /// No significant difference.
    #[default]
    NotWorse,
    /// Doubtful, but not significantly worse.
    Doubtful,
    /// Significantly worse than the old revision.
    Worse,
}

impl Test {
    /// Tests the responses on some routes together; `single_target` if the new revision has only one target.
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

/// Log odds that the new revision is worse, for the increase that explains the responses best.
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

/// Whether the share of bad responses has increased by the threshold.
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
    rest.total >= THRESHOLD_MIN_RESPONSES && share(rest) - share(old) >= THRESHOLD_RISE
}

/// Log-likelihood ratio of each target over all routes. Responses are compared with those of the old revision
/// on the same route, since the revisions may receive different mixes of routes.
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

/// Responses of each target of the new revision over all routes.
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

/// Log-likelihood ratio of a share of bad responses increased by `rise` to that of the old revision.
fn weight(old: Sample, new: Sample, rise: f64) -> f64 {
    let expected_bad_rate = old.expected_bad_rate();
    let risen = (expected_bad_rate + rise).min(f64::midpoint(1.0, MAX_BAD_RATE));
    let good = f64::from(new.total.saturating_sub(new.bad));
    f64::from(new.bad) * (risen / expected_bad_rate).ln()
        + good * ((1.0 - risen) / (1.0 - expected_bad_rate)).ln()
}
