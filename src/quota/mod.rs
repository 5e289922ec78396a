//! Quotas of teams over all daemons.
//!
//! Every daemon admits requests by itself and reports the counts to the collector of its data centre. The
//! [`Collector`](collector::Collector)s exchange sums, so each of them knows the consumption of the whole fleet, and
//! return the share of a team's requests to admit when the team would exceed its quota. The daemon's part is the
//! [`Reporter`](reporter::Reporter); [`Limiter`](limiter::Limiter) is what the ingress uses.

pub mod bucket;
pub mod collector;
pub mod fleet;
pub mod limiter;
pub mod messages;
pub mod own_part;
pub mod reporter;

pub(crate) mod controller;
mod sender;

use std::fmt;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use xxhash_rust::xxh3::xxh3_64;

use crate::teams::directory::Entry;
use crate::units::{Burst, Rate};

/// Interval between reports of a daemon with requests of teams, and between the sums of a collector.
pub const REPORT_INTERVAL: Duration = Duration::from_millis(250);
/// Interval between reports of a daemon without requests of teams.
pub const IDLE_INTERVAL: Duration = Duration::from_secs(1);
/// Shortest time between two reports, sums or pushes that are sent ahead of their interval.
pub const MIN_INTERVAL: Duration = Duration::from_millis(50);
/// Time without a reply beyond the report interval after which a daemon admits by its own part: 3 report
/// intervals in all while it has requests.
pub const REPLY_GRACE: Duration = Duration::from_millis(500);
/// Time without a report or sums beyond the report interval after which their sender counts as silent. Close to
/// [`REPLY_GRACE`]: meanwhile both sides of a partition may use the same part.
pub const SILENCE_GRACE: Duration = Duration::from_millis(400);

/// Hash of a team's name, which identifies the team in messages.
#[derive(
    Debug, Clone, Copy, Default, PartialEq, Eq, PartialOrd, Ord, Hash, Serialize, Deserialize,
)]
#[serde(transparent)]
pub struct TeamHash(pub u64);

impl TeamHash {
    /// Hash of a team's name.
    #[must_use]
    pub fn of(name: &str) -> Self {
        Self(xxh3_64(name.as_bytes()))
    }
}

impl fmt::Display for TeamHash {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        write!(f, "{:016x}", self.0)
    }
}

/// Quota of one team.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Allowance {
    /// Hash of the team's name.
    pub team: TeamHash,
    /// Requests per second, above 0.
    pub rate: Rate,
    /// Requests allowed in addition to the rate.
    pub burst: Burst,
}

impl Allowance {
    /// Quota of a team; none if it is not limited.
    #[must_use]
    pub fn of_entry(team: &Entry) -> Option<Self> {
        team.quota.map(|quota| Self {
            team: TeamHash::of(&team.name),
            rate: quota.rate,
            burst: quota.burst,
        })
    }
}
