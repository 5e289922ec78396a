//! Quarantine: requests that end the targets which run them.
//!
//! A request whose content makes a target crash is sent again by its caller, under another identifier and
//! at any daemon, and takes one target after the other with it. A gate knows what was [`running`] when its
//! target ended, names requests by a [`fingerprint`] of their content, and tells a [`crash`] to all daemons.
//! Each of them judges by the same [`evidence`] what must not run, which the path of a request reads from
//! what is [`shared`]. A [`note`] outlives the daemons.

pub mod crash;
pub mod crash_set;
pub mod fingerprint;
pub mod record;
pub mod running;
pub mod shared;

pub(crate) mod archive;
pub(crate) mod detector;
pub(crate) mod replicator;
