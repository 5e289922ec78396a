//! A team as the configuration describes it.

use serde::{Deserialize, Serialize};

use crate::teams::key::Key;
use crate::units::{Burst, Priority, Rate};

/// Callers that share keys, a priority and a quota.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name, which targets receive.
    pub name: String,
    /// Keys of its callers; no other team holds one of them.
    #[serde(default)]
    pub keys: Vec<Key>,
    /// Priority, 0 highest, which goes before that of the route.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Requests per second over all daemons; 0 for no limit.
    #[serde(default)]
    pub rate: Rate,
    /// Requests allowed in addition to the rate.
    #[serde(default)]
    pub burst: Burst,
}

/// Limit on the requests of a team, over all daemons.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Quota {
    /// Requests per second, above 0.
    pub rate: Rate,
    /// Requests allowed in addition to the rate.
    pub burst: Burst,
}

impl Team {
    /// The quota, unless the team is not limited.
    #[must_use]
    pub fn quota(&self) -> Option<Quota> {
        (self.rate.per_second() > 0.0).then_some(Quota {
            rate: self.rate,
            burst: self.burst,
        })
    }
}
