//! Calls: the path of a request from its caller to a target and back.
//!
//! The entry finds the [`route`] of a request, [`pick`]s an upstream by its [`latency`] and hands the
//! request over ([`handover`]) to the gate, whose [`limit`] bounds the work. How long a request may wait
//! there is its [`wait`]. Only the entry may [`retry`]; the caller is told the [`outcome`]. How headers
//! are spelt is a [`dialect`]. Which [`connections`] of callers are kept is decided where they are
//! accepted.

pub mod connections;
pub mod dialect;
pub mod handover;
pub mod latency;
pub mod limit;
pub mod log_rate;
pub mod nesting;
pub mod outcome;
pub mod pick;
pub mod retry;
pub mod route;
pub mod transit_delay;
pub mod wait;

pub(crate) mod admission;
pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod balancer;
pub(crate) mod call;
pub(crate) mod callers;
pub(crate) mod dispatch;
pub(crate) mod entry;
pub(crate) mod gate;
pub(crate) mod http_server;
pub(crate) mod statistics;
pub(crate) mod stream;
pub(crate) mod work;
