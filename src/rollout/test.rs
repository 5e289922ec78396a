//! Telling a worse revision from chance.
//!
//! Two tests are offered. The sequential one weighs each answer by how much likelier it is for a bad revision
//! than for one like the old, and decides as soon as the weight is enough; the threshold waits for a number of
//! answers and compares shares.

use strum::{Display, EnumString, VariantNames};

/// Rises of the share of bad answers that make a revision a bad one. The small one finds what is bad now and
/// then, where there are many answers; the large one finds what is often bad with few.
const RISES: [f64; 2] = [0.05, 0.15];
/// Weight of evidence, as a natural logarithm of odds, that decides: one in 10,000 by chance.
const ENOUGH: f64 = 9.2;
/// Largest part of it that one target of several can bring.
///
/// Guards against a target that is bad alone, as one on a broken host is: the revision would be taken back
/// for it. A bad revision shows at other targets too; where those do well, they speak against it.
const MOST_OF_ONE: f64 = 0.6;
/// Answers that the old revision is credited with beside its own.
const PRIOR: f64 = 20.0;
/// Bad ones among them.
///
/// Guards against a share that was measured on few answers: an old revision without a bad one among a hundred
/// may have one in fifty, and the new one would be taken back for the same.
const PRIOR_BAD: f64 = 1.0;
/// Largest share of bad answers that is reckoned with.
const MOST: f64 = 0.98;
/// Answers that the threshold waits for.
const SAMPLE: u32 = 50;
/// Rise of the share at which the threshold decides.
const THRESHOLD: f64 = 0.05;

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
    pub fn worse(self, other: Self) -> Self {
        if other.usual() > self.usual() {
            other
        } else {
            self
        }
    }

    /// Share of bad answers to expect, credited with a few for what luck has in it.
    fn usual(self) -> f64 {
        let share = (f64::from(self.bad) + PRIOR_BAD) / (f64::from(self.total) + PRIOR);
        share.min(MOST)
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

impl Test {
    /// Whether the new revision is worse than the old one beyond chance, by the answers of those of its
    /// targets that gave any; `alone` where it has only one.
    #[must_use]
    pub fn rejects(self, old: Sample, new: &[Sample], alone: bool) -> bool {
        match self {
            Self::Sequential => {
                let most = if alone { f64::INFINITY } else { MOST_OF_ONE };
                let enough = |rise: &f64| {
                    let weights = new.iter().map(|sample| weight(old, *sample, *rise));
                    let weights = weights.map(|weight| weight.min(ENOUGH * most));
                    weights.sum::<f64>() >= ENOUGH
                };
                RISES.iter().any(enough)
            }
            Self::Threshold => {
                let all = new.iter().copied().fold(Sample::default(), Sample::plus);
                let worst = new.iter().max_by_key(|sample| sample.bad);
                let rest = worst.filter(|_| !alone).map_or(all, |worst| Sample {
                    bad: all.bad - worst.bad,
                    total: all.total - worst.total,
                });
                let share = |s: Sample| f64::from(s.bad) / f64::from(s.total.max(1));
                rest.total >= SAMPLE && share(rest) - share(old) >= THRESHOLD
            }
        }
    }
}

/// Logarithm of the odds that the new revision has bad answers more often by a rise, rather than as often
/// as the old one.
fn weight(old: Sample, new: Sample, rise: f64) -> f64 {
    let usual = old.usual();
    let risen = (usual + rise).min(f64::midpoint(1.0, MOST));
    let good = f64::from(new.total.saturating_sub(new.bad));
    f64::from(new.bad) * (risen / usual).ln() + good * ((1.0 - risen) / (1.0 - usual)).ln()
}
