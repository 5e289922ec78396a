//! What an entry learns from answers, for choosing upstreams.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Response, header};
use volo_http::body::Body;

use crate::calls::gate::Load;
use crate::calls::latency::Baseline;
use crate::calls::outcome::Reason;
use crate::calls::wait::Estimator;
use crate::membership::roster::Upstream;
use crate::units::Millis;

/// Routes that are remembered at most: far more than a document's busy ones.
const MAX_ROUTES: usize = 1_024;

/// Time for which a gate's word holds that only targets call a route: one that has started a moment
/// ago does not know it yet.
const NESTED_TTL: Duration = Duration::from_secs(10);

/// What is known of a route.
#[derive(Debug)]
struct Route {
    name: String,
    baseline: Baseline,
    wait_estimator: Estimator,
    /// Until when it counts as one that only targets call.
    nested_until: Option<Instant>,
}

/// What the routes' requests usually need.
#[derive(Debug, Default)]
pub struct Statistics {
    /// Sorted by the routes' names; held for a few instructions.
    routes: Mutex<Vec<Route>>,
}

impl Statistics {
    /// Takes an attempt as evidence on its upstream, with the load that its gate told; whether it speaks against
    /// it.
    pub fn record(
        &self,
        upstream: &Upstream,
        attempt: Result<&Response<Body>, Reason>,
        load: Option<Load>,
        began: Instant,
        route: &str,
    ) -> bool {
        let now = Instant::now();
        // A refusal tells it as well: a gate that has just refused for lack of room is the last to ask again.
        if let Some(load) = load {
            upstream.report(now, load.in_flight);
            if load.nested {
                route_mut(&mut self.routes(), route).nested_until = Some(now + NESTED_TTL);
            }
        }
        let response = match attempt {
            Ok(response) => response,
            Err(reason) => {
                if reason.blames_upstream() || reason == Reason::Shed {
                    upstream.pace().record_failure(now);
                }
                // Guards against the time that news of a leaving daemon or target take: until then
                // every call would go there, be refused and go on to another.
                if reason.is_absence() && reason != Reason::Moved {
                    upstream.absent(now);
                }
                return reason.blames_upstream();
            }
        };
        let failed = response.status().is_server_error();
        if failed {
            upstream.pace().record_failure(now);
        } else {
            upstream.succeeded();
            let waited = load.unwrap_or_default().waited.duration();
            let processing = now.saturating_duration_since(began).saturating_sub(waited);
            let bytes = response.headers().get(header::CONTENT_LENGTH);
            let bytes = bytes.and_then(|v| v.to_str().ok()?.parse().ok());
            let slowdown = upstream.pace().slowdown(now);
            let baseline = self.update_baseline(route, processing, slowdown, bytes.unwrap_or(0));
            upstream.pace().record_response(now, processing, &baseline);
        }
        failed
    }

    /// What the requests of a route usually need.
    pub fn baseline(&self, route: &str) -> Baseline {
        let routes = self.routes();
        let found = routes.binary_search_by(|entry| entry.name.as_str().cmp(route));
        found.map_or_else(|_| Baseline::default(), |index| routes[index].baseline)
    }

    /// Whether only targets call a route, by a gate's word.
    pub fn is_nested(&self, route: &str) -> bool {
        let routes = self.routes();
        let found = routes.binary_search_by(|entry| entry.name.as_str().cmp(route));
        let until = found.ok().and_then(|index| routes[index].nested_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// For how long the caller of a request has waited that still gives `timeout`.
    pub fn caller_wait(&self, route: &str, timeout: Millis) -> Duration {
        let mut routes = self.routes();
        route_mut(&mut routes, route)
            .wait_estimator
            .caller_wait(timeout)
    }

    fn update_baseline(
        &self,
        route: &str,
        processing: Duration,
        slowdown: f64,
        bytes: usize,
    ) -> Baseline {
        let mut routes = self.routes();
        let baseline = &mut route_mut(&mut routes, route).baseline;
        baseline.record(processing, slowdown, bytes);
        *baseline
    }

    fn routes(&self) -> MutexGuard<'_, Vec<Route>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What is known of a route, made when there is nothing yet.
fn route_mut<'a>(routes: &'a mut Vec<Route>, route: &str) -> &'a mut Route {
    if routes.len() == MAX_ROUTES {
        // Routes that are gone are not told apart; the others are learnt again in a moment.
        routes.clear();
    }
    let found = routes.binary_search_by(|entry| entry.name.as_str().cmp(route));
    let index = found.unwrap_or_else(|index| {
        let entry = Route {
            name: route.to_owned(),
            baseline: Baseline::default(),
            wait_estimator: Estimator::default(),
            nested_until: None,
        };
        routes.insert(index, entry);
        index
    });
    &mut routes[index]
}
