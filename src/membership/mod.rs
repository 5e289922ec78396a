//! Membership of daemons and targets.
//!
//! Daemons exchange [`member`] entries with the SWIM-like protocol of [`view`]. A [`target`] announces
//! itself to the daemon on its host.

pub mod absence;
pub mod announce;
pub mod announcement;
pub mod anti_entropy;
pub mod datagram;
pub mod entries;
pub mod member;
pub mod member_count;
pub mod rebuild;
pub mod roster;
pub mod target;
pub mod timing;
pub mod verification;
pub mod view;

pub(crate) mod contacts;
pub(crate) mod controller;
pub(crate) mod gossip;
pub(crate) mod health_check;
pub(crate) mod join;
pub(crate) mod join_client;
pub(crate) mod refresh;
pub(crate) mod registration;
pub(crate) mod rounds;
pub(crate) mod seeds;
pub(crate) mod versions;
