//! Detection of nested routes: those that only targets call, while they serve another request.
//!
//! Callers are on every host, so their requests come from hosts of all services. Calls made by the
//! targets of one service come only from the hosts of that service. A sidecar counts, per route, on
//! which hosts requests originate. If it sees almost none from the hosts of some service, although
//! their expected share would be large by now, the route is *nested*.
//!
//! Nothing else distinguishes the two: both come from the host's own address, over the same kind of
//! connection and with the same headers.
//!
//! ```
//! use jackdawpulley::calls::nesting::Detector;
//! use jackdawpulley::units::Service;
//!
//! let (shelf, till) = (Service::from("shelf"), Service::from("till"));
//! let fleet = [(shelf.clone(), 7), (till, 4)];
//! let mut detector = Detector::default();
//! let nested: Vec<bool> = (0..100).map(|_| detector.record("artwork", &shelf, &fleet)).collect();
//! assert!(!nested[0] && nested[99]);
//! ```

use crate::units::Service;

/// Number of requests expected from a service's hosts above which their absence marks a route as
/// nested. For a route of callers, the probability of this is one in a million (e^-14).
const MIN_EXPECTED: f64 = 14.0;
/// Fraction of the expected requests that may still come from such hosts: occasional exploratory
/// requests by people.
const MAX_STRAY_SHARE: f64 = 0.02;
/// Number of requests at which the counts are halved, so that a route whose use changes is
/// classified anew.
const HALVE_AT: f64 = 1_000.0;
/// Maximum number of routes: far more than a document has busy ones.
const MAX_ROUTES: usize = 1_024;

/// Detector of nested routes.
#[derive(Debug, Default)]
pub struct Detector {
    /// Sorted by route name.
    routes: Vec<Counts>,
}

/// Request counts of one route.
#[derive(Debug)]
struct Counts {
    route: String,
    total: f64,
    /// Requests by the service of the originating host, sorted by service.
    hosts: Vec<(Service, f64)>,
}

impl Detector {
    /// Records a request of a route that originates on a host of service `from`; returns whether
    /// the route is nested. `fleet` has the number of hosts of each service.
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
