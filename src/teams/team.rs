//! A team as the configuration describes it.

use http::HeaderValue;
use serde::{Deserialize, Serialize};

use crate::teams::key::{self, Key};
use crate::units::{Burst, Priority, Rate};

/// Callers that share keys, a priority and a quota.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Team {
    /// Unique name, which targets receive.
    pub name: String,
    /// Keys of its callers; no other team holds one of them.
    #[serde(default, deserialize_with = "key::deserialize_list")]
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
    /// Whether targets receive the name unchanged in a header: no control characters, and no spaces
    /// at its ends, which receivers drop.
    #[must_use]
    pub fn is_name_sendable(&self) -> bool {
        let is_trimmed = self.name.trim_matches([' ', '\t']) == self.name;
        is_trimmed && HeaderValue::from_bytes(self.name.as_bytes()).is_ok()
    }

    /// The quota, unless the team is not limited.
    #[must_use]
    pub fn quota(&self) -> Option<Quota> {
        (self.rate.per_second() > 0.0).then_some(Quota {
            rate: self.rate,
            burst: self.burst,
        })
    }
}
