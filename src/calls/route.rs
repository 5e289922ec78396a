//! Finding the route of a request.
//!
//! A [`Table`] is compiled once for each version. The longest path prefix wins, by whole segments;
//! among routes with the same prefix one that names the host goes before one that does not, and
//! then one that names the method.

use std::sync::Arc;

use crate::authority;
use crate::configuration::document::{Document, Group, Retry, Route};

/// A route with the group and rule that it names, all of one version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Plan {
    /// The route.
    pub route: Route,
    /// Groups that share its requests; one at least.
    pub destinations: Vec<Destination>,
    /// Its retry rule.
    pub retry: Retry,
}

/// A group with its part of a route's requests.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Size in relation to the other parts.
    pub weight: u32,
    /// The group.
    pub group: Arc<Group>,
}

impl Plan {
    /// The group for one request; `draw` is uniform in 0 to 1.
    ///
    /// Each request is drawn on its own, so that many daemons together keep to the weights
    /// without a word between them.
    #[must_use]
    pub fn group(&self, draw: f64) -> &Arc<Group> {
        let total: u32 = self.destinations.iter().map(|part| part.weight).sum();
        let mut rest = draw * f64::from(total);
        let chosen = self.destinations.iter().find(|part| {
            rest -= f64::from(part.weight);
            rest < 0.0
        });
        &chosen.unwrap_or(&self.destinations[0]).group
    }
}

/// Routes in the order in which they are tried.
#[derive(Debug, Default)]
pub struct Table {
    /// Sorted by path, then by how much else a route names, most first.
    plans: Vec<Arc<Plan>>,
}

impl Table {
    /// Compiles a checked and sorted document.
    ///
    /// A route whose group or rule is missing is left out, so that no call can meet it; a checked
    /// document has none.
    #[must_use]
    pub fn compile(document: &Document) -> Self {
        let plan = |route: &Route| {
            let part = |name: &str, weight| {
                let group = Arc::new(document.group(name)?.clone());
                Some(Destination { weight, group })
            };
            let parts: Option<Vec<Destination>> = if route.split.is_empty() {
                Some(vec![part(&route.group, 1)?])
            } else {
                let split = route.split.iter();
                split
                    .map(|share| part(&share.group, share.weight))
                    .collect()
            };
            let parts = parts?;
            let retry = document.retry(&route.retry)?.clone();
            let host = route.host.as_deref().map(authority::normalized);
            Some(Arc::new(Plan {
                route: Route {
                    host,
                    ..route.clone()
                },
                destinations: parts,
                retry,
            }))
        };
        let mut plans: Vec<Arc<Plan>> = document.routes.iter().filter_map(plan).collect();
        plans.sort_by(|a, b| {
            let names = |plan: &Plan| (plan.route.host.is_some(), plan.route.method.is_some());
            let path = stem(&a.route.path).cmp(stem(&b.route.path));
            path.then_with(|| names(b).cmp(&names(a)))
        });
        Self { plans }
    }

    /// Routes in the table.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.plans.len()
    }

    /// Whether the table has no route.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.plans.is_empty()
    }

    /// Finds the plan for a request; `host` may carry a port, and is compared whatever its case.
    #[must_use]
    pub fn find(&self, method: &str, host: Option<&str>, path: &str) -> Option<&Arc<Plan>> {
        let host = host.map(authority::plain);
        let fits = |route: &Route| {
            let begins = !route.below || path.starts_with(&route.path);
            begins
                && route
                    .method
                    .as_deref()
                    .is_none_or(|wanted| wanted == method)
                && route
                    .host
                    .as_deref()
                    .is_none_or(|wanted| host.is_some_and(|host| wanted.eq_ignore_ascii_case(host)))
        };
        let mut prefix = stem(path);
        loop {
            let start = self
                .plans
                .partition_point(|plan| stem(&plan.route.path) < prefix);
            let same = self.plans[start..]
                .iter()
                .take_while(|plan| stem(&plan.route.path) == prefix);
            if let Some(plan) = same.into_iter().find(|plan| fits(&plan.route)) {
                return Some(plan);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }
}

/// A path without its last slash, so that `/a/` and `/a` are one prefix.
fn stem(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}
