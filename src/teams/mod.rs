//! Teams: callers that share keys, a priority and a quota.
//!
//! A [`Team`](team::Team) is a resource of the configuration. Its callers show one of its
//! [`Key`](key::Key)s with each request, by which the [`Directory`](directory::Directory) finds the team.
//! [`Fair`](fair::Fair) orders the requests of teams that wait for the same target.

pub mod directory;
pub mod fair;
pub mod key;
pub mod team;
