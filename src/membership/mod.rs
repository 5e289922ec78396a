//! Membership: which daemons and targets are there.
//!
//! A [`member`] is what daemons tell each other about themselves, a [`view`] the protocol that spreads
//! it. A [`target`] announces itself to the daemon beside it.

pub mod announce;
pub mod census;
pub mod datagram;
pub mod entries;
pub mod member;
pub mod roster;
pub mod target;
pub mod timing;
pub mod view;

pub(crate) mod contacts;
pub(crate) mod gossip;
pub(crate) mod greeters;
pub(crate) mod greeting;
pub(crate) mod join;
pub(crate) mod listing;
pub(crate) mod probe;
pub(crate) mod refresh;
pub(crate) mod rounds;
pub(crate) mod versions;
