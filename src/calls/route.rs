//! Route lookup.
//!
//! A [`Table`] is compiled once for each configuration version. The longest path prefix wins, by
//! whole segments. Among routes with the same prefix, one that names a host goes before one that
//! does not, and then one that names a method before one that does not.

use std::sync::Arc;

use crate::authority;
use crate::configuration::document::{Document, Group, Retry, Route};

/// A route with the groups and the retry rule that it names, all of one configuration version.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct ResolvedRoute {
    /// The route.
    pub route: Route,
    /// Groups that share its requests; at least one.
    pub destinations: Vec<Destination>,
    /// Its retry rule.
    pub retry: Retry,
}

/// A group with its weight in a route.
#[derive(Debug, Clone, PartialEq, Eq)]
pub struct Destination {
    /// Weight relative to the route's other destinations.
    pub weight: u32,
    /// The group.
    pub group: Arc<Group>,
}

impl ResolvedRoute {
    /// Selects the group for one request; `draw` is uniform in 0 to 1.
    ///
    /// Each request is drawn independently, so that many daemons together keep to the weights
    /// without coordination.
    #[must_use]
    pub fn group(&self, draw: f64) -> &Arc<Group> {
        let total: u32 = self
            .destinations
            .iter()
            .map(|destination| destination.weight)
            .sum();
        let mut rest = draw * f64::from(total);
        let chosen = self.destinations.iter().find(|destination| {
            rest -= f64::from(destination.weight);
            rest < 0.0
        });
        &chosen.unwrap_or(&self.destinations[0]).group
    }
}

/// Routing table of one configuration version.
#[derive(Debug, Default)]
pub struct Table {
    /// Sorted by path; on the same path, routes that name a host or method come first.
    routes: Vec<Arc<ResolvedRoute>>,
}

impl Table {
    /// Compiles a validated and sorted document.
    ///
    /// A route whose group or retry rule is missing is left out; a validated document has none.
    #[must_use]
    pub fn compile(document: &Document) -> Self {
        let resolve = |route: &Route| {
            let destination = |name: &str, weight| {
                let group = Arc::new(document.group(name)?.clone());
                Some(Destination { weight, group })
            };
            let destinations: Option<Vec<Destination>> = if route.split.is_empty() {
                Some(vec![destination(&route.group, 1)?])
            } else {
                let split = route.split.iter();
                split
                    .map(|share| destination(&share.group, share.weight))
                    .collect()
            };
            let destinations = destinations?;
            let retry = document.retry(&route.retry)?.clone();
            let host = route.host.as_deref().map(authority::normalized);
            Some(Arc::new(ResolvedRoute {
                route: Route {
                    host,
                    ..route.clone()
                },
                destinations,
                retry,
            }))
        };
        let mut routes: Vec<Arc<ResolvedRoute>> =
            document.routes.iter().filter_map(resolve).collect();
        routes.sort_by(|a, b| {
            let names = |resolved: &ResolvedRoute| {
                (
                    resolved.route.host.is_some(),
                    resolved.route.method.is_some(),
                )
            };
            let path = trim_slash(&a.route.path).cmp(trim_slash(&b.route.path));
            path.then_with(|| names(b).cmp(&names(a)))
        });
        Self { routes }
    }

    /// Number of routes.
    #[must_use]
    pub const fn len(&self) -> usize {
        self.routes.len()
    }

    /// Whether the table has no routes.
    #[must_use]
    pub const fn is_empty(&self) -> bool {
        self.routes.is_empty()
    }

    /// Finds the route of a request; `host` may have a port and is compared case-insensitively.
    #[must_use]
    pub fn find(
        &self,
        method: &str,
        host: Option<&str>,
        path: &str,
    ) -> Option<&Arc<ResolvedRoute>> {
        let host = host.map(authority::plain);
        let matches = |route: &Route| {
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
        let mut prefix = trim_slash(path);
        loop {
            let start = self
                .routes
                .partition_point(|resolved| trim_slash(&resolved.route.path) < prefix);
            let same = self.routes[start..]
                .iter()
                .take_while(|resolved| trim_slash(&resolved.route.path) == prefix);
            if let Some(resolved) = same.into_iter().find(|resolved| matches(&resolved.route)) {
                return Some(resolved);
            }
            prefix = &prefix[..prefix.rfind('/')?];
        }
    }
}

/// Strips one trailing slash, so that `/a/` and `/a` are the same prefix.
fn trim_slash(path: &str) -> &str {
    path.strip_suffix('/').unwrap_or(path)
}
