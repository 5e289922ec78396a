//! Configuration: what is in force, how it is accepted, and how it travels.
//!
//! Operators publish a [`document`], which [`check`] looks through. Without a platform that accepts
//! versions the [`fold`] of the [`log`] does; with one, an [`origin`] is read. What was accepted
//! travels between daemons as [`delta`]s, and a [`floor`] keeps a restarted daemon from serving less.

pub mod check;
pub mod delta;
pub mod document;
pub mod exchange;
pub mod fault;
pub mod fetches;
pub mod fit;
pub mod floor;
pub mod fold;
pub mod freshness;
pub mod log;
pub mod origin;

pub(crate) mod config;
pub(crate) mod publish;
pub(crate) mod reader;
pub(crate) mod relay;
