//! The document that operators publish.
//!
//! A document is a set of named resources: routes, upstream groups and retry rules. Its JSON form
//! refuses unknown fields; everything with a sensible default may be left out. Inside the system
//! resources are sorted by name, and [`Document::hash`] is taken over that order.

use serde::{Deserialize, Serialize};
use strum::{Display, EnumString, VariantNames};
use xxhash_rust::xxh3::xxh3_64;

use crate::units::{Millis, Percent, Priority, Service, Slots};
use crate::wire;

/// Everything that is in force at one version.
#[derive(Debug, Clone, Default, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Document {
    /// How requests find a group.
    #[serde(default)]
    pub routes: Vec<Route>,
    /// Where requests may go.
    #[serde(default)]
    pub groups: Vec<Group>,
    /// How failed requests are tried again.
    #[serde(default)]
    pub retries: Vec<Retry>,
    /// What callers may send.
    #[serde(default)]
    pub bounds: Bounds,
}

/// A rule that sends matching requests to a group.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Route {
    /// Unique name.
    pub name: String,
    /// Value of the `Host` header, without port; any when left out.
    #[serde(default)]
    pub host: Option<String>,
    /// HTTP method; any when left out.
    #[serde(default)]
    pub method: Option<String>,
    /// Path prefix, matched by whole segments; the longest wins.
    pub path: String,
    /// Whether only paths below the prefix match, and not the prefix without its last slash.
    #[serde(default)]
    pub below: bool,
    /// Name of the upstream group.
    pub group: String,
    /// Groups that share the requests by weight, in place of `group` alone.
    #[serde(default)]
    pub split: Vec<Share>,
    /// Name of the retry rule.
    pub retry: String,
    /// Time until the answer's head must have come.
    #[serde(default = "default_timeout")]
    pub timeout_ms: Millis,
    /// Who goes first when there is too much to do.
    #[serde(default)]
    pub class: Class,
    /// Rank among all routes, 0 first, in place of the class's own.
    #[serde(default)]
    pub priority: Option<Priority>,
    /// Time within which an answer is of full use.
    #[serde(default)]
    pub latency_ms: Option<Millis>,
    /// Whether running a request twice does no harm (it is idempotent).
    #[serde(default)]
    pub repeatable: bool,
    /// What keeps a repeated `Idempotency-Key` from running twice.
    #[serde(default)]
    pub guard: Guard,
}

/// One part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Share {
    /// Name of the upstream group.
    pub group: String,
    /// Size in relation to the other parts.
    pub weight: u32,
}

/// What callers may send, and how long they may take.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Bounds {
    /// Largest head of a request, in bytes.
    pub max_head: u32,
    /// Largest body of a request, in bytes.
    pub max_body: u64,
    /// Time within which the head of a request must have come.
    pub head_ms: Millis,
    /// Time after which an idle connection is closed.
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
    /// Upper bound on a target's slots; its own word when left out.
    #[serde(default)]
    pub slots: Option<Slots>,
    /// Connections that a target accepts; not bounded when left out.
    #[serde(default)]
    pub connections: Option<u32>,
    /// Path at which a target tells whether it is healthy.
    #[serde(default)]
    pub health_path: Option<String>,
    /// Requests that may wait at a target for a slot.
    #[serde(default = "default_queue")]
    pub queue: u32,
    /// Time over which a new target is brought up to its full share.
    #[serde(default = "default_slow_start")]
    pub slow_start_ms: Millis,
    /// When to leave a failing target alone for a while.
    #[serde(default)]
    pub ejection: Ejection,
}

/// When to leave a failing target alone.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Ejection {
    /// Failures in a row that eject.
    pub failures: u32,
    /// First time out; doubled at each ejection that follows.
    pub base_ms: Millis,
    /// Largest part of a group that may be out at once.
    pub max_share: Percent,
}

/// How often and how soon a request is tried again.
#[derive(Debug, Clone, PartialEq, Eq, Serialize, Deserialize)]
#[serde(deny_unknown_fields)]
pub struct Retry {
    /// Unique name.
    pub name: String,
    /// Attempts in all, the first included.
    pub attempts: u32,
    /// Retries allowed as a share of requests.
    #[serde(default = "default_budget")]
    pub budget: Percent,
    /// Upper bound of the random wait before a retry.
    #[serde(default = "default_backoff")]
    pub backoff_ms: Millis,
}

/// Priority of a request, highest first.
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
    /// Somebody waits for the answer.
    #[default]
    Interactive,
    /// May be done a little later.
    Deferrable,
    /// Feeds other services.
    Background,
}

/// What keeps a repeated key from running twice.
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
    /// The memory of the gates; free, lost with them.
    #[default]
    Memory,
    /// A claim on the platform log before the request runs.
    Claim,
}

impl From<Class> for Priority {
    fn from(class: Class) -> Self {
        Self(class as u8)
    }
}

impl Route {
    /// Its rank: its own where it names one, else its class's.
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
    /// The same resources, sorted by name.
    #[must_use]
    pub fn sorted(mut self) -> Self {
        self.routes.sort_by(|a, b| a.name.cmp(&b.name));
        self.groups.sort_by(|a, b| a.name.cmp(&b.name));
        self.retries.sort_by(|a, b| a.name.cmp(&b.name));
        self
    }

    /// Hash over the encoded content; equal documents have equal hashes on every daemon.
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
