//! Moving a service's traffic to another revision of its targets, and back when that one is bad.
//!
//! An operator's [`order`](order::Order) names a service, a revision and a time. One daemon, the first in
//! rendezvous order for the service, [decides](decision): it gives out a [`plan`](plan::Plan) with the share of
//! requests that the revision gets, and renews it. Gates count how their targets answer in a
//! [`tally`](tally::Tally) and report it; the [`evidence`](evidence::Evidence) compares the two revisions,
//! by route and on all routes together, by a [`test`](test::Test). The verdict is one conditional write to the platform, so the
//! first one counts, whoever wrote it.
//!
//! No daemon goes on without a plan that is renewed: a gate of the new revision takes requests only while
//! its plan is fresh, so that a daemon which hears nobody goes back by itself. What a daemon knows of a
//! roll-out is its [`progress`](progress::Progress), merged alike everywhere; the path of a request reads
//! [`rules`](rules::Rules) made from it.

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

mod share;
