//! Statistics that an ingress gathers from responses, by route and upstream, for load balancing.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Response, header};
use volo_http::body::Body;

use crate::calls::latency::Baseline;
use crate::calls::outcome::{Outcome, Reason};
use crate::calls::sidecar::Load;
use crate::calls::tail::Tail;
use crate::calls::wait::Estimator;
use crate::membership::roster::Upstream;
use crate::units::Millis;

/// Maximum number of routes: far more than a document has busy ones.
const MAX_ROUTES: usize = 1_024;

/// Time for which a sidecar's report holds that a route is nested: a sidecar that has just started
/// does not know it yet.
const NESTED_TTL: Duration = Duration::from_secs(10);

/// Statistics of one route.
#[derive(Debug)]
struct Route {
    name: String,
    baseline: Baseline,
    tail: Tail,
    wait_estimator: Estimator,
    /// Until when the route counts as nested, that is, called by targets only.
    nested_until: Option<Instant>,
}

/// Statistics of all routes.
#[derive(Debug, Default)]
pub struct Statistics {
    /// Sorted by name; locked for a few instructions at a time.
    routes: Mutex<Vec<Route>>,
}

impl Statistics {
    /// Records the result of an attempt, with the load that the sidecar reported; returns whether
    /// it counts as a failure of the upstream.
    pub fn record(
        &self,
        upstream: &Upstream,
        attempt: Result<&Response<Body>, Reason>,
        load: Option<Load>,
        began: Instant,
        route: &str,
    ) -> bool {
        let now = Instant::now();
        // Refusals carry the load as well, so that a sidecar that has just refused a request for
        // lack of capacity gets a high load.
        if let Some(load) = load {
            upstream.record_load(now, load.in_flight);
            if load.nested {
                route_mut(&mut self.routes(), route).nested_until = Some(now + NESTED_TTL);
            }
        }
        let outcome = attempt.map_or_else(Reason::outcome, |_| Outcome::Answered);
        if outcome != Outcome::NotRun {
            let time = now.saturating_duration_since(began);
            route_mut(&mut self.routes(), route).tail.record(now, time);
        }
        let response = match attempt {
            Ok(response) => response,
            Err(reason) => {
                if reason.is_upstream_failure() || reason == Reason::Shed {
                    upstream.latency().record_failure(now);
                }
                // Until the membership view shows that a daemon or target is leaving, every call
                // would be sent there, be refused and go on to another upstream.
                if reason.is_unavailable() && reason != Reason::Moved {
                    upstream.record_unavailable(now);
                }
                return reason.is_upstream_failure();
            }
        };
        let failed = response.status().is_server_error();
        if failed {
            upstream.latency().record_failure(now);
        } else {
            upstream.record_success();
            let waited = load.unwrap_or_default().waited.duration();
            let processing = now.saturating_duration_since(began).saturating_sub(waited);
            let bytes = response.headers().get(header::CONTENT_LENGTH);
            let bytes = bytes.and_then(|v| v.to_str().ok()?.parse().ok());
            let slowdown = upstream.latency().slowdown(now);
            let baseline = self.update_baseline(route, processing, slowdown, bytes.unwrap_or(0));
            upstream
                .latency()
                .record_response(now, processing, &baseline);
        }
        failed
    }

    /// Usual processing time and response size of a route.
    pub fn baseline(&self, route: &str) -> Baseline {
        let routes = self.routes();
        let found = routes.binary_search_by(|entry| entry.name.as_str().cmp(route));
        found.map_or_else(|_| Baseline::default(), |index| routes[index].baseline)
    }

    /// Time within which requests of a route end, as far as is known.
    pub fn time_bound(&self, route: &str) -> Option<Duration> {
        let routes = self.routes();
        let found = routes.binary_search_by(|entry| entry.name.as_str().cmp(route));
        found
            .ok()
            .and_then(|index| routes[index].tail.bound(Instant::now()))
    }

    /// Whether a sidecar has reported lately that only targets call a route.
    pub fn is_nested(&self, route: &str) -> bool {
        let routes = self.routes();
        let found = routes.binary_search_by(|entry| entry.name.as_str().cmp(route));
        let until = found.ok().and_then(|index| routes[index].nested_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// Records a request with `timeout` left; returns how long its caller has waited already.
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

/// Returns the statistics of a route, creating them if needed.
fn route_mut<'a>(routes: &'a mut Vec<Route>, route: &str) -> &'a mut Route {
    if routes.len() == MAX_ROUTES {
        // Removed routes cannot be told from active ones; active ones are learnt again soon.
        routes.clear();
    }
    let found = routes.binary_search_by(|entry| entry.name.as_str().cmp(route));
    let index = found.unwrap_or_else(|index| {
        let entry = Route {
            name: route.to_owned(),
            baseline: Baseline::default(),
            tail: Tail::new(Instant::now()),
            wait_estimator: Estimator::default(),
            nested_until: None,
        };
        routes.insert(index, entry);
        index
    });
    &mut routes[index]
}
