//! Teams of one configuration version, found by their keys.
//!
//! A [`Directory`] is compiled with each version and belongs to the snapshot that routes a request,
//! so that route and key are always evaluated against the same version.
//!
//! ```
//! use jackdawpulley::teams::directory::Directory;
//! use jackdawpulley::teams::team::Team;
//!
//! let team = Team { name: "north".into(), keys: vec!["a-key".parse()?], ..Team::default() };
//! let directory = Directory::compile(&[team]);
//! let north = directory.find(b"a-key").expect("a team holds the key");
//! assert_eq!(north.name, "north");
//! assert!(directory.find(b"another").is_none());
//! # Ok::<(), jackdawpulley::teams::key::ParseKeyError>(())
//! ```

use std::fmt;
use std::sync::Arc;

use http::HeaderValue;
use strum::IntoStaticStr;

use crate::teams::fair::Share;
use crate::teams::key::{Digest, Key};
use crate::teams::team::{Quota, Team};
use crate::units::{Priority, Rate};

/// Number of route priorities within one team priority.
const ROUTE_PRIORITIES: u8 = 16;

/// Teams of one version, with a table of their keys.
#[derive(Debug, Clone, Default, PartialEq, Eq)]
pub struct Directory {
    /// Sorted by name.
    teams: Vec<Arc<Entry>>,
    /// Sorted by key; each with the index of the team that holds it.
    keys: Vec<(Key, usize)>,
    /// Largest priority number of any team.
    lowest: Priority,
    /// Mean rate of the quotas; `None` without any.
    mean_rate: Option<Rate>,
}

/// A team as requests refer to it.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Entry {
    /// Unique name, which targets receive.
    pub name: String,
    /// Priority, 0 highest.
    pub priority: Priority,
    /// Limit on its requests, if there is one.
    pub quota: Option<Quota>,
}

/// What the key of a request says about its caller.
#[derive(Debug, Clone, Copy, PartialEq, Eq, IntoStaticStr)]
#[strum(serialize_all = "snake_case")]
pub enum Caller<'a> {
    /// A team holds the key.
    Team(&'a Arc<Entry>),
    /// The configuration has teams, and none of them holds the key.
    Unknown(Digest),
    /// The configuration has teams, and the request has no key.
    Missing,
    /// The configuration has no teams.
    Anyone,
}

/// A request needs the key of a team and has none.
#[derive(Debug, Clone, Copy, PartialEq, Eq)]
pub struct Unauthenticated;

impl Directory {
    /// Compiles the teams of a checked document.
    ///
    /// A key that two teams hold belongs to the first of them; a checked document has none.
    #[must_use]
    pub fn compile(teams: &[Team]) -> Self {
        let mut sorted: Vec<&Team> = teams.iter().collect();
        sorted.sort_by(|a, b| a.name.cmp(&b.name));
        let holders = sorted.iter().enumerate();
        let mut keys: Vec<(Key, usize)> = holders
            .flat_map(|(index, team)| team.keys.iter().map(move |key| (key.clone(), index)))
            .collect();
        keys.sort();
        keys.dedup_by(|later, first| later.0 == first.0);
        let teams: Vec<Arc<Entry>> = sorted.into_iter().map(Entry::of).map(Arc::new).collect();
        let lowest = teams.iter().map(|team| team.priority).max();
        Self {
            lowest: lowest.unwrap_or_default(),
            mean_rate: mean_rate(&teams),
            teams,
            keys,
        }
    }

