//! Teams: callers that share keys, a priority and a quota.
//!
//! A [`Team`](team::Team) is a resource of the configuration. Its callers show one of its
//! [`Key`](key::Key)s with each request.

pub mod key;
pub mod team;
