//! Configuration: what is in force, how it is accepted, and how it travels.
//!
//! Operators publish a [`document`], which [`check`] looks through. Without a platform that accepts
//! versions the [`replica`] of the [`log`] does; with one, an [`control_plane`] is read. What was accepted
//! travels between daemons as [`delta`]s, and a [`readiness`] keeps a restarted daemon from serving less.

pub mod check;
pub mod control_plane;
pub mod delta;
pub mod document;
pub mod exchange;
pub mod fault;
pub mod fetches;
pub mod freshness;
pub mod log;
pub mod normalize;
pub mod readiness;
pub mod replica;

pub(crate) mod publish;
pub(crate) mod reader;
pub(crate) mod relay;
pub(crate) mod store;
