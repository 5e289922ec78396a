//! Quarantine of requests that crash the targets that process them.
//!
//! A request whose content crashes a target is retried by its caller, with another request id and through any
//! daemon, and crashes one target after another. The sidecar of a crashed target knows which requests were
//! [`running`] there, identifies them by a [`fingerprint`] of their content and reports the [`crash`] to all
//! daemons. Every daemon merges the reports into the same [`crash_set`] and derives from it which requests to
//! refuse; the request path reads the result from [`shared`]. A [`record`] in external storage survives the
//! loss of all daemons.

pub mod crash;
pub mod crash_set;
pub mod fingerprint;
pub mod record;
pub mod running;
pub mod shared;

pub(crate) mod archive;
pub(crate) mod detector;
pub(crate) mod replicator;
