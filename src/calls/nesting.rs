//! Which routes only targets call, on behalf of the requests that run there.
//!
//! Callers are on every host, so their requests come from hosts of all services. A call that a
//! target makes while it runs a request comes from the hosts of its own service alone. A gate
//! counts where the requests of each route began; a route of which it hears nothing from some
//! service's hosts, though their share of so many requests would be large, is *nested*.
//!
//! Nothing else tells the two apart: both come from the host's own address, over connections and
//! with headers that look alike.
//!
//! ```
//! use jackdawpulley::calls::nesting::Detector;
//! use jackdawpulley::units::Service;
//!
//! let (shelf, till) = (Service::from("shelf"), Service::from("till"));
//! let fleet = [(shelf.clone(), 7), (till, 4)];
//! let mut detector = Detector::default();
//! let told: Vec<bool> = (0..100).map(|_| detector.record("artwork", &shelf, &fleet)).collect();
//! assert!(!told[0] && told[99]);
//! ```

use crate::units::Service;

/// Requests that are missing from a service's hosts before a route counts as nested: were it a
/// route of callers, the chance of it would be one in a million (the exponential of -14).
const MIN_EXPECTED: f64 = 14.0;
/// Part of its share that may come from such a host all the same: somebody who looks around.
const MAX_STRAY_SHARE: f64 = 0.02;
/// Requests after which the counts are halved, so that a route whose use changes is learnt anew.
const HALVE_AT: f64 = 1_000.0;
/// Routes that are remembered at most: far more than a document's busy ones.
const MAX_ROUTES: usize = 1_024;

/// Where the requests of each route began.
#[derive(Debug, Default)]
pub struct Detector {
    /// Sorted by the routes' names.
    routes: Vec<Counts>,
}

/// Where the requests of one route began.
#[derive(Debug)]
struct Counts {
    route: String,
    total: f64,
    /// Requests by the service of the host, sorted by it.
    hosts: Vec<(Service, f64)>,
}

impl Detector {
    /// Notes a request of a route that began on a host of service `from`, in a `fleet` of so many
    /// hosts of each service; whether the route is nested.
    pub fn record(&mut self, route: &str, from: &Service, fleet: &[(Service, usize)]) -> bool {
        let counts = self.counts_mut(route);
        counts.add(from);
        counts.is_nested(fleet)
    }

    fn counts_mut(&mut self, route: &str) -> &mut Counts {
        if self.routes.len() == MAX_ROUTES {
            self.routes.clear();
        }
        let found = self
            .routes
            .binary_search_by(|counts| counts.route.as_str().cmp(route));
        let index = found.unwrap_or_else(|index| {
            let counts = Counts {
                route: route.to_owned(),
                total: 0.0,
                hosts: Vec::new(),
            };
            self.routes.insert(index, counts);
            index
        });
        &mut self.routes[index]
    }
}

impl Counts {
    fn add(&mut self, from: &Service) {
        self.total += 1.0;
        match self
            .hosts
            .binary_search_by(|(service, _)| service.cmp(from))
        {
            Ok(index) => self.hosts[index].1 += 1.0,
            Err(index) => self.hosts.insert(index, (from.clone(), 1.0)),
        }
        if self.total >= HALVE_AT {
            self.total /= 2.0;
            self.hosts.iter_mut().for_each(|host| host.1 /= 2.0);
        }
    }

    fn is_nested(&self, fleet: &[(Service, usize)]) -> bool {
        let hosts: usize = fleet.iter().map(|(_, count)| count).sum();
        fleet.iter().any(|(service, count)| {
            let share = to_f64(*count) / to_f64(hosts.max(1));
            let expected = self.total * share;
            expected >= MIN_EXPECTED && self.count_from(service) <= expected * MAX_STRAY_SHARE
        })
    }

    fn count_from(&self, service: &Service) -> f64 {
        let found = self.hosts.binary_search_by(|(known, _)| known.cmp(service));
        found.map_or(0.0, |index| self.hosts[index].1)
    }
}

fn to_f64(count: usize) -> f64 {
    f64::from(u32::try_from(count).unwrap_or(u32::MAX))
}
