//! Teams: callers that share keys, a priority and a quota.
//!
//! A [`Team`](team::Team) is a resource of the configuration. Its callers show one of its
//! [`Key`](key::Key)s with each request, by which the [`Directory`](directory::Directory) finds the team.

pub mod directory;
pub mod key;
pub mod team;
