//! Kinds of calls of each deployment, as the users' pages describe them.

use jackdawpulley::units::{Millis, Priority};

use crate::rig::deployment::Deployment;

/// Kind of call.
#[derive(Debug, Clone)]
pub struct Kind {
    /// Name in reports.
    pub name: &'static str,
    /// Index of the service in the deployment.
    pub service: usize,
    /// Calls per second from callers, over all hosts.
    pub rate: f64,
    /// Mean processing time at a target of ordinary speed.
    pub work: Millis,
    /// Standard deviation of the logarithm of the processing time.
    pub spread: f64,
    /// Size of a response, in kilobytes.
    pub kb: f64,
    /// Priority in the sidecars' queues.
    pub priority: Priority,
    /// Time within which a response earns full credit.
    pub aim: Millis,
    /// Time for which a caller waits.
    pub timeout: Millis,
    /// Credit of a response in time.
    pub worth: f64,
    /// Calls of another kind that a run makes first, concurrently.
    pub calls: Option<Nested>,
}

/// Nested calls that a target makes while it runs a call.
#[derive(Debug, Clone, Copy)]
pub struct Nested {
    /// Index of their kind.
    pub kind: usize,
    /// Number of nested calls per run.
    pub times: u32,
    /// Share of the runs that make them.
    pub share: f64,
}

/// Credit of a late response, as a share of the credit of one in time.
pub const LATE_WORTH: f64 = 0.3;

/// Index of the nested kind.
const NESTED_KIND: usize = 3;

/// Kinds of calls of a deployment.
#[must_use]
pub fn kinds(deployment: Deployment) -> Vec<Kind> {
    let nested = Nested {
        kind: NESTED_KIND,
        times: 2,
        share: 0.7,
    };
    let kind = |name, service, rate, work, aim, timeout, priority| Kind {
        name,
        service,
        rate,
        work: Millis(work),
        spread: 0.8,
        kb: 0.4,
        priority: Priority(priority),
        aim: Millis(aim),
        timeout: Millis(timeout),
        worth: f64::from(3 - priority),
        calls: None,
    };
    let [lists, grants, orders, inner] = match deployment {
        Deployment::Kalahari => [
            kind("browse", 0, 307.0, 160, 500, 1_200, 2),
            kind("grant", 0, 134.0, 210, 600, 1_500, 1),
            kind("rent", 1, 80.2, 110, 300, 800, 0),
            kind("artwork", 1, 0.0, 40, 150, 500, 3),
        ],
        Deployment::Hooghly => [
            kind("lookup", 0, 294.0, 220, 600, 2_500, 2),
            kind("confirm", 0, 123.0, 290, 800, 3_000, 1),
            kind("substitute", 1, 101.0, 150, 500, 2_000, 0),
            kind("peek", 1, 0.0, 55, 200, 600, 3),
        ],
    };
    vec![
        Kind {
            kb: 5.0,
            calls: Some(nested),
            ..lists
        },
        grants,
        Kind {
            kb: 1.5,
            spread: 0.3,
            ..orders
        },
        Kind {
            spread: 0.5,
            ..inner
        },
    ]
}
