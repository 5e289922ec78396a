//! What daemons go by while a revision is rolled out.

use std::net::SocketAddr;
use std::time::Duration;

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};

use crate::units::Millis;

/// Targets that a plan names at most, so that it fits into a datagram.
pub const MAX_CHOSEN: usize = 16;
/// All requests, in permille.
pub const FULL_PERMILLE: u16 = 1_000;
/// Where a roll-out is.
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
    /// A few targets get a small share.
    Canary,
    /// A few targets get as much each as they will with all requests.
    Ramp,
    /// Everything; the old targets end what they have.
    All,
    /// Nothing any more, for good.
    Back,
}

/// What a daemon goes by.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
pub struct Plan {
    /// Rises with each renewal.
    pub number: u64,
    /// Step that it is in.
    pub step: Step,
    /// Share of the requests that the new revision gets, in permille.
    pub permille: u16,
    /// Daemons whose targets get it, sorted; all of the revision when there are none.
    pub chosen: Vec<SocketAddr>,
}

impl Plan {
    /// Whether it goes before `other`: going back is final, else the later one.
    #[must_use]
    pub fn supersedes(&self, other: &Self) -> bool {
        let final_word = |plan: &Self| plan.step == Step::Back;
        (final_word(self), self.number) > (final_word(other), other.number)
    }
}

/// Time after which a plan that is not renewed is no longer gone by.
///
/// Guards against a bad revision that nobody watches: its gates close by themselves. Several renewals may be
/// lost before a plan that holds looks like one that does not.
pub const PLAN_TTL: Duration = Duration::from_secs(2);
/// Time between two renewals.
pub const RENEWAL_INTERVAL: Millis = Millis(600);