    /// Whether there are no teams, so that no request needs a key.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.teams.is_empty()
    }

    /// All teams, sorted by name.
    #[must_use]
    pub fn teams(&self) -> &[Arc<Entry>] {
        &self.teams
    }

    /// Finds a team by its name.
    #[must_use]
    pub fn team(&self, name: &str) -> Option<&Arc<Entry>> {
        let found = self
            .teams
            .binary_search_by(|team| team.name.as_str().cmp(name));
        self.teams.get(found.ok()?)
    }

    /// Share of a team in the queue of a target, by the rate of its quota.
    ///
    /// A team without a quota, and requests without a team, weigh like the mean of the quotas.
    #[must_use]
    pub fn share(&self, name: &str) -> Share {
        let quota = self.team(name).and_then(|team| team.quota);
        Share::new(name, quota.map(|quota| quota.rate).or(self.mean_rate))
    }

    /// Finds the team that holds a key; allocates nothing.
    #[must_use]
    pub fn find(&self, key: &[u8]) -> Option<&Arc<Entry>> {
        // An empty header value is a request without a key.
        if key.is_empty() {
            return None;
        }
        let found = self
            .keys
            .binary_search_by(|(held, _)| held.expose().as_bytes().cmp(key));
        let (_, holder) = self.keys.get(found.ok()?)?;
        self.teams.get(*holder)
    }

    /// Identifies a caller by the values of its request's key header; allocates nothing.
    ///
    /// A second value makes the key unknown: it would leave open which team the request is for.
    #[must_use]
    pub fn identify<'a, 'v>(
        &'a self,
        mut values: impl Iterator<Item = &'v HeaderValue>,
    ) -> Caller<'a> {
        if self.is_empty() {
            return Caller::Anyone;
        }
        match (values.next(), values.next()) {
            (None, _) => Caller::Missing,
            (Some(key), None) if key.is_empty() => Caller::Missing,
            (Some(key), None) => self
                .find(key.as_bytes())
                .map_or_else(|| Caller::Unknown(Digest::of(key.as_bytes())), Caller::Team),
            (Some(key), Some(_)) => Caller::Unknown(Digest::of(key.as_bytes())),
        }
    }

    /// Priority in the queue of a target: that of the team first, then that of the route.
    ///
    /// A request without a team ranks like the team with the largest priority number, so that it
    /// does not overtake the requests of teams because it lacks a key.
    #[must_use]
    pub fn rank(&self, team: Option<&Entry>, route: Priority) -> Priority {
        if self.is_empty() {
            return route;
        }
        let team = team.map_or(self.lowest, |team| team.priority);
        let within = route.0.min(ROUTE_PRIORITIES - 1);
        Priority(
            team.0
                .saturating_mul(ROUTE_PRIORITIES)
                .saturating_add(within),
        )
    }
}

fn mean_rate(teams: &[Arc<Entry>]) -> Option<Rate> {
    let quotas = teams.iter().filter_map(|team| team.quota);
    let (sum, count) = quotas.fold((0.0, 0.0), |(sum, count), quota| {
        (sum + quota.rate.per_second(), count + 1.0)
    });
    // Without quotas the quotient is not a number, and not a rate.
    Rate::new(sum / count)
}

impl Entry {
    fn of(team: &Team) -> Self {
        Self {
            name: team.name.clone(),
            priority: team.priority.unwrap_or_default(),
            quota: team.quota(),
        }
    }
}

impl fmt::Display for Caller<'_> {
    fn fmt(&self, f: &mut fmt::Formatter<'_>) -> fmt::Result {
        match self {
            Self::Team(team) => write!(f, "team {}", team.name),
            Self::Unknown(digest) => write!(f, "unknown {digest}"),
            Self::Missing => f.write_str("no key"),
            Self::Anyone => f.write_str("anyone"),
        }
    }
}

impl Caller<'_> {
    /// Team for which a request to a route is made; none if the route is public.
    ///
    /// # Errors
    ///
    /// [`Unauthenticated`] if the route needs a key that the request does not have.
    pub fn authorize(self, is_public: bool) -> Result<Option<Arc<Entry>>, Unauthenticated> {
        match self {
            Self::Anyone => Ok(None),
            _ if is_public => Ok(None),
            Self::Team(team) => Ok(Some(Arc::clone(team))),
            Self::Unknown(_) | Self::Missing => Err(Unauthenticated),
        }
    }
}
