//! The plan that daemons follow during a rollout.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::units::Millis;

/// Most targets that a plan names, so that it fits into a datagram.
pub const MAX_CHOSEN: usize = 16;
/// All requests, in permille.
pub const FULL_PERMILLE: u16 = 1_000;
/// Step of a rollout.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Step {
    /// No target of the revision is ready yet.
    #[default]
    Waiting,
    /// A few targets receive a small share of the requests.
    Canary,
    /// A few targets each receive as many requests as they will when the revision has all of them.
    Ramp,
    /// The revision receives all requests; the old targets finish theirs.
    All,
    /// The revision receives no requests any more; this step is final.
    Back,
}

/// Plan for the traffic of a service during a rollout.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Incremented by each renewal.
    pub number: u64,
    /// Step of the rollout.
    pub step: Step,
    /// Share of the requests for the new revision, in permille.
    pub permille: u16,
    /// Daemons whose targets receive that share, sorted; if empty, all targets of the revision do.
    pub chosen: Vec<SocketAddr>,
}

impl Plan {
    /// Whether this plan replaces `other`: a rollback is final; otherwise the higher number wins.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let final_word = |plan: &Self| plan.step == Step::Back;
        (final_word(self), self.number) > (final_word(other), other.number)
    }
}

/// Time after which a plan that was not renewed expires.
///
/// Guards against a bad revision that nobody observes: its sidecars stop admitting requests. The time allows
/// for several lost renewals.
pub const PLAN_TTL: Duration = Duration::from_secs(2);
/// Interval at which plans are renewed.
pub const RENEWAL_INTERVAL: Millis = Millis(600);
