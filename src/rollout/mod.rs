//! Rollouts: moving a service's traffic to a new revision of its targets, or back if the revision is bad.
//!
//! An operator's [`order`](order::Order) names a service, a revision and a duration. One daemon, the first in
//! rendezvous order for the service, coordinates the rollout: it [decides](decision) on a
//! [`plan`](plan::Plan) with the revision's share of requests, sends it to all daemons and renews it.
//! Sidecars count the responses of their targets in [`counters`](counters::Counters) and report them; an
//! [`analysis`](analysis::Analysis) compares the new revision with the old one, by route and over all routes,
//! in a statistical [`test`](significance::Test). The verdict is a conditional write to the platform, so the
//! first one counts, whichever daemon wrote it.
//!
//! A plan expires unless it is renewed: sidecars of the new revision admit requests only under a current
//! plan, so that a daemon which is cut off from the others falls back by itself. What a daemon knows of a
//! rollout is its [`progress`](progress::Progress), a replicated state that merges alike on every daemon. The
//! request path reads [`rules`](rules::Rules) derived from it.

pub mod analysis;
pub mod controller;
pub mod counters;
pub mod decision;
pub mod observed;
pub mod order;
pub mod plan;
pub mod progress;
pub mod rules;
pub mod shared;
pub mod significance;
pub mod stable;
pub mod tracker;

mod exposure;
