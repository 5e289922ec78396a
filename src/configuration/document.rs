//! The configuration document that operators publish.
//!
//! A document holds named resources (routes, upstream groups, retry rules and teams) and the bounds on
//! callers' requests. Unknown JSON fields are rejected; fields with a default are optional. Within
//! the system resources are sorted by name, and [`Document::hash`] depends on that order.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};
use xxhash_rust::xxh3::xxh3_64;

use crate::teams::team::Team;
use crate::units::{Millis, Percent, Priority, Service, Slots};
use crate::wire;

/// Content of one configuration version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// Rules that map requests to groups.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Groups of upstreams.
    #[serde(default)]
    pub groups: Vec<Group>,
    /// Rules for retrying failed requests.
    #[serde(default)]
    pub retries: Vec<Retry>,
    /// Callers with keys; if there are any, requests need a key.
    #[serde(default)]
    pub teams: Vec<Team>,
    /// Limits on callers' requests and connections.
    #[serde(default)]
    pub bounds: Bounds,
}

/// A rule that routes matching requests to a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Value of the `Host` header, without port; any if omitted.
    #[serde(default)]
    pub host: Option<String>,
    /// HTTP method; any if omitted.
    #[serde(default)]
    pub method: Option<String>,
    /// Path prefix, matched by whole segments; the longest match wins.
    pub path: String,
    /// Whether only paths below the prefix match, and not the prefix without its trailing slash.
    #[serde(default)]
    pub below: bool,
    /// Name of the upstream group.
    pub group: String,
    /// Groups that share the requests by weight, instead of `group` alone.
    #[serde(default)]
    pub split: Vec<Share>,
    /// Name of the retry rule.
    pub retry: String,
    /// Time within which the head of the response must arrive, in milliseconds.
    #[serde(default = "default_timeout")]
    pub timeout_ms: Millis,
    /// Priority class under overload.
    #[serde(default)]
    pub class: Class,
    /// Priority, 0 highest, instead of the one of the class.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Target latency: time within which a response is of full use, in milliseconds.
    #[serde(default)]
    pub latency_ms: Option<Millis>,
    /// Whether requests are idempotent, so that running one twice does no harm.
    #[serde(default)]
    pub repeatable: bool,
    /// How a repeated `Idempotency-Key` is kept from running twice.
    #[serde(default)]
    pub guard: Guard,
    /// Whether requests need no key although there are teams.
    #[serde(default)]
    pub public: bool,
}

/// A group's share of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the upstream group.
    pub group: String,
    /// Weight relative to the other shares.
    pub weight: u32,
}

/// Limits on the size and timing of callers' requests.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Largest request head, in bytes.
    pub max_head: u32,
    /// Largest request body, in bytes.
    pub max_body: u64,
    /// Time within which the request head must arrive, in milliseconds.
    pub head_ms: Millis,
    /// Time after which an idle connection is closed, in milliseconds.
    pub idle_ms: Millis,
}

/// A set of upstreams that offer one service.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Group {
    /// Unique name.
    pub name: String,
    /// Service whose targets belong to the group.
    pub service: Service,
    /// Upper bound on a target's slots; as many as the target announces if omitted.
    #[serde(default)]
    pub slots: Option<Slots>,
    /// Connections that a target accepts; unlimited if omitted.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Path of a target's health check.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Requests that may queue for a slot of a target.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Time over which a new target's share of the requests rises to its full value, in milliseconds.
    #[serde(default = "default_slow_start")]
    pub slow_start_ms: Millis,
    /// When a failing target is ejected.
    #[serde(default)]
    pub ejection: Ejection,
}

/// When and for how long a failing target is ejected.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ejection {
    /// Consecutive failures that eject a target.
    pub failures: u32,
    /// Duration of the first ejection, in milliseconds; doubled at each subsequent one.
    pub base_ms: Millis,
    /// Largest share of a group that may be ejected at the same time.
    pub max_share: Percent,
}

/// How often and how soon a failed request is retried.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Unique name.
    pub name: String,
    /// Total number of attempts, including the first.
    pub attempts: u32,
    /// Retries allowed, as a share of requests.
    #[serde(default = "default_budget")]
    pub budget: Percent,
    /// Upper bound of the random delay before a retry, in milliseconds.
    #[serde(default = "default_backoff")]
    pub backoff_ms: Millis,
}

/// Priority class of a request, highest first.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    PartialOrd,
    Ord,
    Hash,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Class {
    /// A user waits for the response.
    #[default]
    Interactive,
    /// May be delayed a little.
    Deferrable,
    /// Background work for other services.
    Background,
}

/// How a repeated idempotency key is kept from running twice.
#[derive(
    Debug,
    Clone,
    Copy,
    Default,
    PartialEq,
    Eq,
    Serialize,
    Deserialize,
    Display,
    EnumString,
    VariantNames,
)]
#[serde(rename_all = "snake_case")]
#[strum(serialize_all = "snake_case")]
pub enum Guard {
    /// In the memory of the sidecars: needs no log append, but is lost with them.
    #[default]
    Memory,
    /// By a claim on the platform's log before the request runs.
    Claim,
}

impl From<Class> for Priority {
    fn from(class: Class) -> Self {
        Self(class as u8)
    }
}

impl Route {
    /// The route's own priority if it has one, otherwise its class's.
    #[must_use]
    pub fn rank(&self) -> Priority {
        self.priority.unwrap_or_else(|| self.class.into())
    }
}

impl Default for Bounds {
    fn default() -> Self {
        Self {
            max_head: 64 << 10,
            max_body: 64 << 20,
            head_ms: Millis(10_000),
            idle_ms: Millis(60_000),
        }
    }
}

impl Default for Ejection {
    fn default() -> Self {
        Self {
            failures: 5,
            base_ms: Millis(2_000),
            max_share: Percent(50),
        }
    }
}

const fn default_timeout() -> Millis {
    Millis(2_000)
}

const fn default_queue() -> u32 {
    16
}

const fn default_slow_start() -> Millis {
    Millis(5_000)
}

const fn default_budget() -> Percent {
    Percent(20)
}

const fn default_backoff() -> Millis {
    Millis(25)
}

impl Document {
    /// Sorts the resources by name.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.groups.sort_by(|a, b| a.name.cmp(&b.name));
        self.retries.sort_by(|a, b| a.name.cmp(&b.name));
        self.teams.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// The document as it may be printed: a digest stands for each key.
    #[must_use]
    pub fn masked(&self) -> Self {
        let mut document = self.clone();
        let keys = document.teams.iter_mut().flat_map(|team| &mut team.keys);
        keys.for_each(|key| *key = key.masked());
        document
    }

    /// Hash of the encoded content; equal documents have equal hashes on every daemon.
    #[must_use]
    pub fn hash(&self) -> u64 {
        xxh3_64(&wire::encode(self))
    }

    /// Finds a group in a sorted document.
    #[must_use]
    pub fn group(&self, name: &str) -> Option<&Group> {
        let index = self
            .groups
            .binary_search_by(|g| g.name.as_str().cmp(name))
            .ok()?;
        self.groups.get(index)
    }

    /// Finds a retry rule in a sorted document.
    #[must_use]
    pub fn retry(&self, name: &str) -> Option<&Retry> {
        let index = self
            .retries
            .binary_search_by(|r| r.name.as_str().cmp(name))
            .ok()?;
        self.retries.get(index)
    }
}
