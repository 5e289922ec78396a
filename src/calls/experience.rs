//! What an entry learns from answers, for choosing upstreams.

use std::sync::{Mutex, MutexGuard, PoisonError};
use std::time::{Duration, Instant};

use http::{Response, header};
use volo_http::body::Body;

use crate::calls::outcome::Reason;
use crate::calls::pace::Typical;
use crate::calls::patience::Patience;
use crate::calls::sidecar::Load;
use crate::membership::roster::Upstream;
use crate::units::Millis;

/// Routes that are remembered at most: far more than a document's busy ones.
const MOST: usize = 1_024;

/// Time for which a gate's word holds that only targets call a route: one that has started a moment
/// ago does not know it yet.
const NESTED: Duration = Duration::from_secs(10);

/// What is known of a route.
#[derive(Debug)]
struct Known {
    name: String,
    typical: Typical,
    patience: Patience,
    /// Until when it counts as one that only targets call.
    nested_until: Option<Instant>,
}

/// What the routes' requests usually need.
#[derive(Debug, Default)]
pub struct Experience {
    /// Sorted by the routes' names; held for a few instructions.
    routes: Mutex<Vec<Known>>,
}

impl Experience {
    /// Takes an attempt as evidence on its upstream, with the load that its gate told; whether it speaks against
    /// it.
    pub fn learn(
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
                place(&mut self.routes(), route).nested_until = Some(now + NESTED);
            }
        }
        let response = match attempt {
            Ok(response) => response,
            Err(reason) => {
                if reason.is_upstream_failure() || reason == Reason::Shed {
                    upstream.pace().failed(now);
                }
                // Guards against the time that news of a leaving daemon or target take: until then
                // every call would go there, be refused and go on to another.
                if reason.is_unavailable() && reason != Reason::Moved {
                    upstream.absent(now);
                }
                return reason.is_upstream_failure();
            }
        };
        let failed = response.status().is_server_error();
        if failed {
            upstream.pace().failed(now);
        } else {
            upstream.succeeded();
            let waited = load.unwrap_or_default().waited.duration();
            let work = now.saturating_duration_since(began).saturating_sub(waited);
            let bytes = response.headers().get(header::CONTENT_LENGTH);
            let bytes = bytes.and_then(|v| v.to_str().ok()?.parse().ok());
            let factor = upstream.pace().factor(now);
            let typical = self.learn_typical(route, work, factor, bytes.unwrap_or(0));
            upstream.pace().answered(now, work, &typical);
        }
        failed
    }

    /// What the requests of a route usually need.
    pub fn typical(&self, route: &str) -> Typical {
        let routes = self.routes();
        let found = routes.binary_search_by(|known| known.name.as_str().cmp(route));
        found.map_or_else(|_| Typical::default(), |index| routes[index].typical)
    }

    /// Whether only targets call a route, by a gate's word.
    pub fn is_nested(&self, route: &str) -> bool {
        let routes = self.routes();
        let found = routes.binary_search_by(|known| known.name.as_str().cmp(route));
        let until = found.ok().and_then(|index| routes[index].nested_until);
        until.is_some_and(|until| Instant::now() < until)
    }

    /// For how long the caller of a request has waited that still gives `given`.
    pub fn waited(&self, route: &str, given: Millis) -> Duration {
        let mut routes = self.routes();
        place(&mut routes, route).patience.waited(given)
    }

    fn learn_typical(&self, route: &str, work: Duration, factor: f64, bytes: usize) -> Typical {
        let mut routes = self.routes();
        let typical = &mut place(&mut routes, route).typical;
        typical.learn(work, factor, bytes);
        *typical
    }

    fn routes(&self) -> MutexGuard<'_, Vec<Known>> {
        self.routes.lock().unwrap_or_else(PoisonError::into_inner)
    }
}

/// What is known of a route, made when there is nothing yet.
fn place<'a>(routes: &'a mut Vec<Known>, route: &str) -> &'a mut Known {
    if routes.len() == MOST {
        // Routes that are gone are not told apart; the others are learnt again in a moment.
        routes.clear();
    }
    let found = routes.binary_search_by(|known| known.name.as_str().cmp(route));
    let index = found.unwrap_or_else(|index| {
        let known = Known {
            name: route.to_owned(),
            typical: Typical::default(),
            patience: Patience::default(),
            nested_until: None,
        };
        routes.insert(index, known);
        index
    });
    &mut routes[index]
}
