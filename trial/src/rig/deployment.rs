//! Deployments that trials model, with their configuration documents.

use jackdawpulley::configuration::document::{
    Bounds, Class, Document, Ejection, Group, Guard, Retry, Route,
};
use jackdawpulley::units::{DataCentre, Millis, Percent, Service};
use serde::Serialize;
use strum::{Display, EnumString};

/// Modelled deployment.
#[derive(Debug, Clone, Copy, PartialEq, Eq, Display, EnumString, Serialize)]
#[strum(serialize_all = "snake_case")]
#[serde(rename_all = "snake_case")]
pub enum Deployment {
    /// Four data centres in Windhoek, two services.
    Kalahari,
    /// Three data centres in Kolkata, two services.
    Hooghly,
}

/// One host of a deployment.
#[derive(Debug, Clone)]
pub struct Placement {
    /// Data centre of the host.
    pub data_centre: DataCentre,
    /// Service that the host's target offers, if the host has a target.
    pub service: Option<Service>,
}

impl Deployment {
    /// Data centres of the deployment.
    #[must_use]
    pub const fn data_centres(self) -> &'static [&'static str] {
        match self {
            Self::Kalahari => &["klein-windhoek", "olympia", "eros", "prosperita"],
            Self::Hooghly => &["bankshall", "alipore", "sealdah"],
        }
    }

    /// Services with their numbers of upstreams.
    #[must_use]
    pub const fn services(self) -> &'static [(&'static str, usize)] {
        match self {
            Self::Kalahari => &[("shelf", 7), ("till", 4)],
            Self::Hooghly => &[("roster-desk", 9), ("dispatch-cell", 3)],
        }
    }

    /// Hosts, with each service spread over the data centres.
    #[must_use]
    pub fn placements(self) -> Vec<Placement> {
        let centres = self.data_centres();
        let all = self.services().iter().flat_map(|(service, count)| {
            (0..*count).map(|index| Placement {
                data_centre: DataCentre::from(centres[index % centres.len()]),
                service: Some(Service::from(*service)),
            })
        });
        all.collect()
    }

    /// Configuration document of the deployment.
    #[must_use]
    pub fn document(self) -> Document {
        let (reads, writes) = match self {
            Self::Kalahari => (("titles", "shelf"), ("rentals", "till")),
            Self::Hooghly => (("roster", "roster-desk"), ("bookings", "dispatch-cell")),
        };
        let feeds = match self {
            Self::Kalahari => ("artwork", "till"),
            Self::Hooghly => ("availability", "dispatch-cell"),
        };
        let grants = match self {
            Self::Kalahari => ("grants", "shelf"),
            Self::Hooghly => ("confirmations", "roster-desk"),
        };
        Document {
            routes: vec![
                route(reads, Class::Interactive, true, "reads"),
                route(writes, Class::Interactive, false, "once"),
                route(grants, Class::Deferrable, false, "once"),
                route(feeds, Class::Background, true, "reads"),
            ],
            groups: self
                .services()
                .iter()
                .map(|(name, _)| group(name))
                .collect(),
            retries: vec![retry("reads", 3), retry("once", 3)],
            teams: Vec::new(),
            bounds: Bounds::default(),
        }
        .sorted()
    }

    /// Paths of the deployment's routes.
    #[must_use]
    pub const fn paths(self) -> Paths {
        match self {
            Self::Kalahari => Paths {
                read: "/titles",
                write: "/rentals",
                grant: "/grants",
                feed: "/artwork",
            },
            Self::Hooghly => Paths {
                read: "/roster",
                write: "/bookings",
                grant: "/confirmations",
                feed: "/availability",
            },
        }
    }
}

/// Paths of a deployment's routes, by kind.
#[derive(Debug, Clone, Copy)]
pub struct Paths {
    /// Path of an interactive, repeatable route.
    pub read: &'static str,
    /// Path of an interactive route whose requests run at most once.
    pub write: &'static str,
    /// Path of a deferrable route whose requests run at most once.
    pub grant: &'static str,
    /// Path of a background, repeatable route.
    pub feed: &'static str,
}

fn route((name, group): (&str, &str), class: Class, repeatable: bool, retry: &str) -> Route {
    Route {
        name: name.to_owned(),
        host: None,
        method: None,
        path: format!("/{name}"),
        group: group.to_owned(),
        below: false,
        split: Vec::new(),
        retry: retry.to_owned(),
        timeout_ms: Millis(2_000),
        class,
        priority: None,
        latency_ms: None,
        repeatable,
        guard: Guard::Memory,
        public: false,
    }
}

fn group(name: &str) -> Group {
    Group {
        name: name.to_owned(),
        service: Service::from(name),
        slots: None,
        connections: None,
        health_path: None,
        queue: 20,
        slow_start_ms: Millis(2_000),
        ejection: Ejection::default(),
    }
}

fn retry(name: &str, attempts: u32) -> Retry {
    Retry {
        name: name.to_owned(),
        attempts,
        budget: Percent(20),
        backoff_ms: Millis(20),
    }
}

/// Document with `services` services, each with one group and four routes.
#[must_use]
pub fn document_with_services(services: usize) -> Document {
    let routes = (0..services).flat_map(|service| {
        (0..4).map(move |index| {
            let group = format!("service-{service:03}");
            let mut route = route(("r", &group), Class::Interactive, index % 2 == 0, "reads");
            route.name = format!("service-{service:03}-route-{index}");
            route.path = format!("/service-{service:03}/{index}");
            route
        })
    });
    Document {
        routes: routes.collect(),
        groups: (0..services)
            .map(|s| group(&format!("service-{s:03}")))
            .collect(),
        retries: vec![retry("reads", 3), retry("once", 3)],
        teams: Vec::new(),
        bounds: Bounds::default(),
    }
    .sorted()
}
