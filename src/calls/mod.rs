//! Calls: the path of a request from its caller to a target and back.
//!
//! The entry finds the [`route`] of a request, [`pick`]s an upstream by its [`pace`] and hands the
//! request over ([`handover`]) to the gate, whose [`limit`] bounds the work. How long a request may wait
//! there is its [`patience`]. Only the entry may [`retry`]; the caller is told the [`outcome`]. How headers
//! are spelt is a [`dialect`]. Which [`connections`] of callers are kept is decided where they are
//! accepted.

pub mod connections;
pub mod dialect;
pub mod limit;
pub mod lines;
pub mod metadata;
pub mod origins;
pub mod outcome;
pub mod pace;
pub mod patience;
pub mod pick;
pub mod retry;
pub mod route;
pub mod transit;

pub(crate) mod answer;
pub(crate) mod attempt;
pub(crate) mod call;
pub(crate) mod callers;
pub(crate) mod choice;
pub(crate) mod dispatch;
pub(crate) mod executor;
pub(crate) mod experience;
pub(crate) mod http_server;
pub(crate) mod ingress;
pub(crate) mod line;
pub(crate) mod sidecar;
pub(crate) mod stream;
